//! The state of one endpoint.

use super::{Attempt, EndpointKey, EndpointLatency};
use crate::interface::{EndpointEntry, EndpointState};
use std::time::Duration;

/// Load that an endpoint reported.
#[derive(Clone, Copy)]
pub(crate) struct LoadReport {
    /// Number of requests in flight at the endpoint.
    pub load: f64,
    /// When the report was received.
    pub at: Duration,
}

/// Responsiveness and recent faults of one endpoint.
#[derive(Default)]
pub(crate) struct EndpointHealth {
    /// Start of the current period with attempts in flight and no response. `None` if there is no
    /// such period.
    pub silent_since: Option<Duration>,
    /// Number of attempts lost since the last response.
    pub consecutive_faults: u32,
    /// Share of recent responses that were failures, 0 to 1.
    pub failure_rate: f64,
}

impl EndpointHealth {
    /// Returns whether more than one attempt was lost since the last response.
    pub fn has_repeated_faults(&self) -> bool {
        self.consecutive_faults > 1
    }
}

/// Ejection of one endpoint from load balancing.
#[derive(Default)]
pub(crate) struct Ejection {
    /// When the endpoint may be tried again. Kept after that time until the endpoint has responded
    /// successfully, then `None`.
    pub until: Option<Duration>,
    /// How long the next ejection lasts.
    pub duration: Duration,
    /// Whether the ejection was written to the operators' log.
    pub logged: bool,
}

/// Number of attempts that an endpoint in slow start may receive. Not updated after slow start.
#[derive(Default)]
pub(crate) struct SlowStartQuota {
    /// Number of attempts that may be sent now, possibly fractional or negative.
    pub attempts: f64,
    /// Number of attempts allowed within the overload window.
    pub per_window: f64,
    /// Number of evaluations that had taken place when the endpoint was started.
    pub evaluations: u64,
}

impl SlowStartQuota {
    /// Returns whether at least one whole attempt may be sent now.
    pub fn allows_attempt(&self) -> bool {
        self.attempts >= 1.0
    }
}

/// Load of one endpoint according to its own reports.
#[derive(Default)]
pub(crate) struct EndpointLoad {
    /// The last report. `None` if there is none.
    pub report: Option<LoadReport>,
    /// Number of attempts that this agent has sent since the last report.
    pub sent_since: f64,
    /// When the outstanding report was requested. `None` if no report is outstanding.
    pub requested_at: Option<Duration>,
}

/// State of one endpoint.
#[derive(Default)]
pub(crate) struct Endpoint {
    /// Whether it is running, draining or gone.
    pub state: EndpointState,
    /// Index of its zone.
    pub zone: usize,
    /// Identifier of its cell.
    pub cell: u64,
    /// Identifier for rendezvous hashing, the same at every agent.
    pub identity: u64,
    /// Index of its hardware type.
    pub endpoint_type: usize,
    /// Number of the build that it runs.
    pub build: u32,
    /// When it was started. `None` if that is not known.
    pub started: Option<Duration>,
    /// When it began to warm up. `None` after slow start.
    pub warming_since: Option<Duration>,
    /// Number of attempts of this agent in flight.
    pub in_flight: usize,
    /// Responsiveness and recent faults.
    pub health: EndpointHealth,
    /// Current or last ejection.
    pub ejection: Ejection,
    /// A high quantile of its latencies, each divided by the mean of its class.
    pub latency: EndpointLatency,
    /// Quota in slow start.
    pub slow_start: SlowStartQuota,
    /// Load according to its own reports.
    pub load: EndpointLoad,
}

impl Endpoint {
    /// Returns whether it accepts requests.
    pub fn is_running(&self) -> bool {
        self.state == EndpointState::Running
    }

    /// Returns whether it is past slow start.
    pub fn is_warm(&self) -> bool {
        self.warming_since.is_none()
    }

    /// Returns the attributes that the fleet index depends on.
    pub fn key(&self) -> EndpointKey {
        EndpointKey {
            state: self.state,
            identity: self.identity,
            zone: self.zone,
            cell: self.cell,
            endpoint_type: self.endpoint_type,
            build: self.build,
            is_warm: self.is_warm(),
            warming_since: self.warming_since,
            has_quota: self.slow_start.allows_attempt(),
            has_repeated_faults: self.health.has_repeated_faults(),
            is_busy: self.in_flight > 0,
            silent_since: self.health.silent_since,
            ejected_until: self.ejection.until,
        }
    }

    /// Returns whether it has had attempts in flight without a response for at least
    /// `stall_timeout`.
    pub fn is_unresponsive(&self, now: Duration, stall_timeout: Duration) -> bool {
        self.health
            .silent_since
            .is_some_and(|since| now >= since + stall_timeout)
    }

    /// Returns whether it currently runs this build and is past slow start.
    pub fn runs_warm(&self, build: u32) -> bool {
        self.build == build && self.state == EndpointState::Running && self.is_warm()
    }

    /// Records that an attempt is being sent to this endpoint, whose own index is `index`.
    pub fn send_attempt(&mut self, index: usize, now: Duration) -> Attempt {
        self.in_flight += 1;
        self.load.sent_since += 1.0;
        self.health.silent_since.get_or_insert(now);
        self.slow_start.attempts -= 1.0;
        Attempt::new(index, self, now)
    }

    /// Resets the state to that of a newly started endpoint, as described by `entry`. Only the
    /// number of attempts in flight is kept.
    pub fn restart(
        &mut self,
        entry: &EndpointEntry,
        warming_since: Option<Duration>,
        slow_start_attempts: f64,
        latency: EndpointLatency,
    ) {
        *self = Endpoint {
            state: entry.state,
            zone: entry.zone,
            cell: entry.cell,
            identity: entry.identity,
            endpoint_type: entry.endpoint_type,
            build: entry.build,
            started: entry.started,
            warming_since,
            slow_start: SlowStartQuota {
                attempts: slow_start_attempts,
                per_window: 0.0,
                evaluations: latency.evaluations,
            },
            in_flight: self.in_flight,
            latency,
            ..Endpoint::default()
        };
    }
}
