//! Outcome sums, which are updated at each change, compared with a reference that decays the counts
//! of every endpoint and class at each evaluation interval.

use super::super::evidence::NEGLIGIBLE_OUTCOMES;
use super::super::Balancer;
use super::*;
use crate::interface::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Evaluation intervals in an hour.
const INTERVALS_PER_HOUR: u64 = 36_000;
/// Whether the one endpoint with most of the failures is left out of the sums.
const DISCARDS: [bool; 2] = [false, true];

/// An endpoint of the reference, with counts for each class.
#[derive(Clone, Default)]
struct ReferenceEndpoint {
    build: u32,
    runs: bool,
    is_ejected: bool,
    outcomes: Vec<OutcomeCounts>,
}

impl ReferenceEndpoint {
    fn failures(&self) -> f64 {
        OutcomeCounts::sum(&self.outcomes).failed_or_lost()
    }
}

/// Reference implementation of the evidence.
struct Reference {
    classes: usize,
    newest_build: u32,
    endpoints: Vec<ReferenceEndpoint>,
}

impl Reference {
    fn new(endpoints: usize, classes: usize) -> Reference {
        Reference {
            classes,
            newest_build: 0,
            endpoints: vec![ReferenceEndpoint::default(); endpoints],
        }
    }

    fn start(&mut self, endpoint: usize, build: u32) {
        self.endpoints[endpoint] = ReferenceEndpoint {
            build,
            runs: true,
            is_ejected: false,
            outcomes: vec![OutcomeCounts::default(); self.classes],
        };
    }

    fn end_interval(&mut self) {
        let factor = outcome_decay().factor;
        let newest_build = self.newest_build;
        for endpoint in &mut self.endpoints {
            let total = OutcomeCounts::sum(&endpoint.outcomes).total();
            let is_kept = total <= MIN_BASELINE_OUTCOMES * (1.0 + ROUNDING_ERROR);
            if endpoint.build >= newest_build || !is_kept {
                for counts in &mut endpoint.outcomes {
                    counts.decay(factor);
                }
            }
        }
    }

    fn of_build(&self, build: u32) -> impl Iterator<Item = &ReferenceEndpoint> {
        let running = self.endpoints.iter().filter(|endpoint| endpoint.runs);
        running.filter(move |endpoint| endpoint.build == build)
    }

    fn failing_endpoints(&self, build: u32) -> usize {
        self.of_build(build)
            .filter(|e| OutcomeCounts::sum(&e.outcomes).has_failures())
            .count()
    }

    fn sums_of(&self, build: u32, discards: bool) -> Vec<OutcomeCounts> {
        let is_newest = build >= self.newest_build;
        let mut sums = vec![OutcomeCounts::default(); self.classes];
        let half_of_failures = self
            .of_build(build)
            .map(ReferenceEndpoint::failures)
            .sum::<f64>()
            / 2.0;
        let discards = discards && self.of_build(build).count() > MIN_ENDPOINTS_TO_DISCARD;
        for endpoint in self.of_build(build) {
            if discards && endpoint.failures() > half_of_failures * (1.0 + ROUNDING_ERROR) {
                continue;
            }
            let keeps_lost = is_newest || !endpoint.is_ejected;
            for (sum, counts) in sums.iter_mut().zip(&endpoint.outcomes) {
                let lost = if keeps_lost { counts.lost } else { 0.0 };
                sum.decay_and_add(1.0, &OutcomeCounts { lost, ..*counts });
            }
        }
        sums
    }

    fn renumber(&mut self, targets: &[Vec<usize>]) {
        for endpoint in &mut self.endpoints {
            let before = std::mem::take(&mut endpoint.outcomes);
            endpoint.outcomes = vec![OutcomeCounts::default(); self.classes];
            for (counts, targets) in before.iter().zip(targets) {
                for class in targets {
                    endpoint.outcomes[*class] = *counts;
                }
            }
        }
    }
}

/// The evidence and its reference, which receive the same events.
struct CheckedEvidence {
    evidence: OutcomeEvidence,
    reference: Reference,
}

impl CheckedEvidence {
    fn new(endpoints: usize, classes: usize) -> CheckedEvidence {
        CheckedEvidence {
            evidence: OutcomeEvidence::new(),
            reference: Reference::new(endpoints, classes),
        }
    }

    fn start(&mut self, endpoint: usize, build: u32) {
        self.evidence.start(endpoint, build);
        self.reference.start(endpoint, build);
    }

    fn stop(&mut self, endpoint: usize) {
        let found_counts = self.evidence.stop(endpoint);
        let expected = &mut self.reference.endpoints[endpoint];
        if expected.runs {
            let mut by_class = vec![OutcomeCounts::default(); self.reference.classes];
            for (class, counts) in found_counts {
                by_class[class] = counts;
            }
            assert_close(
                &by_class,
                &expected.outcomes,
                1,
                &"outcomes returned by a stop",
            );
        }
        expected.runs = false;
    }

    fn add(&mut self, endpoint: usize, class: usize, added: OutcomeCounts) {
        self.evidence.add(endpoint, class, &added);
        let expected = &mut self.reference.endpoints[endpoint];
        if expected.runs {
            expected.outcomes[class].decay_and_add(1.0, &added);
        }
    }

    fn retract_failure(&mut self, endpoint: usize, class: usize) {
        self.evidence.retract_failure(endpoint, class);
        if let Some(counts) = self.reference.endpoints[endpoint].outcomes.get_mut(class) {
            counts.failed = (counts.failed - 1.0).max(0.0);
        }
    }

    fn clear_failed(&mut self, endpoint: usize) {
        self.evidence.clear_failed(endpoint);
        for counts in &mut self.reference.endpoints[endpoint].outcomes {
            counts.failed = 0.0;
        }
    }

    fn set_ejected(&mut self, endpoint: usize, is_ejected: bool) {
        self.evidence.set_ejected(endpoint, is_ejected);
        self.reference.endpoints[endpoint].is_ejected = is_ejected;
    }

    fn set_newest_build(&mut self, build: u32) {
        self.evidence.set_newest_build(build);
        self.reference.newest_build = build;
    }

    fn end_intervals(&mut self, intervals: u64) {
        for _ in 0..intervals {
            self.evidence.end_interval();
            self.reference.end_interval();
        }
    }

    fn assert_agree(&self, context: &dyn std::fmt::Debug) {
        let endpoints = self.reference.endpoints.len();
        for build in 0..=self.reference.newest_build + 2 {
            let failing = self.evidence.failing_endpoints(build);
            assert_eq!(
                failing,
                self.reference.failing_endpoints(build),
                "{context:?}"
            );
            for discards in DISCARDS {
                // Endpoints are only left out of the sums of the newest build and of newer ones.
                let discards = discards && build >= self.reference.newest_build;
                let sums = self
                    .evidence
                    .sums_of(build, self.reference.classes, discards);
                let expected = self.reference.sums_of(build, discards);
                let context = (context, build, discards);
                assert_close(&sums, &expected, endpoints, &context);
            }
        }
        for (endpoint, expected) in self.reference.endpoints.iter().enumerate() {
            if expected.runs {
                let total = self.evidence.total_of(endpoint);
                let expected = OutcomeCounts::sum(&expected.outcomes);
                assert_close(
                    &[total],
                    &[expected],
                    self.reference.classes,
                    &(context, endpoint),
                );
            }
        }
    }
}

/// Asserts that counts agree up to rounding and up to the negligible outcomes of `entries` entries,
/// which may have been dropped.
fn assert_close(
    found_counts: &[OutcomeCounts],
    expected_counts: &[OutcomeCounts],
    entries: usize,
    context: &dyn std::fmt::Debug,
) {
    assert_eq!(found_counts.len(), expected_counts.len());
    let forgotten = 2.0 * entries as f64 * NEGLIGIBLE_OUTCOMES;
    for (class, (found_counts, expected_counts)) in
        found_counts.iter().zip(expected_counts).enumerate()
    {
        let pairs = [
            (found_counts.succeeded, expected_counts.succeeded),
            (found_counts.failed, expected_counts.failed),
            (found_counts.reported, expected_counts.reported),
            (found_counts.lost, expected_counts.lost),
        ];
        for (one, other) in pairs {
            let error = (one - other).abs();
            assert!(
                one >= 0.0 && error <= ROUNDING_ERROR * other + forgotten,
                "{context:?}, class {class}: found {found_counts:?}, expected {expected_counts:?}"
            );
        }
    }
}

fn succeeded(count: f64) -> OutcomeCounts {
    OutcomeCounts {
        succeeded: count,
        ..OutcomeCounts::default()
    }
}

fn failed(count: f64) -> OutcomeCounts {
    OutcomeCounts {
        failed: count,
        ..OutcomeCounts::default()
    }
}

/// Returns one outcome, mostly a success.
fn random_outcome(random: &mut Pcg64Mcg) -> OutcomeCounts {
    let mut outcome = OutcomeCounts::default();
    match random.gen_range(0..20) {
        0 => outcome.failed = random.gen_range(0.1..=1.0),
        1 => outcome.lost = 1.0,
        2 => outcome.reported = 1.0,
        _ => outcome.succeeded = 1.0,
    }
    outcome
}

/// Maps each class to its own index, except that two are swapped and at times one is dropped.
fn random_targets(random: &mut Pcg64Mcg, classes: usize) -> Vec<Vec<usize>> {
    let mut targets: Vec<Vec<usize>> = (0..classes).map(|class| vec![class]).collect();
    targets.swap(random.gen_range(0..classes), random.gen_range(0..classes));
    if random.gen_bool(0.5) {
        targets[random.gen_range(0..classes)].clear();
    }
    targets
}

/// Applies a random event to the evidence and to its reference.
fn random_step(checked: &mut CheckedEvidence, random: &mut Pcg64Mcg) {
    let endpoint = random.gen_range(0..checked.reference.endpoints.len());
    let class = random.gen_range(0..checked.reference.classes);
    let newest = checked.reference.newest_build;
    match random.gen_range(0..1000) {
        0..=29 => checked.start(endpoint, newest.saturating_sub(1) + random.gen_range(0..3)),
        30..=44 => checked.stop(endpoint),
        45..=64 => checked.set_ejected(endpoint, random.gen_bool(0.5)),
        65..=94 => checked.retract_failure(endpoint, class),
        95..=99 => checked.clear_failed(endpoint),
        100..=103 => checked.set_newest_build(newest + 1),
        104..=106 => {
            let targets = random_targets(random, checked.reference.classes);
            checked.evidence.renumber_classes(&targets);
            checked.reference.renumber(&targets);
        }
        107..=109 => checked.end_intervals(random.gen_range(0..500)),
        110..=299 => checked.end_intervals(random.gen_range(0..5)),
        _ => {
            for _ in 0..random.gen_range(1..6) {
                let outcome = random_outcome(random);
                checked.add(endpoint, class, outcome);
            }
        }
    }
}

fn run_random_steps(seed: u64, endpoints: usize, classes: usize, steps: usize) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut checked = CheckedEvidence::new(endpoints, classes);
    for endpoint in 0..endpoints {
        checked.start(endpoint, random.gen_range(0..3));
    }
    checked.set_newest_build(1);
    for step in 0..steps {
        random_step(&mut checked, &mut random);
        if step % 10 == 0 {
            checked.assert_agree(&(seed, step));
        }
    }
    checked.assert_agree(&(seed, steps));
}

#[test]
fn sums_match_the_reference_after_random_steps() {
    for seed in 0..200 {
        let endpoints = 1 + seed as usize % 12;
        let classes = [1, 2, 7, 30][seed as usize / 12 % 4];
        run_random_steps(seed, endpoints, classes, 600);
    }
}

#[test]
fn sums_match_the_reference_with_many_classes() {
    for seed in 0..4 {
        run_random_steps(1000 + seed, 4, 400 * (1 + seed as usize), 200);
    }
}

/// Guards against a wrong last interval of an endpoint's decay: its baseline would then decay too
/// far or stop decaying too early.
#[test]
fn outcomes_of_an_earlier_build_decay_to_the_minimum_baseline_and_no_further() {
    for requests in [1, 19, 20, 21, 25, 40, 80, 100, 1000, 100_000] {
        let mut checked = CheckedEvidence::new(1, 2);
        checked.start(0, 1);
        checked.set_newest_build(2);
        checked.add(0, 0, succeeded(f64::from(requests)));
        for intervals in [1, 2, 30, 70, 100, 200, 1200, 100] {
            checked.end_intervals(intervals);
            checked.assert_agree(&(requests, intervals));
        }
        let total = checked.evidence.total_of(0).total();
        assert!(total <= MIN_BASELINE_OUTCOMES * (1.0 + ROUNDING_ERROR));
        assert!(total >= (MIN_BASELINE_OUTCOMES * outcome_decay().factor).min(f64::from(requests)));
    }
}

/// Guards against unbounded decay factors: over long spans they overflow or bring old evidence
/// back.
#[test]
fn counts_unchanged_for_hours_decay_fully_or_to_the_minimum_baseline() {
    let mut checked = CheckedEvidence::new(3, 2);
    checked.start(0, 1);
    checked.start(1, 2);
    checked.start(2, 2);
    checked.set_newest_build(2);
    for endpoint in 0..2 {
        checked.add(endpoint, 0, succeeded(1000.0));
        checked.add(endpoint, 1, failed(10.0));
    }
    for hours in [1, 11, 24] {
        checked.end_intervals(hours * INTERVALS_PER_HOUR);
        checked.assert_agree(&hours);
        let newest = OutcomeCounts::sum(&checked.evidence.sums_of(2, 2, true));
        assert!(newest.total() < NEGLIGIBLE_OUTCOMES, "{newest:?}");
        let earlier = OutcomeCounts::sum(&checked.evidence.sums_of(1, 2, false));
        assert!(earlier.total() > 19.0, "{earlier:?}");
    }
    checked.add(1, 0, succeeded(1.0));
    checked.add(0, 0, succeeded(10.0));
    checked.assert_agree(&"outcomes after 36 hours");
    assert_eq!(checked.evidence.total_of(1).succeeded, 1.0);
    checked.set_newest_build(3);
    checked.assert_agree(&"a newer build exists");
}

#[test]
fn an_endpoint_tracks_only_recently_sent_classes() {
    let (endpoints, classes) = (200, 1600);
    let mut evidence = OutcomeEvidence::new();
    for endpoint in 0..endpoints {
        evidence.start(endpoint, 1);
        evidence.add(endpoint, 0, &succeeded(1.0));
    }
    assert_eq!(tracked_classes(&evidence), endpoints);
    for class in 1..classes {
        evidence.add(0, class, &succeeded(1.0));
    }
    assert_eq!(tracked_classes(&evidence), endpoints + classes - 1);
    // One class carries all traffic from now on; the outcomes of the others are dropped within an
    // hour.
    for interval in 0..INTERVALS_PER_HOUR {
        evidence.end_interval();
        evidence.add(interval as usize % endpoints, 0, &succeeded(1.0));
    }
    assert_eq!(tracked_classes(&evidence), endpoints);
}

/// Guards against unbounded memory: without pruning whenever its number of classes doubles, an
/// endpoint that is always sent new classes would keep all of them.
#[test]
fn an_endpoint_drops_old_classes_while_it_gets_new_ones() {
    let mut evidence = OutcomeEvidence::new();
    evidence.start(0, 1);
    let mut max_tracked = 0;
    for class in 0..1600 {
        evidence.add(0, class, &succeeded(1.0));
        for _ in 0..100 {
            evidence.end_interval();
        }
        max_tracked = max_tracked.max(tracked_classes(&evidence));
    }
    // A single request is negligible after 20 half-lives of 100 intervals each.
    assert!((20..=2 * 22).contains(&max_tracked), "{max_tracked}");
}

fn tracked_classes(evidence: &OutcomeEvidence) -> usize {
    let endpoints = evidence.endpoints.iter();
    endpoints
        .map(|record| record.outcomes.tracked_classes())
        .sum()
}

#[test]
fn a_reused_index_has_no_outcomes_of_the_earlier_endpoint() {
    let mut checked = CheckedEvidence::new(2, 3);
    checked.start(0, 1);
    checked.set_newest_build(1);
    checked.add(0, 1, failed(5.0));
    checked.set_ejected(0, true);
    for build in [1, 2] {
        checked.start(0, build);
        checked.assert_agree(&build);
        assert_eq!(checked.evidence.total_of(0).total(), 0.0);
        assert_eq!(checked.evidence.failing_endpoints(build), 0);
        checked.add(0, 2, succeeded(1.0));
        checked.add(
            0,
            2,
            OutcomeCounts {
                lost: 1.0,
                ..failed(1.0)
            },
        );
        checked.assert_agree(&build);
    }
}

/// Guards against rounding errors of a subtraction: a remainder above zero would look as if the
/// build had been sent requests of the class.
#[test]
fn a_class_sent_to_no_running_endpoint_has_exactly_zero_outcomes() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    for _ in 0..50 {
        let mut evidence = OutcomeEvidence::new();
        evidence.set_newest_build(2);
        for endpoint in 0..3 {
            evidence.start(endpoint, 1);
            evidence.start(endpoint + 3, 2);
        }
        for _ in 0..50 {
            for endpoint in [0, 1, 3, 4] {
                evidence.add(endpoint, 0, &succeeded(random.gen_range(0.0..2.0)));
            }
            evidence.end_interval();
        }
        for endpoint in [0, 1, 3, 4] {
            evidence.stop(endpoint);
        }
        for build in [1, 2] {
            assert_eq!(evidence.sums_of(build, 1, false)[0].total(), 0.0);
        }
    }
}

/// Guards against the same remainder where the only endpoint that was sent the class is discarded.
#[test]
fn a_class_sent_only_to_the_discarded_endpoint_has_exactly_zero_outcomes() {
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let mut evidence = OutcomeEvidence::new();
    evidence.set_newest_build(2);
    for endpoint in 0..3 {
        evidence.start(endpoint, 2);
    }
    evidence.add(0, 0, &failed(1.0));
    evidence.add(1, 1, &failed(1e-3));
    for _ in 0..500 {
        if random.gen_bool(0.1) {
            evidence.add(0, 0, &failed(random.gen_range(0.0..1.0)));
            evidence.add(0, 0, &succeeded(random.gen_range(0.0..1.0)));
        }
        evidence.add(random.gen_range(1..3), 1, &succeeded(1.0));
        evidence.end_interval();
        let sums = evidence.sums_of(2, 2, true);
        assert_eq!(sums[0].total(), 0.0);
        assert!(sums[1].total() > 0.0);
    }
}

/// Guards against rounding errors that exceed the failures of the one failing endpoint, after
/// others with many failures were restarted.
#[test]
fn the_only_failing_endpoint_is_discarded_however_few_failures_it_has() {
    let mut random = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..50 {
        let mut evidence = OutcomeEvidence::new();
        evidence.set_newest_build(2);
        for endpoint in 0..4 {
            evidence.start(endpoint, 2);
            evidence.add(endpoint, 0, &succeeded(1.0));
        }
        evidence.add(0, 0, &failed(1e-18));
        for _ in 0..50 {
            for endpoint in 1..3 {
                evidence.add(endpoint, 0, &failed(random.gen_range(0.0..1.0)));
            }
        }
        evidence.start(1, 2);
        evidence.start(2, 2);
        assert_eq!(evidence.sums_of(2, 1, true)[0].succeeded, 1.0);
    }
}

#[test]
fn an_evaluation_interval_scans_only_endpoints_that_reach_the_minimum_baseline() {
    let mut evidence = OutcomeEvidence::new();
    evidence.set_newest_build(2);
    for endpoint in 0..7700 {
        evidence.start(endpoint, 1 + endpoint as u32 % 2);
        evidence.add(endpoint, endpoint % 1600, &succeeded(10.0));
    }
    // Endpoint 0 runs the earlier build. Its 41 outcomes decay for 10.4 s, until they are at the
    // minimum baseline.
    evidence.add(0, 7, &succeeded(31.0));
    let scanned: Vec<usize> = (0..200).map(|_| evidence.end_interval()).collect();
    assert_eq!(scanned.iter().sum::<usize>(), 1);
    assert_eq!(scanned[103], 1);
}

#[test]
fn sums_that_do_not_decay_are_recomputed_each_hour() {
    let mut evidence = OutcomeEvidence::new();
    evidence.set_newest_build(2);
    for endpoint in 0..3 {
        evidence.start(endpoint, 1);
        evidence.add(endpoint, 0, &succeeded(3.0));
    }
    // An error such as rounding accumulates.
    let build = evidence.builds.get_mut(&1).unwrap();
    build.kept.add(0, &succeeded(0.5), false);
    let scanned: usize = (0..REBUILD_INTERVALS)
        .map(|_| evidence.end_interval())
        .sum();
    assert_eq!(scanned, 3);
    assert_eq!(evidence.sums_of(1, 1, false)[0].succeeded, 9.0);
}

/// The balancer must report each start, stop and ejection of an endpoint to the evidence.
#[test]
fn evidence_and_fleet_agree_on_each_endpoint() {
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut now = Duration::from_secs(1);
        let mut balancer = Balancer::new(now, settings(seed));
        let mut ejections = 0;
        for id in 0..3000 {
            now += Duration::from_millis(random.gen_range(1..60));
            balancer.poll(now);
            if random.gen_bool(0.03) {
                let entries = [random_entry(&mut random, id)];
                balancer.update_endpoints(now, &entries, random.gen_bool(0.02));
            }
            if random.gen_bool(0.002) {
                balancer.update_rollout(status(random.gen_range(1..4)));
            }
            serve_one(&mut balancer, &mut random, now, id);
            ejections += assert_agrees_with_the_fleet(&balancer);
        }
        assert!(ejections > 0, "seed {seed}");
    }
}

/// Asserts that the evidence and the fleet agree on all endpoints and builds. Returns the number of
/// running endpoints that are ejected.
fn assert_agrees_with_the_fleet(balancer: &Balancer) -> usize {
    let mut ejections = 0;
    for (index, endpoint) in balancer.fleet.iter().enumerate() {
        let Some(record) = balancer.outcomes.endpoints.get(index) else {
            assert_ne!(endpoint.state, EndpointState::Running);
            continue;
        };
        let runs = endpoint.state == EndpointState::Running;
        assert_eq!(record.aging.is_some(), runs, "{index}");
        if runs {
            let is_ejected = endpoint.ejection.until.is_some();
            assert_eq!(
                (record.build, record.is_ejected),
                (endpoint.build, is_ejected)
            );
            ejections += usize::from(is_ejected);
        }
    }
    for build in 0..6 {
        let counted = balancer
            .outcomes
            .builds
            .get(&build)
            .map_or(0, |b| b.endpoints);
        assert_eq!(counted, balancer.fleet.index().of_build(build).running);
    }
    assert_eq!(
        balancer.outcomes.newest_build,
        balancer.rollout.newest_build()
    );
    ejections
}

fn random_entry(random: &mut Pcg64Mcg, id: u64) -> EndpointEntry {
    EndpointEntry {
        endpoint: random.gen_range(0..8),
        zone: 0,
        cell: 0,
        identity: 0,
        endpoint_type: 0,
        build: random.gen_range(1..4),
        state: if random.gen_bool(0.8) {
            EndpointState::Running
        } else {
            EndpointState::Draining
        },
        started: Some(Duration::from_millis(id)),
    }
}

fn serve_one(balancer: &mut Balancer, random: &mut Pcg64Mcg, now: Duration, id: u64) {
    let request = Request {
        class: random.gen_range(0..3),
        tenant: None,
        key: None,
        time_left: Duration::from_secs(1),
        estimated_work: None,
        is_retry: false,
    };
    balancer.on_request(now, id, request);
    let mut decision = balancer.route(now, id);
    let mut attempt = 0;
    while let Decision::Forward { endpoint, .. } = decision {
        // Attempts to endpoints of even index often get no connection or lose it.
        let outcome = match random.gen_range(0..10) {
            0 => Outcome::Failed,
            1..=3 if endpoint % 2 == 0 => Outcome::ConnectionLost,
            4 if endpoint % 2 == 0 => Outcome::ConnectFailed,
            _ => Outcome::Succeeded,
        };
        let end = AttemptEnd {
            outcome,
            latency: Duration::from_millis(5),
            request_closed: outcome == Outcome::Succeeded,
            reported_load: None,
        };
        decision = balancer.on_attempt_end(now, id, attempt, end);
        attempt += 1;
    }
    balancer.close_request(id);
}

fn status(build: u32) -> RolloutStatus {
    RolloutStatus {
        build,
        stage: 0,
        phase: RolloutPhase::Canary,
        cap: 0.5,
        since: Duration::ZERO,
    }
}

fn settings(seed: u64) -> Settings {
    let class = RequestClass {
        latency_objective: Duration::from_millis(400),
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
    };
    Settings {
        seed,
        agents: 1,
        zone: 0,
        classes: vec![class; 3],
        tenants: Vec::new(),
        weight_by_work: false,
        list_polled: false,
        shared_discovery: false,
        max_poll_interval: Duration::from_secs(10),
        hedging: false,
        cancellation: true,
        retry_after: None,
        max_attempts: 4,
        cross_zone_price: 0.0,
        slow_start_share: 0.3,
        slow_start_duration: Duration::from_secs(1),
        overload_window: Duration::from_secs(2),
        overload_factor: 3.0,
        load_probes: false,
        key_affinity: false,
        timer_granularity: Duration::from_millis(1),
        rollout: RolloutPolicy {
            caps: vec![0.5, 1.0],
            exposure_burst: 2.0,
            cap_per_class: false,
            guarded_stages: 0,
            sticky_builds: false,
            timed_stages: true,
            in_place: false,
            votes_to_roll_back: 1,
            votes_to_hold: 1,
            platform_counts: false,
            vote_ttl: Duration::from_secs(6),
            vote_timeout: Duration::from_secs(1),
            votes_per_second: 40.0,
            reported_error_share: 0.5,
        },
    }
}
