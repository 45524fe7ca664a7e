//! Median latencies of peer groups, computed over a bounded number of peers.

use super::Balancer;
use crate::model::PeerGroup;

/// Number of peers above which a group has a median of its own.
const MIN_PEERS: usize = 2;
/// Maximum number of peers over which a median is computed; the others follow in the next
/// evaluations.
///
/// The median is exact for up to this many peers. For more, the error of its rank, as a share of
/// the peers, has a standard deviation of at most `0.5 / sqrt(512)`, 2.2%.
pub(super) const MAX_SAMPLED_PEERS: usize = 512;
/// Step between two sampled positions, as a share of the number of positions: the golden ratio,
/// whose multiples are spread evenly and match no period of the list.
const SAMPLE_STEP: f64 = 0.618_033_988_749_895;

/// Median latencies of the peers of one hardware type.
pub(super) struct PeerMedians {
    /// Median latency of the endpoints that run an earlier build.
    pub earlier: f64,
    /// Median latency of the endpoints that run the newest build.
    pub newest: f64,
}

impl Balancer {
    /// Median latencies of all peer groups, by hardware type. A group of few endpoints gets the
    /// median of all endpoints. A group without endpoints gets 1.0, which nothing reads.
    pub(super) fn peer_medians(&self) -> Vec<PeerMedians> {
        let mut overall = None;
        let mut median = |group: PeerGroup| {
            if self.has_no_endpoint(group) {
                return 1.0;
            }
            self.group_median(group)
                .unwrap_or_else(|| *overall.get_or_insert_with(|| self.overall_median()))
        };
        (0..self.fleet.types.len())
            .map(|endpoint_type| PeerMedians {
                earlier: median(PeerGroup {
                    endpoint_type,
                    is_newest: false,
                }),
                newest: median(PeerGroup {
                    endpoint_type,
                    is_newest: true,
                }),
            })
            .collect()
    }

    /// Whether a group has no warm endpoint, and no endpoint is warming that may belong to it.
    fn has_no_endpoint(&self, group: PeerGroup) -> bool {
        self.fleet.index().sets().warming().is_empty() && self.warm_peers(group).is_empty()
    }

    fn group_median(&self, group: PeerGroup) -> Option<f64> {
        self.median_latency(&self.warm_peers(group))
    }

    fn warm_peers(&self, group: PeerGroup) -> Vec<&[usize]> {
        let warm = self.fleet.index().sets().warm();
        let newest_build = self.rollout.newest_build();
        warm.peers(group.endpoint_type, newest_build, group.is_newest)
    }

    fn overall_median(&self) -> f64 {
        let warm = self.fleet.index().sets().warm();
        self.median_latency(&warm.all()).unwrap_or(1.0)
    }

    /// Median of the high latencies of the endpoints in these lists; `None` if there are too few.
    fn median_latency(&self, lists: &[&[usize]]) -> Option<f64> {
        let total: usize = lists.iter().map(|list| list.len()).sum();
        if total <= MIN_PEERS {
            return None;
        }
        let mut latencies: Vec<f64> = sampled_members(lists, self.peer_latencies.evaluations)
            .map(|index| self.endpoint_latency(self.fleet.endpoint(index)))
            .collect();
        self.fleet.count_scanned(latencies.len());
        let middle = latencies.len() / 2;
        let (_, median, _) = latencies.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }
}

/// The positions out of `total` that an evaluation samples, each once: all of them or as many as
/// are allowed. An evaluation continues where the previous one ended.
pub(super) fn sampled_positions(total: usize, evaluation: u64) -> impl Iterator<Item = usize> {
    let sampled = total.min(MAX_SAMPLED_PEERS);
    let total = total.max(1) as u64;
    let step = sample_step(total);
    let start = (evaluation % total) * sampled as u64 % total;
    (0..sampled as u64).map(move |number| ((start + number) % total * step % total) as usize)
}

/// The smallest step at or above `total` times the golden ratio that visits each position once.
fn sample_step(total: u64) -> u64 {
    let golden = ((total as f64 * SAMPLE_STEP) as u64).max(1);
    (golden..)
        .find(|step| greatest_common_divisor(*step, total) == 1)
        .unwrap_or(1)
}

fn greatest_common_divisor(mut a: u64, mut b: u64) -> u64 {
    while b != 0 {
        (a, b) = (b, a % b);
    }
    a
}

/// The members of these lists that an evaluation samples: all of them or as many as are allowed.
pub(super) fn sampled_members<'a>(
    lists: &'a [&[usize]],
    evaluation: u64,
) -> impl Iterator<Item = usize> + 'a {
    let total = lists.iter().map(|list| list.len()).sum();
    sampled_positions(total, evaluation).filter_map(|position| member_at(lists, position))
}

fn member_at(lists: &[&[usize]], mut position: usize) -> Option<usize> {
    for list in lists {
        if let Some(member) = list.get(position) {
            return Some(*member);
        }
        position -= list.len();
    }
    None
}
