//! What is remembered of one endpoint.

use super::{Attempt, EndpointKey};
use crate::interface::{EndpointEntry, EndpointState};
use crate::stats::OutcomeCounts;
use std::time::Duration;

/// What an endpoint said of its load.
#[derive(Clone, Copy)]
pub(crate) struct LoadReport {
    /// Requests in flight there.
    pub load: f64,
    /// When it was received.
    pub at: Duration,
}

/// Signs of life and faults of one endpoint.
#[derive(Default)]
pub(crate) struct EndpointHealth {
    /// Since when it has attempts in flight and said nothing.
    pub silent_since: Option<Duration>,
    /// Lost attempts since its last answer.
    pub consecutive_faults: u32,
    /// Share of its answers that failed of late, 0 to 1.
    pub failure_rate: f64,
}

/// Ejection of one endpoint from the load balancing.
#[derive(Default)]
pub(crate) struct Ejection {
    /// When it may be tried again; kept until it has answered well.
    pub until: Option<Duration>,
    /// How long the next ejection lasts.
    pub duration: Duration,
    /// Whether the operators' log names it.
    pub logged: bool,
}

/// What an endpoint in slow start may get.
#[derive(Default)]
pub(crate) struct SlowStartQuota {
    /// Attempts that may be sent now.
    pub attempts: f64,
    /// Attempts within the overload window.
    pub per_window: f64,
}

/// Load of one endpoint by its own reports.
#[derive(Default)]
pub(crate) struct EndpointLoad {
    /// Its last report.
    pub report: Option<LoadReport>,
    /// Attempts that this agent sent since then.
    pub sent_since: f64,
    /// When it was asked for a report that has not come yet.
    pub requested_at: Option<Duration>,
}

/// What is known of one endpoint.
#[derive(Default)]
pub(crate) struct Endpoint {
    /// Whether it may be sent requests.
    pub state: EndpointState,
    /// Index of its zone.
    pub zone: usize,
    /// Number of its cell.
    pub cell: u64,
    /// Number that identifies it at every agent.
    pub identity: u64,
    /// Index of its hardware type.
    pub endpoint_type: usize,
    /// The build that it runs.
    pub build: u32,
    /// When it was started, where that is known.
    pub started: Option<Duration>,
    /// Since when it is warming up; `None` past slow start.
    pub warming_since: Option<Duration>,
    /// Attempts in flight from this agent.
    pub in_flight: usize,
    /// Its signs of life and faults.
    pub health: EndpointHealth,
    /// Its ejection.
    pub ejection: Ejection,
    /// A high quantile of its latencies, divided by the mean of the class.
    pub high_latency: f64,
    /// Weight in the random draw, by its latency against its peers'.
    pub weight: f64,
    /// By class: outcomes of its attempts.
    pub outcomes: Vec<OutcomeCounts>,
    /// What it may get in slow start.
    pub slow_start: SlowStartQuota,
    /// Its load by its own reports.
    pub load: EndpointLoad,
}

impl Endpoint {
    /// Whether it is past slow start.
    pub fn is_warm(&self) -> bool {
        self.warming_since.is_none()
    }

    /// What the index of the fleet knows it by.
    pub fn key(&self) -> EndpointKey {
        EndpointKey {
            state: self.state,
            identity: self.identity,
            zone: self.zone,
            endpoint_type: self.endpoint_type,
            build: self.build,
            is_warm: self.is_warm(),
            is_busy: self.in_flight > 0,
            silent_since: self.health.silent_since,
            ejected_until: self.ejection.until,
        }
    }

    /// Whether it has attempts in flight and said nothing for this long.
    pub fn is_unresponsive(&self, now: Duration, stall_timeout: Duration) -> bool {
        self.health
            .silent_since
            .is_some_and(|since| now >= since + stall_timeout)
    }

    /// Whether it runs this build now, past slow start.
    pub fn runs_warm(&self, build: u32) -> bool {
        self.build == build && self.state == EndpointState::Running && self.is_warm()
    }

    /// Counts one more attempt to it; `index` is its own.
    pub fn send_attempt(&mut self, index: usize, now: Duration) -> Attempt {
        self.in_flight += 1;
        self.load.sent_since += 1.0;
        self.health.silent_since.get_or_insert(now);
        self.slow_start.attempts -= 1.0;
        Attempt::new(index, self, now)
    }

    /// Begins anew as the entry says. Attempts in flight stay; all else is forgotten.
    pub fn restart(
        &mut self,
        entry: &EndpointEntry,
        classes: usize,
        warming_since: Option<Duration>,
        slow_start_attempts: f64,
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
            },
            in_flight: self.in_flight,
            high_latency: 1.0,
            weight: 1.0,
            outcomes: vec![OutcomeCounts::default(); classes],
            ..Endpoint::default()
        };
    }
}
