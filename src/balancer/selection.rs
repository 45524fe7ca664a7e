//! The criteria for all candidates of one attempt, and the rules on which endpoints may take it.

use super::Balancer;
use crate::interface::Idempotency;
use crate::model::{ActiveRequest, Endpoint, RetryScope};
use std::time::Duration;

/// Minimum share of their load that endpoints of the earlier build keep, if they are removed at the
/// release.
const MIN_EARLIER_SHARE: f64 = 0.05;
/// Share of the mean load of an endpoint that endpoints of a regressed canary still get, so that a
/// recovery of the build can be observed.
const REGRESSED_SHARE: f64 = 0.1;
/// Estimated work above which a request is heavy, as a share of the latency objective.
const HEAVY_WORK_SHARE: f64 = 0.2;

/// Criteria that apply to all candidates for one attempt.
pub(super) struct Selection<'a> {
    pub now: Duration,
    /// Latest time at which the attempt is written.
    pub written_at: Duration,
    pub request: &'a ActiveRequest,
    pub idempotency: Idempotency,
    /// Whether running the request twice could have a visible effect.
    pub has_effect: bool,
    pub is_retry: bool,
    pub is_heavy: bool,
    /// Where the request may be retried.
    pub retry_scope: RetryScope,
    /// The oldest build that may serve the request.
    pub minimum_build: u32,
    pub stall_timeout: Duration,
    pub shares: FleetShares,
}

/// How the load is divided between builds.
pub(super) struct FleetShares {
    /// Number of running endpoints.
    pub running: f64,
    /// Mean weight of a running endpoint by its zone.
    mean_zone_weight: f64,
    /// Share of its load that an endpoint of the earlier build keeps, 0 to 1.
    earlier_share: f64,
}

/// Status of a build in the rollout.
#[derive(Clone, Copy)]
pub(super) struct BuildStatus {
    pub is_canary: bool,
    pub is_regressed: bool,
}

impl Balancer {
    pub(super) fn selection<'a>(&self, now: Duration, request: &'a ActiveRequest) -> Selection<'a> {
        let rules = &self.classes[request.class].rules;
        let heavy_work = rules.latency_objective * HEAVY_WORK_SHARE;
        let written_at = now + self.parameters.timer_granularity;
        Selection {
            now,
            written_at,
            request,
            idempotency: rules.idempotency,
            has_effect: rules.idempotency != Idempotency::Idempotent,
            is_retry: !request.attempts.is_empty(),
            is_heavy: request
                .estimated_work
                .is_some_and(|work| work.as_secs_f64() > heavy_work),
            retry_scope: request.retry_scope(rules.idempotency, written_at),
            minimum_build: self.minimum_build(request),
            stall_timeout: self.stall_timeout(),
            shares: self.fleet_shares(now),
        }
    }

    /// Computes how the load is divided between builds. Endpoints of the earlier build that are
    /// removed at the release cede their load to those of the canary, unless a build is regressed.
    fn fleet_shares(&self, now: Duration) -> FleetShares {
        let index = self.fleet.index();
        let running = index.total().running as f64;
        let mut earlier_endpoints = 0.0;
        let mut canary_capacity = 0.0;
        for build in index.builds() {
            let endpoints = index.of_build(build);
            if self.rollout.is_canary(build) {
                canary_capacity += endpoints.warm as f64 + self.warming_capacity(now, build);
            } else {
                earlier_endpoints += endpoints.running as f64;
            }
        }
        let zone_weights: f64 = index
            .zones()
            .map(|(zone, endpoints)| endpoints.running as f64 * self.zone_weight(zone))
            .sum();
        let earlier_stay =
            self.parameters.rollout.in_place || self.rollout.builds.values().any(|b| b.regressed);
        let earlier_share = if earlier_stay {
            1.0
        } else {
            (1.0 - canary_capacity / f64::max(earlier_endpoints, 1.0)).max(MIN_EARLIER_SHARE)
        };
        FleetShares {
            running,
            mean_zone_weight: zone_weights / f64::max(running, 1.0),
            earlier_share,
        }
    }

    /// Whether the rules allow this endpoint to take the request at all.
    pub(super) fn is_eligible(&self, selection: &Selection, endpoint: &Endpoint) -> bool {
        let request = selection.request;
        let number = request.attempts.len();
        self.may_use_build(selection, endpoint.build)
            && request.is_deduplicated_at(
                number,
                selection.idempotency,
                endpoint,
                selection.written_at,
            )
            && (endpoint.is_warm() || endpoint.slow_start.allows_attempt())
    }

    /// Whether the rules allow endpoints of this build to take the request.
    pub(super) fn may_use_build(&self, selection: &Selection, build: u32) -> bool {
        build >= selection.minimum_build && self.may_expose(build, selection.request.class)
    }

    pub(super) fn build_status(&self, build: u32) -> BuildStatus {
        BuildStatus {
            is_canary: self.rollout.is_canary(build),
            is_regressed: self.rollout.is_regressed(build),
        }
    }

    /// Share of its full load that an endpoint gets by its build and zone. A canary gets the mean
    /// share in every zone, and a regressed canary a small part of it.
    pub(super) fn build_share(
        &self,
        shares: &FleetShares,
        status: BuildStatus,
        zone: usize,
    ) -> f64 {
        match (status.is_canary, status.is_regressed) {
            (true, true) => shares.mean_zone_weight * REGRESSED_SHARE,
            (true, false) => shares.mean_zone_weight,
            (false, _) => self.zone_weight(zone) * shares.earlier_share,
        }
    }
}
