//! Latencies of endpoints relative to those of their peers, which all change at each evaluation.
//!
//! At an evaluation each latency `h` of a peer group with the median `M` changes by `(M - h) * g`.
//! The center `c` of the group changes by the same rule, so that the deviation `h - c` only shrinks
//! by the factor `1 - g`. It is enough for an endpoint to store its deviation at its last change,
//! and no evaluation has to visit all endpoints.

/// Endpoints of one hardware type that run either the newest build or earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerGroup {
    /// Index of the hardware type.
    pub endpoint_type: usize,
    /// Whether the endpoints run the newest build or a newer one.
    pub is_newest: bool,
}

/// Center and median of the latencies of one peer group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerLatency {
    /// Center after the last evaluation.
    pub center: f64,
    /// Center before the last evaluation.
    pub center_before: f64,
    /// Median at the last evaluation.
    pub median: f64,
}

impl Default for PeerLatency {
    fn default() -> PeerLatency {
        PeerLatency {
            center: 1.0,
            center_before: 1.0,
            median: 1.0,
        }
    }
}

impl PeerLatency {
    /// Records the median of an evaluation and moves the center towards it by `gain`.
    pub fn approach(&mut self, median: f64, gain: f64) {
        self.median = median;
        self.center_before = self.center;
        self.center += (median - self.center) * gain;
    }
}

/// Latencies of all peer groups.
#[derive(Default)]
pub(crate) struct PeerLatencies {
    /// Number of evaluations so far.
    pub evaluations: u64,
    /// By hardware type: the group of the earlier builds, then that of the newest build.
    by_type: Vec<[PeerLatency; 2]>,
}

impl PeerLatencies {
    /// Returns the latencies of a group, with the default of 1 if none are recorded.
    pub fn of(&self, group: PeerGroup) -> PeerLatency {
        self.by_type
            .get(group.endpoint_type)
            .map_or_else(PeerLatency::default, |sides| {
                sides[usize::from(group.is_newest)]
            })
    }

    /// Returns the latencies of a group for modification.
    pub fn of_mut(&mut self, group: PeerGroup) -> &mut PeerLatency {
        if group.endpoint_type >= self.by_type.len() {
            self.by_type
                .resize_with(group.endpoint_type + 1, Default::default);
        }
        &mut self.by_type[group.endpoint_type][usize::from(group.is_newest)]
    }
}

/// Latency of one endpoint as of its last change.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndpointLatency {
    /// Difference from the center of its peer group.
    pub deviation: f64,
    /// Weight in random selection until the next evaluation.
    pub weight: f64,
    /// Number of evaluations that had taken place at the time of the last change.
    pub evaluations: u64,
}
