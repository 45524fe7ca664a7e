//! Weighted rendezvous hashing.

/// Lower bound of the weight by which a distance is divided.
const MIN_WEIGHT: f64 = 1e-9;

/// Returns the distance of a node from a key. The key belongs to the node with the smallest
/// distance. Each node gets a share of all keys in proportion to its weight, and adding or removing
/// a node does not move keys between other nodes.
///
/// With a hash `h` of key and node, uniform on 0 to 1, the distance is `-ln h / weight`. Returns
/// `None` if the distance exceeds `limit`. In most such cases the logarithm is not computed,
/// because `-ln h >= 1 - h`.
pub(super) fn rendezvous_distance(key: u64, node: u64, weight: f64, limit: f64) -> Option<f64> {
    if is_beyond(key, node, weight, limit) {
        return None;
    }
    let hash = hash_to_unit(key, node);
    let weight = weight.max(MIN_WEIGHT);
    let distance = -hash.ln() / weight;
    (distance <= limit).then_some(distance)
}

/// Returns whether every node of at most this weight is certainly farther away than `limit`.
/// Detects most but not all such cases, without computing a logarithm.
pub(super) fn is_beyond(key: u64, node: u64, weight: f64, limit: f64) -> bool {
    1.0 - hash_to_unit(key, node) > limit * weight.max(MIN_WEIGHT)
}

/// Returns a hash of key and node, greater than 0 and less than 1.
fn hash_to_unit(key: u64, node: u64) -> f64 {
    let hash = mix_bits(key ^ node.rotate_left(32));
    let uniform = (hash >> 11) as f64 / (1u64 << 53) as f64;
    uniform.max(1e-18)
}

/// The finalizer of MurmurHash3. Each bit of the result depends on all bits of the input, and
/// different inputs give different results.
pub(super) fn mix_bits(number: u64) -> u64 {
    let mut hash = number;
    for factor in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53] {
        hash = (hash ^ hash >> 33).wrapping_mul(factor);
    }
    hash ^ hash >> 33
}
