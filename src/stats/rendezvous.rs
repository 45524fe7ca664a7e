//! Weighted rendezvous hashing.

/// Least weight that a distance is divided by.
const MIN_WEIGHT: f64 = 1e-9;

/// Distance of a node from a key: the node with the least distance is the key's. Each node is
/// nearest to a share of all keys in proportion to its weight, and a node that comes or goes moves
/// no other node's keys.
///
/// With a hash `h` of key and node, uniform on 0 to 1, it is `-ln h / weight`. `None` where that is
/// beyond the limit, which mostly takes no logarithm to say, as `-ln h >= 1 - h`.
pub(super) fn rendezvous_distance(key: u64, node: u64, weight: f64, limit: f64) -> Option<f64> {
    if is_beyond(key, node, weight, limit) {
        return None;
    }
    let hash = hash_to_unit(key, node);
    let weight = weight.max(MIN_WEIGHT);
    let distance = -hash.ln() / weight;
    (distance <= limit).then_some(distance)
}

/// Whether a node of this weight or a smaller one is beyond a distance for certain, as is said
/// without a logarithm for most of those that are.
pub(super) fn is_beyond(key: u64, node: u64, weight: f64, limit: f64) -> bool {
    1.0 - hash_to_unit(key, node) > limit * weight.max(MIN_WEIGHT)
}

/// A hash of key and node, more than 0 and less than 1.
fn hash_to_unit(key: u64, node: u64) -> f64 {
    let hash = mix_bits(key ^ node.rotate_left(32));
    let uniform = (hash >> 11) as f64 / (1u64 << 53) as f64;
    uniform.max(1e-18)
}

/// The finalizer of MurmurHash3: each bit of the result depends on all bits of the number, and no
/// two numbers have the same result.
pub(super) fn mix_bits(number: u64) -> u64 {
    let mut hash = number;
    for factor in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53] {
        hash = (hash ^ hash >> 33).wrapping_mul(factor);
    }
    hash ^ hash >> 33
}
