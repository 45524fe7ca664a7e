//! The largest of many values, of which single ones change.

/// A tournament tree: the root holds the largest value, a change costs the logarithm of their
/// number. Values below zero, and those that are no numbers, count as zero.
#[derive(Clone, Default)]
pub(crate) struct MaxTree {
    /// Node `i` has the children `2 i` and `2 i + 1`; the leaves are the second half.
    nodes: Vec<f64>,
}

impl MaxTree {
    /// A tree over these values.
    pub fn new(values: impl ExactSizeIterator<Item = f64>) -> MaxTree {
        let leaves = values.len().next_power_of_two();
        let mut nodes = vec![0.0; 2 * leaves];
        for (leaf, value) in nodes[leaves..].iter_mut().zip(values) {
            *leaf = f64::max(0.0, value);
        }
        for node in (1..leaves).rev() {
            nodes[node] = f64::max(nodes[2 * node], nodes[2 * node + 1]);
        }
        MaxTree { nodes }
    }

    /// Changes one value. One beyond the end changes nothing.
    pub fn set(&mut self, index: usize, value: f64) {
        let mut node = self.nodes.len() / 2 + index;
        let Some(leaf) = self.nodes.get_mut(node) else {
            return;
        };
        *leaf = f64::max(0.0, value);
        while node > 1 {
            node /= 2;
            let largest = f64::max(self.nodes[2 * node], self.nodes[2 * node + 1]);
            if self.nodes[node] == largest {
                return;
            }
            self.nodes[node] = largest;
        }
    }

    /// The largest value, 0 where there is none.
    pub fn max(&self) -> f64 {
        self.nodes.get(1).copied().unwrap_or(0.0)
    }
}
