//! One run: a scenario at one point and seed, played and measured.

use crate::records::Record;
use crate::scenario::{ClientKind, FaultKind, Scenario, Value};
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::{EndpointState, RequestClass, Settings};
use tulipwall_client_policy::RetryPolicy;
use tulipwall_testkit::day::{self, Caller, Change, Clients, Day, Node, Offering, Played};
use tulipwall_zones::{Budget, Limit, RoutingPolicy, ZoneConfig};

const OLD: u32 = 41;
const NEW: u32 = 42;
const SAME_ZONE: Duration = Duration::from_micros(150);
const OTHER_ZONE: Duration = Duration::from_micros(500);
/// The window of a share.
const WINDOW: Duration = Duration::from_secs(10);

/// The day of a scenario.
pub fn day(s: &Scenario, seed: u64) -> Day {
    let zones = s.zones.len();
    let mut nodes: Vec<Node> = Vec::new();
    let mut of_zone = vec![Vec::new(); zones];
    for (zone, z) in s.zones.iter().enumerate() {
        for _ in 0..z.endpoints {
            of_zone[zone].push(nodes.len());
            nodes.push(Node::new(zone, OLD, z.cores));
        }
    }
    let offering = s.offer.as_ref().map(|o| {
        let mut own = Vec::new();
        for n in 0..o.endpoints {
            let zone = n % zones;
            own.push(nodes.len());
            let new = Node::new(zone, NEW, s.zones[zone].cores);
            nodes.push(Node {
                slowness: o.slowness,
                fails: o.fails,
                standing: EndpointState::Gone,
                ..new
            });
        }
        // A twentieth of the agents must agree.
        let back_votes = (s.agents as f64 * 0.05).ceil() as usize;
        Offering {
            build: NEW,
            at: o.at,
            caps: o.stages.clone(),
            step: o.step,
            nodes: own,
            back_votes,
        }
    });
    // Agents in turn in each zone; unequal ones from one plus the spread down to one less it.
    let part = |n: usize| 1.0 + s.spread * (1.0 - 2.0 * n as f64 / (s.agents.max(2) - 1) as f64);
    let caller = |n: usize| {
        let zone = n % zones;
        let zoning = (s.near_first || s.share.is_some()).then(|| zoning(s, zone));
        Caller {
            zone,
            part: part(n).max(0.0),
            zoning,
        }
    };
    let agents: Vec<Caller> = (0..s.agents).map(caller).collect();
    let mut day = Day::small(agents, nodes, s.rate, s.span, seed);
    day.ways = (0..=zones)
        .map(|from| (0..=zones).map(|to| way(s, from, to)).collect())
        .collect();
    day.deployment = deployment(s);
    day.work = s.classes.iter().map(|l| l.work).collect();
    day.classes = s.classes.iter().map(|l| (l.weight, l.expiry)).collect();
    (day.steady, day.loss, day.told_late) = (s.steady, s.loss, s.told_late);
    day.clients = match s.clients {
        ClientKind::Open => Clients::Open,
        ClientKind::Naive => Clients::Naive {
            pause: Duration::from_millis(50),
            tries: 20,
        },
        ClientKind::Careful => Clients::Careful(RetryPolicy::default()),
    };
    day.offering = offering;
    day.script = script(s, &of_zone);
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
    let zoning = day::zoning(&deployment(s).classes, own, s.zones.len(), budgets);
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
    let mut d = day::deployment(s.classes.iter().map(class).collect());
    d.rollout.caps = s.offer.as_ref().map_or(vec![1.0], |o| o.stages.clone());
    d.rollout.votes_to_roll_back = (s.agents as f64 * 0.05).ceil() as u32;
    d
}

fn script(s: &Scenario, of_zone: &[Vec<usize>]) -> Vec<(Duration, Change)> {
    let mut script = Vec::new();
    for f in &s.faults {
        let zones: Vec<usize> = f.zone.map_or((0..of_zone.len()).collect(), |z| vec![z]);
        let on: Vec<usize> = zones
            .iter()
            .flat_map(|z| of_zone[*z].iter().take(f.most).copied())
            .collect();
        let end = f.lasts.map(|t| f.at + t);
        let mut each = |begin: &dyn Fn(usize) -> Change, over: &dyn Fn(usize) -> Change| {
            script.extend(on.iter().map(|n| (f.at, begin(*n))));
            script.extend(
                end.into_iter()
                    .flat_map(|t| on.iter().map(move |n| (t, over(*n)))),
            );
        };
        match f.kind {
            FaultKind::Slow(by) => each(&|n| Change::Slows(n, by), &|n| Change::Slows(n, 1.0)),
            FaultKind::Fail(part) => each(&|n| Change::Fails(n, part), &|n| Change::Fails(n, 0.0)),
            FaultKind::Drain => each(
                &|n| Change::Lists(n, EndpointState::Draining),
                &Change::Starts,
            ),
            FaultKind::Gone => each(&|n| Change::Lists(n, EndpointState::Gone), &Change::Starts),
            FaultKind::Mute => each(&|n| Change::Mutes(n, true), &|n| Change::Mutes(n, false)),
            FaultKind::Stall => {
                let span = f.lasts.unwrap_or(Duration::from_secs(1));
                script.extend((0..s.agents).map(|a| (f.at, Change::Stalls(a, span))));
            }
            FaultKind::Burst(by) => {
                script.push((f.at, Change::Rate(s.rate * by)));
                script.extend(end.map(|t| (t, Change::Rate(s.rate))));
            }
        }
    }
    script
}

/// Plays one run and measures it.
pub fn run(s: &Scenario, point: usize, values: &[(String, Value)], seed: u64) -> Record {
    let played = day(&s.at(values), seed).play();
    Record {
        point,
        values: values
            .iter()
            .map(|(k, v)| (k.clone(), v.to_string()))
            .collect(),
        seed,
        figures: figures(&s.at(values), &played),
        delays_us: played
            .times
            .iter_recorded()
            .map(|v| (v.value_iterated_to(), v.count_at_value()))
            .collect(),
        digest: played.digest,
        broken: played.broken.iter().take(5).cloned().collect(),
    }
}

/// What is measured of a run. Shares are of requests as they first came.
fn figures(s: &Scenario, p: &Played) -> BTreeMap<String, f64> {
    let seconds = s.span.as_secs() as usize;
    let sum = |from: usize, to: usize, of: &dyn Fn(&tulipwall_testkit::day::Second) -> u64| {
        p.seconds
            .iter()
            .flat_map(|a| &a[from.min(a.len())..to.min(a.len())])
            .map(of)
            .sum::<u64>() as f64
    };
    let good = |from, to| sum(from, to, &|x| x.good) / sum(from, to, &|x| x.asked).max(1.0);
    let mut f = BTreeMap::new();
    let mut put = |name: &str, value: f64| {
        f.insert(name.to_owned(), value);
    };
    put("good", good(0, seconds));
    put("good_last_quarter", good(seconds * 3 / 4, seconds));
    put(
        "taken_over_asked",
        sum(0, seconds, &|x| x.taken) / sum(0, seconds, &|x| x.asked).max(1.0),
    );
    put("crossing", p.crossed());
    put(
        "over_budget",
        p.over() as f64 / sum(0, seconds, &|x| x.taken).max(1.0),
    );
    put("p50_ms", p.quantile_ms(0.5));
    put("p99_ms", p.quantile_ms(0.99));
    put("denied", p.rejected as f64 / p.taken.max(1) as f64);
    put("scrapped", p.scrapped as f64 / p.taken.max(1) as f64);
    put("rules_broken", p.broken.len() as f64);
    put("commands", p.taken as f64);
    put("events", p.events as f64);
    if let Some(o) = &s.offer {
        put("held", f64::from(u8::from(p.offered.held.is_some())));
        put("sent_back", f64::from(u8::from(p.offered.back.is_some())));
        put(
            "released",
            f64::from(u8::from(p.offered.released.is_some())),
        );
        // A build that is never held counts as held in the stage after the last.
        put(
            "held_in_stage",
            p.offered.held.map_or(o.stages.len(), |h| h.1) as f64,
        );
        let held = p.offered.held.map_or(s.span, |h| h.0);
        put("s_to_hold", held.saturating_sub(o.at).as_secs_f64());
        put("s_stood", p.offered.stood.as_secs_f64());
    }
    f
}
