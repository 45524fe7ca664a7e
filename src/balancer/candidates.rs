//! Which endpoints may take a request, and which of them does: the better of two random choices,
//! drawn by weight and compared by load.

use super::Balancer;
use crate::interface::Idempotency;
use crate::model::{ActiveRequest, Endpoint};
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Least part of their load that endpoints of the earlier build keep, where they go at the release.
const MIN_EARLIER_SHARE: f64 = 0.05;
/// Part of a fair share that a regressed build gets, so that it can show otherwise.
const REGRESSED_SHARE: f64 = 0.1;
/// Factor on the load of a key's affinity endpoint, which works less for that key.
const AFFINITY_LOAD_FACTOR: f64 = 0.7;
/// Part of the latency objective from which on the estimated work makes a request heavy.
const HEAVY_WORK: f64 = 0.2;
/// Consecutive faults beyond which an endpoint gets no request that may not run twice.
const MAX_FAULTS_FOR_EFFECTS: u32 = 1;
/// Power of the relative latency by which slow hardware is avoided for heavy requests.
const HEAVY_LATENCY_POWER: i32 = -4;

/// An endpoint that may take a request.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Weight in the random draw.
    pub weight: f64,
    /// Requests in flight there, against what it can take.
    pub load: f64,
}

/// How readily an endpoint is used; the first that has any candidates wins.
#[derive(Clone, Copy)]
enum Preference {
    /// It is expected to answer.
    Usable,
    /// The same, in a zone that is used only where no local endpoint can take the request.
    LastResort,
    /// It was tried for this request, or is likely to fail it.
    Doubtful,
    /// It is ejected or unresponsive.
    Unavailable,
}

/// Candidates by preference.
#[derive(Default)]
struct CandidatePools([Vec<Candidate>; 4]);

impl CandidatePools {
    fn add(&mut self, preference: Preference, candidate: Candidate) {
        self.0[preference as usize].push(candidate);
    }

    fn best(&self) -> Option<&[Candidate]> {
        let pool = self.0.iter().find(|pool| !pool.is_empty())?;
        Some(pool)
    }
}

/// The two endpoints that were drawn for a request.
pub(super) struct TwoChoices {
    /// Index of the one with less load.
    pub chosen: usize,
    /// Index of the other.
    pub other: usize,
}

/// What all candidates for one attempt are measured by.
struct Selection<'a> {
    now: Duration,
    /// When the attempt is written at the latest.
    written_at: Duration,
    request: &'a ActiveRequest,
    idempotency: Idempotency,
    /// Whether a second run of the request would be seen.
    has_effect: bool,
    is_retry: bool,
    is_heavy: bool,
    /// The oldest build that may serve it.
    minimum_build: u32,
    stall_timeout: Duration,
    shares: FleetShares,
}

/// How the load is shared out between builds.
struct FleetShares {
    /// Endpoints that run.
    running: f64,
    /// Mean weight of an endpoint, by its zone.
    fair: f64,
    /// Part of its load that an endpoint of the earlier build keeps.
    earlier: f64,
}

/// What a candidate's build and age make of it.
struct EndpointStanding {
    is_canary: bool,
    is_regressed: bool,
    /// Part of its full load that it may get.
    slow_start_share: f64,
}

impl Balancer {
    /// Draws two endpoints that may take this request now. `None` where there are none, or where
    /// the endpoint list has expired.
    pub(super) fn choose_endpoints(&mut self, now: Duration, id: u64) -> Option<TwoChoices> {
        if !self.is_list_valid(now) {
            return None;
        }
        let request = &self.requests[&id];
        let pools = self.gather_candidates(now, request);
        let candidates = pools.best()?;
        let drawn = draw_two(&mut self.rng, candidates)?;
        Some(self.compare(request, candidates, drawn))
    }

    fn gather_candidates(&self, now: Duration, request: &ActiveRequest) -> CandidatePools {
        let selection = self.selection(now, request);
        let mut pools = CandidatePools::default();
        for (index, endpoint) in self.fleet.running() {
            if !self.is_eligible(&selection, endpoint) {
                continue;
            }
            let standing = self.standing(now, endpoint);
            let preference = self.preference(&selection, &standing, index, endpoint);
            let candidate = self.candidate(&selection, &standing, index, endpoint);
            pools.add(preference, candidate);
        }
        pools
    }

    fn selection<'a>(&self, now: Duration, request: &'a ActiveRequest) -> Selection<'a> {
        let rules = &self.classes[request.class].rules;
        let heavy_work = rules.latency_objective * HEAVY_WORK;
        Selection {
            now,
            written_at: now + self.parameters.timer_granularity,
            request,
            idempotency: rules.idempotency,
            has_effect: rules.idempotency != Idempotency::Idempotent,
            is_retry: !request.attempts.is_empty(),
            is_heavy: request
                .estimated_work
                .is_some_and(|work| work.as_secs_f64() > heavy_work),
            minimum_build: self.minimum_build(request),
            stall_timeout: self.stall_timeout(),
            shares: self.fleet_shares(now),
        }
    }

    /// Endpoints of the earlier build that go at the release leave their load to those of the
    /// canary, unless a build is regressed.
    fn fleet_shares(&self, now: Duration) -> FleetShares {
        let mut running = 0.0;
        let mut earlier_endpoints = 0.0;
        let mut canary_capacity = 0.0;
        let mut zone_weights = 0.0;
        for (_, endpoint) in self.fleet.running() {
            running += 1.0;
            if self.rollout.is_canary(endpoint.build) {
                canary_capacity += self.slow_start_share(now, endpoint);
            } else {
                earlier_endpoints += 1.0;
            }
            zone_weights += self.zone_weight(endpoint.zone);
        }
        let earlier_stay =
            self.parameters.rollout.in_place || self.rollout.builds.values().any(|b| b.regressed);
        let earlier = if earlier_stay {
            1.0
        } else {
            (1.0 - canary_capacity / f64::max(earlier_endpoints, 1.0)).max(MIN_EARLIER_SHARE)
        };
        FleetShares {
            running,
            fair: zone_weights / f64::max(running, 1.0),
            earlier,
        }
    }

    /// Whether the rules let this endpoint take the request at all.
    fn is_eligible(&self, selection: &Selection, endpoint: &Endpoint) -> bool {
        let request = selection.request;
        let number = request.attempts.len();
        endpoint.build >= selection.minimum_build
            && request.is_deduplicated_at(
                number,
                selection.idempotency,
                endpoint,
                selection.written_at,
            )
            && (endpoint.is_warm() || endpoint.slow_start.attempts >= 1.0)
            && self.may_expose(endpoint.build, request.class)
    }

    fn standing(&self, now: Duration, endpoint: &Endpoint) -> EndpointStanding {
        EndpointStanding {
            is_canary: self.rollout.is_canary(endpoint.build),
            is_regressed: self.rollout.is_regressed(endpoint.build),
            slow_start_share: self.slow_start_share(now, endpoint),
        }
    }

    /// How readily an endpoint is used for this request.
    ///
    /// Guards requests that are not idempotent against endpoints that may lose or fail them: those
    /// come last for them. Does harm where they are the only ones with room, as the others get all.
    fn preference(
        &self,
        selection: &Selection,
        standing: &EndpointStanding,
        index: usize,
        endpoint: &Endpoint,
    ) -> Preference {
        let ejection = &endpoint.ejection;
        let has_effect = selection.has_effect;
        let is_ejected = ejection.until.is_some_and(|until| selection.now < until)
            || has_effect && endpoint.health.consecutive_faults > MAX_FAULTS_FOR_EFFECTS;
        if is_ejected || endpoint.is_unresponsive(selection.now, selection.stall_timeout) {
            return Preference::Unavailable;
        }
        let is_tried = selection
            .request
            .attempts
            .iter()
            .any(|a| a.endpoint == index);
        let may_fail_effect = standing.is_canary && standing.is_regressed && has_effect;
        let is_on_probation = ejection.until.is_some() && (has_effect || endpoint.in_flight > 0);
        if is_tried || may_fail_effect || is_on_probation {
            return Preference::Doubtful;
        }
        // No budget for crossing zones may leave a canary without evidence.
        let class = selection.request.class;
        let is_last_resort =
            !standing.is_canary && self.is_last_resort(endpoint.zone, class, selection.is_retry);
        if is_last_resort {
            Preference::LastResort
        } else {
            Preference::Usable
        }
    }

    fn candidate(
        &self,
        selection: &Selection,
        standing: &EndpointStanding,
        index: usize,
        endpoint: &Endpoint,
    ) -> Candidate {
        let hardware = &self.fleet.types[endpoint.endpoint_type];
        let share = self.build_share(&selection.shares, standing, endpoint.zone);
        // Guards heavy requests against slow hardware, which looks fast at no load. Does harm by
        // crowding the fast hardware.
        let (heavy_factor, min_load) = if selection.is_heavy {
            let factor = hardware.relative_latency.powi(HEAVY_LATENCY_POWER);
            (factor, 1.0 + hardware.reported_load.value)
        } else {
            (1.0, 0.0)
        };
        let capacity = endpoint.weight * hardware.throughput * standing.slow_start_share;
        let weight = capacity * share * heavy_factor;
        let load = self.expected_load(selection.now, endpoint).max(min_load);
        Candidate {
            endpoint: index,
            weight: if endpoint.is_warm() {
                weight
            } else {
                let quota = endpoint.slow_start.per_window;
                weight * (1.0 / quota).clamp(1.0, selection.shares.running)
            },
            load: load / capacity,
        }
    }

    /// Part of its full load that an endpoint gets by its build and zone. A canary gets an even
    /// share from every zone, a regressed build a trickle of it.
    fn build_share(&self, shares: &FleetShares, standing: &EndpointStanding, zone: usize) -> f64 {
        match (standing.is_canary, standing.is_regressed) {
            (true, true) => shares.fair * REGRESSED_SHARE,
            (true, false) => shares.fair,
            (false, _) => self.zone_weight(zone) * shares.earlier,
        }
    }

    /// Takes the drawn endpoint with less load.
    ///
    /// The affinity endpoint of the request's key stands in for the first one, and may have a bit
    /// more load. Endpoints that were asked for their load before stand in for both.
    fn compare(
        &self,
        request: &ActiveRequest,
        candidates: &[Candidate],
        drawn: [Candidate; 2],
    ) -> TwoChoices {
        let [mut first, mut second] = drawn;
        let is_retry = !request.attempts.is_empty();
        let find = |index: usize| candidates.binary_search_by_key(&index, |c| c.endpoint).ok();
        let affinity = self.affinity_endpoint_where(request, |index| find(index).is_some());
        if let Some(place) = affinity.and_then(find) {
            first = candidates[place];
        }
        if let Some(probed) = request.probed.filter(|_| !is_retry) {
            let [a, b] = probed.map(|index| candidates.iter().find(|c| c.endpoint == index));
            first = *a.or(b).unwrap_or(&first);
            second = *b.or(a).unwrap_or(&second);
        }
        if cost(&second, affinity) < cost(&first, affinity) {
            (first, second) = (second, first);
        }
        TwoChoices {
            chosen: first.endpoint,
            other: second.endpoint,
        }
    }
}

/// Two random candidates, by weight; they may be the same one.
fn draw_two(rng: &mut Pcg64Mcg, candidates: &[Candidate]) -> Option<[Candidate; 2]> {
    let mut draw = || {
        let drawn = candidates.choose_weighted(rng, |c| c.weight).ok();
        drawn.or(candidates.last()).copied()
    };
    let first = draw()?;
    let second = draw()?;
    Some([first, second])
}

fn cost(candidate: &Candidate, affinity: Option<usize>) -> f64 {
    if affinity == Some(candidate.endpoint) {
        candidate.load * AFFINITY_LOAD_FACTOR
    } else {
        candidate.load
    }
}
