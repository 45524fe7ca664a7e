//! How the newest build is evaluated and voted on, a small case for each fault that was found.

mod harness;

use harness::*;
use tulipwall::*;

#[test]
fn holds_a_class_that_only_the_canary_fails_renews_and_withdraws_the_vote() {
    let mut w = canary_rollout(|_| {});
    w.serve(150, 0, ms(20), failing(8));
    assert_eq!(w.last_verdict(), Some(Verdict::Hold), "{:?}", w.log_lines);
    assert_eq!(w.votes.last().map(|v| (v.1.build, v.1.stage)), Some((8, 0)));
    let first = w.votes.len();
    w.balancer.on_vote_reply(w.now, VoteReply::Counted);
    w.serve(150, 0, ms(20), failing(8));
    assert!(w.votes.len() > first, "renewed before its life is over");
    w.balancer.on_vote_reply(w.now, VoteReply::Counted);
    w.serve(1200, 0, ms(20), |_| Outcome::Succeeded);
    assert_eq!(
        w.last_verdict(),
        Some(Verdict::Withdraw),
        "lifted once nothing shows"
    );
}

#[test]
fn holds_nothing_for_a_class_that_the_earlier_build_also_fails() {
    let mut w = canary_rollout(|_| {});
    let flip = std::cell::Cell::new(0);
    w.serve(300, 0, ms(20), |_| {
        flip.set(flip.get() + 1);
        outcome_if(flip.get() % 5 == 0, Outcome::Failed)
    });
    assert!(w.votes.is_empty(), "{:?}", w.log_lines);
}

#[test]
fn holds_nothing_for_a_class_without_baseline() {
    let mut w = canary_rollout(|_| {});
    w.serve(120, 2, ms(20), |_| Outcome::Failed);
    assert!(w.votes.is_empty(), "{:?}", w.log_lines);
}

#[test]
fn holds_nothing_on_few_outcomes_of_the_canary() {
    let mut w = canary_rollout(|_| {});
    let before = attempts_to(&w, 8);
    while attempts_to(&w, 8) < before + 9 {
        w.serve(1, 0, ms(20), failing(8));
    }
    assert!(w.votes.is_empty(), "{:?}", w.log_lines);
}

#[test]
fn uses_a_released_build_and_rolls_it_back_only_after_the_release() {
    let mut w = canary_rollout(|_| {});
    w.serve(150, 0, ms(20), failing(8));
    assert!(
        w.votes.iter().all(|v| v.1.verdict == Verdict::Hold),
        "a hold protects while it is a canary"
    );
    w.balancer.on_vote_reply(w.now, VoteReply::Counted);
    w.update_rollout(RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(8, 2, 1.0)
    });
    let before = attempts_to(&w, 8);
    w.serve(200, 0, ms(20), failing(8));
    assert!(attempts_to(&w, 8) > before);
    assert_eq!(w.last_verdict(), Some(Verdict::RollBack));
}

#[test]
fn sends_little_to_a_regressed_build() {
    let mut w = canary_rollout(|_| {});
    w.serve(150, 0, ms(20), failing(8));
    let (before, all) = (attempts_to(&w, 8), w.forwarded.len());
    w.serve(200, 0, ms(20), failing(8));
    assert!((attempts_to(&w, 8) - before) * 10 < w.forwarded.len() - all);
}

#[test]
fn ignores_one_faulty_endpoint_of_several() {
    let mut w = canary_rollout(|_| {});
    w.update_endpoints(&[
        endpoint_entry(10, 8, Some(1100)),
        endpoint_entry(11, 8, Some(1100)),
    ]);
    w.serve(60, 0, ms(20), |_| Outcome::Succeeded);
    w.serve(300, 0, ms(20), |e| {
        if e.endpoint == 8 {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        }
    });
    assert!(w.votes.is_empty(), "{:?}", w.log_lines);
}

#[test]
fn counts_client_reported_errors_as_failures() {
    let mut w = canary_rollout(|_| {});
    w.serve(100, 0, ms(20), |_| Outcome::Succeeded);
    for i in 0..6 {
        w.balancer
            .on_client_reported_error(w.now, 8 + i % 2, 0, ms(50));
    }
    w.advance(ms(300));
    assert_eq!(w.last_verdict(), Some(Verdict::Hold), "{:?}", w.log_lines);
}

/// The hold of one agent keeps only its own requests from the build; wrong answers come from no
/// faulty endpoint.
#[test]
fn rolls_back_for_wrong_answers_once_the_hold_stands_but_not_for_failures() {
    for wrong in [true, false] {
        let mut w = canary_rollout(|_| {});
        w.serve(100, 0, ms(20), |_| Outcome::Succeeded);
        for i in 0..6 {
            match wrong {
                true => w
                    .balancer
                    .on_client_reported_error(w.now, 8 + i % 2, 0, ms(50)),
                false => w.serve(8, 0, ms(20), failing(8)),
            }
        }
        w.advance(ms(300));
        assert_eq!(w.last_verdict(), Some(Verdict::Hold), "{:?}", w.log_lines);
        w.balancer.on_vote_reply(w.now, VoteReply::Counted);
        w.advance(ms(600));
        let then = if wrong {
            Verdict::RollBack
        } else {
            Verdict::Hold
        };
        assert_eq!(w.last_verdict(), Some(then), "{:?}", w.log_lines);
    }
}

#[test]
fn keeps_the_baseline_when_a_faulty_endpoint_loses_answers() {
    let mut w = canary_rollout(|_| {});
    for _ in 0..20 {
        w.serve(5, 0, ms(20), |e| match e {
            e if e.build == 8 => Outcome::Failed,
            e if e.endpoint < 3 => Outcome::ConnectionLost,
            _ => Outcome::Succeeded,
        });
    }
    assert_eq!(w.last_verdict(), Some(Verdict::Hold), "{:?}", w.log_lines);
}

#[test]
fn holds_when_all_answers_are_slow_after_a_start_but_not_when_some_are() {
    for (slow, is_held) in [(0..99, true), (2..3, false)] {
        let mut w = canary_rollout(|d| d.rollout.caps[0] = 1.0);
        w.update_endpoints(&[endpoint_entry(10, 8, Some(w.now.as_millis() as u64))]);
        for _ in 0..120 {
            let id = w.requests.len() as u64;
            if let Decision::Forward { endpoint, .. } = w.send_request(id, 0, ms(1500)) {
                w.advance(if slow.contains(&endpoint) {
                    ms(45)
                } else {
                    ms(15)
                });
                w.end_attempt(id, 0, Outcome::Succeeded);
            }
        }
        assert_eq!(!w.votes.is_empty(), is_held, "{:?}", w.log_lines);
    }
}

#[test]
fn sends_an_uncertain_vote_again_and_backs_off_after_refusals() {
    let mut w = canary_rollout(|_| {});
    while w.votes.is_empty() {
        w.serve(1, 0, ms(20), failing(8));
    }
    w.serve(30, 0, ms(20), failing(8));
    assert_eq!(w.votes.len(), 1, "one at a time");
    w.balancer.on_vote_reply(w.now, VoteReply::Moot);
    w.serve(30, 0, ms(20), failing(8));
    for n in 3..6 {
        w.balancer.on_vote_reply(
            w.now,
            if n == 3 {
                VoteReply::Unknown
            } else {
                VoteReply::Refused
            },
        );
        let (from, votes) = (w.now, w.votes.len());
        while w.votes.len() == votes {
            w.serve(1, 0, ms(20), failing(8));
        }
        assert!(w.now - from >= ms(250 << (n - 2)).min(ms(2000)));
    }
}

#[test]
fn rolls_back_a_lasting_regression_that_replaced_endpoints_in_place() {
    let mut w = canary_rollout(|d| d.rollout.in_place = true);
    w.update_endpoints(
        &(0..4)
            .map(|i| EndpointEntry {
                state: EndpointState::Gone,
                ..endpoint_entry(i, 7, None)
            })
            .collect::<Vec<_>>(),
    );
    w.serve(250, 0, ms(20), failing(8));
    w.balancer.on_vote_reply(w.now, VoteReply::Counted);
    w.serve(50, 0, ms(20), failing(8));
    assert_eq!(w.last_verdict(), Some(Verdict::RollBack));
}

#[test]
fn blames_no_endpoint_or_build_for_requests_that_fail_anywhere() {
    let mut w = canary_rollout(|d| d.rollout.caps[0] = 1.0);
    for id in 9000..9200 {
        w.send_request(id, 0, ms(1500));
        while let Some(n) = w.requests[&id]
            .attempts
            .iter()
            .position(|d| d.ended.is_none())
        {
            w.advance(ms(10));
            w.end_attempt(
                id,
                n,
                if id % 3 == 0 {
                    Outcome::Failed
                } else {
                    Outcome::Succeeded
                },
            );
        }
        w.advance(ms(10));
    }
    assert!(w.votes.is_empty(), "{:?}", w.log_lines);
    let ejected = w
        .log_lines
        .iter()
        .filter(|n| n.starts_with("ejected"))
        .count();
    assert!(ejected < 4, "{:?}", w.log_lines);
    let retries: usize = (9100..9200)
        .map(|id| w.requests[&id].attempts.len() - 1)
        .sum();
    assert!(
        retries < 20,
        "what fails anywhere is hardly tried again: {retries}"
    );
}

/// One of four agents of which two must agree; the earlier build answered fast, build 8 is a canary.
fn canary_rollout_with_agreement() -> Harness {
    canary_rollout(|d| (d.agents, d.rollout.votes_to_roll_back) = (4, 2))
}

fn voted_to_roll_back(w: &Harness, build: u32) -> bool {
    w.votes
        .iter()
        .any(|(_, v)| v.build == build && v.verdict == Verdict::RollBack)
}

/// Guards against a build that slows all so much that hardly an answer comes: what came was fast
/// enough. Rolls back a good one where endpoints hang while the other answers are slow.
#[test]
fn detects_a_build_that_slows_all_by_the_requests_in_flight() {
    for hangs in [true, false] {
        let mut w = canary_rollout_with_agreement();
        for n in 0..80 {
            let id = w.requests.len() as u64;
            w.send_request(id, 0, ms(6000));
            w.advance(ms(30));
            if n % 4 == 0 || !hangs {
                w.end_attempt(id, 0, Outcome::Succeeded);
            }
            w.advance(ms(20));
        }
        assert_eq!(voted_to_roll_back(&w, 8), hangs, "{:?}", w.log_lines);
    }
}

/// Guards good builds against what the fleet already bore before them.
#[test]
fn evaluates_a_build_against_latencies_under_the_one_released_before_it() {
    let mut w = canary_rollout_with_agreement();
    w.update_rollout(RolloutStatus {
        phase: RolloutPhase::Released,
        ..canary_status(8, 0, 1.0)
    });
    w.serve(50, 0, ms(100), |_| Outcome::Succeeded);
    w.update_rollout(canary_status(9, 0, 0.5));
    w.update_endpoints(&[
        endpoint_entry(10, 9, Some(w.now.as_millis() as u64)),
        endpoint_entry(11, 9, Some(w.now.as_millis() as u64)),
    ]);
    w.serve(30, 0, ms(100), |_| Outcome::Succeeded);
    assert!(!voted_to_roll_back(&w, 9), "{:?}", w.log_lines);
}
