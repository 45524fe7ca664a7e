//! A simulated agent's long-poll watch of discovery, with the timing that the real agent uses where
//! discovery limits the rate of calls.

use super::events::EventKind;
use super::{AgentOutput, LearntVersion, SimulatedAgent};
use crate::scale::meter::{MessageKind, Operation, ProcessorTimer};
use std::time::Duration;
use tulipwall::Settings;
use tulipwall_agent::protocol::http;
use tulipwall_discovery::endpoint_table::EndpointTable;
use tulipwall_discovery::list_lease::ListLease;
use tulipwall_discovery::list_response::{self, ListResponse};
use tulipwall_discovery::watch_timer::{FirstCall, WatchEnd, WatchTimer};

/// Host header of calls to discovery. Its length counts towards the bytes sent.
const DISCOVERY_HOST: &str = "10.200.0.1:8500";
const HTTP_OK: u16 = 200;

/// State of the watch of discovery.
#[derive(Clone, Copy)]
enum Watch {
    /// No call is in progress.
    Idle,
    /// The call with this number, the first of a watch or a later one, is in progress.
    Calling(u64),
}

/// An agent's endpoint list, and the state of its watch of discovery.
pub(super) struct DiscoveryState {
    pub(super) list: EndpointTable,
    timer: WatchTimer,
    lease: ListLease,
    watch: Watch,
    /// Number of watch starts scheduled so far. A [`EventKind::StartWatch`] with a lower number is
    /// stale and is ignored.
    pub(super) watch_starts: u64,
    is_start_scheduled: bool,
    /// Whether the balancer asked for a watch that has not been started yet.
    pub(super) is_watch_requested: bool,
}

impl DiscoveryState {
    pub(super) fn new(settings: &Settings, now: Duration) -> DiscoveryState {
        DiscoveryState {
            list: EndpointTable::default(),
            timer: WatchTimer::new(settings),
            lease: ListLease::new(settings, now),
            watch: Watch::Idle,
            watch_starts: 0,
            is_start_scheduled: false,
            is_watch_requested: false,
        }
    }

    /// Whether this call is the one in progress.
    fn is_current(&self, call: u64) -> bool {
        matches!(self.watch, Watch::Calling(current) if current == call)
    }
}

impl SimulatedAgent {
    /// Called when a process starts: sets how long the list is valid, and schedules the first call
    /// to discovery.
    pub(super) fn start_discovery(&mut self, now: Duration) {
        self.update_list_validity();
        if let Some(gap) = self.discovery.timer.startup_delay() {
            self.schedule_watch(now + gap);
        }
    }

    /// Passes the lease's current expiry to the balancer.
    fn update_list_validity(&mut self) {
        let valid_until = self.discovery.lease.valid_until();
        self.balancer.set_list_valid_until(valid_until);
    }

    fn schedule_watch(&mut self, at: Duration) {
        self.discovery.watch_starts += 1;
        self.discovery.is_start_scheduled = true;
        let number = self.discovery.watch_starts;
        self.events.push(at, EventKind::StartWatch { number });
    }

    pub(super) fn on_start_watch(&mut self, now: Duration, number: u64) {
        if number == self.discovery.watch_starts && self.discovery.is_start_scheduled {
            self.start_watch(now);
        }
    }

    /// Starts a watch that the balancer asked for, unless one is in progress or scheduled.
    pub(super) fn start_requested_watch(&mut self, now: Duration) {
        let discovery = &self.discovery;
        let is_idle = matches!(discovery.watch, Watch::Idle);
        if discovery.is_watch_requested && !discovery.is_start_scheduled && is_idle {
            self.start_watch(now);
        }
    }

    fn start_watch(&mut self, now: Duration) {
        let discovery = &mut self.discovery;
        discovery.is_watch_requested = false;
        discovery.is_start_scheduled = false;
        let wait = discovery.timer.first_wait();
        let needs_whole_list = self.reload.awaits_discovery && discovery.timer.calls_are_free();
        let path = if discovery.list.is_empty() || needs_whole_list {
            list_response::LIST_PATH.to_owned()
        } else {
            list_response::watch_path(discovery.list.version, wait)
        };
        let timeout = wait + discovery.timer.first_call_timeout(FirstCall::Patient);
        discovery.lease.on_watch_begin(now);
        let call = self.call_discovery(now, path, timeout, true);
        self.discovery.watch = Watch::Calling(call);
    }

    /// Sends a call to discovery, schedules its timeout, and returns its number.
    fn call_discovery(
        &mut self,
        now: Duration,
        path: String,
        timeout: Duration,
        starts_watch: bool,
    ) -> u64 {
        self.last_call += 1;
        let call = self.last_call;
        let length = http::get_request(DISCOVERY_HOST, &path).len();
        self.meter
            .record_message(now, MessageKind::DiscoveryCall, length);
        let output = AgentOutput::DiscoveryCall {
            call,
            path,
            starts_watch,
        };
        self.outputs.push((now, self.number, output));
        self.events
            .push(now + timeout, EventKind::CallTimeout { call });
        call
    }

    pub(super) fn on_call_timeout(&mut self, now: Duration, call: u64) {
        self.on_call_failure(now, call, WatchEnd::TimedOut);
    }

    /// Ends a watch whose current call failed, and schedules the next one if a retry is due.
    /// Failures of earlier calls are ignored.
    fn on_call_failure(&mut self, now: Duration, call: u64, ended: WatchEnd) {
        if !self.discovery.is_current(call) {
            return;
        }
        self.close_watch(now);
        self.discovery.lease.on_watch_end(now, ended);
        self.update_list_validity();
        match self.discovery.timer.on_watch_end(ended) {
            Some(gap) => self.schedule_watch(now + gap),
            None => {
                self.discovery.is_watch_requested = false;
                self.balancer.on_list_failure(now);
            }
        }
    }

    /// Ends the watch after a configuration reload, and schedules another after a delay.
    pub(super) fn restart_watch_after_reload(&mut self, now: Duration) {
        self.close_watch(now);
        self.discovery.lease.on_address_change(now);
        self.update_list_validity();
        let gap = self.discovery.timer.on_address_change();
        self.schedule_watch(now + gap);
    }

    pub(super) fn close_watch(&mut self, now: Duration) {
        let watch = std::mem::replace(&mut self.discovery.watch, Watch::Idle);
        if let Watch::Calling(call) = watch {
            let output = AgentOutput::CloseDiscoveryCall { call };
            self.outputs.push((now, self.number, output));
        }
    }

    pub(super) fn on_discovery_response(
        &mut self,
        now: Duration,
        call: u64,
        status: u16,
        bytes: &[u8],
    ) {
        if !self.discovery.is_current(call) {
            return; // The connection of this call is already closed.
        }
        if status != HTTP_OK {
            self.meter
                .record_message(now, MessageKind::Refusal, bytes.len());
            return self.on_call_failure(now, call, WatchEnd::Refused);
        }
        let is_well_formed = self.apply_response(now, bytes);
        if !is_well_formed {
            return self.on_call_failure(now, call, WatchEnd::Malformed);
        }
        self.discovery.timer.on_response();
        if std::mem::take(&mut self.reload.awaits_discovery) {
            self.count_reload(now);
        }
        self.continue_watch(now);
    }

    fn continue_watch(&mut self, now: Duration) {
        let wait = self.discovery.timer.next_wait();
        self.discovery.lease.on_response(now, wait);
        self.update_list_validity();
        let path = list_response::watch_path(self.discovery.list.version, wait);
        let timeout = wait + self.discovery.timer.response_grace();
        let call = self.call_discovery(now, path, timeout, false);
        self.discovery.watch = Watch::Calling(call);
    }

    /// Parses an HTTP response and applies its list. Returns whether the response was well-formed
    /// in full; the valid entries of a partly malformed list are applied all the same.
    fn apply_response(&mut self, now: Duration, bytes: &[u8]) -> bool {
        let timer = ProcessorTimer::start();
        let response = http::parse_response(bytes, false).ok().flatten();
        let response = response.and_then(|response| ListResponse::parse(&response.body).ok());
        self.meter
            .record_processor_time(now, Operation::Parsing, timer);
        let Some(response) = response else {
            return false;
        };
        let is_well_formed = response.first_error.is_none();
        let kind = if response.complete {
            MessageKind::WholeList
        } else if response.endpoints.is_empty() {
            MessageKind::EmptyWatch
        } else {
            MessageKind::Changes
        };
        self.meter.record_message(now, kind, bytes.len());
        self.apply_list(now, response);
        is_well_formed
    }

    /// Applies the endpoint list (`known`) that comes with a process's configuration. A list that
    /// cannot be parsed is ignored.
    pub(super) fn apply_known_list(&mut self, now: Duration, bytes: &[u8]) {
        let timer = ProcessorTimer::start();
        let response = ListResponse::parse(bytes);
        self.meter
            .record_processor_time(now, Operation::Parsing, timer);
        if let Ok(response) = response {
            self.apply_list(now, response);
        }
    }

    /// Updates the endpoint list and the balancer, and records the version when it is new.
    fn apply_list(&mut self, now: Duration, response: ListResponse) {
        let list = &mut self.discovery.list;
        let timer = ProcessorTimer::start();
        let applied = list.apply(response, &self.config, &self.clock);
        let changes = applied.into_changes();
        self.meter
            .record_processor_time(now, Operation::ListUpdate, timer);
        let timer = ProcessorTimer::start();
        self.balancer.update_endpoints(now, &changes, false);
        self.meter
            .record_processor_time(now, Operation::BalancerUpdate, timer);
        let version = list.version;
        let last = self.counts.versions.last();
        if last.is_none_or(|learnt| learnt.version != version) {
            self.counts
                .versions
                .push(LearntVersion { at: now, version });
        }
    }
}
