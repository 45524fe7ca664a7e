//! Reloads that add, remove and renumber request classes while the account is kept.

use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::{IndexOrigin, Outcome, ZoneCounts};
use tulipwall_zones::*;

const NOW: Duration = Duration::from_secs(7200);

fn config(classes: usize, class: Option<usize>) -> ZoneConfig {
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
    let owned = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    DisplayNames {
        agent: "n".into(),
        zones: owned(&["a", "b"]),
        classes: owned(classes),
    }
}

fn send(zones: &mut Zones, class: usize) -> Reservation {
    zones.on_request(NOW, class);
    let attempt = AttemptStart {
        to: 1,
        class,
        build: 7,
        previous_attempts: 0,
        hedged: false,
        is_canary: false,
        pinned_to_scope: false,
    };
    zones.on_attempt(NOW, attempt, |_| ZoneCounts::default())
}

fn end(zones: &mut Zones, reservation: &Reservation) {
    let response_latency = Duration::from_millis(20);
    let ended = CompletedAttempt {
        outcome: Outcome::Succeeded,
        fault: ResponseFault::None,
        fully_written: true,
        bytes_sent: 100,
        bytes_received: 200,
        latency: response_latency,
    };
    zones.on_attempt_end(NOW, reservation, &ended);
}

/// The attempts by class and the requests received by class, as stated in the report.
fn reported(zones: &Zones, names: &DisplayNames) -> (BTreeMap<String, u64>, BTreeMap<String, u64>) {
    let clock = ClockMapping {
        now: NOW,
        unix_now: NOW,
        started: Duration::ZERO,
    };
    let mut cursor = ReportCursor::Head;
    let mut attempts = BTreeMap::new();
    let mut requests = BTreeMap::new();
    while cursor != ReportCursor::Finished {
        let (lines, next) = zones.lines(names, clock, cursor);
        for line in lines {
            match line {
                ReportLine::Head(head) => requests = head.requests,
                ReportLine::Link(l) => *attempts.entry(l.class).or_default() += l.attempts,
                _ => {}
            }
        }
        cursor = next;
    }
    (attempts, requests)
}

fn counts(expected: &[(&str, u64)]) -> BTreeMap<String, u64> {
    expected
        .iter()
        .map(|(name, n)| ((*name).to_owned(), *n))
        .collect()
}

#[test]
fn counts_follow_their_class_and_removed_classes_are_summed() {
    let mut zones = Zones::new(Duration::ZERO, config(2, Some(1)));
    for class in [0, 0, 1, 1, 1] {
        let reservation = send(&mut zones, class);
        end(&mut zones, &reservation);
    }
    let in_flight = send(&mut zones, 0);
    let spent = zones.budget_meters().meters()[0].used();
    assert!(spent >= 3.0);
    // Class 0 moves to index 2 while one of its requests is in flight; class 3 is new.
    let origins = [
        IndexOrigin::Retired,
        IndexOrigin::Same,
        IndexOrigin::MovedFrom(0),
        IndexOrigin::New,
    ];
    assert!(zones.reload(NOW, config(4, Some(1)), &origins));
    end(&mut zones, &in_flight);
    let last = send(&mut zones, 2);
    end(&mut zones, &last);
    let classes = names(&["view", "send", "view", "new"]);
    let (attempts, requests) = reported(&zones, &classes);
    assert_eq!(attempts, counts(&[("view", 4), ("send", 3)]));
    assert_eq!(requests, counts(&[("view", 4), ("send", 3), ("new", 0)]));
    assert_eq!(
        zones.budget_meters().meters()[0].used(),
        spent,
        "past spending still counts"
    );
    // The former index of class 0 is assigned to another class, and class 1 is removed.
    let origins = [
        IndexOrigin::New,
        IndexOrigin::Unused,
        IndexOrigin::Same,
        IndexOrigin::Same,
    ];
    assert!(zones.reload(NOW, config(4, None), &origins));
    let (attempts, requests) = reported(&zones, &names(&["other", "", "view", "new"]));
    assert_eq!(attempts, counts(&[("view", 3), ("(gone)", 4)]));
    assert_eq!(requests["(gone)"] + requests["view"], 7, "{requests:?}");
    assert_eq!((requests["other"], requests["new"]), (0, 0));
    // With fewer classes, connections are still counted at the index after the last class.
    assert!(zones.reload(NOW, config(1, None), &[IndexOrigin::MovedFrom(2)]));
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
    let (attempts, _) = reported(&zones, &names(&["view"]));
    assert_eq!(
        attempts,
        counts(&[("view", 3), ("(connections)", 0), ("(gone)", 4)])
    );
}

#[test]
fn ten_thousand_reloads_keep_the_account_bounded_and_lose_no_count() {
    let mut zones = Zones::new(Duration::ZERO, config(3, None));
    for n in 0..10_000 {
        let reservation = send(&mut zones, n % 3);
        end(&mut zones, &reservation);
        let mut origins = [IndexOrigin::Same; 3];
        origins[n % 3] = IndexOrigin::New;
        assert!(zones.reload(NOW, config(3, None), &origins));
    }
    let (attempts, requests) = reported(&zones, &names(&["x", "y", "z"]));
    assert_eq!(
        (
            attempts.values().sum::<u64>(),
            requests.values().sum::<u64>()
        ),
        (10_000, 10_000)
    );
    assert!(zones.account().rows().count() <= 4);
}

#[test]
fn a_reload_with_other_zones_starts_a_new_account() {
    let mut zones = Zones::new(Duration::ZERO, config(2, None));
    let reservation = send(&mut zones, 0);
    let more = ZoneConfig {
        zone_count: 3,
        links: vec![Link::default(); 4],
        ..config(2, None)
    };
    assert!(!zones.reload(NOW, more, &[IndexOrigin::Same; 2]));
    // An attempt in flight is counted in the new account.
    end(&mut zones, &reservation);
}
