//! One run: a scenario at one point and seed, played and measured.

use crate::records::Record;
use crate::scenario::{ClientKind, FaultKind, Scenario, Value};
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::{EndpointState, RequestClass, Settings};
use tulipwall_client_policy::RetryPolicy;
use tulipwall_testkit::simulation::{
    self, ClientBehavior, RolloutPlan, ScenarioEvent, SimulatedAgent, SimulatedEndpoint,
    Simulation, SimulationReport,
};
use tulipwall_zones::{Budget, Limit, RoutingPolicy, ZoneConfig};

const OLD: u32 = 41;
const NEW: u32 = 42;
const SAME_ZONE: Duration = Duration::from_micros(150);
const OTHER_ZONE: Duration = Duration::from_micros(500);
/// The window of a share.
const WINDOW: Duration = Duration::from_secs(10);

/// The day of a scenario.
pub fn day(s: &Scenario, seed: u64) -> Simulation {
    let zones = s.zones.len();
    let mut nodes: Vec<SimulatedEndpoint> = Vec::new();
    let mut of_zone = vec![Vec::new(); zones];
    for (zone, z) in s.zones.iter().enumerate() {
        for _ in 0..z.endpoints {
            of_zone[zone].push(nodes.len());
            nodes.push(SimulatedEndpoint::new(zone, OLD, z.cores));
        }
    }
    let offering = s.offer.as_ref().map(|o| {
        let mut own = Vec::new();
        for n in 0..o.endpoints {
            let zone = n % zones;
            own.push(nodes.len());
            let new = SimulatedEndpoint::new(zone, NEW, s.zones[zone].cores);
            nodes.push(SimulatedEndpoint {
                work_factor: o.slowness,
                failure_rate: o.fails,
                state: EndpointState::Gone,
                ..new
            });
        }
        // A twentieth of the agents must agree.
        let back_votes = (s.agents as f64 * 0.05).ceil() as usize;
        RolloutPlan {
            build: NEW,
            starts_at: o.at,
            caps: o.stages.clone(),
            stage_duration: o.step,
            endpoints: own,
            votes_to_roll_back: back_votes,
        }
    });
    // Agents in turn in each zone; unequal ones from one plus the spread down to one less it.
    let part = |n: usize| 1.0 + s.spread * (1.0 - 2.0 * n as f64 / (s.agents.max(2) - 1) as f64);
    let caller = |n: usize| {
        let zone = n % zones;
        let zoning = (s.near_first || s.share.is_some()).then(|| zoning(s, zone));
        SimulatedAgent {
            zone,
            load_share: part(n).max(0.0),
            zoning,
        }
    };
    let agents: Vec<SimulatedAgent> = (0..s.agents).map(caller).collect();
    let mut day = Simulation::small(agents, nodes, s.rate, s.span, seed);
    day.link_delays = (0..=zones)
        .map(|from| (0..=zones).map(|to| way(s, from, to)).collect())
        .collect();
    day.settings = deployment(s);
    day.mean_work = s.classes.iter().map(|l| l.work).collect();
    day.classes = s.classes.iter().map(|l| (l.weight, l.expiry)).collect();
    (day.fixed_work_share, day.link_loss, day.notification_delay) = (s.steady, s.loss, s.told_late);
    day.client_behavior = match s.clients {
        ClientKind::Open => ClientBehavior::NoRetries,
        ClientKind::Naive => ClientBehavior::FixedRetries {
            pause: Duration::from_millis(50),
            max_attempts: 20,
        },
        ClientKind::Careful => ClientBehavior::PolicyRetries(RetryPolicy::default()),
    };
    day.rollout_plan = offering;
    day.events = script(s, &of_zone);
    day
}

fn way(s: &Scenario, from: usize, to: usize) -> Duration {
    let said = s
        .ways
        .iter()
        .rev()
        .find(|w| (w.0, w.1) == (from, to))
        .map(|w| w.2);
    said.unwrap_or(if from == to { SAME_ZONE } else { OTHER_ZONE })
}

fn zoning(s: &Scenario, own: usize) -> ZoneConfig {
    let budget = |share| Budget {
        name: "share".into(),
        to: None,
        class: None,
        limit: Limit::Share(share),
        window: WINDOW,
        agent_fraction: 1.0,
    };
    let budgets = s.share.into_iter().map(budget).collect();
    let zoning = simulation::default_zoning(&deployment(s).classes, own, s.zones.len(), budgets);
    ZoneConfig {
        routing: if s.near_first {
            RoutingPolicy::LocalFirst
        } else {
            RoutingPolicy::BalancerDefault
        },
        ..zoning
    }
}

fn deployment(s: &Scenario) -> Settings {
    let class = |l: &crate::scenario::RequestClass| RequestClass {
        latency_objective: l.latency_objective,
        priority_weight: l.priority_weight,
        idempotency: l.idempotency,
    };
    let mut d = simulation::default_settings(s.classes.iter().map(class).collect());
    d.rollout.caps = s.offer.as_ref().map_or(vec![1.0], |o| o.stages.clone());
    d.rollout.votes_to_roll_back = (s.agents as f64 * 0.05).ceil() as u32;
    d
}

fn script(s: &Scenario, of_zone: &[Vec<usize>]) -> Vec<(Duration, ScenarioEvent)> {
    let mut script = Vec::new();
    for f in &s.faults {
        let zones: Vec<usize> = f.zone.map_or((0..of_zone.len()).collect(), |z| vec![z]);
        let on: Vec<usize> = zones
            .iter()
            .flat_map(|z| of_zone[*z].iter().take(f.most).copied())
            .collect();
        let end = f.lasts.map(|t| f.at + t);
        let mut each = |begin: &dyn Fn(usize) -> ScenarioEvent,
                        over: &dyn Fn(usize) -> ScenarioEvent| {
            script.extend(on.iter().map(|n| (f.at, begin(*n))));
            script.extend(
                end.into_iter()
                    .flat_map(|t| on.iter().map(move |n| (t, over(*n)))),
            );
        };
        match f.kind {
            FaultKind::Slow(by) => each(&|n| ScenarioEvent::SetWorkFactor(n, by), &|n| {
                ScenarioEvent::SetWorkFactor(n, 1.0)
            }),
            FaultKind::Fail(part) => each(&|n| ScenarioEvent::SetFailureRate(n, part), &|n| {
                ScenarioEvent::SetFailureRate(n, 0.0)
            }),
            FaultKind::Drain => each(
                &|n| ScenarioEvent::SetState(n, EndpointState::Draining),
                &ScenarioEvent::Restart,
            ),
            FaultKind::Gone => each(
                &|n| ScenarioEvent::SetState(n, EndpointState::Gone),
                &ScenarioEvent::Restart,
            ),
            FaultKind::Mute => each(&|n| ScenarioEvent::SetUnresponsive(n, true), &|n| {
                ScenarioEvent::SetUnresponsive(n, false)
            }),
            FaultKind::Stall => {
                let span = f.lasts.unwrap_or(Duration::from_secs(1));
                script.extend((0..s.agents).map(|a| (f.at, ScenarioEvent::StallAgent(a, span))));
            }
            FaultKind::Burst(by) => {
                script.push((f.at, ScenarioEvent::SetRequestRate(s.rate * by)));
                script.extend(end.map(|t| (t, ScenarioEvent::SetRequestRate(s.rate))));
            }
        }
    }
    script
}

/// Plays one run and measures it.
pub fn run(s: &Scenario, point: usize, values: &[(String, Value)], seed: u64) -> Record {
    let played = day(&s.at(values), seed).run();
    Record {
        point,
        values: values
            .iter()
            .map(|(k, v)| (k.clone(), v.to_string()))
            .collect(),
        seed,
        figures: figures(&s.at(values), &played),
        delays_us: played
            .latencies
            .iter_recorded()
            .map(|v| (v.value_iterated_to(), v.count_at_value()))
            .collect(),
        digest: played.digest,
        broken: played
            .violations
            .iter()
            .take(5)
            .map(ToString::to_string)
            .collect(),
    }
}

/// What is measured of a run. Shares are of requests as they first came.
fn figures(s: &Scenario, p: &SimulationReport) -> BTreeMap<String, f64> {
    let seconds = s.span.as_secs() as usize;
    let sum = |from: usize,
               to: usize,
               of: &dyn Fn(&tulipwall_testkit::simulation::SecondCounts) -> u64| {
        p.counts_by_second
            .iter()
            .flat_map(|a| &a[from.min(a.len())..to.min(a.len())])
            .map(of)
            .sum::<u64>() as f64
    };
    let good = |from, to| {
        sum(from, to, &|x| x.within_objective) / sum(from, to, &|x| x.first_tries).max(1.0)
    };
    let mut f = BTreeMap::new();
    let mut put = |name: &str, value: f64| {
        f.insert(name.to_owned(), value);
    };
    put("good", good(0, seconds));
    put("good_last_quarter", good(seconds * 3 / 4, seconds));
    put(
        "taken_over_asked",
        sum(0, seconds, &|x| x.requests_received) / sum(0, seconds, &|x| x.first_tries).max(1.0),
    );
    put("crossing", p.cross_zone_share());
    put(
        "over_budget",
        p.over_budget_sends() as f64 / sum(0, seconds, &|x| x.requests_received).max(1.0),
    );
    put("p50_ms", p.quantile_ms(0.5));
    put("p99_ms", p.quantile_ms(0.99));
    put("denied", p.rejected as f64 / p.requests.max(1) as f64);
    put("scrapped", p.failed as f64 / p.requests.max(1) as f64);
    put("rules_broken", p.violations.len() as f64);
    put("commands", p.requests as f64);
    put("events", p.events as f64);
    if let Some(o) = &s.offer {
        put("held", f64::from(u8::from(p.rollout.first_hold.is_some())));
        put(
            "sent_back",
            f64::from(u8::from(p.rollout.rolled_back.is_some())),
        );
        put(
            "released",
            f64::from(u8::from(p.rollout.released.is_some())),
        );
        // A build that is never held counts as held in the stage after the last.
        put(
            "held_in_stage",
            p.rollout.first_hold.map_or(o.stages.len(), |h| h.1) as f64,
        );
        let held = p.rollout.first_hold.map_or(s.span, |h| h.0);
        put("s_to_hold", held.saturating_sub(o.at).as_secs_f64());
        put("s_stood", p.rollout.time_held.as_secs_f64());
    }
    f
}
