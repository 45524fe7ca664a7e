//! Random draws of endpoints, compared with the weights of all candidates: in more than two hundred
//! seeded scenarios of 3 to 7,700 endpoints, the draws follow the weights, and each decision scans
//! few endpoints.

mod harness;

use harness::{canary_status, default_settings, ms};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use statrs::distribution::{ChiSquared, ContinuousCDF};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::*;

/// Fleet sizes of the scenarios, in endpoints. Small sizes are more frequent because they take the
/// least time.
const SIZES: [usize; 12] = [3, 7, 20, 33, 34, 40, 55, 120, 300, 550, 2000, 7700];
const SCENARIOS: u64 = (SIZES.len() * Kind::ALL.len()) as u64;
/// Upper bound on the endpoints scanned per decision, averaged over a scenario.
const MAX_SCANNED: f64 = 40.0;
/// Pairs of endpoints drawn per scenario.
const PAIRS: usize = 4000;
/// Minimum number of draws expected in a bin of the chi-squared test.
const MIN_EXPECTED: f64 = 100.0;
const EARLIER_BUILD: u32 = 7;
const CANARY: u32 = 8;
/// Id of the request that endpoints are drawn for.
const PROBE: u64 = u64::MAX;

const IDEMPOTENT: usize = 0;
const KEYED_BY_ZONE: usize = 1;
const NON_IDEMPOTENT: usize = 2;
const KEYED_BY_CELL: usize = 3;

/// The condition that sets a scenario apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Usual,
    AllEjected,
    SomeEjected,
    OnProbation,
    Draining,
    AllWarming,
    SomeWarming,
    OneZone,
    LastResortZones,
    CanaryWithoutExposure,
    CanaryWithExposure,
    RegressedBuild,
    HeavyRequest,
    RetryInZone,
    RetryInCell,
    Unresponsive,
    NonIdempotentRequest,
    RetryOnProbation,
    RepeatedFaults,
}

impl Kind {
    const ALL: [Kind; 19] = [
        Kind::Usual,
        Kind::AllEjected,
        Kind::SomeEjected,
        Kind::OnProbation,
        Kind::Draining,
        Kind::AllWarming,
        Kind::SomeWarming,
        Kind::OneZone,
        Kind::LastResortZones,
        Kind::CanaryWithoutExposure,
        Kind::CanaryWithExposure,
        Kind::RegressedBuild,
        Kind::HeavyRequest,
        Kind::RetryInZone,
        Kind::RetryInCell,
        Kind::Unresponsive,
        Kind::NonIdempotentRequest,
        Kind::RetryOnProbation,
        Kind::RepeatedFaults,
    ];

    fn has_canary(self) -> bool {
        matches!(
            self,
            Kind::CanaryWithoutExposure
                | Kind::CanaryWithExposure
                | Kind::RegressedBuild
                | Kind::SomeWarming
                | Kind::NonIdempotentRequest
        )
    }

    fn probe_class(self) -> usize {
        match self {
            Kind::RetryInZone | Kind::RetryOnProbation => KEYED_BY_ZONE,
            Kind::RetryInCell => KEYED_BY_CELL,
            Kind::NonIdempotentRequest | Kind::RepeatedFaults => NON_IDEMPOTENT,
            _ => IDEMPOTENT,
        }
    }
}

/// Number of endpoints in the scenario of this seed.
fn size_of(seed: u64) -> usize {
    SIZES[seed as usize / Kind::ALL.len() % SIZES.len()]
}

/// The first seed whose scenario has this kind and size.
fn first_seed(kind: Kind, size: usize) -> u64 {
    let mut seeds = 0..SCENARIOS;
    let has_kind_and_size =
        |seed: &u64| size_of(*seed) == size && Kind::ALL[*seed as usize % Kind::ALL.len()] == kind;
    seeds.find(has_kind_and_size).unwrap()
}

fn settings(seed: u64, kind: Kind) -> Settings {
    let mut settings = Settings {
        hedging: true,
        ..default_settings(seed)
    };
    let keyed = |scope| Idempotency::Keyed {
        scope,
        window: Duration::from_secs(60),
    };
    settings.classes[KEYED_BY_ZONE].idempotency = keyed(DeduplicationScope::Zone);
    settings.classes.push(RequestClass {
        idempotency: keyed(DeduplicationScope::Cell),
        ..settings.classes[KEYED_BY_ZONE].clone()
    });
    settings.rollout.exposure_burst = 1e6;
    settings.rollout.caps[0] = if kind == Kind::CanaryWithoutExposure {
        0.0
    } else {
        0.3
    };
    settings
}

/// A balancer and a fleet whose endpoints respond as the kind of scenario requires.
struct Scenario {
    kind: Kind,
    now: Duration,
    random: Pcg64Mcg,
    balancer: Balancer,
    entries: Vec<EndpointEntry>,
    next_id: u64,
    last_endpoint: usize,
    log_lines: Vec<String>,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let kind = Kind::ALL[seed as usize % Kind::ALL.len()];
        let size = size_of(seed);
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let settings = settings(seed, kind);
        let now = ms(100_000);
        let entries = entries(kind, size, &mut random);
        let mut scenario = Scenario {
            kind,
            now,
            random,
            balancer: Balancer::new(now, settings),
            entries,
            next_id: 0,
            last_endpoint: 0,
            log_lines: Vec::new(),
        };
        scenario.update_all_endpoints();
        scenario.publish_rollout();
        scenario.report_loads();
        scenario.serve(600);
        scenario.apply_kind();
        scenario
    }

    fn update_all_endpoints(&mut self) {
        self.balancer
            .update_endpoints(self.now, &self.entries, true);
    }

    fn publish_rollout(&mut self) {
        let (build, phase, cap) = if self.kind.has_canary() {
            let cap = if self.kind == Kind::CanaryWithoutExposure {
                0.0
            } else {
                0.3
            };
            (CANARY, RolloutPhase::Canary, cap)
        } else {
            (EARLIER_BUILD, RolloutPhase::Released, 1.0)
        };
        let status = RolloutStatus {
            phase,
            since: self.now,
            ..canary_status(build, 0, cap)
        };
        self.balancer.update_rollout(status);
    }

    fn report_loads(&mut self) {
        for index in 0..self.entries.len().min(200) {
            let load = Some(self.random.gen_range(0.0..5.0));
            self.balancer
                .on_load_report(self.now, index, Outcome::Succeeded, load);
        }
    }

    fn request(class: usize, is_heavy: bool) -> Request {
        Request {
            class,
            tenant: None,
            key: None,
            time_left: Duration::from_secs(60),
            estimated_work: is_heavy.then_some(ms(300)),
            is_retry: false,
        }
    }

    fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        while self.now < end {
            self.now = (self.now + ms(50)).min(end);
            let result = self.balancer.poll(self.now);
            self.log_lines.extend(result.log_lines);
        }
    }

    /// Sends a request of this class. `outcome` is called with the endpoint of each attempt and
    /// returns how the attempt ends, or `None` to leave it in flight.
    fn send(&mut self, class: usize, outcome: impl Fn(&mut Scenario, usize) -> Option<Outcome>) {
        let id = self.next_id;
        self.next_id += 1;
        self.balancer
            .on_request(self.now, id, Scenario::request(class, false));
        let mut decision = self.balancer.route(self.now, id);
        let mut attempt = 0;
        while let Decision::Forward { endpoint, .. } = decision {
            self.last_endpoint = endpoint;
            let Some(outcome) = outcome(self, endpoint) else {
                return;
            };
            let end = AttemptEnd {
                outcome,
                latency: self.latency(endpoint),
                request_closed: outcome == Outcome::Succeeded,
                reported_load: None,
            };
            decision = self.balancer.on_attempt_end(self.now, id, attempt, end);
            attempt += 1;
        }
        self.balancer.close_request(id);
    }

    /// Latency of an attempt, which depends on the endpoint and its hardware type.
    fn latency(&mut self, endpoint: usize) -> Duration {
        let type_factor = 1.0 + self.entries[endpoint].endpoint_type as f64;
        let endpoint_factor = 0.3 + (endpoint * 7 % 11) as f64 / 4.0;
        Duration::from_secs_f64(
            0.02 * type_factor * endpoint_factor * self.random.gen_range(0.5..1.5),
        )
    }

    fn serve(&mut self, requests: usize) {
        for number in 0..requests {
            let class = number % 3;
            self.send(class, |_, _| Some(Outcome::Succeeded));
            if number % 20 == 19 {
                self.advance(ms(100));
            }
        }
    }

    fn fail_attempts(&mut self, requests: usize, share: f64) {
        for _ in 0..requests {
            self.send(IDEMPOTENT, |scenario, _| {
                let is_lost = scenario.random.gen_bool(share);
                Some(if is_lost {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Succeeded
                })
            });
        }
    }

    /// Fails one connection attempt at roughly each endpoint, which ejects the endpoint.
    fn eject_each_once(&mut self) {
        let lost = Cell::new(0);
        while lost.get() < self.entries.len() {
            self.send(IDEMPOTENT, |_, _| {
                lost.set(lost.get() + 1);
                Some(Outcome::ConnectFailed)
            });
        }
    }

    fn apply_kind(&mut self) {
        let size = self.entries.len();
        match self.kind {
            Kind::AllEjected => self.fail_attempts(3 * size + 10, 1.0),
            Kind::SomeEjected => self.fail_attempts(size, 0.4),
            Kind::OnProbation => {
                self.fail_attempts(size, 0.5);
                self.advance(ms(9000));
                for _ in 0..size / 10 {
                    self.send(IDEMPOTENT, |_, _| None);
                }
            }
            Kind::RetryOnProbation => {
                self.eject_each_once();
                self.advance(ms(9000));
                for _ in 0..size / 10 {
                    self.send(IDEMPOTENT, |_, _| None);
                }
            }
            Kind::RepeatedFaults => {
                self.fail_attempts(3 * size + 10, 1.0);
                self.advance(ms(9000));
            }
            Kind::Draining => self.drain(),
            Kind::AllWarming => self.restart(|_| true),
            Kind::SomeWarming => self.restart(|entry| entry.build == CANARY),
            Kind::LastResortZones => self.set_policy(),
            Kind::RegressedBuild => self.fail_canary(),
            Kind::Unresponsive => {
                for _ in 0..size / 3 + 1 {
                    self.send(IDEMPOTENT, |_, _| None);
                }
                self.advance(ms(3500));
            }
            Kind::NonIdempotentRequest => {
                for _ in 0..size {
                    self.send(IDEMPOTENT, |scenario, _| {
                        let is_lost = scenario.random.gen_bool(0.5);
                        Some(if is_lost {
                            Outcome::ConnectionLost
                        } else {
                            Outcome::Succeeded
                        })
                    });
                }
                self.advance(ms(600));
            }
            _ => {}
        }
    }

    fn drain(&mut self) {
        for entry in &mut self.entries {
            if self.random.gen_bool(0.6) {
                entry.state = EndpointState::Draining;
            }
        }
        self.update_all_endpoints();
    }

    fn restart(&mut self, is_restarted: impl Fn(&EndpointEntry) -> bool) {
        for entry in &mut self.entries {
            if is_restarted(entry) {
                let age = ms(self.random.gen_range(0..4500));
                entry.started = Some(self.now - age);
            }
        }
        self.update_all_endpoints();
        self.advance(ms(400));
        // Stops between two evaluations.
        self.now += ms(30);
    }

    fn set_policy(&mut self) {
        let remote = |weight, is_last_resort| ZonePolicy {
            weight,
            added_latency: ms(1),
            last_resort: vec![is_last_resort; 4],
            last_resort_for_retries: vec![is_last_resort; 4],
        };
        let zones = vec![
            remote(None, false),
            remote(Some(0.4), false),
            remote(Some(0.2), true),
        ];
        self.balancer.set_cross_zone_policy(CrossZonePolicy {
            zones,
            slow_start_factor: 0.8,
        });
    }

    fn fail_canary(&mut self) {
        for number in 0..600 {
            self.send(IDEMPOTENT, |scenario, endpoint| {
                let fails =
                    scenario.entries[endpoint].build == CANARY && scenario.random.gen_bool(0.25);
                Some(if fails {
                    Outcome::Failed
                } else {
                    Outcome::Succeeded
                })
            });
            if number % 10 == 9 {
                self.advance(ms(100));
            }
        }
    }

    /// Applies one random change to the endpoint list, the endpoints, the zones, the settings or
    /// the time.
    fn change_at_random(&mut self) {
        let index = self.random.gen_range(0..self.entries.len());
        let random = &mut self.random;
        match random.gen_range(0..9) {
            0 => self.entries[index].state = EndpointState::Draining,
            1 => self.entries[index].state = EndpointState::Gone,
            2 | 3 => {
                let entry = &mut self.entries[index];
                entry.state = EndpointState::Running;
                entry.started = Some(self.now);
                entry.zone = random.gen_range(0..3);
                entry.cell = random.gen_range(0..3);
                entry.build = random.gen_range(EARLIER_BUILD..=CANARY);
            }
            4 => {
                let zone = random.gen_range(0..3);
                self.entries[index].zone = zone;
                self.balancer.reassign_zones(&[(index, zone)]);
            }
            5 => self.fail_attempts(10, 0.7),
            6 => self.reload(),
            7 => self.send(IDEMPOTENT, |_, _| None),
            _ => {}
        }
        let is_complete = self.random.gen_bool(0.5);
        if is_complete {
            self.update_all_endpoints();
        } else {
            let entry = self.entries[index].clone();
            self.balancer.update_endpoints(self.now, &[entry], false);
        }
        let pause = self.random.gen_range(0..400);
        self.advance(ms(pause));
    }

    /// Reloads the settings with another duration of the slow start.
    fn reload(&mut self) {
        let mut settings = settings(1, self.kind);
        settings.slow_start_duration = ms(self.random.gen_range(1000..6000));
        self.reload_with(&settings);
    }

    fn reload_with(&mut self, settings: &Settings) {
        let mapping = IndexMapping {
            classes: vec![IndexOrigin::Same; settings.classes.len()],
            tenants: vec![IndexOrigin::Same; settings.tenants.len()],
        };
        self.balancer.reload(self.now, settings, &mapping);
    }

    /// Begins the request that endpoints are drawn for. If it is a retry, its first attempt has
    /// failed.
    fn begin_probe(&mut self) {
        let class = self.kind.probe_class();
        let is_heavy = self.kind == Kind::HeavyRequest;
        let request = Scenario::request(class, is_heavy);
        self.balancer.on_request(self.now, PROBE, request);
        let outcome = match self.kind {
            Kind::RetryInZone | Kind::RetryInCell => Outcome::ConnectionLost,
            Kind::RetryOnProbation => Outcome::Rejected,
            _ => return,
        };
        if let Decision::Forward { .. } = self.balancer.route(self.now, PROBE) {
            let end = AttemptEnd {
                outcome,
                latency: ms(20),
                request_closed: false,
                reported_load: None,
            };
            self.balancer.on_attempt_end(self.now, PROBE, 0, end);
        }
    }
}

fn entries(kind: Kind, size: usize, random: &mut Pcg64Mcg) -> Vec<EndpointEntry> {
    let zones = if kind == Kind::OneZone { 1 } else { 3 };
    (0..size)
        .map(|endpoint| EndpointEntry {
            endpoint,
            zone: random.gen_range(0..zones),
            cell: random.gen_range(0..size as u64 / 10 + 1),
            identity: endpoint as u64,
            endpoint_type: random.gen_range(0..3),
            build: if kind.has_canary() && endpoint % 4 == 0 {
                CANARY
            } else {
                EARLIER_BUILD
            },
            state: EndpointState::Running,
            started: None,
        })
        .collect()
}

/// Results of the draws in one scenario.
#[derive(Debug)]
struct Sample {
    kind: Kind,
    size: usize,
    candidates: usize,
    /// Whether the canary was found to be regressed.
    is_regressed: bool,
    /// Probabilities that draws by weight deviate at least as far, with the candidates binned by
    /// index and by weight.
    p_values: Vec<f64>,
    full_walks: u64,
    scanned_per_decision: f64,
}

/// Draws endpoints in the scenario of this seed. `weight` maps the weight of a candidate to the
/// weight that the draws are tested against.
fn sample(seed: u64, weight: impl Fn(f64) -> f64) -> Sample {
    let mut scenario = Scenario::new(seed);
    scenario.begin_probe();
    let mut candidates = scenario.balancer.candidate_weights(scenario.now, PROBE);
    for (_, candidate_weight) in &mut candidates {
        *candidate_weight = weight(*candidate_weight);
    }
    let scanned = scenario.balancer.endpoints_scanned();
    let full_walks = scenario.balancer.full_walks();
    let mut counts: BTreeMap<usize, usize> = candidates.iter().map(|(i, _)| (*i, 0)).collect();
    for _ in 0..PAIRS {
        let drawn = scenario.balancer.draw_candidates(scenario.now, PROBE);
        assert_eq!(drawn.is_none(), candidates.is_empty(), "seed {seed}");
        for endpoint in drawn.into_iter().flatten() {
            let count = counts.get_mut(&endpoint);
            *count.unwrap_or_else(|| panic!("seed {seed}: {endpoint} is not a candidate")) += 1;
        }
    }
    let scanned = scenario.balancer.endpoints_scanned() - scanned;
    let mut p_values = vec![p_value(&candidates, &counts)];
    candidates.sort_by(|a, b| a.1.total_cmp(&b.1));
    p_values.push(p_value(&candidates, &counts));
    Sample {
        kind: scenario.kind,
        size: scenario.entries.len(),
        candidates: candidates.len(),
        is_regressed: scenario
            .log_lines
            .iter()
            .any(|l| l.starts_with("regression")),
        p_values: p_values.into_iter().flatten().collect(),
        full_walks: scenario.balancer.full_walks() - full_walks,
        scanned_per_decision: scanned as f64 / PAIRS as f64,
    }
}

/// Probability that draws by weight deviate at least as far as these counts, by Pearson's
/// chi-squared test over bins of neighbouring candidates; `None` where there is only one bin.
fn p_value(candidates: &[(usize, f64)], counts: &BTreeMap<usize, usize>) -> Option<f64> {
    let total_weight: f64 = candidates.iter().map(|(_, weight)| weight).sum();
    let draws = counts.values().sum::<usize>() as f64;
    let mut bins: Vec<(f64, f64)> = Vec::new();
    let mut bin = (0.0, 0.0);
    for (endpoint, weight) in candidates {
        bin.0 += draws * weight / total_weight;
        bin.1 += counts[endpoint] as f64;
        if bin.0 >= MIN_EXPECTED {
            bins.push(std::mem::take(&mut bin));
        }
    }
    if let Some(last) = bins.last_mut() {
        last.0 += bin.0;
        last.1 += bin.1;
    }
    if bins.len() < 2 {
        return None;
    }
    let statistic: f64 = bins.iter().map(|(e, o)| (o - e).powi(2) / e).sum();
    let distribution = ChiSquared::new((bins.len() - 1) as f64).unwrap();
    Some(1.0 - distribution.cdf(statistic))
}

fn p_values(samples: &[Sample]) -> Vec<f64> {
    let mut p_values: Vec<f64> = samples.iter().flat_map(|s| s.p_values.clone()).collect();
    p_values.sort_by(f64::total_cmp);
    p_values
}

/// Whether the p-values look uniformly distributed, as they are if draws follow the weights: the
/// share below each bound equals the bound within five standard deviations, and the smallest
/// p-value is not implausibly small.
fn look_uniform(p_values: &[f64]) -> bool {
    let count = p_values.len() as f64;
    let is_expected = |bound: f64| {
        let below = p_values.iter().filter(|p| **p < bound).count() as f64;
        (below - count * bound).abs() < 5.0 * (count * bound * (1.0 - bound)).sqrt()
    };
    [0.05, 0.25, 0.5, 0.75].into_iter().all(is_expected)
        && p_values.first().is_some_and(|least| *least * count > 1e-4)
}

#[test]
fn draws_follow_the_weights_of_the_candidates() {
    let samples: Vec<Sample> = (0..SCENARIOS).map(|seed| sample(seed, |w| w)).collect();
    let p_values = p_values(&samples);
    assert!(p_values.len() > 350, "{}", p_values.len());
    assert!(look_uniform(&p_values), "{p_values:?}");
    for sample in &samples {
        assert_eq!(sample.full_walks, 0, "{sample:?}");
        assert!(sample.scanned_per_decision < MAX_SCANNED, "{sample:?}");
    }
    assert_scenarios_differ(&samples);
}

/// Guards against scenarios that are all alike, in which the test above would prove nothing.
fn assert_scenarios_differ(samples: &[Sample]) {
    let largest = samples.iter().filter(|s| s.size == 7700);
    let candidates: BTreeMap<Kind, usize> = largest.map(|s| (s.kind, s.candidates)).collect();
    let has_candidates = |kind, least, limit| (least..limit).contains(&candidates[&kind]);
    assert!(has_candidates(Kind::Usual, 7700, 7701), "{candidates:?}");
    assert!(
        has_candidates(Kind::AllEjected, 7700, 7701),
        "{candidates:?}"
    );
    assert!(
        has_candidates(Kind::SomeEjected, 2000, 7000),
        "{candidates:?}"
    );
    assert!(has_candidates(Kind::Draining, 2000, 5000), "{candidates:?}");
    assert!(has_candidates(Kind::AllWarming, 50, 7000), "{candidates:?}");
    assert!(
        has_candidates(Kind::LastResortZones, 4000, 6000),
        "{candidates:?}"
    );
    assert!(has_candidates(Kind::CanaryWithoutExposure, 5775, 5776));
    assert!(
        has_candidates(Kind::RetryInZone, 2000, 3000),
        "{candidates:?}"
    );
    assert!(has_candidates(Kind::RetryInCell, 2, 40), "{candidates:?}");
    assert!(
        has_candidates(Kind::Unresponsive, 4000, 6000),
        "{candidates:?}"
    );
    assert!(
        has_candidates(Kind::RetryOnProbation, 1000, 7700),
        "{candidates:?}"
    );
    assert!(
        has_candidates(Kind::RepeatedFaults, 100, 7700),
        "{candidates:?}"
    );
    let regressed = samples.iter().filter(|s| s.is_regressed).count();
    assert!(
        regressed > 5,
        "{regressed} scenarios with a regressed build"
    );
}

#[test]
fn detects_draws_by_other_weights() {
    let samples: Vec<Sample> = (0..SCENARIOS)
        .filter(|seed| size_of(*seed) <= 550)
        .map(|seed| sample(seed, |weight| weight.powf(0.9)))
        .collect();
    assert!(!look_uniform(&p_values(&samples)));
}

/// All endpoints that could take the request have been silent for too long: random draws find none,
/// and a scan of all endpoints finds the best of those left.
#[test]
fn scans_all_endpoints_and_counts_the_scan_when_none_responds() {
    let mut scenario = Scenario::new(first_seed(Kind::Usual, 120));
    for _ in 0..4 * scenario.entries.len() {
        scenario.send(IDEMPOTENT, |_, _| None);
    }
    scenario.advance(ms(3500));
    scenario.begin_probe();
    assert_eq!(scenario.balancer.full_walks(), 0);
    assert!(scenario
        .balancer
        .draw_candidates(scenario.now, PROBE)
        .is_some());
    assert_eq!(scenario.balancer.full_walks(), 1);
}

#[test]
fn the_less_loaded_of_two_endpoints_gets_the_request() {
    let mut scenario = Scenario::new(first_seed(Kind::OneZone, 550));
    let mut to_loaded = 0;
    let attempts = 1000;
    for _ in 0..attempts {
        for index in 0..scenario.entries.len() {
            let load = if index % 2 == 0 { 0.0 } else { 1000.0 };
            let now = scenario.now;
            scenario
                .balancer
                .on_load_report(now, index, Outcome::Succeeded, Some(load));
        }
        let id = scenario.next_id;
        scenario.send(IDEMPOTENT, |_, _| Some(Outcome::Succeeded));
        assert_eq!(scenario.next_id, id + 1);
        to_loaded += usize::from(scenario.last_endpoint % 2 == 1);
    }
    // In a quarter of the draws both candidates are loaded.
    assert!(
        (200..300).contains(&to_loaded),
        "{to_loaded} of {attempts} to loaded endpoints"
    );
}

/// Endpoint lists, ejections, restarts, zone changes and reloads in any order: only candidates are
/// drawn, and a draw is empty only where there is no candidate.
#[test]
fn draws_only_candidates_while_endpoints_change_in_any_order() {
    for seed in 0..40 {
        let kind = Kind::ALL[seed as usize % Kind::ALL.len()];
        let mut scenario = Scenario::new(first_seed(kind, 40));
        scenario.random = Pcg64Mcg::seed_from_u64(seed);
        scenario.begin_probe();
        for step in 0..40 {
            scenario.change_at_random();
            let candidates = scenario.balancer.candidate_weights(scenario.now, PROBE);
            let endpoints: Vec<usize> = candidates.iter().map(|(index, _)| *index).collect();
            for _ in 0..20 {
                let drawn = scenario.balancer.draw_candidates(scenario.now, PROBE);
                assert_eq!(
                    drawn.is_none(),
                    endpoints.is_empty(),
                    "seed {seed}, step {step}"
                );
                let all_are_candidates =
                    drawn.into_iter().flatten().all(|e| endpoints.contains(&e));
                assert!(
                    all_are_candidates,
                    "seed {seed}, step {step}: drew {drawn:?}, candidates {endpoints:?}"
                );
            }
        }
    }
}

/// Requests with keys that have affinity endpoints, and endpoints that are probed for their load.
#[test]
fn routing_scans_few_endpoints_at_any_fleet_size() {
    for size in [55, 550, 7700] {
        let mut scenario = Scenario::new(first_seed(Kind::Usual, size));
        let affinity_settings = Settings {
            key_affinity: true,
            load_probes: true,
            ..settings(1, Kind::Usual)
        };
        scenario.reload_with(&affinity_settings);
        let requests: u64 = 1000;
        for number in 0..requests {
            let request = Request {
                key: Some(number * 7919),
                ..Scenario::request(IDEMPOTENT, false)
            };
            let id = scenario.next_id + number;
            scenario.balancer.on_request(scenario.now, id, request);
            let decision = scenario.balancer.route(scenario.now, id);
            assert!(matches!(decision, Decision::Forward { .. }), "{decision:?}");
            let end = AttemptEnd {
                outcome: Outcome::Succeeded,
                latency: ms(20),
                request_closed: true,
                reported_load: None,
            };
            scenario.balancer.on_attempt_end(scenario.now, id, 0, end);
        }
        let scanned = scenario.balancer.endpoints_scanned() as f64 / requests as f64;
        assert!(
            scanned > 0.0 && scanned < MAX_SCANNED,
            "{size} endpoints: {scanned} scanned per request"
        );
        assert_eq!(scenario.balancer.full_walks(), 0, "{size} endpoints");
    }
}
