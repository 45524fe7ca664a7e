//! Load reports of endpoints, and when endpoints are asked for them.

use super::candidates::TwoChoices;
use super::endpoint_weights::ENDPOINT_TYPE_GAIN;
use super::Balancer;
use crate::interface::{EndpointState, Outcome};
use crate::model::{Endpoint, LoadReport};
use std::ops::Range;
use std::time::Duration;

/// Range of reported loads that are accepted, in requests in flight.
const PLAUSIBLE_LOAD: Range<f64> = 0.0..1e6;
/// Time constant, in seconds, with which an ageing load report reverts to the mean of its hardware
/// type.
const REPORT_TIME_CONSTANT: f64 = 1.0;
/// Age up to which no new load report is requested.
const FRESH_REPORT: Duration = Duration::from_millis(150);

impl Balancer {
    /// Records that an endpoint responded with `outcome` and reported its load, in requests in
    /// flight; `None` if it reported none. Also called for the responses to the requests in
    /// [`PollResult::load_report_requests`](crate::PollResult::load_report_requests).
    pub fn on_load_report(
        &mut self,
        now: Duration,
        endpoint: usize,
        outcome: Outcome,
        reported_load: Option<f64>,
    ) {
        if endpoint >= self.fleet.len() {
            return;
        }
        let (mut endpoint, hardware) = self.fleet.endpoint_and_type_mut(endpoint);
        if outcome != Outcome::TimedOut {
            endpoint.load.requested_at = None;
        }
        let Some(load) = reported_load.filter(|load| PLAUSIBLE_LOAD.contains(load)) else {
            return;
        };
        endpoint.load.report = Some(LoadReport { load, at: now });
        endpoint.load.sent_since = 0.0;
        if endpoint.is_warm() && endpoint.state == EndpointState::Running {
            hardware.reported_load.update(load, ENDPOINT_TYPE_GAIN);
        }
    }

    /// Expected number of requests in flight at an endpoint: this agent's own, or the reported
    /// number, which reverts to the mean of the endpoint's hardware type as the report ages.
    ///
    /// Prevents many agents from choosing the same idle endpoint because of a stale report.
    pub(super) fn expected_load(&self, now: Duration, endpoint: &Endpoint) -> f64 {
        let own = endpoint.in_flight as f64;
        let type_load = self.fleet.types[endpoint.endpoint_type].reported_load;
        if type_load.samples < 1.0 {
            return own;
        }
        let mean = type_load.value;
        let report = endpoint.load.report.unwrap_or(LoadReport {
            load: mean,
            at: now,
        });
        let age = now.saturating_sub(report.at).as_secs_f64();
        let load = mean + (report.load - mean) * (-age / REPORT_TIME_CONSTANT).exp();
        1.0 + (load + endpoint.load.sent_since).max(own)
    }

    /// Requests load reports from both choices before a first attempt under overload. Returns
    /// whether there is a report to wait for.
    pub(super) fn request_load_reports(
        &mut self,
        now: Duration,
        id: u64,
        choices: &TwoChoices,
    ) -> bool {
        if !self.parameters.load_probes || self.admission.limit.is_none() {
            return false;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        if !request.attempts.is_empty() || request.probed.is_some() {
            return false;
        }
        let probed = [choices.chosen, choices.other];
        request.probed = Some(probed);
        let is_due = probed.map(|index| needs_report(now, self.fleet.endpoint(index)));
        for (index, _) in probed.into_iter().zip(is_due).filter(|(_, due)| *due) {
            self.fleet.endpoint_mut(index).load.requested_at = Some(now);
            self.output.load_report_requests.push(index);
        }
        is_due.contains(&true)
    }
}

fn needs_report(now: Duration, endpoint: &Endpoint) -> bool {
    let reported_at = endpoint.load.report.map(|report| report.at);
    let known_at = reported_at.max(endpoint.load.requested_at);
    known_at.is_none_or(|at| now > at + FRESH_REPORT)
}
