//! Random draws of endpoints by weight, without a scan of all endpoints.
//!
//! Endpoints are kept in groups whose members differ only in latency, load and age. The draw is
//! rejection sampling: a group is drawn in proportion to the upper bound of its members' weights
//! times their number, then one of its members uniformly. The member is accepted with the
//! probability of its weight divided by that bound, if the request may use it. The result is
//! distributed as a draw by weight among all candidates. A group is left out if the request may use
//! none of its members, so only a few members are ever rejected for reasons other than their
//! weight.

use super::candidates::{draw_from_pools, Candidate, CandidatePools, Drawn};
use super::preference::{is_tried, Preference};
use super::selection::{BuildStatus, Selection};
use super::Balancer;
use crate::model::{EndpointGroup, RetryScope};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Number of endpoints up to which all of them are scanned rather than drawn: no more than a few
/// draws would scan, and a scan tells for certain whether one of them is a candidate.
const MAX_SCANNED_MEMBERS: usize = 32;
/// Maximum number of draws for one endpoint. Even if only one draw in twelve is accepted, a hundred
/// draws fail in one of five thousand decisions; more draws would cost as much as a scan of a
/// medium-sized fleet.
const MAX_DRAWS: usize = 100;

/// Result of drawing from groups of endpoints.
pub(super) enum Draw {
    /// Two endpoints were drawn.
    Found(Drawn),
    /// No endpoint may take the request.
    NoCandidate,
    /// No draw succeeded, but there may be candidates.
    Undecided,
}

/// A group of endpoints whose members may be drawn for a request.
struct DrawableGroup<'a> {
    /// Best preference that a member of the group can have.
    preference: Preference,
    status: BuildStatus,
    group: &'a EndpointGroup,
    members: &'a [usize],
}

/// The groups and individual candidates to draw from, with cumulative weights.
struct WeightedSources<'a> {
    preference: Preference,
    groups: Vec<&'a DrawableGroup<'a>>,
    /// Upper bound of a member's weight, by group.
    max_weights: Vec<f64>,
    single: &'a [Candidate],
    cumulative: Vec<f64>,
    total: f64,
}

impl Balancer {
    /// Draws two endpoints for a request by weight, among the candidates of the best preference.
    pub(super) fn draw_from_groups(&self, selection: &Selection, rng: &mut Pcg64Mcg) -> Draw {
        match selection.retry_scope {
            RetryScope::Nowhere => return Draw::NoCandidate,
            RetryScope::Cell(cell) => {
                let members = self.fleet.index().cell(cell);
                if members.len() <= MAX_SCANNED_MEMBERS {
                    return self.draw_from_scan(selection, members, rng);
                }
            }
            RetryScope::Anywhere | RetryScope::Zone(_) => {}
        }
        let groups = self.drawable_groups(selection);
        let mut found = CandidatePools::default();
        self.add_tried(selection, &mut found);
        for preference in Preference::ALL {
            let groups: Vec<&DrawableGroup> = groups
                .iter()
                .filter(|group| group.preference == preference)
                .collect();
            let members: usize = groups.iter().map(|group| group.members.len()).sum();
            if members <= MAX_SCANNED_MEMBERS {
                for group in groups {
                    self.add_untried(selection, group.members, &mut found);
                }
                if !found.of(preference).is_empty() {
                    found.sort(preference);
                    return draw_from_pools(&found, rng).map_or(Draw::Undecided, Draw::Found);
                }
                continue;
            }
            let sources = self.sources(selection, preference, groups, found.of(preference));
            let drawn = self.draw_two(selection, &sources, rng);
            return drawn.map_or(Draw::Undecided, Draw::Found);
        }
        Draw::NoCandidate
    }

    /// Draws from a few endpoints, all of which are scanned.
    fn draw_from_scan(&self, selection: &Selection, members: &[usize], rng: &mut Pcg64Mcg) -> Draw {
        let mut found = CandidatePools::default();
        self.fleet.count_scanned(members.len());
        for index in members {
            self.add_candidate(selection, *index, &mut found);
        }
        for preference in Preference::ALL {
            found.sort(preference);
        }
        draw_from_pools(&found, rng).map_or(Draw::NoCandidate, Draw::Found)
    }

    /// Adds the endpoints that the request has already been sent to, which draws from groups
    /// reject.
    fn add_tried(&self, selection: &Selection, found: &mut CandidatePools) {
        let attempts = &selection.request.attempts;
        self.fleet.count_scanned(attempts.len());
        for (number, attempt) in attempts.iter().enumerate() {
            let is_first = attempts[..number]
                .iter()
                .all(|earlier| earlier.endpoint != attempt.endpoint);
            if is_first {
                self.add_candidate(selection, attempt.endpoint, found);
            }
        }
    }

    fn add_untried(&self, selection: &Selection, members: &[usize], found: &mut CandidatePools) {
        self.fleet.count_scanned(members.len());
        for index in members {
            if !is_tried(selection, *index) {
                self.add_candidate(selection, *index, found);
            }
        }
    }

    /// The groups whose members a request may use, each with the best preference of its members.
    fn drawable_groups(&self, selection: &Selection) -> Vec<DrawableGroup<'_>> {
        let mut drawable = Vec::new();
        // Groups are ordered by build, so the status of each build is looked up only once.
        let mut known_build: Option<(u32, Option<BuildStatus>)> = None;
        for (group, members) in self.fleet.index().groups() {
            let status = match known_build {
                Some((build, status)) if build == group.build => status,
                _ => self
                    .may_use_build(selection, group.build)
                    .then(|| self.build_status(group.build)),
            };
            known_build = Some((group.build, status));
            let Some(status) = status.filter(|_| is_in_scope(selection, group)) else {
                continue;
            };
            drawable.push(DrawableGroup {
                preference: self.best_preference(selection, status, group),
                status,
                group,
                members,
            });
        }
        drawable
    }

    fn sources<'a>(
        &self,
        selection: &Selection,
        preference: Preference,
        groups: Vec<&'a DrawableGroup<'a>>,
        single: &'a [Candidate],
    ) -> WeightedSources<'a> {
        let max_weights: Vec<f64> = groups
            .iter()
            .map(|group| self.max_group_weight(selection, group.status, group.group))
            .collect();
        let group_weights = groups
            .iter()
            .zip(&max_weights)
            .map(|(group, max_weight)| max_weight * group.members.len() as f64);
        let weights = group_weights.chain(single.iter().map(|candidate| candidate.weight));
        let mut total = 0.0;
        let mut cumulative = Vec::with_capacity(groups.len() + single.len());
        for weight in weights {
            total += weight;
            cumulative.push(total);
        }
        WeightedSources {
            preference,
            groups,
            max_weights,
            single,
            cumulative,
            total,
        }
    }

    fn draw_two(
        &self,
        selection: &Selection,
        sources: &WeightedSources,
        rng: &mut Pcg64Mcg,
    ) -> Option<Drawn> {
        // If the total weight is not finite or not positive, the caller falls back to a scan of all
        // endpoints.
        if !sources.total.is_finite() || sources.total <= 0.0 {
            return None;
        }
        let first = self.draw_one(selection, sources, rng)?;
        let second = self.draw_one(selection, sources, rng)?;
        Some(Drawn {
            preference: sources.preference,
            endpoints: [first, second],
        })
    }

    fn draw_one(
        &self,
        selection: &Selection,
        sources: &WeightedSources,
        rng: &mut Pcg64Mcg,
    ) -> Option<usize> {
        (0..MAX_DRAWS).find_map(|_| self.try_draw(selection, sources, rng))
    }

    /// Draws one endpoint. Returns `None` if it is rejected.
    fn try_draw(
        &self,
        selection: &Selection,
        sources: &WeightedSources,
        rng: &mut Pcg64Mcg,
    ) -> Option<usize> {
        self.fleet.count_scanned(1);
        let point = rng.gen_range(0.0..sources.total);
        let source = sources.cumulative.partition_point(|sum| *sum <= point);
        let Some(group) = sources.groups.get(source) else {
            let single = sources.single.get(source - sources.groups.len())?;
            return Some(single.endpoint);
        };
        let index = group.members[rng.gen_range(0..group.members.len())];
        let endpoint = self.fleet.endpoint(index);
        let weight = self.candidate_weight(selection, group.status, endpoint);
        let is_accepted = rng.gen_range(0.0..1.0) * sources.max_weights[source] < weight
            && !is_tried(selection, index)
            && self.is_candidate(selection, sources.preference, index);
        is_accepted.then_some(index)
    }
}

/// Whether the zone of a group lies in the scope within which a request may be retried.
fn is_in_scope(selection: &Selection, group: &EndpointGroup) -> bool {
    match selection.retry_scope {
        RetryScope::Zone(zone) => group.zone == zone,
        RetryScope::Anywhere | RetryScope::Cell(_) => true,
        RetryScope::Nowhere => false,
    }
}
