//! Tests of the agent selection: load, ejection, probing, and the pacing of connections.

use std::time::Duration;
use tulipwall_client_policy::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn selector(agents: usize, seed: u64) -> AgentSelector {
    AgentSelector::new(ConnectionPolicy::default(), agents, seed)
}

#[test]
fn sends_fewer_calls_to_a_slow_agent() {
    let mut selector = selector(3, 1);
    // The third agent responds ten times slower than the others. Each iteration is one millisecond.
    let (mut in_flight, mut calls): (Vec<(u64, usize)>, [u32; 3]) = (Vec::new(), [0; 3]);
    for now in 0..5000u64 {
        if let Selection::Agent(agent) = selector.select(ms(now), None, |_| true) {
            calls[agent] += 1;
            in_flight.push((now + if agent == 2 { 50 } else { 5 }, agent));
        }
        in_flight.retain(|(at, agent)| {
            let ended = *at <= now;
            if ended {
                selector.on_attempt_end(ms(now), *agent, AttemptSignal::Success);
            }
            !ended
        });
    }
    assert!(calls[2] * 3 < calls[0], "{calls:?}");
}

#[test]
fn ejects_an_agent_that_fails_and_probes_it_one_call_at_a_time() {
    let mut selector = selector(1, 2);
    for _ in 0..3 {
        assert_eq!(selector.select(ms(0), None, |_| true), Selection::Agent(0));
        selector.on_attempt_end(ms(0), 0, AttemptSignal::Failure);
    }
    let Selection::NotBefore(until) = selector.select(ms(0), None, |_| true) else {
        panic!("expected the agent to be ejected")
    };
    assert!(until >= ms(50) && until <= ms(100));
    assert_eq!(selector.select(until, None, |_| true), Selection::Agent(0));
    assert!(
        matches!(
            selector.select(until, None, |_| true),
            Selection::NotBefore(_)
        ),
        "expected one probe at a time"
    );
    selector.on_attempt_end(until, 0, AttemptSignal::Success);
    assert_eq!(
        selector.health(0),
        AgentHealth::Probing { max_in_flight: 2 }
    );
    assert_eq!(selector.select(until, None, |_| true), Selection::Agent(0));
    selector.on_attempt_end(until, 0, AttemptSignal::Failure);
    assert!(
        matches!(selector.health(0), AgentHealth::Ejected { until: at } if at > until),
        "expected a new ejection at the first failure while probing"
    );
}

#[test]
fn sends_a_retry_to_another_agent_and_nothing_to_one_that_drains() {
    let mut selector = selector(2, 3);
    assert!((0..50).all(|_| selector.select(ms(0), Some(1), |_| true) == Selection::Agent(0)));
    selector.on_draining(ms(0), 0);
    assert!(
        (0..50).all(|_| selector.select(ms(0), Some(1), |_| true) == Selection::Agent(1)),
        "expected the excluded agent, as no other is left"
    );
}

#[test]
fn selects_an_agent_before_its_reconnect_time_only_with_an_idle_connection() {
    let mut selector = selector(2, 5);
    selector.on_connection_loss(ms(0), 0);
    assert!((0..50).all(|_| selector.select(ms(0), None, |_| false) == Selection::Agent(1)));
    assert!(
        (0..50).any(|_| selector.select(ms(0), None, |agent| agent == 0) == Selection::Agent(0))
    );
    selector.on_connection_loss(ms(0), 1);
    assert!(
        matches!(selector.select(ms(0), None, |_| false), Selection::NotBefore(at) if at > ms(0) && at < ms(3000))
    );
}

#[test]
fn reconnects_sooner_to_an_agent_that_evicts_idle_connections_than_to_a_lost_one() {
    let reconnect_wait = |selector: &mut AgentSelector, now| match selector.try_connect(now, 0) {
        ConnectDecision::NotBefore(at) => at - now,
        _ => ms(0),
    };
    let first: Vec<Duration> = (0..50)
        .map(|seed| {
            let mut selector = selector(1, seed);
            selector.on_idle_close(ms(1000), 0);
            reconnect_wait(&mut selector, ms(1000))
        })
        .collect();
    assert!(
        first.iter().max() > Some(&ms(2500)),
        "expected the full reconnect spread, as after a loss"
    );
    let mut selector = selector(1, 7);
    selector.on_idle_close(ms(1000), 0);
    selector.on_idle_close(ms(9000), 0);
    assert!(reconnect_wait(&mut selector, ms(9000)) <= ms(300));
}

/// When each of this many clients reconnects after all lost their connections at the same time.
fn reconnect_times(clients: u64) -> Vec<Duration> {
    let open = |seed| {
        let mut selector = selector(1, seed);
        selector.on_connection_loss(ms(1000), 0);
        match selector.try_connect(ms(1000), 0) {
            ConnectDecision::NotBefore(at) => at,
            ConnectDecision::Connect => ms(1000),
            ConnectDecision::AtLimit => panic!("unexpected limit: no connection is being opened"),
        }
    };
    (0..clients).map(open).collect()
}

#[test]
fn spreads_reconnects_over_seconds_for_ten_and_for_ten_thousand_clients() {
    let ten = reconnect_times(10);
    let span = *ten.iter().max().unwrap() - *ten.iter().min().unwrap();
    assert!(span > ms(1500), "{span:?}");
    let ten_thousand = reconnect_times(10_000);
    let reconnects_in_interval = |n: u64| {
        ten_thousand
            .iter()
            .filter(|t| t.as_millis() as u64 / 100 == 10 + n)
            .count()
    };
    let (peak, mean) = (
        (0..30).map(reconnects_in_interval).max().unwrap(),
        10_000.0 / 30.0,
    );
    assert!(
        peak as f64 / mean < 1.3,
        "at most {peak} reconnects in 100 ms, {mean} on average"
    );
}

#[test]
fn limits_the_number_and_rate_of_new_connections() {
    let mut selector = selector(1, 4);
    assert!((0..4).all(|_| selector.try_connect(ms(0), 0) == ConnectDecision::Connect));
    assert_eq!(selector.try_connect(ms(0), 0), ConnectDecision::AtLimit);
    let mut opened = 0;
    for now in 0..1000 {
        while selector.try_connect(ms(now), 0) == ConnectDecision::Connect {
            opened += 1;
            selector.on_connect_end(ms(now), 0, true);
        }
        if now == 0 {
            (0..4).for_each(|_| selector.on_connect_end(ms(0), 0, true));
        }
    }
    assert!(
        (45..=54).contains(&opened),
        "expected about 50 connections per second, found {opened}"
    );
    selector.on_connect_end(ms(1000), 0, false);
    assert!(
        matches!(
            selector.try_connect(ms(1000), 0),
            ConnectDecision::NotBefore(_)
        ),
        "expected a delay after a failed connect"
    );
}
