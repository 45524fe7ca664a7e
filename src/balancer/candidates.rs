//! Selects the endpoint for a request by the power of two choices: two endpoints are drawn by
//! weight, and the less loaded one is taken.

use super::endpoint_draw::Draw;
use super::preference::Preference;
use super::selection::Selection;
use super::Balancer;
use crate::model::Endpoint;
use rand::distributions::{Distribution, WeightedIndex};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Factor on the load of a key's affinity endpoint, which needs less work for that key.
const AFFINITY_LOAD_FACTOR: f64 = 0.7;

/// An endpoint that may take a request.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Weight in the random draw.
    pub weight: f64,
}

/// Candidates of one attempt, grouped by preference.
#[derive(Default)]
pub(super) struct CandidatePools([Vec<Candidate>; 4]);

impl CandidatePools {
    pub fn add(&mut self, preference: Preference, candidate: Candidate) {
        self.0[preference as usize].push(candidate);
    }

    pub fn of(&self, preference: Preference) -> &[Candidate] {
        &self.0[preference as usize]
    }

    /// The candidates of the best preference that has any; `None` if there are no candidates.
    pub fn best(&self) -> Option<(Preference, &[Candidate])> {
        let pools = Preference::ALL.iter().map(|p| (*p, self.of(*p)));
        pools.into_iter().find(|(_, pool)| !pool.is_empty())
    }

    /// Sorts the candidates of a preference by endpoint index, as they may have been found in any
    /// order.
    pub fn sort(&mut self, preference: Preference) {
        self.0[preference as usize].sort_unstable_by_key(|candidate| candidate.endpoint);
    }
}

/// Two endpoints that were drawn by weight; both draws may give the same one.
pub(super) struct Drawn {
    /// Preference that both endpoints share.
    pub preference: Preference,
    /// Indices of the two endpoints.
    pub endpoints: [usize; 2],
}

/// The two endpoints that were drawn for a request, ordered by load.
pub(super) struct TwoChoices {
    /// Index of the less loaded endpoint.
    pub chosen: usize,
    /// Index of the other endpoint.
    pub other: usize,
}

impl Balancer {
    /// Draws two endpoints that may take this request now. Returns `None` if there are none or if
    /// the endpoint list has expired.
    pub(super) fn choose_endpoints(&mut self, now: Duration, id: u64) -> Option<TwoChoices> {
        if !self.is_list_valid(now) {
            return None;
        }
        self.fleet.end_ejections(now);
        let mut rng = self.rng.clone();
        let selection = self.selection(now, &self.requests[&id]);
        let choices = self
            .draw(&selection, &mut rng)
            .map(|drawn| self.compare(&selection, &drawn));
        self.rng = rng;
        choices
    }

    /// Draws two endpoints by weight among the candidates of the best preference.
    fn draw(&self, selection: &Selection, rng: &mut Pcg64Mcg) -> Option<Drawn> {
        match self.draw_from_groups(selection, rng) {
            Draw::Found(drawn) => Some(drawn),
            Draw::NoCandidate => None,
            Draw::Undecided => {
                self.fleet.count_full_walk();
                draw_from_pools(&self.gather_candidates(selection), rng)
            }
        }
    }

    /// Collects all endpoints that may take a request by scanning the fleet. Used as the fallback
    /// if random draws find none, and as the reference for the draws.
    fn gather_candidates(&self, selection: &Selection) -> CandidatePools {
        let mut pools = CandidatePools::default();
        for (index, _) in self.fleet.running() {
            self.add_candidate(selection, index, &mut pools);
        }
        pools
    }

    /// Adds an endpoint to the candidates if it is running and the rules allow it to take the
    /// request.
    pub(super) fn add_candidate(
        &self,
        selection: &Selection,
        index: usize,
        pools: &mut CandidatePools,
    ) {
        let Some(endpoint) = self.eligible_endpoint(selection, index) else {
            return;
        };
        let status = self.build_status(endpoint.build);
        let candidate = Candidate {
            endpoint: index,
            weight: self.candidate_weight(selection, status, endpoint),
        };
        let preference = self.preference(selection, status, index, endpoint);
        pools.add(preference, candidate);
    }

    /// The endpoint at `index`, if it is running and the rules allow it to take the request.
    fn eligible_endpoint(&self, selection: &Selection, index: usize) -> Option<&Endpoint> {
        let endpoint = self.fleet.get(index).filter(|e| e.is_running())?;
        self.is_eligible(selection, endpoint).then_some(endpoint)
    }

    /// Whether an endpoint is a candidate of exactly this preference.
    pub(super) fn is_candidate(
        &self,
        selection: &Selection,
        preference: Preference,
        index: usize,
    ) -> bool {
        self.eligible_endpoint(selection, index)
            .is_some_and(|endpoint| {
                let status = self.build_status(endpoint.build);
                self.preference(selection, status, index, endpoint) == preference
            })
    }

    /// Chooses the less loaded of the drawn endpoints.
    ///
    /// The affinity endpoint of the request's key replaces the first drawn endpoint and may have
    /// slightly more load. Endpoints that have been asked for their load for this request replace
    /// both.
    fn compare(&self, selection: &Selection, drawn: &Drawn) -> TwoChoices {
        let request = selection.request;
        let is_candidate = |index: usize| {
            self.fleet.count_scanned(1);
            self.is_candidate(selection, drawn.preference, index)
        };
        let [mut first, mut second] = drawn.endpoints;
        let affinity = self.affinity_endpoint_where(request, is_candidate);
        if let Some(affinity_endpoint) = affinity {
            first = affinity_endpoint;
        }
        if let Some(probed) = request.probed.filter(|_| !selection.is_retry) {
            let [a, b] = probed.map(|index| Some(index).filter(|index| is_candidate(*index)));
            first = a.or(b).unwrap_or(first);
            second = b.or(a).unwrap_or(second);
        }
        let cost = |index: usize| {
            let load = self.candidate_load(selection, self.fleet.endpoint(index));
            if affinity == Some(index) {
                load * AFFINITY_LOAD_FACTOR
            } else {
                load
            }
        };
        if cost(second) < cost(first) {
            (first, second) = (second, first);
        }
        TwoChoices {
            chosen: first,
            other: second,
        }
    }

    /// Diagnostic: the endpoints that a request may be forwarded to now, with their weights in the
    /// random draw. Scans all endpoints. Empty if the request is unknown or the endpoint list has
    /// expired.
    pub fn candidate_weights(&self, now: Duration, id: u64) -> Vec<(usize, f64)> {
        let Some(request) = self.requests.get(&id).filter(|_| self.is_list_valid(now)) else {
            return Vec::new();
        };
        let pools = self.gather_candidates(&self.selection(now, request));
        let best = pools.best().map_or(&[][..], |(_, pool)| pool);
        best.iter().map(|c| (c.endpoint, c.weight)).collect()
    }

    /// Diagnostic: draws two endpoints as [`route`](Self::route) does before it compares their
    /// loads. Consumes random numbers but decides nothing. Returns `None` if the request is
    /// unknown, no endpoint may take it, or the endpoint list has expired.
    pub fn draw_candidates(&mut self, now: Duration, id: u64) -> Option<[usize; 2]> {
        if !self.is_list_valid(now) {
            return None;
        }
        self.fleet.end_ejections(now);
        let mut rng = self.rng.clone();
        let selection = self.selection(now, self.requests.get(&id)?);
        let drawn = self.draw(&selection, &mut rng);
        self.rng = rng;
        drawn.map(|drawn| drawn.endpoints)
    }
}

/// Draws two candidates of the best preference by weight. If no candidate has a positive weight,
/// both are the last one. Returns `None` if there are no candidates.
pub(super) fn draw_from_pools(pools: &CandidatePools, rng: &mut Pcg64Mcg) -> Option<Drawn> {
    let (preference, pool) = pools.best()?;
    let last = pool.len().saturating_sub(1);
    let drawn = WeightedIndex::new(pool.iter().map(|candidate| candidate.weight)).ok();
    let mut draw = || {
        drawn
            .as_ref()
            .map_or(last, |by_weight| by_weight.sample(rng))
    };
    let endpoints = [draw(), draw()].map(|position| pool[position].endpoint);
    Some(Drawn {
        preference,
        endpoints,
    })
}
