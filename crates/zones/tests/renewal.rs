//! Classes that come, go and change while an account of what crosses is kept.

use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::{IndexOrigin, Outcome, ZoneCapacity};
use tulipwall_zones::*;

const NOW: Duration = Duration::from_secs(7200);

fn zoning(classes: usize, class: Option<usize>) -> ZoneConfig {
    let limit = Limit::Attempts(1000.0);
    let window = Duration::from_secs(60);
    let classes = vec![
        ClassProfile {
            priority_weight: 3.0,
            latency_objective: Duration::from_millis(400)
        };
        classes
    ];
    let budgets = vec![Budget {
        name: "b".into(),
        to: None,
        class,
        limit,
        window,
        agent_fraction: 1.0,
    }];
    ZoneConfig {
        local_zone: 0,
        zone_count: 2,
        classes,
        links: vec![Link::default(); 3],
        budgets,
        routing: RoutingPolicy::BalancerDefault,
    }
}

fn names(classes: &[&str]) -> DisplayNames {
    let of = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    DisplayNames {
        agent: "n".into(),
        zones: of(&["a", "b"]),
        classes: of(classes),
    }
}

fn send(zones: &mut Zones, class: usize) -> Reservation {
    zones.on_request(NOW, class);
    let sending = AttemptStart {
        to: 1,
        class,
        build: 7,
        previous_attempts: 0,
        hedged: false,
        is_canary: false,
        pinned_to_scope: false,
    };
    zones.on_attempt(NOW, sending, || vec![ZoneCapacity::default(); 3])
}

fn end(zones: &mut Zones, ticket: &Reservation) {
    let took = Duration::from_millis(20);
    let ended = CompletedAttempt {
        outcome: Outcome::Succeeded,
        fault: ResponseFault::None,
        fully_written: true,
        bytes_sent: 100,
        bytes_received: 200,
        latency: took,
    };
    zones.on_attempt_end(NOW, ticket, &ended);
}

/// Attempts by class, and requests taken by class, as the report tells them.
fn told(zones: &Zones, names: &DisplayNames) -> (BTreeMap<String, u64>, BTreeMap<String, u64>) {
    let wall = ClockMapping {
        now: NOW,
        unix_now: NOW,
        started: Duration::ZERO,
    };
    let (mut place, mut attempts, mut taken) =
        (ReportCursor::Head, BTreeMap::new(), BTreeMap::new());
    while !matches!(place, ReportCursor::Finished) {
        let (lines, next) = zones.lines(names, wall, place);
        for line in lines {
            match line {
                ReportLine::Head(head) => taken = head.requests,
                ReportLine::Link(l) => *attempts.entry(l.class).or_default() += l.attempts,
                _ => {}
            }
        }
        place = next;
    }
    (attempts, taken)
}

fn map(of: &[(&str, u64)]) -> BTreeMap<String, u64> {
    of.iter()
        .map(|(name, n)| ((*name).to_owned(), *n))
        .collect()
}

#[test]
fn what_was_counted_follows_its_lane_and_what_went_is_summed_as_gone() {
    let mut zones = Zones::new(Duration::ZERO, zoning(2, Some(1)));
    for class in [0, 0, 1, 1, 1] {
        let ticket = send(&mut zones, class);
        end(&mut zones, &ticket);
    }
    let indices_in_use = send(&mut zones, 0);
    let spent = zones.budget_meters().meters()[0].used();
    assert!(spent >= 3.0);
    // Class 0 goes on under number 2 while one of its requests is in hand; class 3 is new.
    let by = [
        IndexOrigin::Retired,
        IndexOrigin::Same,
        IndexOrigin::MovedFrom(0),
        IndexOrigin::New,
    ];
    assert!(zones.reload(NOW, zoning(4, Some(1)), &by));
    end(&mut zones, &indices_in_use);
    let last = send(&mut zones, 2);
    end(&mut zones, &last);
    let classes = names(&["view", "send", "view", "new"]);
    let (attempts, taken) = told(&zones, &classes);
    assert_eq!(attempts, map(&[("view", 4), ("send", 3)]));
    assert_eq!(taken, map(&[("view", 4), ("send", 3), ("new", 0)]));
    assert_eq!(
        zones.budget_meters().meters()[0].used(),
        spent,
        "what is spent stays spent"
    );
    // Its earlier number is given to another, and class 1 went.
    let by = [
        IndexOrigin::New,
        IndexOrigin::Unused,
        IndexOrigin::Same,
        IndexOrigin::Same,
    ];
    assert!(zones.reload(NOW, zoning(4, None), &by));
    let (attempts, taken) = told(&zones, &names(&["other", "", "view", "new"]));
    assert_eq!(attempts, map(&[("view", 3), ("(gone)", 4)]));
    assert_eq!(taken["(gone)"] + taken["view"], 7, "{taken:?}");
    assert_eq!((taken["other"], taken["new"]), (0, 0));
    // Fewer classes, and connections still stand behind them.
    assert!(zones.reload(NOW, zoning(1, None), &[IndexOrigin::MovedFrom(2)]));
    zones.on_connection(
        NOW,
        &ConnectionTraffic {
            to: 1,
            build: 7,
            bytes_sent: 5,
            bytes_received: 5,
            handshake: Some(Duration::from_millis(1)),
        },
    );
    let (attempts, _) = told(&zones, &names(&["view"]));
    assert_eq!(
        attempts,
        map(&[("view", 3), ("(connections)", 0), ("(gone)", 4)])
    );
}

#[test]
fn ten_thousand_renewals_keep_the_account_bounded_and_lose_no_count() {
    let mut zones = Zones::new(Duration::ZERO, zoning(3, None));
    for n in 0..10_000 {
        let ticket = send(&mut zones, n % 3);
        end(&mut zones, &ticket);
        let mut by = [IndexOrigin::Same; 3];
        by[n % 3] = IndexOrigin::New;
        assert!(zones.reload(NOW, zoning(3, None), &by));
    }
    let (attempts, taken) = told(&zones, &names(&["x", "y", "z"]));
    assert_eq!(
        (attempts.values().sum::<u64>(), taken.values().sum::<u64>()),
        (10_000, 10_000)
    );
    assert!(zones.account().rows().count() <= 4);
}

#[test]
fn other_zones_begin_another_account() {
    let mut zones = Zones::new(Duration::ZERO, zoning(2, None));
    let ticket = send(&mut zones, 0);
    let more = ZoneConfig {
        zone_count: 3,
        links: vec![Link::default(); 4],
        ..zoning(2, None)
    };
    assert!(!zones.reload(NOW, more, &[IndexOrigin::Same; 2]));
    // What was in hand is told to the one that is there.
    end(&mut zones, &ticket);
}
