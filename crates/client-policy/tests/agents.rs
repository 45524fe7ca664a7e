//! Which agent a call goes to, case by case.

use std::time::Duration;
use tulipwall_client_policy::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn endpoints(agents: usize, seed: u64) -> AgentSelector {
    AgentSelector::new(ConnectionPolicy::default(), agents, seed)
}

#[test]
fn a_slow_agent_gets_less_by_its_calls_in_flight() {
    let mut e = endpoints(3, 1);
    // The third answers ten times slower: by turns of a millisecond.
    let (mut out, mut got): (Vec<(u64, usize)>, [u32; 3]) = (Vec::new(), [0; 3]);
    for now in 0..5000u64 {
        if let Selection::Agent(a) = e.select(ms(now), None, |_| true) {
            got[a] += 1;
            out.push((now + if a == 2 { 50 } else { 5 }, a));
        }
        out.retain(|(at, a)| {
            let over = *at <= now;
            if over {
                e.on_attempt_end(ms(now), *a, AttemptSignal::Success);
            }
            !over
        });
    }
    assert!(got[2] * 3 < got[0], "{got:?}");
}

#[test]
fn one_that_fails_rests_and_comes_back_one_call_at_a_time() {
    let mut e = endpoints(1, 2);
    for _ in 0..3 {
        assert_eq!(e.select(ms(0), None, |_| true), Selection::Agent(0));
        e.on_attempt_end(ms(0), 0, AttemptSignal::Failure);
    }
    let Selection::NotBefore(until) = e.select(ms(0), None, |_| true) else {
        panic!("it rests")
    };
    assert!(until >= ms(50) && until <= ms(100));
    assert_eq!(e.select(until, None, |_| true), Selection::Agent(0));
    assert!(
        matches!(e.select(until, None, |_| true), Selection::NotBefore(_)),
        "one at a time"
    );
    e.on_attempt_end(until, 0, AttemptSignal::Success);
    assert_eq!(e.health(0), AgentHealth::Probing { max_in_flight: 2 });
    assert_eq!(e.select(until, None, |_| true), Selection::Agent(0));
    e.on_attempt_end(until, 0, AttemptSignal::Failure);
    assert!(
        matches!(e.health(0), AgentHealth::Ejected { until: at } if at > until),
        "and rests again at the first failure"
    );
}

#[test]
fn a_retry_goes_to_another_agent_and_one_that_leaves_gets_nothing() {
    let mut e = endpoints(2, 3);
    assert!((0..50).all(|_| e.select(ms(0), Some(1), |_| true) == Selection::Agent(0)));
    e.on_draining(ms(0), 0);
    assert!(
        (0..50).all(|_| e.select(ms(0), Some(1), |_| true) == Selection::Agent(1)),
        "the only one that is left"
    );
}

#[test]
fn one_whose_gate_is_closed_is_chosen_only_where_a_connection_waits() {
    let mut e = endpoints(2, 5);
    e.on_connection_loss(ms(0), 0);
    assert!((0..50).all(|_| e.select(ms(0), None, |_| false) == Selection::Agent(1)));
    assert!((0..50).any(|_| e.select(ms(0), None, |a| a == 0) == Selection::Agent(0)));
    e.on_connection_loss(ms(0), 1);
    assert!(
        matches!(e.select(ms(0), None, |_| false), Selection::NotBefore(at) if at > ms(0) && at < ms(3000))
    );
}

#[test]
fn an_agent_that_makes_room_again_and_again_is_not_taken_for_one_that_is_lost() {
    let gate = |e: &mut AgentSelector, now| match e.try_connect(now, 0) {
        ConnectDecision::NotBefore(at) => at - now,
        _ => ms(0),
    };
    let first: Vec<Duration> = (0..50)
        .map(|seed| {
            let mut e = endpoints(1, seed);
            e.on_idle_close(ms(1000), 0);
            gate(&mut e, ms(1000))
        })
        .collect();
    assert!(first.iter().max() > Some(&ms(2500)), "as after a loss");
    let mut e = endpoints(1, 7);
    e.on_idle_close(ms(1000), 0);
    e.on_idle_close(ms(9000), 0);
    assert!(gate(&mut e, ms(9000)) <= ms(300));
}

/// When so many clients, cut at once, open their first connection again.
fn reopened(clients: u64) -> Vec<Duration> {
    let open = |seed| {
        let mut e = endpoints(1, seed);
        e.on_connection_loss(ms(1000), 0);
        match e.try_connect(ms(1000), 0) {
            ConnectDecision::NotBefore(at) => at,
            ConnectDecision::Connect => ms(1000),
            ConnectDecision::AtLimit => panic!("nothing is being opened"),
        }
    };
    (0..clients).map(open).collect()
}

#[test]
fn reconnects_spread_over_seconds_at_ten_clients_and_at_ten_thousand() {
    let ten = reopened(10);
    let span = *ten.iter().max().unwrap() - *ten.iter().min().unwrap();
    assert!(span > ms(1500), "{span:?}");
    let many = reopened(10_000);
    let each = |n: u64| {
        many.iter()
            .filter(|t| t.as_millis() as u64 / 100 == 10 + n)
            .count()
    };
    let (most, mean) = ((0..30).map(each).max().unwrap(), 10_000.0 / 30.0);
    assert!(
        most as f64 / mean < 1.3,
        "{most} in the fullest 100 ms, {mean} in the mean"
    );
}

#[test]
fn new_connections_keep_to_their_number_and_rate() {
    let mut e = endpoints(1, 4);
    assert!((0..4).all(|_| e.try_connect(ms(0), 0) == ConnectDecision::Connect));
    assert_eq!(e.try_connect(ms(0), 0), ConnectDecision::AtLimit);
    let mut opened = 0;
    for now in 0..1000 {
        while e.try_connect(ms(now), 0) == ConnectDecision::Connect {
            opened += 1;
            e.on_connect_end(ms(now), 0, true);
        }
        if now == 0 {
            (0..4).for_each(|_| e.on_connect_end(ms(0), 0, true));
        }
    }
    assert!((45..=54).contains(&opened), "fifty a second: {opened}");
    e.on_connect_end(ms(1000), 0, false);
    assert!(
        matches!(e.try_connect(ms(1000), 0), ConnectDecision::NotBefore(_)),
        "after a refusal it waits"
    );
}
