//! Evaluation of the newest build and the votes on it: a small scenario for each fault that was
//! found.

mod harness;

use harness::*;
use tulipwall::*;

#[test]
fn holds_a_class_that_only_the_canary_fails_renews_and_withdraws_the_vote() {
    let mut driver = canary_rollout(|_| {});
    driver.serve(150, 0, ms(20), failing(8));
    assert_eq!(
        driver.last_verdict(),
        Some(Verdict::Hold),
        "{:?}",
        driver.log_lines
    );
    assert_eq!(
        driver.votes.last().map(|v| (v.1.build, v.1.stage)),
        Some((8, 0))
    );
    let first = driver.votes.len();
    driver
        .balancer
        .on_vote_reply(driver.now, VoteReply::Counted);
    driver.serve(150, 0, ms(20), failing(8));
    assert!(
        driver.votes.len() > first,
        "the vote was not renewed before it expired"
    );
    driver
        .balancer
        .on_vote_reply(driver.now, VoteReply::Counted);
    driver.serve(1200, 0, ms(20), |_| Outcome::Succeeded);
    assert_eq!(
        driver.last_verdict(),
        Some(Verdict::Withdraw),
        "the vote was not withdrawn after the regression ended"
    );
}

#[test]
fn holds_nothing_for_a_class_that_the_earlier_build_also_fails() {
    let mut driver = canary_rollout(|_| {});
    let answer_count = std::cell::Cell::new(0);
    driver.serve(300, 0, ms(20), |_| {
        answer_count.set(answer_count.get() + 1);
        outcome_if(answer_count.get() % 5 == 0, Outcome::Failed)
    });
    assert!(driver.votes.is_empty(), "{:?}", driver.log_lines);
}

#[test]
fn holds_nothing_for_a_class_without_baseline() {
    let mut driver = canary_rollout(|_| {});
    driver.serve(120, 2, ms(20), |_| Outcome::Failed);
    assert!(driver.votes.is_empty(), "{:?}", driver.log_lines);
}

#[test]
fn holds_nothing_on_few_outcomes_of_the_canary() {
    let mut driver = canary_rollout(|_| {});
    let before = attempts_to(&driver, 8);
    while attempts_to(&driver, 8) < before + 9 {
        driver.serve(1, 0, ms(20), failing(8));
    }
    assert!(driver.votes.is_empty(), "{:?}", driver.log_lines);
}

#[test]
fn holds_a_failing_canary_and_rolls_it_back_once_it_is_released() {
    let mut driver = canary_rollout(|_| {});
    driver.serve(150, 0, ms(20), failing(8));
    assert!(
        driver.votes.iter().all(|v| v.1.verdict == Verdict::Hold),
        "vote other than a hold on a canary"
    );
    driver
        .balancer
        .on_vote_reply(driver.now, VoteReply::Counted);
    driver.update_rollout(RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(8, 2, 1.0)
    });
    let before = attempts_to(&driver, 8);
    driver.serve(200, 0, ms(20), failing(8));
    assert!(attempts_to(&driver, 8) > before);
    assert_eq!(driver.last_verdict(), Some(Verdict::RollBack));
}

#[test]
fn sends_little_to_a_regressed_build() {
    let mut driver = canary_rollout(|_| {});
    driver.serve(150, 0, ms(20), failing(8));
    let (before, all) = (attempts_to(&driver, 8), driver.forwarded.len());
    driver.serve(200, 0, ms(20), failing(8));
    assert!((attempts_to(&driver, 8) - before) * 10 < driver.forwarded.len() - all);
}

#[test]
fn ignores_one_faulty_endpoint_of_several() {
    let mut driver = canary_rollout(|_| {});
    driver.update_endpoints(&[
        endpoint_entry(10, 8, Some(1100)),
        endpoint_entry(11, 8, Some(1100)),
    ]);
    driver.serve(60, 0, ms(20), |_| Outcome::Succeeded);
    driver.serve(300, 0, ms(20), |e| {
        if e.endpoint == 8 {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        }
    });
    assert!(driver.votes.is_empty(), "{:?}", driver.log_lines);
}

#[test]
fn counts_client_reported_errors_as_failures() {
    let mut driver = canary_rollout(|_| {});
    driver.serve(100, 0, ms(20), |_| Outcome::Succeeded);
    for i in 0..6 {
        driver
            .balancer
            .on_client_reported_error(driver.now, 8 + i % 2, 0, ms(50));
    }
    driver.advance(ms(300));
    assert_eq!(
        driver.last_verdict(),
        Some(Verdict::Hold),
        "{:?}",
        driver.log_lines
    );
}

/// Wrong answers do not come from a faulty endpoint, and the hold of one agent keeps only its own
/// requests from the build. So they lead to a vote to roll back once the hold is counted, while
/// failures do not.
#[test]
fn rolls_back_for_wrong_answers_once_the_hold_stands_but_not_for_failures() {
    for wrong in [true, false] {
        let mut driver = canary_rollout(|_| {});
        driver.serve(100, 0, ms(20), |_| Outcome::Succeeded);
        for i in 0..6 {
            match wrong {
                true => driver
                    .balancer
                    .on_client_reported_error(driver.now, 8 + i % 2, 0, ms(50)),
                false => driver.serve(8, 0, ms(20), failing(8)),
            }
        }
        driver.advance(ms(300));
        assert_eq!(
            driver.last_verdict(),
            Some(Verdict::Hold),
            "{:?}",
            driver.log_lines
        );
        driver
            .balancer
            .on_vote_reply(driver.now, VoteReply::Counted);
        driver.advance(ms(600));
        let expected = if wrong {
            Verdict::RollBack
        } else {
            Verdict::Hold
        };
        assert_eq!(
            driver.last_verdict(),
            Some(expected),
            "{:?}",
            driver.log_lines
        );
    }
}

#[test]
fn keeps_the_baseline_when_a_faulty_endpoint_loses_answers() {
    let mut driver = canary_rollout(|_| {});
    for _ in 0..20 {
        driver.serve(5, 0, ms(20), |e| match e {
            e if e.build == 8 => Outcome::Failed,
            e if e.endpoint < 3 => Outcome::ConnectionLost,
            _ => Outcome::Succeeded,
        });
    }
    assert_eq!(
        driver.last_verdict(),
        Some(Verdict::Hold),
        "{:?}",
        driver.log_lines
    );
}

#[test]
fn holds_when_all_answers_are_slow_after_a_start_but_not_when_some_are() {
    for (slow, is_held) in [(0..99, true), (2..3, false)] {
        let mut driver = canary_rollout(|d| d.rollout.caps[0] = 1.0);
        driver.update_endpoints(&[endpoint_entry(10, 8, Some(driver.now.as_millis() as u64))]);
        for _ in 0..120 {
            let id = driver.requests.len() as u64;
            if let Decision::Forward { endpoint, .. } = driver.send_request(id, 0, ms(1500)) {
                driver.advance(if slow.contains(&endpoint) {
                    ms(45)
                } else {
                    ms(15)
                });
                driver.end_attempt(id, 0, Outcome::Succeeded);
            }
        }
        assert_eq!(!driver.votes.is_empty(), is_held, "{:?}", driver.log_lines);
    }
}

#[test]
fn sends_an_uncertain_vote_again_and_backs_off_after_refusals() {
    let mut driver = canary_rollout(|_| {});
    while driver.votes.is_empty() {
        driver.serve(1, 0, ms(20), failing(8));
    }
    driver.serve(30, 0, ms(20), failing(8));
    assert_eq!(
        driver.votes.len(),
        1,
        "second vote before the reply to the first"
    );
    driver.balancer.on_vote_reply(driver.now, VoteReply::Moot);
    driver.serve(30, 0, ms(20), failing(8));
    for n in 3..6 {
        driver.balancer.on_vote_reply(
            driver.now,
            if n == 3 {
                VoteReply::Unknown
            } else {
                VoteReply::Refused
            },
        );
        let (from, votes) = (driver.now, driver.votes.len());
        while driver.votes.len() == votes {
            driver.serve(1, 0, ms(20), failing(8));
        }
        assert!(driver.now - from >= ms(250 << (n - 2)).min(ms(2000)));
    }
}

#[test]
fn rolls_back_a_lasting_regression_that_replaced_endpoints_in_place() {
    let mut driver = canary_rollout(|d| d.rollout.in_place = true);
    driver.update_endpoints(
        &(0..4)
            .map(|i| EndpointEntry {
                state: EndpointState::Gone,
                ..endpoint_entry(i, 7, None)
            })
            .collect::<Vec<_>>(),
    );
    driver.serve(250, 0, ms(20), failing(8));
    driver
        .balancer
        .on_vote_reply(driver.now, VoteReply::Counted);
    driver.serve(50, 0, ms(20), failing(8));
    assert_eq!(driver.last_verdict(), Some(Verdict::RollBack));
}

#[test]
fn requests_that_fail_on_every_endpoint_count_against_no_endpoint_or_build() {
    let mut driver = canary_rollout(|d| d.rollout.caps[0] = 1.0);
    for id in 9000..9200 {
        driver.send_request(id, 0, ms(1500));
        while let Some(n) = driver.requests[&id]
            .attempts
            .iter()
            .position(|d| d.ended.is_none())
        {
            driver.advance(ms(10));
            driver.end_attempt(
                id,
                n,
                if id % 3 == 0 {
                    Outcome::Failed
                } else {
                    Outcome::Succeeded
                },
            );
        }
        driver.advance(ms(10));
    }
    assert!(driver.votes.is_empty(), "{:?}", driver.log_lines);
    let ejected = driver
        .log_lines
        .iter()
        .filter(|n| n.starts_with("ejected"))
        .count();
    assert!(ejected < 4, "{:?}", driver.log_lines);
    let retries: usize = (9100..9200)
        .map(|id| driver.requests[&id].attempts.len() - 1)
        .sum();
    assert!(
        retries < 20,
        "requests that fail on every endpoint were retried {retries} times"
    );
}

/// A rollout whose earlier build answered fast and whose build 8 is a canary. Two of the four
/// agents must vote to roll it back.
fn canary_rollout_with_agreement() -> Harness {
    canary_rollout(|d| (d.agents, d.rollout.votes_to_roll_back) = (4, 2))
}

fn voted_to_roll_back(driver: &Harness, build: u32) -> bool {
    driver
        .votes
        .iter()
        .any(|(_, v)| v.build == build && v.verdict == Verdict::RollBack)
}

/// Guards against a build that slows requests so much that hardly any is answered and only the few
/// fast answers are measured. The check does harm where endpoints hang while the other answers are
/// slow, because it then rolls back a good build.
#[test]
fn rolls_back_a_build_whose_requests_stay_in_flight() {
    for hangs in [true, false] {
        let mut driver = canary_rollout_with_agreement();
        for n in 0..80 {
            let id = driver.requests.len() as u64;
            driver.send_request(id, 0, ms(6000));
            driver.advance(ms(30));
            if n % 4 == 0 || !hangs {
                driver.end_attempt(id, 0, Outcome::Succeeded);
            }
            driver.advance(ms(20));
        }
        assert_eq!(
            voted_to_roll_back(&driver, 8),
            hangs,
            "{:?}",
            driver.log_lines
        );
    }
}

/// Guards against blaming a good build for latencies that the fleet already had before it.
#[test]
fn evaluates_a_build_against_the_latencies_of_the_build_released_before_it() {
    let mut driver = canary_rollout_with_agreement();
    driver.update_rollout(RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(8, 0, 1.0)
    });
    driver.serve(50, 0, ms(100), |_| Outcome::Succeeded);
    driver.update_rollout(canary_status(9, 0, 0.5));
    driver.update_endpoints(&[
        endpoint_entry(10, 9, Some(driver.now.as_millis() as u64)),
        endpoint_entry(11, 9, Some(driver.now.as_millis() as u64)),
    ]);
    driver.serve(30, 0, ms(100), |_| Outcome::Succeeded);
    assert!(!voted_to_roll_back(&driver, 9), "{:?}", driver.log_lines);
}
