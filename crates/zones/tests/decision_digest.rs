//! Pins the decisions of two seeded days with cross-zone routing, budgets, client retries and a
//! staged rollout.
//!
//! The digest is folded from plain numbers (agent, request, kind of decision, endpoint or time), so
//! that renamed types leave it alone.

use std::time::Duration;
use tulipwall::*;
use tulipwall_client_policy::RetryPolicy;
use tulipwall_testkit::day::{self, Caller, Change, Clients, Day, Node, Offering, Played};
use tulipwall_zones::*;

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn zoning(own: usize, limit: f64) -> ZoneConfig {
    let limit = Limit::Attempts(limit);
    let budget = Budget {
        name: "all".into(),
        to: None,
        class: None,
        limit,
        window: seconds(20),
        agent_fraction: 0.5,
    };
    day::zoning(&day::classes(), own, 2, vec![budget])
}

fn two_zones(seed: u64, limit: f64, rate: f64, span: Duration) -> Day {
    let agent = |zone| Caller {
        zone,
        part: 0.5,
        zoning: Some(zoning(zone, limit)),
    };
    let nodes = (0..12).map(|i| Node::new(i / 6, 41, 4)).collect();
    Day::small(vec![agent(0), agent(1)], nodes, rate, span, seed)
}

fn numbers(p: &Played) -> [u64; 8] {
    let crossed: usize = p.crossings.iter().map(Vec::len).sum();
    [
        p.digest,
        p.taken,
        p.succeeded,
        p.in_time,
        p.rejected,
        p.scrapped,
        p.never,
        crossed as u64,
    ]
}

#[test]
fn decides_as_before_while_a_zone_is_cut_and_drains() {
    let mut day = two_zones(11, 400.0, 600.0, seconds(30));
    day.clients = Clients::Careful(RetryPolicy::default());
    day.script = vec![
        (seconds(3), Change::Slows(1, 4.0)),
        (seconds(5), Change::Link(0, 1, seconds(2))),
        (seconds(8), Change::Link(0, 1, Duration::from_millis(2))),
        (seconds(9), Change::Lists(2, EndpointState::Draining)),
        (seconds(11), Change::Lists(2, EndpointState::Gone)),
        (seconds(12), Change::Starts(2)),
        (seconds(14), Change::Rate(1500.0)),
        (seconds(18), Change::Rate(500.0)),
        (seconds(20), Change::Zoning(0, zoning(0, 50.0))),
        (seconds(22), Change::Moves(3, 1)),
        (seconds(24), Change::Stalls(1, Duration::from_millis(700))),
    ];
    day.script
        .extend((6..9).map(|n| (seconds(16), Change::Mutes(n, true))));
    day.script
        .extend((6..9).map(|n| (seconds(19), Change::Mutes(n, false))));
    assert_eq!(
        numbers(&day.play()),
        [14736919548978038216, 20357, 20321, 20315, 0, 36, 0, 1143]
    );
}

#[test]
fn decides_as_before_while_a_build_is_offered_and_fails() {
    let mut day = two_zones(12, 2000.0, 700.0, seconds(30));
    let nodes: Vec<usize> = (12..18).collect();
    for (i, number) in nodes.iter().enumerate() {
        let mut node = Node::new(i % 2, 42, 4);
        node.standing = EndpointState::Gone;
        day.nodes.push(node);
        day.script.push((seconds(16), Change::Fails(*number, 0.3)));
    }
    day.offering = Some(Offering {
        build: 42,
        at: seconds(4),
        caps: vec![0.08, 0.25, 0.6, 1.0],
        step: seconds(5),
        nodes,
        back_votes: 1,
    });
    day.clients = Clients::Naive {
        pause: Duration::from_millis(100),
        tries: 3,
    };
    let played = day.play();
    assert!(
        played.offered.held.is_some() || played.offered.back.is_some(),
        "{:?}",
        played.offered
    );
    assert_eq!(
        numbers(&played),
        [10740102917459229812, 21129, 21122, 21122, 1, 6, 0, 1170]
    );
}
