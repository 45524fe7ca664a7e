//! Links, random draws, and simulations whose injected faults must be reported as violations.

use std::time::Duration;
use tulipwall::{EndpointState, Idempotency};
use tulipwall_testkit::simulation::network::Network;
use tulipwall_testkit::simulation::random::Random;
use tulipwall_testkit::simulation::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn two_agents(seed: u64) -> Simulation {
    let agent = || SimulatedAgent {
        zone: 0,
        load_share: 0.5,
        zoning: None,
    };
    let endpoints = (0..4).map(|_| SimulatedEndpoint::new(0, 41, 4)).collect();
    let agents = vec![agent(), agent()];
    Simulation::small(agents, endpoints, 200.0, Duration::from_secs(10), seed)
}

fn violates(report: &SimulationReport, rule: &str) -> bool {
    let mut violations = report.violations.iter();
    violations.any(|violation| violation.to_string().starts_with(rule))
}

#[test]
fn a_link_has_a_delay_per_direction_and_loses_messages_only_between_zones() {
    let delays = vec![vec![ms(1), ms(2)], vec![ms(5), ms(1)]];
    let mut network = Network::new(delays, 1.0);
    assert_eq!(network.round_trip(0, 1), ms(7));
    network.set_delay(0, 1, ms(3));
    assert_eq!((network.delay(0, 1), network.delay(1, 0)), (ms(3), ms(5)));
    let mut random = Random::new(1);
    assert!(network.loses(0, 1, &mut random));
    assert!(!network.loses(0, 0, &mut random));
}

#[test]
fn a_link_without_loss_makes_no_random_draw() {
    let network = Network::new(vec![vec![ms(1); 2]; 2], 0.0);
    let mut random = Random::new(1);
    assert!(!network.loses(0, 1, &mut random));
    assert_eq!(random.below(1 << 40), Random::new(1).below(1 << 40));
}

#[test]
fn indices_are_drawn_by_weight() {
    let mut random = Random::new(1);
    let mut drawn = [0; 3];
    for _ in 0..10_000 {
        drawn[random.weighted_index([0.5, 0.0, 1.5].into_iter())] += 1;
    }
    assert_eq!(drawn[1], 0);
    assert!((2300..2700).contains(&drawn[0]), "{drawn:?}");
}

#[test]
fn equal_seeds_give_equal_decisions_and_different_seeds_do_not() {
    let digest = |seed| two_agents(seed).run().digest;
    assert_eq!(digest(1), digest(1));
    assert_ne!(digest(1), digest(2));
}

#[test]
fn a_simulation_without_faults_violates_no_rule_and_answers_every_request() {
    let report = two_agents(1).run();
    assert_eq!((report.violations, report.unanswered), (Vec::new(), 0));
    assert!(report.requests > 1000 && report.succeeded == report.requests);
}

#[test]
fn an_agent_that_treats_payments_as_idempotent_violates_rule_2() {
    let mut simulation = two_agents(1);
    let faults = &mut simulation.injected_faults;
    faults.idempotency.insert(2, Idempotency::Idempotent);
    let failing = ScenarioEvent::SetFailureRate(0, 0.8);
    simulation.events.push((Duration::from_secs(1), failing));
    assert!(violates(&simulation.run(), "rule 2"));
}

#[test]
fn an_agent_that_is_not_notified_of_a_drain_violates_rule_3() {
    let mut simulation = two_agents(1);
    simulation.injected_faults.hide_drains = true;
    let drains = ScenarioEvent::SetState(0, EndpointState::Draining);
    simulation.events.push((Duration::from_secs(2), drains));
    assert!(violates(&simulation.run(), "rule 3"));
}
