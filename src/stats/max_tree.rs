//! The maximum of many values that change one at a time.

/// A tournament tree: the root holds the largest value, and changing a value costs logarithmic
/// time. Negative values and NaN count as zero.
#[derive(Clone, Default)]
pub(crate) struct MaxTree {
    /// Node `i` has the children `2 i` and `2 i + 1`. The second half of the vector holds the
    /// leaves.
    nodes: Vec<f64>,
}

impl MaxTree {
    /// Creates a tree of these values.
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

    /// Changes one value. An index out of range has no effect.
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

    /// Returns the largest value, or 0 if there are no values.
    pub fn max(&self) -> f64 {
        self.nodes.get(1).copied().unwrap_or(0.0)
    }
}
