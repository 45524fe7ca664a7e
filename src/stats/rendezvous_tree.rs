//! Hierarchical weighted rendezvous hashing, which ranks the members for a key without visiting all
//! of them.

use super::rendezvous::{is_beyond, mix_bits, rendezvous_distance};
use super::rendezvous_trie::{InnerNode, Node, RendezvousMember};
use std::cell::Cell;

/// With up to this many members, plain rendezvous hashing over all members is used for every key.
/// With more than twice as many, the tree is used for every key.
///
/// In between, the threshold differs by key, so that adding or removing a member switches only a
/// few keys from one method to the other.
const MAX_PLAIN_MEMBERS: u64 = 64;
/// Number of units in a weight of 1. The sums are integers and thus do not depend on the order of
/// addition.
const UNITS_PER_WEIGHT: f64 = 1_048_576.0;
/// Lower and upper bound of a weight. The units of 2^24 members of the greatest weight add up to
/// less than 2^64.
const WEIGHT_BOUNDS: (f64, f64) = (1.0 / UNITS_PER_WEIGHT, 1_048_576.0);
/// 2^64 divided by the golden ratio, an odd number without a bit pattern. Used to derive several
/// independent hashes of a key.
const HASH_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Weight of all members of one kind for a key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindWeight {
    /// Weight of each member.
    pub weight: f64,
    /// Whether a descent in the tree may end at these members.
    pub is_preferred: bool,
}

/// A weight within `WEIGHT_BOUNDS`.
#[derive(Clone, Copy)]
struct BoundedWeight {
    value: f64,
    /// The weight in units. 0 if members of this kind must not be chosen.
    units: u64,
}

impl KindWeight {
    /// Limits the weight to `WEIGHT_BOUNDS`. This protects the sums against values that are not
    /// finite, and members against never being chosen. It does harm if the weights differ by more
    /// than the bounds allow.
    fn bounded(self, is_plain: bool) -> BoundedWeight {
        let (least, greatest) = WEIGHT_BOUNDS;
        let value = self.weight.max(least).min(greatest);
        let units = if is_plain || self.is_preferred {
            (value * UNITS_PER_WEIGHT) as u64
        } else {
            0
        };
        BoundedWeight { value, units }
    }
}

/// A set of members that keys are distributed to in proportion to the members' weights.
///
/// A lookup descends from the root. At each inner node it uses weighted rendezvous hashing among
/// the children, with the sum of the weights below each of them. All agents with the same members
/// find the same member for a key, in whatever order the members were added. Adding or removing a
/// member moves at each level about as many keys as correspond to its share.
#[derive(Default)]
pub(crate) struct RendezvousTree {
    root: InnerNode,
    len: u64,
    visited: Cell<u64>,
    summed: Cell<u64>,
}

/// Weights by kind, in units.
struct KindUnits<'a> {
    weights: &'a [BoundedWeight],
    max: u64,
}

impl KindUnits<'_> {
    fn new(weights: &[BoundedWeight]) -> KindUnits<'_> {
        let max = weights.iter().map(|weight| weight.units).max();
        KindUnits {
            weights,
            max: max.unwrap_or(0),
        }
    }

    fn of(&self, kind: usize) -> u64 {
        self.weights.get(kind).map_or(0, |weight| weight.units)
    }
}

impl RendezvousTree {
    /// Adds a member, which must not be in the tree yet.
    pub fn insert(&mut self, member: RendezvousMember) {
        self.len += 1;
        let visited = self.root.insert(0, member);
        self.count_visited(visited);
    }

    /// Removes a member and returns whether it was in the tree.
    pub fn remove(&mut self, member: &RendezvousMember) -> bool {
        let Some(visited) = self.root.remove(0, member) else {
            return false;
        };
        self.len -= 1;
        self.count_visited(visited);
        true
    }

    /// Returns the values of the members for a key, in an order that is the same everywhere for the
    /// same set of members.
    ///
    /// A small tree yields all members in the order of plain rendezvous hashing. A larger tree
    /// yields only members of preferred kinds: those found by at most `descents` descents, the
    /// first one with the key itself and the others with further hashes of the key.
    pub fn ranked(
        &self,
        key: u64,
        kinds: impl Iterator<Item = KindWeight>,
        descents: u64,
    ) -> RankedMembers<'_> {
        let is_plain =
            self.len <= MAX_PLAIN_MEMBERS + mix_bits(key ^ HASH_STEP) % MAX_PLAIN_MEMBERS;
        RankedMembers {
            tree: self,
            key,
            weights: kinds.map(|kind| kind.bounded(is_plain)).collect(),
            is_plain,
            next: 0,
            descents,
            order: Vec::new(),
        }
    }

    /// Returns how many nodes have been visited so far, including children that were compared, as a
    /// measure of work that does not depend on a clock.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Returns for how many nodes the weights of all kinds have been summed so far.
    pub fn summed(&self) -> u64 {
        self.summed.get()
    }

    fn count_visited(&self, nodes: u64) {
        self.visited.set(self.visited.get().wrapping_add(nodes));
    }

    /// Descends to the member of a key.
    fn descend(&self, key: u64, weights: &[BoundedWeight]) -> Option<&RendezvousMember> {
        let units = KindUnits::new(weights);
        let mut path = HASH_STEP;
        let mut inner = &self.root;
        loop {
            let (child_path, node) = self.nearest_child(inner, path, key, &units)?;
            path = child_path;
            match node {
                Node::Inner(below) => inner = below,
                Node::Leaf(members) => {
                    return members.iter().find(|member| units.of(member.kind) > 0);
                }
            }
        }
    }

    /// Returns the child nearest to a key. Most other children would be farther away even if all of
    /// their members had the greatest weight, so their weights need not be summed over the kinds.
    fn nearest_child<'a>(
        &self,
        inner: &'a InnerNode,
        path: u64,
        key: u64,
        kind_units: &KindUnits,
    ) -> Option<(u64, &'a Node)> {
        self.count_visited(inner.children.len() as u64);
        let mut nearest = None;
        let mut least = f64::INFINITY;
        for child in &inner.children {
            let child_path = path_below(path, child.slot);
            let most_units = kind_units.max.saturating_mul(child.node.len());
            if is_beyond(key, child_path, most_units as f64, least) {
                continue;
            }
            self.summed.set(self.summed.get().wrapping_add(1));
            let units = child.node.weight(&|kind| kind_units.of(kind));
            if units == 0 {
                continue;
            }
            let distance = rendezvous_distance(key, child_path, units as f64, least);
            if let Some(distance) = distance.filter(|distance| *distance < least) {
                least = distance;
                nearest = Some((child_path, &child.node));
            }
        }
        nearest
    }

    /// Calls `visit` for the members that may be chosen, with their distance from the key. `visit`
    /// returns a distance beyond which further members may be skipped.
    fn for_each_distance(
        &self,
        key: u64,
        weights: &[BoundedWeight],
        mut visit: impl FnMut(Distance) -> f64,
    ) {
        self.count_visited(self.len);
        let mut limit = f64::INFINITY;
        self.root.for_each(&mut |member| {
            let Some(weight) = weights.get(member.kind).filter(|weight| weight.units > 0) else {
                return;
            };
            let identity = member.identity;
            let distance = rendezvous_distance(key, identity, weight.value, limit);
            if let Some(distance) = distance {
                limit = visit(Distance {
                    distance,
                    identity,
                    value: member.value,
                });
            }
        });
    }
}

/// Distance of a member from a key.
#[derive(Clone, Copy)]
struct Distance {
    distance: f64,
    identity: u64,
    value: usize,
}

impl Distance {
    fn order(&self, other: &Distance) -> std::cmp::Ordering {
        let by_distance = self.distance.total_cmp(&other.distance);
        by_distance.then((self.identity, self.value).cmp(&(other.identity, other.value)))
    }
}

/// The members for a key, in order. Returned by [`RendezvousTree::ranked`].
pub(crate) struct RankedMembers<'a> {
    tree: &'a RendezvousTree,
    key: u64,
    /// Weights by kind.
    weights: Vec<BoundedWeight>,
    is_plain: bool,
    /// Number of members returned so far in a small tree, else number of descents made.
    next: u64,
    descents: u64,
    /// All members in order if the tree is small, else the members returned so far.
    order: Vec<usize>,
}

impl RankedMembers<'_> {
    /// The first member is found without sorting all of them, because few callers need a second
    /// one.
    fn next_plain(&mut self) -> Option<usize> {
        let position = self.next as usize;
        self.next += 1;
        if position == 0 {
            return self.nearest();
        }
        if self.order.is_empty() {
            let mut members = Vec::new();
            self.tree
                .for_each_distance(self.key, &self.weights, |member| {
                    members.push(member);
                    f64::INFINITY
                });
            members.sort_unstable_by(Distance::order);
            self.order = members.iter().map(|member| member.value).collect();
        }
        self.order.get(position).copied()
    }

    fn nearest(&self) -> Option<usize> {
        let mut nearest: Option<Distance> = None;
        self.tree
            .for_each_distance(self.key, &self.weights, |member| {
                let best = nearest.get_or_insert(member);
                if member.order(best).is_lt() {
                    *best = member;
                }
                best.distance
            });
        nearest.map(|member| member.value)
    }

    fn next_descent(&mut self) -> Option<usize> {
        while self.next < self.descents {
            let key = match self.next {
                0 => self.key,
                n => mix_bits(self.key.wrapping_add(HASH_STEP.wrapping_mul(n))),
            };
            self.next += 1;
            let value = self.tree.descend(key, &self.weights)?.value;
            if !self.order.contains(&value) {
                self.order.push(value);
                return Some(value);
            }
        }
        None
    }
}

impl Iterator for RankedMembers<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        if self.is_plain {
            self.next_plain()
        } else {
            self.next_descent()
        }
    }
}

/// Returns the hash that identifies a child by its path from the root.
fn path_below(path: u64, slot: u8) -> u64 {
    mix_bits(path.wrapping_add(HASH_STEP.wrapping_mul(u64::from(slot) + 1)))
}
