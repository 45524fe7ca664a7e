//! One simulated agent that receives, routes and completes requests, for timing measurements.

use std::time::Duration;
use tulipwall::*;
use tulipwall_testkit::simulation;
use tulipwall_zones::*;

/// The build that all endpoints run.
const BUILD: u32 = 41;
const LOCAL_ZONE: usize = 0;
/// The time between two requests: 3,000 per second.
const REQUEST_INTERVAL: Duration = Duration::from_micros(333);
/// The number of requests per poll: ten polls per second.
const REQUESTS_PER_POLL: u64 = 300;
const BYTES_SENT: u64 = 180;
const BYTES_RECEIVED: u64 = 420;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn deployment(classes: usize) -> Settings {
    let class = || RequestClass {
        latency_objective: ms(400),
        priority_weight: 3.0,
        idempotency: Idempotency::Idempotent,
    };
    Settings {
        agents: 3,
        ..simulation::default_settings((0..classes).map(|_| class()).collect())
    }
}

fn new_balancer(now: Duration, zones: usize, classes: usize, endpoints: usize) -> Balancer {
    let mut balancer = Balancer::new(now, deployment(classes));
    let entry = |endpoint| EndpointEntry {
        endpoint,
        zone: endpoint % zones,
        cell: 0,
        identity: endpoint as u64,
        endpoint_type: 0,
        build: BUILD,
        state: EndpointState::Running,
        started: None,
    };
    let entries: Vec<EndpointEntry> = (0..endpoints).map(entry).collect();
    balancer.update_endpoints(now, &entries, true);
    balancer.update_rollout(RolloutStatus {
        build: BUILD,
        stage: 0,
        phase: RolloutPhase::Released,
        cap: 1.0,
        since: now,
    });
    balancer
}

fn zone_config(zones: usize, classes: usize) -> ZoneConfig {
    let limits = [Limit::Attempts(1e9), Limit::Bytes(1e15), Limit::Share(0.05)];
    let budget = |limit: Limit| Budget {
        name: limit.unit().into(),
        to: None,
        class: None,
        limit,
        window: ms(60_000),
        agent_fraction: 0.3,
    };
    let class = ClassProfile {
        priority_weight: 3.0,
        latency_objective: ms(400),
    };
    ZoneConfig {
        local_zone: LOCAL_ZONE,
        zone_count: zones,
        classes: vec![class; classes],
        links: vec![Link::default(); zones + 1],
        budgets: limits.into_iter().map(budget).collect(),
        routing: RoutingPolicy::LocalFirst,
    }
}

/// An agent with a balancer, and with or without an account of cross-zone traffic.
pub struct Agent {
    now: Duration,
    last_id: u64,
    class_count: usize,
    zone_count: usize,
    balancer: Balancer,
    zones: Option<Zones>,
    shadow: Option<ShadowEvaluator>,
}

impl Agent {
    /// Creates an agent. `with_account` enables the accounting and the budgets of cross-zone
    /// traffic.
    pub fn new(zones: usize, classes: usize, endpoints: usize, with_account: bool) -> Agent {
        let now = ms(3_600_000);
        let config = zone_config(zones, classes);
        Agent {
            now,
            last_id: 0,
            class_count: classes,
            zone_count: zones,
            balancer: new_balancer(now, zones, classes, endpoints),
            zones: with_account.then(|| Zones::new(now, config)),
            shadow: None,
        }
    }

    /// Creates an agent without an account that evaluates alternative settings in parallel.
    #[allow(dead_code)] // not used by `examples/measure.rs`
    pub fn with_shadow(zones: usize, classes: usize, endpoints: usize) -> Agent {
        let alternative = AlternativeSettings {
            guarded_stages: Some(1),
            key_affinity: Some(true),
            ..AlternativeSettings::default()
        };
        let shadow = ShadowEvaluator::new(&deployment(classes), &alternative);
        Agent {
            shadow: Some(shadow),
            ..Agent::new(zones, classes, endpoints, false)
        }
    }

    /// Creates an agent without an account that has a fixed policy with low weights for remote
    /// zones.
    pub fn with_fixed_policy(zones: usize, classes: usize, endpoints: usize) -> Agent {
        let mut agent = Agent::new(zones, classes, endpoints, false);
        let remote = ZonePolicy {
            weight: Some(0.01),
            last_resort: vec![false; classes],
            ..ZonePolicy::default()
        };
        let mut policies = vec![remote; zones + 1];
        policies[LOCAL_ZONE] = ZonePolicy::default();
        agent.balancer.set_cross_zone_policy(CrossZonePolicy {
            zones: policies,
            slow_start_factor: 1.0,
        });
        agent
    }

    /// Processes one request from its arrival to its response.
    pub fn handle_request(&mut self) {
        self.last_id += 1;
        self.now += REQUEST_INTERVAL;
        let id = self.last_id;
        let class = id as usize % self.class_count;
        self.receive(id, class);
        if let Decision::Forward { endpoint, .. } = self.balancer.route(self.now, id) {
            self.forward(id, class, endpoint);
        }
        if id.is_multiple_of(REQUESTS_PER_POLL) {
            self.poll();
        }
    }

    fn receive(&mut self, id: u64, class: usize) {
        if let Some(zones) = &mut self.zones {
            zones.on_request(self.now, class);
        }
        let request = Request {
            class,
            tenant: None,
            key: Some(id),
            time_left: ms(1500),
            estimated_work: None,
            is_retry: false,
        };
        self.balancer.on_request(self.now, id, request);
        if let Some(shadow) = &mut self.shadow {
            shadow.on_request(&self.balancer, class);
        }
    }

    fn forward(&mut self, id: u64, class: usize, endpoint: usize) {
        if let Some(shadow) = &mut self.shadow {
            shadow.on_attempt(self.now, &self.balancer, class, Some(id), endpoint);
        }
        let zone = endpoint % self.zone_count;
        let reservation = self.start_attempt(class, zone);
        self.apply_policy();
        let latency = Duration::from_micros(9000 + zone as u64 * 2000);
        if let (Some(zones), Some(reservation)) = (&mut self.zones, reservation) {
            let end = CompletedAttempt {
                outcome: Outcome::Succeeded,
                fault: ResponseFault::None,
                fully_written: true,
                bytes_sent: BYTES_SENT,
                bytes_received: BYTES_RECEIVED,
                latency,
            };
            zones.on_attempt_end(self.now, &reservation, &end);
        }
        let end = AttemptEnd {
            outcome: Outcome::Succeeded,
            latency,
            request_closed: true,
            reported_load: None,
        };
        self.balancer.on_attempt_end(self.now, id, 0, end);
    }

    fn start_attempt(&mut self, class: usize, to: usize) -> Option<Reservation> {
        let attempt = AttemptStart {
            to,
            class,
            build: BUILD,
            previous_attempts: 0,
            hedged: false,
            is_canary: false,
            pinned_to_scope: false,
        };
        let zones = self.zones.as_mut()?;
        let counts = |zone| self.balancer.zone_counts(self.now, zone);
        Some(zones.on_attempt(self.now, attempt, counts))
    }

    fn poll(&mut self) {
        self.balancer.poll(self.now);
        if let Some(zones) = &mut self.zones {
            let capacities = self.balancer.zone_capacities(self.now, self.zone_count + 1);
            zones.tick(self.now, &capacities);
        }
        self.apply_policy();
    }

    fn apply_policy(&mut self) {
        let policy = self.zones.as_mut().and_then(Zones::cross_zone_policy);
        if let Some(policy) = policy {
            self.balancer.set_cross_zone_policy(policy);
        }
    }
}
