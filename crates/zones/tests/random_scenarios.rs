//! Random scenarios break no rule, and equal scenarios result in equal decisions.

mod scenarios;

use rand::{Rng, SeedableRng};
use scenarios::*;
use tulipwall::*;
use tulipwall_testkit::simulation::{ScenarioEvent, SimulatedAgent};
use tulipwall_zones::*;

#[test]
fn random_scenarios_keep_the_rules() {
    for seed in 0..24u64 {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let limits = [
            Limit::Attempts(200.0),
            Limit::Bytes(1e5),
            Limit::Money(0.5),
            Limit::Share(0.05),
        ];
        let limit = limits[rng.gen_range(0..4)];
        let window = seconds(rng.gen_range(1..8));
        let mut scenario = two_zones(seed, vec![budget(limit, window)]);
        let local = scenario.agents[0].zoning.clone().unwrap();
        let other = ZoneConfig {
            local_zone: 1,
            ..local
        };
        scenario.agents.push(SimulatedAgent {
            zone: 1,
            load_share: rng.gen_range(0.1..2.0),
            zoning: Some(other),
        });
        scenario.request_rate = rng.gen_range(200.0..900.0);
        scenario.duration = seconds(16);
        for _ in 0..rng.gen_range(3..14) {
            let at = millis(rng.gen_range(2000..15_000));
            let n = rng.gen_range(0..8);
            let event = match rng.gen_range(0..9) {
                0 => ScenarioEvent::SetState(n, EndpointState::Draining),
                1 => ScenarioEvent::SetState(n, EndpointState::Gone),
                2 => ScenarioEvent::Restart(n),
                3 => ScenarioEvent::MoveToZone(n, rng.gen_range(0..2)),
                4 => ScenarioEvent::SetWorkFactor(n, rng.gen_range(0.8..8.0)),
                5 => ScenarioEvent::SetFailureRate(n, rng.gen_range(0.0..0.6)),
                6 => ScenarioEvent::SetRequestRate(rng.gen_range(100.0..900.0)),
                7 => ScenarioEvent::StallAgent(n % 2, millis(rng.gen_range(100..2000))),
                _ => ScenarioEvent::SetLinkDelay(n % 2, (n + 1) % 2, millis(rng.gen_range(1..40))),
            };
            scenario.events.push((at, event));
        }
        let report = scenario.run();
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:?}",
            &report.violations[..report.violations.len().min(3)]
        );
    }
}

#[test]
fn equal_scenarios_have_equal_digests() {
    let digest_with = |budgets| two_zones(17, budgets).run().digest;
    assert_eq!(
        digest_with(exhausted_budget()),
        digest_with(exhausted_budget())
    );
    assert_ne!(digest_with(exhausted_budget()), digest_with(Vec::new()));
}
