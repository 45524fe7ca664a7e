//! Hierarchical weighted rendezvous hashing: the node of a key, and those that follow, without a
//! walk over all nodes.

use super::rendezvous::{is_beyond, mix_bits, rendezvous_distance};
use super::rendezvous_trie::{InnerNode, Node, RendezvousMember};
use std::cell::Cell;

/// Up to so many members, each key goes by plain rendezvous hashing over all of them; beyond twice
/// as many, each goes down the tree.
///
/// Between them each key has a number of its own, so that a member that comes or goes there moves
/// few of the keys that change from the one to the other.
const MAX_PLAIN_MEMBERS: u64 = 64;
/// Units of weight: sums are integers, which come out the same in any order.
const UNITS_PER_WEIGHT: f64 = 1_048_576.0;
/// Bounds of a weight. The units of 2^24 members of the greatest weight stay below 2^64.
const WEIGHT_BOUNDS: (f64, f64) = (1.0 / UNITS_PER_WEIGHT, 1_048_576.0);
/// An odd number without a pattern, 2^64 over the golden ratio: sets apart the hashes of one key.
const HASH_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// What members of one kind are worth to a key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindWeight {
    /// Weight of each of them.
    pub weight: f64,
    /// Whether a descent may come to them.
    pub is_preferred: bool,
}

/// A weight within bounds.
#[derive(Clone, Copy)]
struct BoundedWeight {
    value: f64,
    /// The same in units; 0 where members are not chosen.
    units: u64,
}

impl KindWeight {
    /// Guards the sums against weights that are not finite, and members against never being
    /// chosen. Does harm where weights differ by more than the bounds.
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

/// A set of members among which keys are shared out in proportion to the members' weights.
///
/// A key goes down from the root: at each inner node by weighted rendezvous among the children, by
/// the sums of the weights below them. Everybody with the same members finds the same member for a
/// key, in whatever order the members came. A member that comes or goes moves at each level about
/// as many keys as are its share.
#[derive(Default)]
pub(crate) struct RendezvousTree {
    root: InnerNode,
    len: u64,
    visited: Cell<u64>,
    summed: Cell<u64>,
}

/// Units of a member's weight, by its kind.
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
    /// Adds a member. It may not be there yet.
    pub fn insert(&mut self, member: RendezvousMember) {
        self.len += 1;
        let visited = self.root.insert(0, member);
        self.count_visited(visited);
    }

    /// Removes a member. Whether it was there.
    pub fn remove(&mut self, member: &RendezvousMember) -> bool {
        let Some(visited) = self.root.remove(0, member) else {
            return false;
        };
        self.len -= 1;
        self.count_visited(visited);
        true
    }

    /// The values of the members for a key, in an order that is the same for all who have the same
    /// members.
    ///
    /// A small tree names all members, in the order of plain rendezvous hashing. Others name
    /// members of preferred kinds only: what so many descents come to, which are the key's member
    /// and then those of other hashes of the key.
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

    /// Nodes that were visited so far, children that were compared among them: a measure of work
    /// that does not depend on a clock.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Nodes of which the weights of all kinds were summed up so far.
    pub fn summed(&self) -> u64 {
        self.summed.get()
    }

    fn count_visited(&self, nodes: u64) {
        self.visited.set(self.visited.get().wrapping_add(nodes));
    }

    /// The member of a key by going down.
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

    /// The child nearest to a key. Most others are beyond it even if all of their members had the
    /// greatest weight, so that their weights need no sum over the kinds.
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

    /// Members that may be chosen, with their distance from the key. What `visit` returns is a
    /// distance beyond which members may be left out.
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

/// How far a member is from a key.
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

/// The members for a key, from [`RendezvousTree::ranked`].
pub(crate) struct RankedMembers<'a> {
    tree: &'a RendezvousTree,
    key: u64,
    /// By kind.
    weights: Vec<BoundedWeight>,
    is_plain: bool,
    /// Members that were named, or descents that were made.
    next: u64,
    descents: u64,
    /// All members in order, where the tree is small; else those that were named.
    order: Vec<usize>,
}

impl RankedMembers<'_> {
    /// The first member takes no list of them all, as few callers need another one.
    fn next_plain(&mut self) -> Option<usize> {
        let place = self.next as usize;
        self.next += 1;
        if place == 0 {
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
        self.order.get(place).copied()
    }

    fn nearest(&self) -> Option<usize> {
        let mut nearest: Option<Distance> = None;
        self.tree
            .for_each_distance(self.key, &self.weights, |member| {
                let known = nearest.get_or_insert(member);
                if member.order(known).is_lt() {
                    *known = member;
                }
                known.distance
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

/// The number of a child on its path from the root.
fn path_below(path: u64, slot: u8) -> u64 {
    mix_bits(path.wrapping_add(HASH_STEP.wrapping_mul(u64::from(slot) + 1)))
}
