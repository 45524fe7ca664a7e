//! Latencies of endpoints against their peers', which move together at each evaluation.
//!
//! At an evaluation each latency `h` of a peer group with the median `M` moves by `(M - h) * g`.
//! The center `c` of the group moves alike, so that the deviation `h - c` only shrinks, by `1 - g`:
//! an endpoint keeps its deviation at its last change, and nobody walks over all endpoints.

/// Endpoints of one hardware type, on one side of the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerGroup {
    /// Index of the hardware type.
    pub endpoint_type: usize,
    /// Whether they run the newest build or a newer one.
    pub is_newest: bool,
}

/// Latencies of one peer group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerLatency {
    /// Center since the last evaluation.
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
    /// Moves the center towards the median of an evaluation.
    pub fn approach(&mut self, median: f64, gain: f64) {
        self.median = median;
        self.center_before = self.center;
        self.center += (median - self.center) * gain;
    }
}

/// Latencies of all peer groups.
#[derive(Default)]
pub(crate) struct PeerLatencies {
    /// Evaluations so far.
    pub evaluations: u64,
    /// By hardware type: the group of earlier builds, and that of the newest.
    by_type: Vec<[PeerLatency; 2]>,
}

impl PeerLatencies {
    /// Latencies of one group.
    pub fn of(&self, group: PeerGroup) -> PeerLatency {
        self.by_type
            .get(group.endpoint_type)
            .map_or_else(PeerLatency::default, |sides| {
                sides[usize::from(group.is_newest)]
            })
    }

    /// Latencies of one group to change.
    pub fn of_mut(&mut self, group: PeerGroup) -> &mut PeerLatency {
        if group.endpoint_type >= self.by_type.len() {
            self.by_type
                .resize_with(group.endpoint_type + 1, Default::default);
        }
        &mut self.by_type[group.endpoint_type][usize::from(group.is_newest)]
    }
}

/// Latency of one endpoint, as it was at its last change.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndpointLatency {
    /// What it was above the center of its peer group.
    pub deviation: f64,
    /// Its weight in the random draw until the next evaluation.
    pub weight: f64,
    /// Evaluations before that change.
    pub evaluations: u64,
}
