//! Evaluation evidence in hard cases: from one busy class among many, while all endpoints are
//! ejected, after many hours, and at an index that another endpoint had before.

mod harness;

use harness::fleet::fixtures::*;
use harness::fleet::*;
use harness::*;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::time::Duration;
use tulipwall::*;

/// The outcome of an attempt while every fourth attempt to this build fails.
fn one_in_four_fails(entry: &EndpointEntry, build: u32, number: &Cell<usize>) -> Outcome {
    number.set(number.get() + usize::from(entry.build == build));
    let fails = entry.build == build && number.get().is_multiple_of(4);
    outcome_if(fails, Outcome::Failed)
}

mod one_busy_class {
    use super::*;

    const CLASSES: usize = 1600;
    const BUSY: usize = 1234;
    const ENDPOINTS: usize = 770;

    fn settings(seed: u64) -> Settings {
        let defaults = default_settings(seed);
        Settings {
            classes: vec![defaults.classes[0].clone(); CLASSES],
            ..defaults
        }
    }

    const BUSY_TRAFFIC: [Traffic; 1] = [Traffic {
        class: BUSY,
        rate: PEAK_RATE,
    }];

    /// The busy class has the evidence that it would have in a service without other classes, and a
    /// request of a class without earlier requests is served at once.
    #[test]
    fn one_busy_class_of_1600_is_evaluated_as_if_it_were_the_only_one() {
        let canary_share = 0.3;
        let mut driver = serving_fleet(settings(47), ENDPOINTS, &BUSY_TRAFFIC);
        driver
            .balancer
            .update_rollout(canary_status(8, 0, canary_share));
        let mut canaries = fleet_entries(ENDPOINTS, 8);
        canaries.retain(|entry| entry.endpoint % 3 == 0);
        driver.update_endpoints(&canaries);
        let fails = |entry: &EndpointEntry, class: usize| {
            assert_eq!(class, BUSY);
            Answer::new(outcome_if(entry.build == 8, Outcome::Failed), ms(20))
        };
        driver.run(ms(8000), &BUSY_TRAFFIC, &fails);
        let verdicts: Vec<Verdict> = driver.votes.iter().map(|v| v.verdict).collect();
        assert!(verdicts.contains(&Verdict::Hold), "{:?}", driver.log_lines);

        let answers_before = driver.answers;
        driver.send_request(7, &succeed);
        driver.finish(&succeed);
        let answers = driver.answers;
        assert!(answers.succeeded > answers_before.succeeded, "{answers:?}");
    }

    #[test]
    fn one_busy_class_of_1600_keeps_work_bounded() {
        let mut driver = serving_fleet(settings(53), ENDPOINTS, &BUSY_TRAFFIC);
        driver.run(ms(5000), &BUSY_TRAFFIC, &succeed);
        driver
            .work
            .assert_bounded(FLEET_SIZE, "one busy class of 1,600");
    }
}

mod ejection {
    use super::*;

    const ENDPOINTS: usize = 770;
    const RATE: f64 = 1000.0;

    /// Half of the fleet runs the released build 8, the other half build 7.
    fn two_builds(seed: u64) -> FleetDriver {
        let mut driver = FleetDriver::new(default_settings(seed));
        let build = |i: usize| 7 + i as u32 % 2;
        let both: Vec<EndpointEntry> = (0..ENDPOINTS).map(|i| fleet_entry(i, build(i))).collect();
        driver.update_endpoints(&both);
        driver.balancer.update_rollout(released_status(8));
        driver.run(ms(3000), &traffic(RATE), &succeed);
        driver.take_work();
        driver
    }

    fn unreachable(entry: &EndpointEntry, _: usize) -> Answer {
        if entry.build == 7 {
            Answer::new(Outcome::ConnectFailed, ms(5))
        } else {
            Answer::success()
        }
    }

    fn all_unreachable(_: &EndpointEntry, _: usize) -> Answer {
        Answer::new(Outcome::ConnectFailed, ms(5))
    }

    fn share_of_build_7(driver: &FleetDriver, span: Duration) -> f64 {
        driver.share_since(driver.now - span, |sent| sent.build == 7)
    }

    #[test]
    fn ejecting_all_endpoints_of_a_build_leaves_requests_to_the_other_build_until_they_return() {
        let mut driver = two_builds(59);
        let before = share_of_build_7(&driver, ms(2000));
        assert!(before > 0.2, "{before}");
        let answers = driver.answers;
        driver.run(ms(6000), &traffic(RATE), &unreachable);
        let ejected = share_of_build_7(&driver, ms(2000));
        assert!(ejected < 0.4 * before, "{ejected} of {before}");
        let served = driver.answers.succeeded - answers.succeeded;
        let total = driver.answers.total() - answers.total();
        assert!(served as f64 > 0.97 * total as f64, "{:?}", driver.answers);

        driver.run(ms(20_000), &traffic(RATE), &succeed);
        let back = share_of_build_7(&driver, ms(2000));
        assert!(back > 0.8 * before, "{back} of {before}");
    }

    #[test]
    fn ejecting_all_endpoints_of_a_build_keeps_work_bounded() {
        let mut driver = two_builds(61);
        driver.run(ms(6000), &traffic(RATE), &unreachable);
        driver
            .take_work()
            .assert_bounded(FLEET_SIZE, "all endpoints of a build ejected");
        driver.run(ms(10_000), &traffic(RATE), &succeed);
        driver
            .work
            .assert_bounded(FLEET_SIZE, "the ejected build returns");
    }

    /// Ejected endpoints are used where there are no others: only an attempt shows whether they
    /// have recovered.
    #[test]
    fn ejecting_every_endpoint_still_forwards_requests_and_all_return() {
        let mut driver = two_builds(67);
        driver.run(ms(4000), &traffic(RATE), &all_unreachable);
        let from = driver.now - ms(1000);
        assert!(
            driver.sent_since(from).count() > 500,
            "too few attempts to ejected endpoints"
        );
        driver.run(ms(15_000), &traffic(RATE), &succeed);
        let answers = driver.answers;
        driver.run(ms(3000), &traffic(RATE), &succeed);
        let served = driver.answers.succeeded - answers.succeeded;
        let total = driver.answers.total() - answers.total();
        assert!(served as f64 > 0.99 * total as f64, "{:?}", driver.answers);
        let from = driver.now - ms(3000);
        let reached: BTreeSet<usize> = driver.sent_since(from).map(|s| s.endpoint).collect();
        assert!(reached.len() > ENDPOINTS * 9 / 10, "{}", reached.len());
    }

    #[test]
    fn ejecting_every_endpoint_keeps_work_bounded() {
        let mut driver = two_builds(71);
        driver.run(ms(4000), &traffic(RATE), &all_unreachable);
        driver
            .take_work()
            .assert_bounded(FLEET_SIZE, "all endpoints ejected");
        driver.run(ms(10_000), &traffic(RATE), &succeed);
        driver
            .work
            .assert_bounded(FLEET_SIZE, "all endpoints return");
    }
}

mod old_evidence {
    use super::*;

    const HOURS: u64 = 36;

    /// Interval at which an agent polls. Hours of polls at this interval would take minutes to run.
    const POLL_INTERVAL: Duration = Duration::from_millis(100);
    const LATE_POLL_INTERVAL: Duration = Duration::from_secs(2);

    /// Lets hours pass without traffic: a minute of punctual polls, then late polls.
    fn idle_for_hours(harness: &mut Harness) {
        harness.advance(ms(2000));
        let punctual_until = harness.now + ms(60_000);
        let end = harness.now + ms(HOURS * 3_600_000);
        while harness.now < end {
            harness.now += if harness.now < punctual_until {
                POLL_INTERVAL
            } else {
                LATE_POLL_INTERVAL
            };
            let due = harness.balancer.poll(harness.now);
            if let Some(vote) = due.vote {
                harness.votes.push((harness.now, vote));
                let reply = VoteReply::Counted;
                harness.balancer.on_vote_reply(harness.now, reply);
            }
            harness.log_lines.extend(due.log_lines);
        }
    }

    fn has_standing_vote(harness: &Harness) -> bool {
        harness
            .last_verdict()
            .is_some_and(|verdict| verdict != Verdict::Withdraw)
    }

    fn serve_counted(harness: &mut Harness, n: u64, outcome: impl Fn(&EndpointEntry) -> Outcome) {
        for _ in 0..n {
            harness.serve(1, 0, ms(20), &outcome);
            harness
                .balancer
                .on_vote_reply(harness.now, VoteReply::Counted);
        }
    }

    #[test]
    fn evidence_of_failures_is_gone_after_36_hours_and_does_not_return() {
        let mut harness = canary_rollout(|_| {});
        serve_counted(&mut harness, 150, failing(8));
        assert!(has_standing_vote(&harness), "{:?}", harness.log_lines);
        idle_for_hours(&mut harness);
        assert!(!has_standing_vote(&harness), "the vote was not withdrawn");
        let votes = harness.votes.len();
        let before = attempts_to(&harness, 8);
        serve_counted(&mut harness, 400, |_| Outcome::Succeeded);
        assert_eq!(harness.votes.len(), votes, "{:?}", harness.log_lines);
        let received = attempts_to(&harness, 8) - before;
        assert!(
            received > 30,
            "the canary got less than its share: {received} of 400 attempts"
        );
    }

    /// Sends requests until the canary, which fails every fourth attempt, is held, and returns how
    /// many attempts it got.
    fn attempts_until_held(harness: &mut Harness) -> usize {
        let before = attempts_to(harness, 8);
        let number = Cell::new(0);
        let one_in_four = |e: &EndpointEntry| one_in_four_fails(e, 8, &number);
        while !has_standing_vote(harness) {
            serve_counted(harness, 1, one_in_four);
            let sent = attempts_to(harness, 8) - before;
            assert!(sent < 400, "never held: {:?}", harness.log_lines);
        }
        attempts_to(harness, 8) - before
    }

    /// Guards against old outcomes that outweigh what the canary does now: it is held after about
    /// as few attempts as a canary without earlier outcomes.
    #[test]
    fn evidence_of_successes_does_not_mask_a_canary_that_regresses_after_36_hours() {
        let at_first = attempts_until_held(&mut canary_rollout(|_| {}));
        let mut harness = canary_rollout(|_| {});
        serve_counted(&mut harness, 1500, |_| Outcome::Succeeded);
        assert!(!has_standing_vote(&harness));
        idle_for_hours(&mut harness);
        let sent = attempts_until_held(&mut harness);
        assert!(
            sent <= at_first * 3 / 2,
            "held after {sent} attempts, without earlier outcomes after {at_first}"
        );
    }

    /// Guards against a clock that jumps. A process that was stopped polls late and ages its
    /// evidence by one step or by the whole gap, but must neither overflow nor forget the earlier
    /// build.
    #[test]
    fn a_process_that_was_stopped_for_36_hours_still_evaluates_the_canary() {
        for regressed in [true, false] {
            let mut harness = canary_rollout(|_| {});
            serve_counted(&mut harness, 300, |_| Outcome::Succeeded);
            harness.advance(ms(2000));
            harness.now += ms(HOURS * 3_600_000);
            harness.advance(ms(1000));
            let outcome =
                |e: &EndpointEntry| outcome_if(regressed && e.build == 8, Outcome::Failed);
            serve_counted(&mut harness, 300, outcome);
            assert_eq!(
                has_standing_vote(&harness),
                regressed,
                "{:?}",
                harness.log_lines
            );
        }
    }
}

mod reused_index {
    use super::*;

    const REUSED: usize = 0;

    fn gone_entry(endpoint: usize, build: u32) -> EndpointEntry {
        EndpointEntry {
            state: EndpointState::Gone,
            ..endpoint_entry(endpoint, build, None)
        }
    }

    fn other_endpoint(build: u32) -> EndpointEntry {
        EndpointEntry {
            identity: 4711,
            cell: 2,
            ..endpoint_entry(REUSED, build, None)
        }
    }

    fn attempts_of(harness: &Harness, endpoint: usize) -> usize {
        harness.forwarded.iter().filter(|f| f.1 == endpoint).count()
    }

    /// Guards against an ejection that outlives its endpoint.
    #[test]
    fn a_reused_index_does_not_inherit_the_ejection_of_its_previous_endpoint() {
        let mut harness = canary_rollout(|_| {});
        harness.serve(300, 0, ms(20), |e| {
            outcome_if(e.endpoint == REUSED, Outcome::Failed)
        });
        harness.update_endpoints(&[gone_entry(REUSED, 7)]);
        harness.advance(ms(100));
        harness.update_endpoints(&[other_endpoint(7)]);
        let before: Vec<usize> = (0..8).map(|i| attempts_of(&harness, i)).collect();
        harness.serve(30, 0, ms(20), |_| Outcome::Succeeded);
        let received = attempts_of(&harness, REUSED) - before[REUSED];
        assert!(received >= 1, "the new endpoint was not used at once");
        harness.serve(270, 0, ms(20), |_| Outcome::Succeeded);
        let received: Vec<usize> = (0..8)
            .map(|i| attempts_of(&harness, i) - before[i])
            .collect();
        let mean = received[1..].iter().sum::<usize>() as f64 / 7.0;
        assert!(received[REUSED] as f64 > 0.6 * mean, "{received:?}");
    }

    /// Guards against failures of an endpoint of the earlier build that count for the canary. The
    /// endpoint leaves while it is ejected, so that its failures do not count for its build, and
    /// the endpoint that takes over its index is the only one of the canary.
    #[test]
    fn a_reused_index_does_not_inherit_the_failures_of_its_previous_endpoint() {
        let mut harness = canary_rollout(|_| {});
        harness.update_endpoints(&[8, 9].map(|endpoint| gone_entry(endpoint, 8)));
        let number = Cell::new(0);
        harness.serve(600, 0, ms(20), |e| {
            number.set(number.get() + usize::from(e.endpoint == REUSED));
            let fails = e.endpoint == REUSED && number.get().is_multiple_of(4);
            outcome_if(fails, Outcome::Failed)
        });
        harness.serve(100, 0, ms(20), |e| {
            outcome_if(e.endpoint == REUSED, Outcome::Failed)
        });
        harness.update_endpoints(&[gone_entry(REUSED, 7)]);
        harness.advance(ms(100));
        harness.update_endpoints(&[other_endpoint(8)]);
        harness.serve(300, 0, ms(20), |_| Outcome::Succeeded);
        assert!(harness.votes.is_empty(), "{:?}", harness.log_lines);
        assert!(attempts_to(&harness, 8) > 0);
        harness.serve(200, 0, ms(20), failing(8));
        assert_eq!(harness.last_verdict(), Some(Verdict::Hold));
    }

    /// Sends requests until the canary, which fails every fourth attempt, is held, and returns how
    /// many attempts it got.
    fn attempts_until_held(harness: &mut Harness, build: u32) -> usize {
        let before = attempts_to(harness, build);
        let number = Cell::new(0);
        while harness.votes.is_empty() {
            harness.serve(1, 0, ms(20), |e| one_in_four_fails(e, build, &number));
            let sent = attempts_to(harness, build) - before;
            assert!(sent < 400, "never held: {:?}", harness.log_lines);
        }
        attempts_to(harness, build) - before
    }

    /// Guards against successes of the endpoints of one canary that count for the next canary,
    /// whose endpoints take over their indices: it is held after about as few attempts as a first
    /// canary.
    #[test]
    fn a_reused_index_does_not_inherit_the_successes_of_its_previous_endpoint() {
        let at_first = attempts_until_held(&mut canary_rollout(|_| {}), 8);
        let mut harness = canary_rollout(|_| {});
        harness.serve(1500, 0, ms(5), |_| Outcome::Succeeded);
        harness.update_rollout(canary_status(9, 0, 0.5));
        harness.update_endpoints(&[8, 9].map(|endpoint| gone_entry(endpoint, 8)));
        let canaries = [8, 9].map(|endpoint| endpoint_entry(endpoint, 9, Some(1100)));
        harness.update_endpoints(&canaries);
        let sent = attempts_until_held(&mut harness, 9);
        assert!(
            sent <= at_first * 3 / 2,
            "held after {sent} attempts, a first canary after {at_first}"
        );
    }

    /// Guards against a weight that stays low because the previous endpoint of the index was slow.
    #[test]
    fn a_reused_index_does_not_inherit_the_latency_of_its_previous_endpoint() {
        let mut harness = canary_rollout(|_| {});
        let serve = |harness: &mut Harness, slow: bool, n: u64| {
            for _ in 0..n {
                let id = harness.requests.len() as u64;
                if let Decision::Forward { endpoint, .. } = harness.send_request(id, 0, ms(1500)) {
                    let is_slow = slow && endpoint == REUSED;
                    harness.advance(if is_slow { ms(150) } else { ms(20) });
                    for number in 0..harness.requests[&id].attempts.len() {
                        if harness.requests[&id].attempts[number].ended.is_none() {
                            harness.end_attempt(id, number, Outcome::Succeeded);
                        }
                    }
                }
                harness.advance(ms(5));
            }
        };
        serve(&mut harness, true, 300);
        let before = attempts_of(&harness, REUSED);
        serve(&mut harness, true, 100);
        let slow = attempts_of(&harness, REUSED) - before;
        assert!(
            slow < 8,
            "the slow endpoint got too many attempts: {slow} of 100"
        );
        harness.update_endpoints(&[gone_entry(REUSED, 7)]);
        harness.advance(ms(100));
        harness.update_endpoints(&[other_endpoint(7)]);
        let before = attempts_of(&harness, REUSED);
        serve(&mut harness, false, 100);
        let received = attempts_of(&harness, REUSED) - before;
        assert!(
            received >= 6,
            "the new endpoint got less than its share: {received} of 100 attempts"
        );
    }
}
