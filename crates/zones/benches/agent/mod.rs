//! One agent that takes requests, places them and hears their outcomes, to be timed.

use std::time::Duration;
use tulipwall::*;
use tulipwall_testkit::day;
use tulipwall_zones::*;

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
        ..day::deployment((0..classes).map(|_| class()).collect())
    }
}

pub struct Agent {
    now: Duration,
    id: u64,
    classes: usize,
    pub choice: Balancer,
    zones: Option<Zones>,
    watch: Option<ShadowEvaluator>,
    build: u32,
    of_zone: usize,
}

impl Agent {
    pub fn new(zones: usize, classes: usize, endpoints: usize, zoned: bool) -> Agent {
        let now = ms(3_600_000);
        let mut choice = Balancer::new(now, deployment(classes));
        let listed = |endpoint| EndpointEntry {
            endpoint,
            zone: endpoint % zones,
            cell: 0,
            identity: endpoint as u64,
            endpoint_type: 0,
            build: 41,
            state: EndpointState::Running,
            started: None,
        };
        choice.update_endpoints(now, &(0..endpoints).map(listed).collect::<Vec<_>>(), true);
        choice.update_rollout(RolloutStatus {
            build: 41,
            stage: 0,
            phase: RolloutPhase::Released,
            cap: 1.0,
            since: now,
        });
        let limits = [Limit::Attempts(1e9), Limit::Bytes(1e15), Limit::Share(0.05)];
        let budget = |limit: Limit| Budget {
            name: limit.unit().into(),
            to: None,
            class: None,
            limit,
            window: ms(60_000),
            agent_fraction: 0.3,
        };
        let zoning = ZoneConfig {
            local_zone: 0,
            zone_count: zones,
            classes: vec![
                ClassProfile {
                    priority_weight: 3.0,
                    latency_objective: ms(400)
                };
                classes
            ],
            links: vec![Link::default(); zones + 1],
            budgets: limits.into_iter().map(budget).collect(),
            routing: RoutingPolicy::LocalFirst,
        };
        let zones_told = zoned.then(|| Zones::new(now, zoning));
        Agent {
            now,
            id: 0,
            classes,
            choice,
            zones: zones_told,
            watch: None,
            build: 41,
            of_zone: zones,
        }
    }

    /// Watches settings of another shape beside.
    #[allow(dead_code)] // `examples/measure.rs` has no use for it
    pub fn watched(zones: usize, classes: usize, endpoints: usize) -> Agent {
        let shape = AlternativeSettings {
            guarded_stages: Some(1),
            key_affinity: Some(true),
            ..AlternativeSettings::default()
        };
        let watch = Some(ShadowEvaluator::new(&deployment(classes), &shape));
        Agent {
            watch,
            ..Agent::new(zones, classes, endpoints, false)
        }
    }

    /// One request from its coming to its answer, at 3,000 a second.
    pub fn command(&mut self) {
        self.id += 1;
        self.now += Duration::from_micros(333);
        let (id, now) = (self.id, self.now);
        let class = id as usize % self.classes;
        if let Some(z) = &mut self.zones {
            z.on_request(now, class);
        }
        self.choice.on_request(
            now,
            id,
            Request {
                class,
                tenant: None,
                key: Some(id),
                time_left: ms(1500),
                estimated_work: None,
                is_retry: false,
            },
        );
        if let Some(w) = &mut self.watch {
            w.on_request(&self.choice, class);
        }
        if let Decision::Forward { endpoint, .. } = self.choice.route(now, id) {
            if let Some(w) = &mut self.watch {
                w.on_attempt(now, &self.choice, class, Some(id), endpoint);
            }
            let to = endpoint % self.of_zone;
            let sending = AttemptStart {
                to,
                class,
                build: self.build,
                previous_attempts: 0,
                hedged: false,
                is_canary: false,
                pinned_to_scope: false,
            };
            let ticket = self.zones.as_mut().map(|z| {
                z.on_attempt(now, sending, || {
                    self.choice.zone_capacities(now, self.of_zone + 1)
                })
            });
            self.tell();
            let took = Duration::from_micros(9000 + to as u64 * 2000);
            let end = CompletedAttempt {
                outcome: Outcome::Succeeded,
                fault: ResponseFault::None,
                fully_written: true,
                bytes_sent: 180,
                bytes_received: 420,
                latency: took,
            };
            if let (Some(z), Some(t)) = (&mut self.zones, ticket) {
                z.on_attempt_end(now, &t, &end);
            }
            self.choice.on_attempt_end(
                now,
                id,
                0,
                AttemptEnd {
                    outcome: Outcome::Succeeded,
                    latency: took,
                    request_closed: true,
                    reported_load: None,
                },
            );
        }
        if id.is_multiple_of(300) {
            self.choice.poll(now);
            if let Some(z) = &mut self.zones {
                z.tick(now, &self.choice.zone_capacities(now, self.of_zone + 1));
            }
            self.tell();
        }
    }

    fn tell(&mut self) {
        if let Some(told) = self.zones.as_mut().and_then(Zones::cross_zone_policy) {
            self.choice.set_cross_zone_policy(told);
        }
    }
}

/// The same as [`Agent::new`] without an account, told once that crossing is dear.
impl Agent {
    pub fn told(zones: usize, classes: usize, endpoints: usize) -> Agent {
        let mut agent = Agent::new(zones, classes, endpoints, false);
        let far = ZonePolicy {
            weight: Some(0.01),
            last_resort: vec![false; classes],
            ..ZonePolicy::default()
        };
        let zones = (0..=zones).map(|z| {
            if z == 0 {
                ZonePolicy::default()
            } else {
                far.clone()
            }
        });
        agent.choice.set_cross_zone_policy(CrossZonePolicy {
            zones: zones.collect(),
            slow_start_factor: 1.0,
        });
        agent
    }
}
