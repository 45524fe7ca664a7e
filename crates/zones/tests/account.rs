//! Accounting for builds that are added and removed.

use std::collections::BTreeSet;
use std::time::Duration;
use tulipwall::{Outcome, ZoneCounts};
use tulipwall_zones::*;

const OLD_BUILD: u32 = 40;
const NEW_BUILD: u32 = 41;
/// The build number under which all removed builds are summed.
const REMOVED_BUILDS: u32 = 0;
const NOW: Duration = Duration::from_secs(7200);

/// The cross-zone traffic of an agent in zone 0 of two zones, without budgets.
fn zones() -> Zones {
    let class = ClassProfile {
        priority_weight: 3.0,
        latency_objective: Duration::from_millis(400),
    };
    let config = ZoneConfig {
        local_zone: 0,
        zone_count: 2,
        classes: vec![class],
        links: vec![Link::default(); 3],
        budgets: Vec::new(),
        routing: RoutingPolicy::LocalFirst,
    };
    Zones::new(NOW, config)
}

fn send(zones: &mut Zones, build: u32) -> Reservation {
    let attempt = AttemptStart {
        to: 1,
        class: 0,
        build,
        previous_attempts: 0,
        hedged: false,
        is_canary: false,
        pinned_to_scope: false,
    };
    zones.on_attempt(NOW, attempt, |_| ZoneCounts::default())
}

fn succeeded() -> CompletedAttempt {
    CompletedAttempt {
        outcome: Outcome::Succeeded,
        fault: ResponseFault::None,
        fully_written: true,
        bytes_sent: 100,
        bytes_received: 200,
        latency: Duration::from_millis(20),
    }
}

/// The builds that have rows in the account.
fn builds(zones: &Zones) -> BTreeSet<u32> {
    let rows = zones.account().rows();
    rows.map(|(link, _)| link.build).collect()
}

#[test]
fn sums_attempts_that_end_after_their_build_was_removed() {
    let mut zones = zones();
    let in_flight = send(&mut zones, OLD_BUILD);
    send(&mut zones, NEW_BUILD);
    let alive = BTreeSet::from([NEW_BUILD]);
    let kept = BTreeSet::from([REMOVED_BUILDS, NEW_BUILD]);
    zones.retain_builds(&alive);
    assert_eq!(builds(&zones), kept);
    zones.on_attempt_end(NOW, &in_flight, &succeeded());
    assert!(
        builds(&zones).contains(&OLD_BUILD),
        "its row remains until the next endpoint list"
    );
    zones.retain_builds(&alive);
    assert_eq!(builds(&zones), kept);
}

#[test]
fn sums_connections_of_a_build_that_was_removed() {
    let mut zones = zones();
    let connection = ConnectionTraffic {
        to: 1,
        build: OLD_BUILD,
        bytes_sent: 100,
        bytes_received: 200,
        handshake: None,
    };
    zones.on_connection(NOW, &connection);
    zones.retain_builds(&BTreeSet::from([NEW_BUILD]));
    assert_eq!(builds(&zones), BTreeSet::from([REMOVED_BUILDS]));
}
