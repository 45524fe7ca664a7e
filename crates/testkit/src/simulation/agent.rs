//! A simulated agent: the real balancer and zones, with the state of the agent's requests.

use super::checks::{AnswerCheck, DrainCheck, ExposureCheck};
use super::client::ClientRequest;
use super::{ClientBehavior, SimulatedAgent, Simulation, START};
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::{Balancer, EndpointEntry, Outcome, Settings};
use tulipwall_client_policy::{RetryController, RetryPolicy};
use tulipwall_zones::{Reservation, Zones};

/// Spacing of the agents' seeds between successive simulation seeds, so that agents of different
/// simulations get different seeds.
const SEED_STRIDE: u64 = 1_000_003;

pub(super) struct Agent {
    pub zone: usize,
    pub balancer: Balancer,
    pub zones: Option<Zones>,
    /// The retry controller of the agent's clients.
    pub retries: RetryController,
    pub open: BTreeMap<u64, OpenRequest>,
    pub stalled_until: Duration,
    /// Whether a connection is open, by endpoint.
    pub connected: Vec<bool>,
    pub drains: DrainCheck,
    pub exposure: ExposureCheck,
    next_request: u64,
}

/// A request that is not yet answered or that has attempts in flight.
pub(super) struct OpenRequest {
    pub class: usize,
    pub received: Duration,
    pub attempts: Vec<SimulatedAttempt>,
    pub answer: AnswerCheck,
    /// When the balancer decides on the request again; `None` if no recheck is scheduled.
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
    /// Creates agent `index` of a simulation. It knows `endpoints` from the beginning.
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

    /// Returns the id for a new request.
    pub fn next_request_id(&mut self) -> u64 {
        let id = self.next_request;
        self.next_request += 1;
        id
    }

    /// Whether this attempt exists and has not ended.
    pub fn is_in_flight(&self, request: u64, attempt: usize) -> bool {
        let request = self.open.get(&request);
        request
            .and_then(|open| open.attempts.get(attempt))
            .is_some_and(|attempt| !attempt.ended)
    }

    /// Records the end of an attempt; `None` if the attempt does not exist. If it ended without a
    /// reply, its connection is closed.
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

    /// Removes a request that is answered and has no attempts in flight.
    pub fn remove_if_complete(&mut self, request: u64) {
        let complete = self.open.get(&request).is_some_and(|open| {
            open.answer.is_answered() && open.attempts.iter().all(|attempt| attempt.ended)
        });
        if complete {
            self.open.remove(&request);
        }
    }

    /// Passes the zones' cross-zone policy to the balancer if it has changed.
    pub fn apply_cross_zone_policy(&mut self) {
        if let Some(policy) = self.zones.as_mut().and_then(Zones::cross_zone_policy) {
            self.balancer.set_cross_zone_policy(policy);
        }
    }
}

/// Returns the settings of one agent, with the injected idempotency faults applied.
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
