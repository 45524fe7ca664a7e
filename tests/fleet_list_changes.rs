//! Lists that change all of a large fleet: it restarts, loses a zone, is empty, drains. The rules are
//! kept, requests go where they may, and work stays bounded.

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
    /// What a warming endpoint may get against a warm one at the most: the settings' factor of 3
    /// less a safety of 0.7.
    const QUOTA_SHARE: f64 = 2.1;
    /// Chance on top of what warming endpoints may get in sum.
    const TOLERANCE: f64 = 1.25;

    /// Restarts a batch each second: gone at once, and back two seconds later with the new build.
    /// Returns the sum of the times for which endpoints were warming up.
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

    /// By endpoint of build 8, which starts within the release: when it got attempts.
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

    /// Against a warming endpoint that gets more than its part within the window, and against all
    /// of them drawing at the weight that makes up for their small quotas.
    #[test]
    fn of_everything_within_a_minute_pushes_over_no_warming_endpoint() {
        let mut driver = serving_fleet(default_settings(23), FLEET_SIZE, &traffic(RATE));
        driver.balancer.update_rollout(released_status(8));
        let warming_seconds = restart_all(&mut driver);
        assert!(driver.entries.iter().all(|entry| entry.build == 8));

        let sent = sent_while_warming(&driver);
        let window = driver.settings.overload_window;
        let per_window = QUOTA_SHARE * RATE / FLEET_SIZE as f64 * window.as_secs_f64();
        for (endpoint, times) in &sent {
            let most = times
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
                most as f64 <= (2.0 + 2.0 * per_window).floor(),
                "endpoint {endpoint} got {most} within a window of its slow start"
            );
        }
        let in_sum = sent.values().map(Vec::len).sum::<usize>() as f64;
        // Beside what it earns in time, each has the window that it begins with.
        let earned = QUOTA_SHARE * RATE / FLEET_SIZE as f64 * warming_seconds;
        let first =
            QUOTA_SHARE * 0.3 * RATE / FLEET_SIZE as f64 * window.as_secs_f64() * FLEET_SIZE as f64;
        assert!(in_sum > 0.0, "warming endpoints get some");
        assert!(
            in_sum <= TOLERANCE * (earned + first),
            "{in_sum} to endpoints in slow start, which may get {}",
            earned + first
        );
        let answers = driver.answers;
        assert!(
            answers.succeeded as f64 > 0.99 * answers.total() as f64,
            "{answers:?}"
        );
    }

    #[test]
    fn of_everything_within_a_minute_keeps_work_bounded() {
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

    /// Loses the zone: silent for 1.7 s, off the list for 9 s, then back as just started.
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
    fn of_1100_endpoints_loses_hardly_a_request_and_is_used_again_after() {
        let mut driver = serving_fleet(default_settings(31), FLEET_SIZE, &traffic(RATE));
        lose_and_return(&mut driver);
        driver.run(ms(5000), &traffic(RATE), &succeed);
        let from = driver.now - ms(5000);
        let share = |zone| driver.share_since(from, |s| s.endpoint % ZONES == zone);
        let (lost, other) = (share(LOST), share(LOST + 1));
        assert!(
            lost > 0.7 * other && lost < 1.4 * other,
            "{lost} of the attempts to the zone that is back, {other} to another"
        );
        let answers = driver.answers;
        assert!(
            answers.succeeded as f64 > 0.99 * answers.total() as f64,
            "{answers:?}"
        );
    }

    #[test]
    fn of_1100_endpoints_keeps_work_bounded() {
        let mut driver = serving_fleet(default_settings(37), FLEET_SIZE, &traffic(RATE));
        lose_and_return(&mut driver);
        driver
            .work
            .assert_bounded(FLEET_SIZE, "a zone lost and back");
    }
}

mod empty_list {
    use super::*;

    /// Lists nobody for three seconds.
    fn empty_for_a_while(driver: &mut FleetDriver) {
        driver.replace_endpoints(&[]);
        driver.run(ms(3000), &PEAK, &succeed);
    }

    #[test]
    fn after_7700_rejects_and_after_their_return_serves_as_before() {
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
        let back = driver.now;
        let rejected = driver.answers.rejected;
        driver.run(ms(5000), &PEAK, &succeed);
        assert_eq!(driver.answers.rejected, rejected);
        assert_eq!(driver.answers.failed, 0);
        let reached: BTreeSet<usize> = driver.sent_since(back).map(|s| s.endpoint).collect();
        // 715 requests over 7,700 endpoints hardly meet the same one.
        assert!(reached.len() > 600, "{} endpoints", reached.len());
    }

    #[test]
    fn after_7700_keeps_work_bounded() {
        let mut driver = serving_fleet(default_settings(43), FLEET_SIZE, &PEAK);
        empty_for_a_while(&mut driver);
        driver
            .take_work()
            .assert_bounded(FLEET_SIZE, "nobody listed");
        driver.replace_endpoints(&fleet_entries(FLEET_SIZE, 7));
        driver.run(ms(3000), &PEAK, &succeed);
        driver.work.assert_bounded(FLEET_SIZE, "all listed again");
    }
}

mod draining {
    use super::*;

    #[test]
    fn of_every_endpoint_forwards_nothing_until_they_run_again() {
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
    fn of_every_endpoint_keeps_work_bounded() {
        let mut driver = serving_fleet(default_settings(79), FLEET_SIZE, &PEAK);
        driver.update_endpoints(&in_state(
            fleet_entries(FLEET_SIZE, 7),
            EndpointState::Draining,
        ));
        driver.take_work();
        driver.run(ms(3000), &PEAK, &succeed);
        driver
            .take_work()
            .assert_bounded(FLEET_SIZE, "all draining");
        driver.update_endpoints(&fleet_entries(FLEET_SIZE, 7));
        driver.run(ms(3000), &PEAK, &succeed);
        driver.work.assert_bounded(FLEET_SIZE, "all running again");
    }
}
