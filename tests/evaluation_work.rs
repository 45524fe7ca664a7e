//! An evaluation scans a bounded number of endpoints, whatever the size of the fleet.

use tulipwall::*;

mod harness;
use harness::{canary_status, default_settings, endpoint_entry, ms};

const EVALUATIONS: u64 = 50;
/// Maximum endpoints scanned by an idle evaluation: a sample of 512 of each of the two peer groups
/// that one endpoint type has during a rollout.
const MAX_SCANNED: u64 = 2 * 512;

/// A fleet past its slow start of which a third runs a canary, with no attempts in flight.
fn idle_fleet(endpoints: usize) -> Balancer {
    let mut balancer = Balancer::new(ms(1_000), default_settings(1));
    let build_of = |index: usize| if index.is_multiple_of(3) { 8 } else { 7 };
    let entries: Vec<EndpointEntry> = (0..endpoints)
        .map(|index| endpoint_entry(index, build_of(index), None))
        .collect();
    balancer.update_endpoints(ms(1_000), &entries, true);
    balancer.update_rollout(canary_status(8, 0, 0.5));
    balancer
}

#[test]
fn an_idle_evaluation_scans_a_bounded_number_of_endpoints() {
    for endpoints in [55, 770, 7_700] {
        let mut balancer = idle_fleet(endpoints);
        balancer.poll(ms(1_000));
        let before = balancer.endpoints_scanned();
        for evaluation in 1..=EVALUATIONS {
            balancer.poll(ms(1_000 + 100 * evaluation));
        }
        let scanned = balancer.endpoints_scanned() - before;
        let limit = EVALUATIONS * MAX_SCANNED.min(endpoints as u64);
        assert!(scanned <= limit, "{endpoints} endpoints: {scanned} scanned");
        assert!(scanned > 0, "{endpoints} endpoints: none scanned");
    }
}
