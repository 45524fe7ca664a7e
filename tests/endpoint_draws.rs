//! Random draws of endpoints against a look at all of them: over two hundred seeded worlds of 3 to
//! 7,700 endpoints the draws follow the weights of the candidates, and hardly any endpoint is looked
//! at.

mod harness;

use harness::{canary_status, default_settings, ms};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use statrs::distribution::{ChiSquared, ContinuousCDF};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::*;

/// Sizes of the worlds, small ones more often: those take the least time.
const SIZES: [usize; 12] = [3, 7, 20, 33, 34, 40, 55, 120, 300, 550, 2000, 7700];
const WORLDS: u64 = (SIZES.len() * Kind::ALL.len()) as u64;
/// Endpoints looked at for a decision, in the mean of a world, at most.
const MAX_SCANNED: f64 = 40.0;
/// Pairs drawn in a world.
const PAIRS: usize = 4000;
/// Draws that a bin of the test must expect.
const MIN_EXPECTED: f64 = 100.0;
const EARLIER_BUILD: u32 = 7;
const CANARY: u32 = 8;
const PROBE: u64 = u64::MAX;

const IDEMPOTENT: usize = 0;
const KEYED_BY_ZONE: usize = 1;
const NON_IDEMPOTENT: usize = 2;
const KEYED_BY_CELL: usize = 3;

/// What is special about a world.
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
    RequestWithEffects,
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
        Kind::RequestWithEffects,
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
                | Kind::RequestWithEffects
        )
    }

    fn probe_class(self) -> usize {
        match self {
            Kind::RetryInZone | Kind::RetryOnProbation => KEYED_BY_ZONE,
            Kind::RetryInCell => KEYED_BY_CELL,
            Kind::RequestWithEffects | Kind::RepeatedFaults => NON_IDEMPOTENT,
            _ => IDEMPOTENT,
        }
    }
}

/// Number of endpoints in the world of this seed.
fn size_of(seed: u64) -> usize {
    SIZES[seed as usize / Kind::ALL.len() % SIZES.len()]
}

/// The first world of this kind and size.
fn first_world(kind: Kind, size: usize) -> u64 {
    let mut seeds = 0..WORLDS;
    let is_it =
        |seed: &u64| size_of(*seed) == size && Kind::ALL[*seed as usize % Kind::ALL.len()] == kind;
    seeds.find(is_it).unwrap()
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

/// A balancer with endpoints that answer as the world wants.
struct World {
    kind: Kind,
    now: Duration,
    random: Pcg64Mcg,
    balancer: Balancer,
    entries: Vec<EndpointEntry>,
    next_id: u64,
    last_endpoint: usize,
    log_lines: Vec<String>,
}

impl World {
    fn new(seed: u64) -> World {
        let kind = Kind::ALL[seed as usize % Kind::ALL.len()];
        let size = size_of(seed);
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let settings = settings(seed, kind);
        let now = ms(100_000);
        let entries = entries(kind, size, &mut random);
        let mut world = World {
            kind,
            now,
            random,
            balancer: Balancer::new(now, settings),
            entries,
            next_id: 0,
            last_endpoint: 0,
            log_lines: Vec::new(),
        };
        world.list();
        world.name_builds();
        world.report_loads();
        world.serve(600);
        world.make_special();
        world
    }

    fn list(&mut self) {
        self.balancer
            .update_endpoints(self.now, &self.entries, true);
    }

    fn name_builds(&mut self) {
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

    /// Sends a request of this class and ends each of its attempts as `outcome` says, which is
    /// given the endpoint; `None` leaves it in flight.
    fn send(&mut self, class: usize, outcome: impl Fn(&mut World, usize) -> Option<Outcome>) {
        let id = self.next_id;
        self.next_id += 1;
        self.balancer
            .on_request(self.now, id, World::request(class, false));
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

    /// Endpoints differ, and so do their hardware types.
    fn latency(&mut self, endpoint: usize) -> Duration {
        let by_type = 1.0 + self.entries[endpoint].endpoint_type as f64;
        let by_endpoint = 0.3 + (endpoint * 7 % 11) as f64 / 4.0;
        Duration::from_secs_f64(0.02 * by_type * by_endpoint * self.random.gen_range(0.5..1.5))
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
            self.send(IDEMPOTENT, |world, _| {
                let is_lost = world.random.gen_bool(share);
                Some(if is_lost {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Succeeded
                })
            });
        }
    }

    /// Loses one attempt to about each endpoint, which ejects it.
    fn eject_each_once(&mut self) {
        let lost = Cell::new(0);
        while lost.get() < self.entries.len() {
            self.send(IDEMPOTENT, |_, _| {
                lost.set(lost.get() + 1);
                Some(Outcome::ConnectFailed)
            });
        }
    }

    fn make_special(&mut self) {
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
            Kind::RequestWithEffects => {
                for _ in 0..size {
                    self.send(IDEMPOTENT, |world, _| {
                        let is_lost = world.random.gen_bool(0.5);
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
        self.list();
    }

    fn restart(&mut self, is_restarted: impl Fn(&EndpointEntry) -> bool) {
        for entry in &mut self.entries {
            if is_restarted(entry) {
                let age = ms(self.random.gen_range(0..4500));
                entry.started = Some(self.now - age);
            }
        }
        self.list();
        self.advance(ms(400));
        // Between two evaluations.
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
            self.send(IDEMPOTENT, |world, endpoint| {
                let fails = world.entries[endpoint].build == CANARY && world.random.gen_bool(0.25);
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

    /// Changes one thing of the list, the endpoints, the zones, the settings or the time.
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
            self.list();
        } else {
            let entry = self.entries[index].clone();
            self.balancer.update_endpoints(self.now, &[entry], false);
        }
        let pause = self.random.gen_range(0..400);
        self.advance(ms(pause));
    }

    /// Reads the settings again, with another length of slow start.
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

    /// Begins the request that is drawn for; a retry has lost its first attempt.
    fn begin_probe(&mut self) {
        let class = self.kind.probe_class();
        let is_heavy = self.kind == Kind::HeavyRequest;
        let request = World::request(class, is_heavy);
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

/// What the draws in a world came to.
#[derive(Debug)]
struct Sample {
    kind: Kind,
    size: usize,
    candidates: usize,
    /// Whether the canary was found to be regressed.
    is_regressed: bool,
    /// How likely draws by weight deviate as far, in bins by weight and by index.
    p_values: Vec<f64>,
    full_walks: u64,
    scanned_per_decision: f64,
}

/// Draws in a world; `weight` is what a candidate is taken to weigh.
fn sample(seed: u64, weight: impl Fn(f64) -> f64) -> Sample {
    let mut world = World::new(seed);
    world.begin_probe();
    let mut candidates = world.balancer.candidate_weights(world.now, PROBE);
    for (_, of_candidate) in &mut candidates {
        *of_candidate = weight(*of_candidate);
    }
    let scanned = world.balancer.endpoints_scanned();
    let full_walks = world.balancer.full_walks();
    let mut counts: BTreeMap<usize, usize> = candidates.iter().map(|(i, _)| (*i, 0)).collect();
    for _ in 0..PAIRS {
        let drawn = world.balancer.draw_candidates(world.now, PROBE);
        assert_eq!(drawn.is_none(), candidates.is_empty(), "world {seed}");
        for endpoint in drawn.into_iter().flatten() {
            let count = counts.get_mut(&endpoint);
            *count.unwrap_or_else(|| panic!("world {seed}: {endpoint} is no candidate")) += 1;
        }
    }
    let scanned = world.balancer.endpoints_scanned() - scanned;
    let mut p_values = vec![p_value(&candidates, &counts)];
    candidates.sort_by(|a, b| a.1.total_cmp(&b.1));
    p_values.push(p_value(&candidates, &counts));
    Sample {
        kind: world.kind,
        size: world.entries.len(),
        candidates: candidates.len(),
        is_regressed: world.log_lines.iter().any(|l| l.starts_with("regression")),
        p_values: p_values.into_iter().flatten().collect(),
        full_walks: world.balancer.full_walks() - full_walks,
        scanned_per_decision: scanned as f64 / PAIRS as f64,
    }
}

/// How likely draws by weight deviate as far as these counts, by Pearson's test over bins of
/// neighbouring candidates; `None` where there is only one bin.
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

/// Whether p-values look as uniform ones do: of draws by the right weights the share below a
/// bound is that bound, to five standard deviations, and no single one is out of all likelihood.
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
    let samples: Vec<Sample> = (0..WORLDS).map(|seed| sample(seed, |w| w)).collect();
    let p_values = p_values(&samples);
    assert!(p_values.len() > 350, "{}", p_values.len());
    assert!(look_uniform(&p_values), "{p_values:?}");
    for sample in &samples {
        assert_eq!(sample.full_walks, 0, "{sample:?}");
        assert!(sample.scanned_per_decision < MAX_SCANNED, "{sample:?}");
    }
    assert_worlds_are_special(&samples);
}

/// Against worlds that are all alike, in which the test above would show nothing.
fn assert_worlds_are_special(samples: &[Sample]) {
    let largest = samples.iter().filter(|s| s.size == 7700);
    let candidates: BTreeMap<Kind, usize> = largest.map(|s| (s.kind, s.candidates)).collect();
    let is_part = |kind, least, most| (least..most).contains(&candidates[&kind]);
    assert!(is_part(Kind::Usual, 7700, 7701), "{candidates:?}");
    assert!(is_part(Kind::AllEjected, 7700, 7701), "{candidates:?}");
    assert!(is_part(Kind::SomeEjected, 2000, 7000), "{candidates:?}");
    assert!(is_part(Kind::Draining, 2000, 5000), "{candidates:?}");
    assert!(is_part(Kind::AllWarming, 50, 7000), "{candidates:?}");
    assert!(is_part(Kind::LastResortZones, 4000, 6000), "{candidates:?}");
    assert!(is_part(Kind::CanaryWithoutExposure, 5775, 5776));
    assert!(is_part(Kind::RetryInZone, 2000, 3000), "{candidates:?}");
    assert!(is_part(Kind::RetryInCell, 2, 40), "{candidates:?}");
    assert!(is_part(Kind::Unresponsive, 4000, 6000), "{candidates:?}");
    assert!(
        is_part(Kind::RetryOnProbation, 1000, 7700),
        "{candidates:?}"
    );
    assert!(is_part(Kind::RepeatedFaults, 100, 7700), "{candidates:?}");
    let regressed = samples.iter().filter(|s| s.is_regressed).count();
    assert!(regressed > 5, "{regressed} regressed builds");
}

#[test]
fn draws_by_other_weights_would_show() {
    let samples: Vec<Sample> = (0..WORLDS)
        .filter(|seed| size_of(*seed) <= 550)
        .map(|seed| sample(seed, |weight| weight.powf(0.9)))
        .collect();
    assert!(!look_uniform(&p_values(&samples)));
}

/// Endpoints of which all that could take the request said nothing for too long: random draws find
/// none, and a look at all of them finds the best that are left.
#[test]
fn looks_at_all_endpoints_where_none_of_many_answers_and_counts_it() {
    let mut world = World::new(first_world(Kind::Usual, 120));
    for _ in 0..4 * world.entries.len() {
        world.send(IDEMPOTENT, |_, _| None);
    }
    world.advance(ms(3500));
    world.begin_probe();
    assert_eq!(world.balancer.full_walks(), 0);
    assert!(world.balancer.draw_candidates(world.now, PROBE).is_some());
    assert_eq!(world.balancer.full_walks(), 1);
}

#[test]
fn the_less_loaded_of_two_endpoints_gets_the_request() {
    let mut world = World::new(first_world(Kind::OneZone, 550));
    let mut to_loaded = 0;
    let attempts = 1000;
    for _ in 0..attempts {
        for index in 0..world.entries.len() {
            let load = if index % 2 == 0 { 0.0 } else { 1000.0 };
            let now = world.now;
            world
                .balancer
                .on_load_report(now, index, Outcome::Succeeded, Some(load));
        }
        let id = world.next_id;
        world.send(IDEMPOTENT, |_, _| Some(Outcome::Succeeded));
        assert_eq!(world.next_id, id + 1);
        to_loaded += usize::from(world.last_endpoint % 2 == 1);
    }
    // Both choices are loaded ones in a quarter of the draws.
    assert!(
        (200..300).contains(&to_loaded),
        "{to_loaded} of {attempts} to loaded endpoints"
    );
}

/// Lists, ejections, restarts, zones and reloads in any order: what is drawn is always a candidate,
/// and nothing is drawn only where there is none.
#[test]
fn draws_stay_right_while_endpoints_change_in_any_order() {
    for seed in 0..40 {
        let kind = Kind::ALL[seed as usize % Kind::ALL.len()];
        let mut world = World::new(first_world(kind, 40));
        world.random = Pcg64Mcg::seed_from_u64(seed);
        world.begin_probe();
        for step in 0..40 {
            world.change_at_random();
            let candidates = world.balancer.candidate_weights(world.now, PROBE);
            let endpoints: Vec<usize> = candidates.iter().map(|(index, _)| *index).collect();
            for _ in 0..20 {
                let drawn = world.balancer.draw_candidates(world.now, PROBE);
                assert_eq!(drawn.is_none(), endpoints.is_empty(), "{seed}, {step}");
                let all_known = drawn.into_iter().flatten().all(|e| endpoints.contains(&e));
                assert!(all_known, "{seed}, {step}: {drawn:?} of {endpoints:?}");
            }
        }
    }
}

/// Keys with affinity endpoints and endpoints that are asked for their load among the requests.
#[test]
fn routing_looks_at_few_endpoints_at_any_size() {
    for size in [55, 550, 7700] {
        let mut world = World::new(first_world(Kind::Usual, size));
        let affinity_settings = Settings {
            key_affinity: true,
            load_probes: true,
            ..settings(1, Kind::Usual)
        };
        world.reload_with(&affinity_settings);
        let requests: u64 = 1000;
        for number in 0..requests {
            let request = Request {
                key: Some(number * 7919),
                ..World::request(IDEMPOTENT, false)
            };
            let id = world.next_id + number;
            world.balancer.on_request(world.now, id, request);
            let decision = world.balancer.route(world.now, id);
            assert!(matches!(decision, Decision::Forward { .. }), "{decision:?}");
            let end = AttemptEnd {
                outcome: Outcome::Succeeded,
                latency: ms(20),
                request_closed: true,
                reported_load: None,
            };
            world.balancer.on_attempt_end(world.now, id, 0, end);
        }
        let scanned = world.balancer.endpoints_scanned() as f64 / requests as f64;
        assert!(
            scanned > 0.0 && scanned < MAX_SCANNED,
            "{size} endpoints: {scanned} a request"
        );
        assert_eq!(world.balancer.full_walks(), 0, "{size} endpoints");
    }
}
