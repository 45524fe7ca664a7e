//! One agent that takes commands, places them and hears their outcomes, to be timed.

use std::time::Duration;
use tulipwall::*;
use tulipwall_testkit::day;
use tulipwall_zones::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn deployment(lanes: usize) -> Deployment {
    let lane = || Lane {
        quoted: ms(400),
        benefit: 3.0,
        repeats: Repeats::Idempotent,
    };
    Deployment {
        agents: 3,
        ..day::deployment((0..lanes).map(|_| lane()).collect())
    }
}

pub struct Agent {
    now: Duration,
    id: u64,
    lanes: usize,
    pub choice: Choice,
    zones: Option<Zones>,
    watch: Option<Watch>,
    build: u32,
    of_zone: usize,
}

impl Agent {
    pub fn new(zones: usize, lanes: usize, appliances: usize, zoned: bool) -> Agent {
        let now = ms(3_600_000);
        let mut choice = Choice::new(now, deployment(lanes));
        let listed = |appliance| Listed {
            appliance,
            zone: appliance % zones,
            cell: 0,
            mark: appliance as u64,
            kind: 0,
            build: 41,
            standing: Standing::Running,
            started: None,
        };
        choice.list(now, &(0..appliances).map(listed).collect::<Vec<_>>(), true);
        choice.news(News {
            build: 41,
            stage: 0,
            phase: Phase::Released,
            cap: 1.0,
            began: now,
        });
        let limits = [
            Limit::Deliveries(1e9),
            Limit::Bytes(1e15),
            Limit::Share(0.05),
        ];
        let budget = |limit: Limit| Budget {
            name: limit.unit().into(),
            to: None,
            lane: None,
            limit,
            window: ms(60_000),
            part: 0.3,
        };
        let zoning = Zoning {
            own: 0,
            zones,
            lanes: vec![
                LaneView {
                    benefit: 3.0,
                    quoted: ms(400)
                };
                lanes
            ],
            links: vec![Link::default(); zones + 1],
            budgets: limits.into_iter().map(budget).collect(),
            routing: Routing::NearFirst,
        };
        let zones_told = zoned.then(|| Zones::new(now, zoning));
        Agent {
            now,
            id: 0,
            lanes,
            choice,
            zones: zones_told,
            watch: None,
            build: 41,
            of_zone: zones,
        }
    }

    /// Watches settings of another shape beside.
    #[allow(dead_code)] // `examples/measure.rs` has no use for it
    pub fn watched(zones: usize, lanes: usize, appliances: usize) -> Agent {
        let shape = Shape {
            guarded_stages: Some(1),
            warm_keys: Some(true),
            ..Shape::default()
        };
        let watch = Some(Watch::new(&deployment(lanes), &shape));
        Agent {
            watch,
            ..Agent::new(zones, lanes, appliances, false)
        }
    }

    /// One command from its coming to its answer, at 3,000 a second.
    pub fn command(&mut self) {
        self.id += 1;
        self.now += Duration::from_micros(333);
        let (id, now) = (self.id, self.now);
        let lane = id as usize % self.lanes;
        if let Some(z) = &mut self.zones {
            z.taken(now, lane);
        }
        self.choice.take(
            now,
            id,
            Command {
                lane,
                customer: None,
                key: Some(id),
                left: ms(1500),
                work: None,
                again: false,
            },
        );
        if let Some(w) = &mut self.watch {
            w.take(&self.choice, lane);
        }
        if let Answer::Send { appliance, .. } = self.choice.place(now, id) {
            if let Some(w) = &mut self.watch {
                w.sent(now, &self.choice, lane, Some(id), appliance);
            }
            let to = appliance % self.of_zone;
            let sending = Sending {
                to,
                lane,
                build: self.build,
                nth: 0,
                second_copy: false,
                trial: false,
                bound: false,
            };
            let ticket = self
                .zones
                .as_mut()
                .map(|z| z.sent(now, sending, || self.choice.rooms(now, self.of_zone + 1)));
            self.tell();
            let took = Duration::from_micros(9000 + to as u64 * 2000);
            let end = Ended {
                outcome: Outcome::Satisfied,
                flaw: Flaw::None,
                written: true,
                out: 180,
                back: 420,
                took,
            };
            if let (Some(z), Some(t)) = (&mut self.zones, ticket) {
                z.ended(now, &t, &end);
            }
            self.choice.after(
                now,
                id,
                0,
                End {
                    outcome: Outcome::Satisfied,
                    took,
                    closed: true,
                    held: None,
                },
            );
        }
        if id.is_multiple_of(300) {
            self.choice.wait(now);
            if let Some(z) = &mut self.zones {
                z.step(now, &self.choice.rooms(now, self.of_zone + 1));
            }
            self.tell();
        }
    }

    fn tell(&mut self) {
        if let Some(told) = self.zones.as_mut().and_then(Zones::crossings) {
            self.choice.crossings(told);
        }
    }
}

/// The same as [`Agent::new`] without an account, told once that crossing is dear.
impl Agent {
    pub fn told(zones: usize, lanes: usize, appliances: usize) -> Agent {
        let mut agent = Agent::new(zones, lanes, appliances, false);
        let far = Crossing {
            draw: Some(0.01),
            last: vec![false; lanes],
            ..Crossing::default()
        };
        let zones = (0..=zones).map(|z| {
            if z == 0 {
                Crossing::default()
            } else {
                far.clone()
            }
        });
        agent.choice.crossings(Crossings {
            zones: zones.collect(),
            cold: 1.0,
        });
        agent
    }
}
