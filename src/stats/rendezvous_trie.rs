//! The nodes of a [`RendezvousTree`](super::RendezvousTree): a trie over a hash of the identities.
//!
//! Its shape depends only on the set of members. An inner node has a child for each value of the
//! next bits that occurs among at least two members. A path ends in a leaf as soon as only one
//! identity is left.

use super::rendezvous::mix_bits;

/// Number of bits of the hash that select a child of an inner node, which thus has up to 16
/// children.
const BITS_PER_LEVEL: u32 = 4;

/// A member of the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RendezvousMember {
    /// Identifier of the member, the same at every agent.
    pub identity: u64,
    /// Value that lookups return for the member.
    pub value: usize,
    /// Index of the kind of the member. All members of one kind have the same weight.
    pub kind: usize,
}

/// Number of members of each kind.
///
/// The counts are integers so that sums do not depend on the order in which members were added and
/// removed.
#[derive(Default)]
pub(super) struct KindCounts {
    /// Pairs of kind and number of members, sorted by kind.
    by_kind: Vec<(usize, u64)>,
    total: u64,
}

impl KindCounts {
    fn add(&mut self, kind: usize) {
        self.total += 1;
        match self.by_kind.binary_search_by_key(&kind, |(k, _)| *k) {
            Ok(at) => self.by_kind[at].1 += 1,
            Err(at) => self.by_kind.insert(at, (kind, 1)),
        }
    }

    fn remove(&mut self, kind: usize) {
        let Ok(at) = self.by_kind.binary_search_by_key(&kind, |(k, _)| *k) else {
            return;
        };
        self.total -= 1;
        self.by_kind[at].1 -= 1;
        if self.by_kind[at].1 == 0 {
            self.by_kind.remove(at);
        }
    }

    fn weight(&self, weight_of: &impl Fn(usize) -> u64) -> u64 {
        let weights = self.by_kind.iter();
        weights
            .map(|(kind, count)| weight_of(*kind).saturating_mul(*count))
            .fold(0, u64::saturating_add)
    }
}

/// An inner node, with children by the next bits of the hash.
#[derive(Default)]
pub(super) struct InnerNode {
    counts: KindCounts,
    /// Children, sorted by slot.
    pub children: Vec<Child>,
}

/// A child of an inner node.
pub(super) struct Child {
    /// The bits of the hash that select this child.
    pub slot: u8,
    /// The node below.
    pub node: Node,
}

/// The node at the end of a path.
pub(super) enum Node {
    /// All members with one identity. There is only one unless the input contains duplicates.
    Leaf(Vec<RendezvousMember>),
    /// Members with different identities.
    Inner(InnerNode),
}

impl Node {
    /// Returns the sum of the weights of its members, given the weight of each kind.
    pub fn weight(&self, weight_of: &impl Fn(usize) -> u64) -> u64 {
        match self {
            Node::Leaf(members) => members
                .iter()
                .map(|member| weight_of(member.kind))
                .fold(0, u64::saturating_add),
            Node::Inner(inner) => inner.counts.weight(weight_of),
        }
    }

    /// Returns the number of its members.
    pub fn len(&self) -> u64 {
        match self {
            Node::Leaf(members) => members.len() as u64,
            Node::Inner(inner) => inner.counts.total,
        }
    }

    fn insert(&mut self, depth: u32, member: RendezvousMember) -> u64 {
        if let Node::Leaf(members) = self {
            if members.iter().all(|m| m.identity == member.identity) {
                let at = members.partition_point(|m| *m < member);
                members.insert(at, member);
                return 1;
            }
            let members = std::mem::take(members);
            *self = Node::Inner(InnerNode::of_leaf(depth, members));
        }
        match self {
            Node::Inner(inner) => inner.insert(depth, member),
            Node::Leaf(_) => 0,
        }
    }

    /// Replaces an inner node whose only child is a leaf by that leaf.
    fn collapse(&mut self) {
        let Node::Inner(inner) = self else { return };
        let [child] = inner.children.as_mut_slice() else {
            return;
        };
        if let Node::Leaf(members) = &mut child.node {
            *self = Node::Leaf(std::mem::take(members));
        }
    }
}

impl InnerNode {
    fn of_leaf(depth: u32, members: Vec<RendezvousMember>) -> InnerNode {
        let mut counts = KindCounts::default();
        for member in &members {
            counts.add(member.kind);
        }
        let slot = members.first().map_or(0, |m| slot_at(depth, m.identity));
        let node = Node::Leaf(members);
        let children = vec![Child { slot, node }];
        InnerNode { counts, children }
    }

    /// Adds a member below this node at depth `depth`, and returns the number of nodes visited.
    ///
    /// Different identities have different hashes, so their paths diverge before the bits are used
    /// up.
    pub fn insert(&mut self, depth: u32, member: RendezvousMember) -> u64 {
        self.counts.add(member.kind);
        let slot = slot_at(depth, member.identity);
        match self.children.binary_search_by_key(&slot, |c| c.slot) {
            Ok(at) => 1 + self.children[at].node.insert(depth + 1, member),
            Err(at) => {
                let node = Node::Leaf(vec![member]);
                self.children.insert(at, Child { slot, node });
                2
            }
        }
    }

    /// Removes a member from below this node. Returns the number of nodes visited, or `None` if
    /// there is no such member.
    pub fn remove(&mut self, depth: u32, member: &RendezvousMember) -> Option<u64> {
        let slot = slot_at(depth, member.identity);
        let at = self.children.binary_search_by_key(&slot, |c| c.slot);
        let at = at.ok()?;
        let visited = match &mut self.children[at].node {
            Node::Leaf(members) => {
                let position = members.binary_search(member).ok()?;
                members.remove(position);
                1
            }
            Node::Inner(inner) => inner.remove(depth + 1, member)?,
        };
        self.counts.remove(member.kind);
        if matches!(&self.children[at].node, Node::Leaf(members) if members.is_empty()) {
            self.children.remove(at);
        } else {
            self.children[at].node.collapse();
        }
        Some(1 + visited)
    }

    /// Calls `visit` for every member below this node.
    pub fn for_each(&self, visit: &mut impl FnMut(&RendezvousMember)) {
        for child in &self.children {
            match &child.node {
                Node::Leaf(members) => members.iter().for_each(&mut *visit),
                Node::Inner(inner) => inner.for_each(visit),
            }
        }
    }
}

/// Returns the bits of an identity's hash that select a child of an inner node at this depth.
fn slot_at(depth: u32, identity: u64) -> u8 {
    let path = mix_bits(identity).rotate_left(BITS_PER_LEVEL * (depth + 1));
    (path & ((1 << BITS_PER_LEVEL) - 1)) as u8
}
