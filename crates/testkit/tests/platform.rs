//! How the fake platform handles calls, without sockets.

use serde_json::{json, Value};
use std::time::Instant;
use tulipwall_testkit::platform::RolloutService;
use tulipwall_testkit::RolloutStatus;

fn service() -> RolloutService {
    RolloutService::new(RolloutStatus::now(42, 1, "trial", 0.25))
}

fn vote(build: u32, stage: usize, opinion: &str) -> Value {
    let params = json!({"image": build, "ring": stage, "opinion": opinion});
    json!({"jsonrpc": "2.0", "id": 7, "method": "Rollout.Judge", "params": params})
}

#[test]
fn rejects_but_records_votes_on_another_build_or_stage() {
    let mut service = service();
    for stale in [vote(41, 1, "abort"), vote(42, 0, "abort")] {
        let result = service.handle_call(Instant::now(), &stale);
        assert_eq!(result.reply["error"]["message"], "ConditionFailed");
        assert!(result.rollout_status.is_none());
    }
    assert_eq!(service.rollout_status.phase, "trial");
    assert_eq!(service.votes.len(), 2);
}

#[test]
fn a_hold_lasts_until_it_is_withdrawn() {
    let mut service = service();
    assert!(!service.is_held());
    service.handle_call(Instant::now(), &vote(42, 1, "pause"));
    assert!(service.is_held());
    service.handle_call(Instant::now(), &vote(42, 1, "abstain"));
    assert!(!service.is_held());
}

#[test]
fn a_vote_to_abort_rolls_the_build_back_and_returns_the_new_status() {
    let mut service = service();
    let result = service.handle_call(Instant::now(), &vote(42, 1, "abort"));
    assert_eq!(result.reply["id"], 7);
    assert_eq!(result.reply["result"]["progress"], "rolling_back");
    assert_eq!(result.rollout_status, Some(service.rollout_status.clone()));
    assert_eq!(
        (service.rollout_status.build, service.rollout_status.cap),
        (42, 0.0)
    );
}

#[test]
fn rejects_unknown_methods_and_unknown_votes() {
    let mut service = service();
    let unknown = json!({"jsonrpc": "2.0", "id": 1, "method": "Rollout.Other", "params": {}});
    for call in [unknown, vote(42, 1, "perhaps")] {
        let result = service.handle_call(Instant::now(), &call);
        assert_eq!(result.reply["error"]["message"], "ValidationError");
        assert!(!result.subscribes);
    }
}
