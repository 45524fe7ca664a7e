//! An agent's watch of discovery, as the real agent keeps it where calls are paid for.

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

/// Host header of calls to discovery; its length is counted.
const DISCOVERY_HOST: &str = "10.200.0.1:8500";
const HTTP_OK: u16 = 200;

/// The call to discovery that is under way.
#[derive(Clone, Copy)]
enum Watch {
    Idle,
    /// The first call of a watch, or a later one.
    Calling(u64),
}

/// What an agent knows of discovery.
pub(super) struct DiscoveryState {
    pub(super) list: EndpointTable,
    timer: WatchTimer,
    lease: ListLease,
    watch: Watch,
    /// Starts that were scheduled; only the last one counts.
    pub(super) watch_starts: u64,
    is_start_scheduled: bool,
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

    fn is_current(&self, call: u64) -> bool {
        matches!(self.watch, Watch::Calling(current) if current == call)
    }
}

impl SimulatedAgent {
    /// At the start of a process: how long the list is valid, and when discovery is first called.
    pub(super) fn start_discovery(&mut self, now: Duration) {
        self.update_list_validity();
        if let Some(gap) = self.discovery.timer.startup_delay() {
            self.schedule_watch(now + gap);
        }
    }

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

    /// Starts a watch that the balancer asked for, unless one stands or is scheduled.
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

    /// A new configuration: the watch ends, and another starts after a gap.
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
            return; // It came on a connection that is closed.
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

    /// Parses an HTTP response and takes in its list; whether all of it could be used.
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

    /// Takes in the list of a process's configuration.
    pub(super) fn apply_known_list(&mut self, now: Duration, bytes: &[u8]) {
        let timer = ProcessorTimer::start();
        let response = ListResponse::parse(bytes);
        self.meter
            .record_processor_time(now, Operation::Parsing, timer);
        if let Ok(response) = response {
            self.apply_list(now, response);
        }
    }

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
