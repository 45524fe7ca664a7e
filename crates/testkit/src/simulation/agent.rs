//! A simulated agent: the real balancer and zones, with what its requests are up to.

use super::checks::{AnswerCheck, DrainCheck, ExposureCheck};
use super::client::ClientRequest;
use super::{ClientBehavior, SimulatedAgent, Simulation, START};
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::{Balancer, EndpointEntry, Outcome, Settings};
use tulipwall_client_policy::{RetryController, RetryPolicy};
use tulipwall_zones::{Reservation, Zones};

/// Spreads the seeds of agents.
const SEED_STRIDE: u64 = 1_000_003;

pub(super) struct Agent {
    pub zone: usize,
    pub balancer: Balancer,
    pub zones: Option<Zones>,
    /// The retry policy of its clients.
    pub retries: RetryController,
    pub open: BTreeMap<u64, OpenRequest>,
    pub stalled_until: Duration,
    /// By endpoint: whether a connection is open to it.
    pub connected: Vec<bool>,
    pub drains: DrainCheck,
    pub exposure: ExposureCheck,
    next_request: u64,
}

/// A request that has no answer yet, or attempts that have not ended.
pub(super) struct OpenRequest {
    pub class: usize,
    pub received: Duration,
    pub attempts: Vec<SimulatedAttempt>,
    pub answer: AnswerCheck,
    /// When the balancer is asked again.
    pub recheck_at: Option<Duration>,
    pub client: ClientRequest,
}

pub(super) struct SimulatedAttempt {
    pub endpoint: usize,
    pub sent: Duration,
    pub ended: bool,
    pub reservation: Option<Reservation>,
}

/// An attempt that has just ended.
pub(super) struct EndedAttempt {
    pub latency: Duration,
    pub reservation: Option<Reservation>,
}

impl Agent {
    /// Agent `index` of a simulation, which knows the endpoints from the beginning.
    pub fn new(
        simulation: &Simulation,
        index: usize,
        spec: &SimulatedAgent,
        endpoints: &[EndpointEntry],
    ) -> Agent {
        let seed = simulation
            .seed
            .wrapping_mul(SEED_STRIDE)
            .wrapping_add(index as u64);
        let mut balancer = Balancer::new(START, agent_settings(simulation, spec.zone, seed));
        balancer.update_endpoints(START, endpoints, true);
        if let Some(status) = &simulation.rollout_status {
            balancer.update_rollout(status.clone());
        }
        let retry_policy = match &simulation.client_behavior {
            ClientBehavior::PolicyRetries(policy) => policy.clone(),
            ClientBehavior::NoRetries | ClientBehavior::FixedRetries { .. } => {
                RetryPolicy::default()
            }
        };
        Agent {
            zone: spec.zone,
            balancer,
            zones: spec.zoning.clone().map(|zoning| Zones::new(START, zoning)),
            retries: RetryController::new(retry_policy, 1, seed),
            open: BTreeMap::new(),
            stalled_until: START,
            connected: vec![false; endpoints.len()],
            drains: DrainCheck::default(),
            exposure: ExposureCheck::default(),
            next_request: 0,
        }
    }

    /// The id of the next request.
    pub fn next_request_id(&mut self) -> u64 {
        let id = self.next_request;
        self.next_request += 1;
        id
    }

    /// Whether this attempt is known and has not ended.
    pub fn is_in_flight(&self, request: u64, attempt: usize) -> bool {
        let request = self.open.get(&request);
        request
            .and_then(|open| open.attempts.get(attempt))
            .is_some_and(|attempt| !attempt.ended)
    }

    /// Notes the end of an attempt. A connection on which the end was no reply is closed.
    pub fn end_attempt(
        &mut self,
        now: Duration,
        request: u64,
        attempt: usize,
        outcome: Outcome,
    ) -> Option<EndedAttempt> {
        let attempt = self.open.get_mut(&request)?.attempts.get_mut(attempt)?;
        attempt.ended = true;
        let replied = matches!(
            outcome,
            Outcome::Succeeded | Outcome::Failed | Outcome::Rejected
        );
        if !replied {
            self.connected[attempt.endpoint] = false;
        }
        Some(EndedAttempt {
            latency: now.saturating_sub(attempt.sent),
            reservation: attempt.reservation.take(),
        })
    }

    /// Drops a request that is answered and whose attempts have all ended.
    pub fn forget_if_over(&mut self, request: u64) {
        let over = self.open.get(&request).is_some_and(|open| {
            open.answer.is_answered() && open.attempts.iter().all(|attempt| attempt.ended)
        });
        if over {
            self.open.remove(&request);
        }
    }

    /// Hands the policy of its zones to its balancer, where there is a new one.
    pub fn apply_cross_zone_policy(&mut self) {
        if let Some(policy) = self.zones.as_mut().and_then(Zones::cross_zone_policy) {
            self.balancer.set_cross_zone_policy(policy);
        }
    }
}

/// The settings of one agent, with the faults that are injected there.
fn agent_settings(simulation: &Simulation, zone: usize, seed: u64) -> Settings {
    let mut settings = Settings {
        seed,
        zone,
        agents: simulation.agents.len() as u32,
        ..simulation.settings.clone()
    };
    for (class, idempotency) in &simulation.injected_faults.idempotency {
        settings.classes[*class].idempotency = *idempotency;
    }
    settings
}
