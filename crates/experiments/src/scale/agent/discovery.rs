//! An agent's watch of discovery, as the real agent keeps it where calls are paid for.

use super::events::EventKind;
use super::{AgentOutput, LearntVersion, SimulatedAgent};
use crate::scale::meter::{MessageKind, Operation, ProcessorTimer};
use std::time::Duration;
use tulipwall::Settings;
use tulipwall_agent::protocol::http;
use tulipwall_discovery::list::List;
use tulipwall_discovery::listing::{self, Listing};
use tulipwall_discovery::watchdog::{Ended, Vouched, Watchdog};

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
    pub(super) list: List,
    timer: Watchdog,
    lease: Vouched,
    watch: Watch,
    /// Starts that were scheduled; only the last one counts.
    pub(super) watch_starts: u64,
    is_start_scheduled: bool,
    pub(super) is_watch_wanted: bool,
}

impl DiscoveryState {
    pub(super) fn new(settings: &Settings, now: Duration) -> DiscoveryState {
        DiscoveryState {
            list: List::default(),
            timer: Watchdog::new(settings),
            lease: Vouched::new(settings, now),
            watch: Watch::Idle,
            watch_starts: 0,
            is_start_scheduled: false,
            is_watch_wanted: false,
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
        if let Some(gap) = self.discovery.timer.starts() {
            self.schedule_watch(now + gap);
        }
    }

    fn update_list_validity(&mut self) {
        self.balancer.list_valid_until = self.discovery.lease.until();
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
    pub(super) fn start_wanted_watch(&mut self, now: Duration) {
        let discovery = &self.discovery;
        let is_idle = matches!(discovery.watch, Watch::Idle);
        if discovery.is_watch_wanted && !discovery.is_start_scheduled && is_idle {
            self.start_watch(now);
        }
    }

    fn start_watch(&mut self, now: Duration) {
        let discovery = &mut self.discovery;
        discovery.is_watch_wanted = false;
        discovery.is_start_scheduled = false;
        let wait = discovery.timer.wait(true);
        let needs_whole_list = self.reload.awaits_discovery && discovery.timer.free();
        let path = if discovery.list.is_empty() || needs_whole_list {
            listing::LIST.to_owned()
        } else {
            listing::watch(discovery.list.version, wait)
        };
        let timeout = wait + discovery.timer.within(true);
        discovery.lease.begins(now);
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
        let length = http::get(DISCOVERY_HOST, &path).len();
        self.meter.passed(now, MessageKind::DiscoveryCall, length);
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
        self.on_call_failure(now, call, Ended::Silent);
    }

    fn on_call_failure(&mut self, now: Duration, call: u64, ended: Ended) {
        if !self.discovery.is_current(call) {
            return;
        }
        self.close_watch(now);
        self.discovery.lease.ended(now, ended);
        self.update_list_validity();
        match self.discovery.timer.again(ended) {
            Some(gap) => self.schedule_watch(now + gap),
            None => {
                self.discovery.is_watch_wanted = false;
                self.balancer.on_list_failure(now);
            }
        }
    }

    /// A new configuration: the watch ends, and another starts after a gap.
    pub(super) fn restart_watch_after_reload(&mut self, now: Duration) {
        self.close_watch(now);
        self.discovery.lease.moved(now);
        self.update_list_validity();
        let gap = self.discovery.timer.moved();
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
            self.meter.passed(now, MessageKind::Refusal, bytes.len());
            return self.on_call_failure(now, call, Ended::Refused);
        }
        let is_sound = self.take_response(now, bytes);
        if !is_sound {
            return self.on_call_failure(now, call, Ended::Spoilt);
        }
        self.discovery.timer.told();
        if std::mem::take(&mut self.reload.awaits_discovery) {
            self.count_reload(now);
        }
        self.continue_watch(now);
    }

    fn continue_watch(&mut self, now: Duration) {
        let wait = self.discovery.timer.wait(false);
        self.discovery.lease.told(now, wait);
        self.update_list_validity();
        let path = listing::watch(self.discovery.list.version, wait);
        let timeout = wait + self.discovery.timer.late();
        let call = self.call_discovery(now, path, timeout, false);
        self.discovery.watch = Watch::Calling(call);
    }

    /// Parses an HTTP response and takes in its list; whether all of it could be used.
    fn take_response(&mut self, now: Duration, bytes: &[u8]) -> bool {
        let timer = ProcessorTimer::start();
        let response = http::answer(bytes, false).ok().flatten();
        let listing = response.and_then(|response| Listing::parse(&response.body).ok());
        self.meter.spent(now, Operation::Parsing, timer);
        let Some(listing) = listing else {
            return false;
        };
        let is_sound = listing.spoilt.is_none();
        let kind = if listing.complete {
            MessageKind::WholeList
        } else if listing.entries.is_empty() {
            MessageKind::EmptyWatch
        } else {
            MessageKind::Changes
        };
        self.meter.passed(now, kind, bytes.len());
        self.take_list(now, listing);
        is_sound
    }

    /// Takes in the list of a process's configuration.
    pub(super) fn take_known_list(&mut self, now: Duration, bytes: &[u8]) {
        let timer = ProcessorTimer::start();
        let listing = Listing::parse(bytes);
        self.meter.spent(now, Operation::Parsing, timer);
        if let Ok(listing) = listing {
            self.take_list(now, listing);
        }
    }

    fn take_list(&mut self, now: Duration, listing: Listing) {
        let is_complete = listing.complete;
        let list = &mut self.discovery.list;
        let timer = ProcessorTimer::start();
        let (entries, _) = list.take(listing, &self.config, &self.clock);
        self.meter.spent(now, Operation::ListUpdate, timer);
        let timer = ProcessorTimer::start();
        self.balancer.update_endpoints(now, &entries, is_complete);
        self.meter.spent(now, Operation::BalancerUpdate, timer);
        let version = list.version;
        let last = self.counts.versions.last();
        if last.is_none_or(|learnt| learnt.version != version) {
            self.counts
                .versions
                .push(LearntVersion { at: now, version });
        }
    }
}
