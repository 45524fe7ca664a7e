//! The watch on the discovery service's endpoint list. The balancer requests the first call; this
//! module keeps the watch open and reopens it at the times that [`WatchTimer`] gives.

mod call;
pub mod lease_log;
pub mod list_reader;
mod outage_log;

use crate::agent::Agent;
use crate::lifecycle::phase::ControlService;
use call::{call, first_call, retry_alongside_silent_call, with_timeout};
use call::{CallError, EstablishedWatch};
use futures_lite::FutureExt;
use outage_log::OutageLog;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall_discovery::list_lease::ListLease;
use tulipwall_discovery::list_response::{self, ListResponse};
use tulipwall_discovery::watch_timer::{FirstCall, WatchEnd, WatchTimer};

/// Keeps the watch open until the program ends.
pub async fn run(agent: &Agent) {
    let address = &agent.control.discovery;
    let mut seen_changes = address.changes();
    let mut watch = Watch::new(agent);
    let mut next_call = watch.startup_call_at(agent.clock.now());
    loop {
        let due = async {
            match next_call {
                Some(at) => agent.sleep_until(at).await,
                None => agent.control.watch_request.received().await,
            }
        };
        due.or(address.changed_since(seen_changes)).await;
        if address.changes() != seen_changes {
            // A change of the address, or of the polling settings, ends the old watch, but does not
            // count as a failure.
            seen_changes = address.changes();
            watch.reload_settings(address.change_requested_at());
            next_call = watch.on_address_change(agent.clock.now());
            if next_call.is_some() {
                continue;
            }
        }
        agent.control.watch_request.clear();
        watch.reload_settings(agent.clock.now());
        let address_changed = async {
            address.changed_since(seen_changes).await;
            None
        };
        let ended = address_changed.or(async { Some(watch.run().await) }).await;
        if let Some(error) = ended {
            next_call = watch.on_end(&error);
        }
    }
}

/// One agent's watch, which continues over several calls and connections.
struct Watch<'a> {
    agent: &'a Agent,
    timer: WatchTimer,
    /// The address of discovery at which the watch began.
    address: SocketAddr,
    /// How long the known list may be used.
    lease: ListLease,
    /// Whether discovery has a new address and was not reached there yet.
    awaiting_contact: bool,
    /// Whether the changes since the known version are not enough, so that the whole list is
    /// requested.
    needs_whole_list: bool,
    outage_log: OutageLog,
}

impl Watch<'_> {
    fn new(agent: &Agent) -> Watch<'_> {
        let settings = &agent.service_config().settings;
        let watch = Watch {
            agent,
            timer: WatchTimer::new(settings),
            address: agent.control.discovery.get(),
            lease: ListLease::new(settings, agent.clock.now()),
            awaiting_contact: false,
            needs_whole_list: false,
            outage_log: OutageLog::default(),
        };
        watch.publish_lease();
        watch
    }

    /// Tells the balancer and the operator until when the list is valid.
    fn publish_lease(&self) {
        self.agent.publish_list_lease(self.lease.end());
    }

    /// When discovery is first called; `None` if the balancer requests the first call.
    fn startup_call_at(&mut self, now: Duration) -> Option<Duration> {
        self.timer.startup_delay().map(|delay| now + delay)
    }

    /// Applies the current settings, which a reload may have changed.
    fn reload_settings(&mut self, now: Duration) {
        let settings = &self.agent.service_config().settings;
        self.timer.reload(settings);
        self.lease.reload(settings, now);
        self.publish_lease();
    }

    /// Returns when the new address is first called; `None` if it is called at once.
    fn on_address_change(&mut self, now: Duration) -> Option<Duration> {
        self.awaiting_contact = true;
        let control = &self.agent.control.discovery;
        let previous = std::mem::replace(&mut self.address, control.get());
        if previous == self.address {
            self.lease.on_watch_restart(now);
        } else {
            self.lease.on_address_change(control.change_requested_at());
        }
        self.publish_lease();
        let delay = self.timer.on_address_change();
        (!delay.is_zero()).then_some(now + delay)
    }

    /// Handles a failed call. Returns when the next call is made; `None` if the balancer requests
    /// it.
    fn on_end(&mut self, error: &CallError) -> Option<Duration> {
        let now = self.agent.clock.now();
        let end = error.watch_end();
        if end == WatchEnd::TimedOut {
            self.agent.counters.list_timeouts.increment();
        }
        self.outage_log.on_failure(now, error);
        self.lease.on_watch_end(now, end);
        self.publish_lease();
        let next_call = self.timer.on_watch_end(end).map(|delay| now + delay);
        match next_call {
            Some(_) => self.agent.counters.list_failures.increment(),
            None => {
                // A request that the balancer made before the failure is void.
                self.agent.control.watch_request.clear();
                self.agent.balancer.on_list_failure();
            }
        }
        next_call
    }

    /// Watches until a call fails and returns its error.
    async fn run(&mut self) -> CallError {
        match self.watch().await {
            Ok(never) => match never {},
            Err(error) => error,
        }
    }

    async fn watch(&mut self) -> Result<Infallible, CallError> {
        let agent = self.agent;
        let mut watch = self.begin().await?;
        loop {
            let list = self.read_list(&mut watch).await?;
            let wait = self.on_list(list, watch.response.closes_connection)?;
            let path = list_response::watch_path(agent.endpoints.version(), wait);
            let timeout = wait + self.timer.response_grace();
            let next = call(agent, &mut watch.connection, &path);
            watch.response = with_timeout(agent, timeout, next).await?;
        }
    }

    /// Opens a watch. Requests the changes since the known list, or the whole list if none is known
    /// or if the address of discovery has changed and calls are free.
    ///
    /// Requesting changes guards discovery against agents that start, move or retry all at once: a
    /// whole list has one line per endpoint, and discovery pays for each. Does harm where a new
    /// discovery service numbers its versions independently and is ahead of the known version: its
    /// earlier changes are received at the agent's next start only.
    async fn begin(&mut self) -> Result<EstablishedWatch, CallError> {
        let agent = self.agent;
        let wait = self.timer.first_wait();
        let path = match self.watch_start_version() {
            Some(version) => list_response::watch_path(version, wait),
            None => list_response::LIST_PATH.to_owned(),
        };
        let patient_timeout = wait + self.timer.first_call_timeout(FirstCall::Patient);
        self.lease.on_watch_begin(agent.clock.now());
        let response_begun = Cell::new(false);
        let patient_call = first_call(agent, &path, patient_timeout, &response_begun);
        if !self.timer.calls_are_free() {
            return patient_call.await;
        }
        let quick_timeout = wait + self.timer.first_call_timeout(FirstCall::Quick);
        let quick_calls = async {
            let timer = &self.timer;
            let established =
                retry_alongside_silent_call(agent, timer, &path, quick_timeout, &response_begun);
            Ok(established.await)
        };
        patient_call.or(quick_calls).await
    }

    /// The version from which a watch requests changes; `None` to request the whole list.
    fn watch_start_version(&self) -> Option<u64> {
        let is_free_at_new_address = self.awaiting_contact && self.timer.calls_are_free();
        let may_request_changes = !self.needs_whole_list && !is_free_at_new_address;
        let endpoints = &self.agent.endpoints;
        endpoints.usable_version().filter(|_| may_request_changes)
    }

    /// Parses the list of the response that was received. Requests the whole list instead if
    /// discovery turns out to be behind the known version: it counts versions anew, so its changes
    /// since that version leave out what the agent missed.
    async fn read_list(&mut self, watch: &mut EstablishedWatch) -> Result<ListResponse, CallError> {
        let agent = self.agent;
        let list = list_reader::parse(std::mem::take(&mut watch.response.body)).await?;
        let known_version = self.watch_start_version();
        let version_went_back =
            !list.complete && known_version.is_some_and(|version| list.version < version);
        if !version_went_back {
            return Ok(list);
        }
        self.needs_whole_list = true;
        if watch.response.closes_connection {
            return Err(CallError::ClosedAfterResponse);
        }
        let timeout = self.timer.first_wait() + self.timer.first_call_timeout(FirstCall::Patient);
        let whole_list = call(agent, &mut watch.connection, list_response::LIST_PATH);
        watch.response = with_timeout(agent, timeout, whole_list).await?;
        Ok(list_reader::parse(std::mem::take(&mut watch.response.body)).await?)
    }

    /// Applies a list. Returns the wait time of the next call, or the error that ends the watch.
    fn on_list(
        &mut self,
        list: ListResponse,
        closes_connection: bool,
    ) -> Result<Duration, CallError> {
        let agent = self.agent;
        let first_error = list.first_error.clone();
        self.needs_whole_list = list.may_lack_change();
        agent.update_endpoints(list);
        if let Some(error) = first_error.clone().filter(|_| self.needs_whole_list) {
            return Err(CallError::UnidentifiedEntry(error));
        }
        let wait = self.timer.next_wait();
        self.lease.on_response(agent.clock.now(), wait);
        self.publish_lease();
        if let Some(error) = first_error {
            return Err(CallError::UnreadableEntry(error));
        }
        self.timer.on_response();
        self.outage_log.on_response(agent.clock.now());
        if std::mem::take(&mut self.awaiting_contact) {
            agent.lifecycle.on_contact(ControlService::Discovery);
        }
        if closes_connection {
            return Err(CallError::ClosedAfterResponse);
        }
        Ok(wait)
    }
}
