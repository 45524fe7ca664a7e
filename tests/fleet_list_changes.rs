//! Endpoint lists that change all of a large fleet: every endpoint restarts, a zone is lost, the
//! list is empty, all endpoints drain. The rules are kept, requests go only to endpoints that may
//! take them, and work stays bounded.

mod harness;

use harness::fleet::fixtures::*;
use harness::fleet::*;
use harness::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tulipwall::*;

mod release {
    use super::*;

    const BATCHES: usize = 60;
    const RATE: f64 = 600.0;
    /// Most attempts that a warming endpoint may get, as a multiple of those of a warm one: the
    /// overload factor of 3 from the settings times a safety margin of 0.7.
    const MAX_WARMING_LOAD: f64 = 2.1;
    /// Factor for random variation of the attempts that all warming endpoints get together.
    const TOLERANCE: f64 = 1.25;

    /// Restarts one batch of endpoints each second: it is gone at once and returns two seconds
    /// later with the new build. Returns the time for which endpoints were warming up, in seconds,
    /// summed over all endpoints.
    fn restart_all(driver: &mut FleetDriver) -> f64 {
        let mut warming_seconds = 0.0;
        for second in 0..BATCHES + 6 {
            let batch = |number: Option<usize>, build| {
                let of_batch = |e: &usize| Some(e % BATCHES) == number;
                let endpoints = (0..FLEET_SIZE).filter(of_batch);
                endpoints.map(|i| fleet_entry(i, build)).collect::<Vec<_>>()
            };
            let leaving = Some(second).filter(|number| *number < BATCHES);
            driver.update_endpoints(&in_state(batch(leaving, 7), EndpointState::Gone));
            let now = driver.now;
            let mut returning = batch(second.checked_sub(2), 8);
            for entry in &mut returning {
                entry.started = Some(now);
            }
            driver.update_endpoints(&returning);
            for _ in 0..10 {
                driver.run(ms(100), &traffic(RATE), &succeed);
                warming_seconds += driver.warming() as f64 * 0.1;
            }
        }
        warming_seconds
    }

    /// Times of the attempts to warming endpoints of build 8, which starts during the release, by
    /// endpoint.
    fn sent_while_warming(driver: &FleetDriver) -> BTreeMap<usize, Vec<Duration>> {
        let mut sent = BTreeMap::<usize, Vec<Duration>>::new();
        for attempt in driver.sent.iter().filter(|s| s.build == 8) {
            let started = driver.entries[attempt.endpoint].started;
            let warm_after = driver.settings.slow_start_duration;
            if started.is_some_and(|started| attempt.at < started + warm_after) {
                sent.entry(attempt.endpoint).or_default().push(attempt.at);
            }
        }
        sent
    }

    /// Guards against a warming endpoint that gets more than its share within the window, and
    /// against warming endpoints that are all drawn at the weight that makes up for their small
    /// quotas.
    #[test]
    fn a_release_of_everything_within_a_minute_overloads_no_warming_endpoint() {
        let mut driver = serving_fleet(default_settings(23), FLEET_SIZE, &traffic(RATE));
        driver.balancer.update_rollout(released_status(8));
        let warming_seconds = restart_all(&mut driver);
        assert!(driver.entries.iter().all(|entry| entry.build == 8));

        let sent = sent_while_warming(&driver);
        let window = driver.settings.overload_window;
        let per_window = MAX_WARMING_LOAD * RATE / FLEET_SIZE as f64 * window.as_secs_f64();
        for (endpoint, times) in &sent {
            let peak_attempts = times
                .iter()
                .map(|from| {
                    times
                        .iter()
                        .filter(|t| *t >= from && **t < *from + window)
                        .count()
                })
                .max()
                .unwrap_or(0);
            assert!(
                peak_attempts as f64 <= (2.0 + 2.0 * per_window).floor(),
                "endpoint {endpoint} got {peak_attempts} attempts within a window of its slow start"
            );
        }
        let sent_in_total = sent.values().map(Vec::len).sum::<usize>() as f64;
        // Besides what it earns over time, each endpoint starts with the quota of one window.
        let earned = MAX_WARMING_LOAD * RATE / FLEET_SIZE as f64 * warming_seconds;
        let initial_quota = MAX_WARMING_LOAD * 0.3 * RATE / FLEET_SIZE as f64
            * window.as_secs_f64()
            * FLEET_SIZE as f64;
        assert!(sent_in_total > 0.0, "warming endpoints got no attempts");
        assert!(
            sent_in_total <= TOLERANCE * (earned + initial_quota),
            "{sent_in_total} attempts to endpoints in slow start, allowed {}",
            earned + initial_quota
        );
        let answers = driver.answers;
        assert!(
            answers.succeeded as f64 > 0.99 * answers.total() as f64,
            "{answers:?}"
        );
    }

    #[test]
    fn a_release_of_everything_within_a_minute_keeps_work_bounded() {
        let mut driver = serving_fleet(default_settings(29), FLEET_SIZE, &traffic(RATE));
        driver.balancer.update_rollout(released_status(8));
        restart_all(&mut driver);
        driver
            .work
            .assert_bounded(FLEET_SIZE, "a release of everything");
    }
}

mod zone_loss {
    use super::*;

    const LOST: usize = 3;
    const RATE: f64 = 300.0;

    /// Entries of the endpoints of the lost zone.
    fn zone(state: EndpointState, started: Option<Duration>) -> Vec<EndpointEntry> {
        let of_zone = fleet_entries(FLEET_SIZE, 7)
            .into_iter()
            .filter(|e| e.zone == LOST);
        of_zone
            .map(|entry| EndpointEntry {
                state,
                started,
                ..entry
            })
            .collect()
    }

    /// Loses the zone: its endpoints are silent for 1.7 s, off the list for 9 s, then back as just
    /// started.
    fn lose_and_return(driver: &mut FleetDriver) {
        let silent = |entry: &EndpointEntry, _: usize| {
            if entry.zone == LOST {
                Answer::new(Outcome::ConnectionLost, ms(300))
            } else {
                Answer::success()
            }
        };
        driver.run(ms(1700), &traffic(RATE), &silent);
        assert_eq!(zone(EndpointState::Gone, None).len(), 1100);
        driver.update_endpoints(&zone(EndpointState::Gone, None));
        let gone_at = driver.now + ms(5);
        driver.run(ms(9000), &traffic(RATE), &succeed);
        assert_eq!(
            driver.share_since(gone_at, |s| s.endpoint % ZONES == LOST),
            0.0
        );
        let now = driver.now;
        driver.update_endpoints(&zone(EndpointState::Running, Some(now)));
        driver.run(ms(10_000), &traffic(RATE), &succeed);
    }

    #[test]
    fn losing_a_zone_of_1100_endpoints_fails_few_requests_and_the_zone_recovers() {
        let mut driver = serving_fleet(default_settings(31), FLEET_SIZE, &traffic(RATE));
        lose_and_return(&mut driver);
        driver.run(ms(5000), &traffic(RATE), &succeed);
        let from = driver.now - ms(5000);
        let share = |zone| driver.share_since(from, |s| s.endpoint % ZONES == zone);
        let (lost, other) = (share(LOST), share(LOST + 1));
        assert!(
            lost > 0.7 * other && lost < 1.4 * other,
            "share of the attempts: {lost} to the zone that returned, {other} to another zone"
        );
        let answers = driver.answers;
        assert!(
            answers.succeeded as f64 > 0.99 * answers.total() as f64,
            "{answers:?}"
        );
    }

    #[test]
    fn losing_a_zone_of_1100_endpoints_keeps_work_bounded() {
        let mut driver = serving_fleet(default_settings(37), FLEET_SIZE, &traffic(RATE));
        lose_and_return(&mut driver);
        driver
            .work
            .assert_bounded(FLEET_SIZE, "a zone lost and returned");
    }
}

mod empty_list {
    use super::*;

    /// Publishes an empty list for three seconds.
    fn empty_for_a_while(driver: &mut FleetDriver) {
        driver.replace_endpoints(&[]);
        driver.run(ms(3000), &PEAK, &succeed);
    }

    #[test]
    fn an_empty_list_after_7700_endpoints_rejects_requests_until_the_endpoints_return() {
        let mut driver = serving_fleet(default_settings(41), FLEET_SIZE, &PEAK);
        driver.finish(&succeed);
        let before = driver.answers;
        assert_eq!(before.succeeded, before.total());
        let empty_from = driver.now;
        empty_for_a_while(&mut driver);
        driver.finish(&succeed);
        assert_eq!(driver.sent_since(empty_from).count(), 0);
        assert_eq!(driver.answers.succeeded, before.succeeded);
        assert!(driver.answers.rejected >= 400, "{:?}", driver.answers);

        driver.replace_endpoints(&fleet_entries(FLEET_SIZE, 7));
        let returned_at = driver.now;
        let rejected = driver.answers.rejected;
        driver.run(ms(5000), &PEAK, &succeed);
        assert_eq!(driver.answers.rejected, rejected);
        assert_eq!(driver.answers.failed, 0);
        let reached: BTreeSet<usize> = driver.sent_since(returned_at).map(|s| s.endpoint).collect();
        // 715 requests over 7,700 endpoints rarely reach the same endpoint twice.
        assert!(reached.len() > 600, "{} endpoints", reached.len());
    }

    #[test]
    fn an_empty_list_after_7700_endpoints_keeps_work_bounded() {
        let mut driver = serving_fleet(default_settings(43), FLEET_SIZE, &PEAK);
        empty_for_a_while(&mut driver);
        driver
            .take_work()
            .assert_bounded(FLEET_SIZE, "no endpoint listed");
        driver.replace_endpoints(&fleet_entries(FLEET_SIZE, 7));
        driver.run(ms(3000), &PEAK, &succeed);
        driver
            .work
            .assert_bounded(FLEET_SIZE, "all endpoints listed again");
    }
}

mod draining {
    use super::*;

    #[test]
    fn draining_every_endpoint_forwards_nothing_until_they_run_again() {
        let mut driver = serving_fleet(default_settings(73), FLEET_SIZE, &PEAK);
        driver.update_endpoints(&in_state(
            fleet_entries(FLEET_SIZE, 7),
            EndpointState::Draining,
        ));
        let from = driver.now + ms(5);
        driver.run(ms(3000), &PEAK, &succeed);
        assert_eq!(driver.sent_since(from).count(), 0);
        driver.finish(&succeed);
        let before = driver.answers;
        assert!(before.rejected >= 400, "{before:?}");
        assert_eq!(before.failed, 0);

        driver.update_endpoints(&fleet_entries(FLEET_SIZE, 7));
        driver.run(ms(3000), &PEAK, &succeed);
        driver.finish(&succeed);
        assert_eq!(driver.answers.rejected, before.rejected);
        assert!(driver.answers.succeeded >= before.succeeded + 400);
    }

    #[test]
    fn draining_every_endpoint_keeps_work_bounded() {
        let mut driver = serving_fleet(default_settings(79), FLEET_SIZE, &PEAK);
        driver.update_endpoints(&in_state(
            fleet_entries(FLEET_SIZE, 7),
            EndpointState::Draining,
        ));
        driver.take_work();
        driver.run(ms(3000), &PEAK, &succeed);
        driver
            .take_work()
            .assert_bounded(FLEET_SIZE, "all endpoints draining");
        driver.update_endpoints(&fleet_entries(FLEET_SIZE, 7));
        driver.run(ms(3000), &PEAK, &succeed);
        driver
            .work
            .assert_bounded(FLEET_SIZE, "all endpoints running again");
    }
}
