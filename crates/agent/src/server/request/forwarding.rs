//! Starting the attempts that the balancer decides on.

use super::in_flight::{InFlightAttempt, PendingResponse};
use super::ActiveRequest;
use crate::upstream::attempt::{send_attempt, AttemptPlan, AttemptResponse};
use crate::upstream::transfer_meter::TransferMeter;
use std::rc::Rc;
use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency, Outcome};
use tulipwall_discovery::endpoint_table::AttemptTarget;
use tulipwall_zones::AttemptStart;

impl ActiveRequest {
    /// Starts an attempt, which `next_event` polls from then on.
    pub(super) fn start_attempt(&mut self, endpoint: usize, timeout: Duration) {
        let decided_at = self.agent.clock.now();
        let timeout_at = decided_at + timeout;
        let attempt = match self.agent.endpoints.target(endpoint) {
            Some(target) => self.forward(target, decided_at, timeout_at),
            None => self.attempt_to_missing_endpoint(decided_at, timeout_at),
        };
        self.attempts.push(attempt);
    }

    fn forward(
        &self,
        target: AttemptTarget,
        decided_at: Duration,
        timeout_at: Duration,
    ) -> InFlightAttempt {
        let agent = &self.agent;
        let start = AttemptStart {
            to: target.zone,
            class: self.class,
            build: target.build,
            previous_attempts: self.attempts.count(),
            hedged: self.attempts.any_in_flight(),
            is_canary: agent.balancer.is_canary(target.build),
            pinned_to_scope: self.may_have_run && is_scoped(self.idempotency),
        };
        let config = agent.service_config();
        let reservation = agent
            .zone_traffic
            .on_attempt(decided_at, start, |zone| agent.balancer.zone_counts(zone));
        if target.zone != config.settings.zone {
            agent.apply_cross_zone_policy();
        }
        let plan = AttemptPlan {
            request_id: self.id,
            attempt: self.attempts.count(),
            target,
            rollout_revision: agent.balancer.rollout_revision(),
            timeout_at,
            retained_index: agent.endpoints.retain_index(target.endpoint),
        };
        let meter = Rc::new(TransferMeter::default());
        InFlightAttempt {
            decided_at,
            timeout_at,
            class: self.class,
            build: target.build,
            reservation,
            response: self.response_future(plan, meter.clone()),
            meter,
        }
    }

    fn response_future(&self, plan: AttemptPlan, meter: Rc<TransferMeter>) -> PendingResponse {
        let agent = self.agent.clone();
        let statement = self.statement.clone();
        Box::pin(async move { send_attempt(&agent, &statement, plan, &meter).await })
    }

    /// Returns an attempt that ends at once, for an endpoint that has been removed since the
    /// balancer was informed of it.
    fn attempt_to_missing_endpoint(
        &self,
        decided_at: Duration,
        timeout_at: Duration,
    ) -> InFlightAttempt {
        InFlightAttempt {
            decided_at,
            timeout_at,
            class: self.class,
            build: 0,
            meter: Rc::default(),
            reservation: None,
            response: Box::pin(async { AttemptResponse::without_value(Outcome::NotSent) }),
        }
    }
}

/// Returns whether a request that may have run must stay in its zone or cell.
fn is_scoped(idempotency: Idempotency) -> bool {
    matches!(
        idempotency,
        Idempotency::Keyed {
            scope: DeduplicationScope::Zone | DeduplicationScope::Cell,
            ..
        }
    )
}
