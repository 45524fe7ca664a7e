//! Weights of candidates in the random draw, individually and as the maximum of their group, and
//! the load by which two candidates are compared.

use super::endpoint_weights::MAX_ENDPOINT_WEIGHT;
use super::selection::{BuildStatus, Selection};
use super::Balancer;
use crate::model::{Endpoint, EndpointGroup};

/// Exponent of the relative latency by which heavy requests avoid slow hardware.
const HEAVY_LATENCY_POWER: i32 = -4;

impl Balancer {
    /// Weight of an endpoint in the random draw for this request.
    pub(super) fn candidate_weight(
        &self,
        selection: &Selection,
        status: BuildStatus,
        endpoint: &Endpoint,
    ) -> f64 {
        let share = self.build_share(&selection.shares, status, endpoint.zone);
        let heavy_factor = self.heavy_factor(selection, endpoint.endpoint_type);
        let weight = self.candidate_capacity(selection, endpoint) * share * heavy_factor;
        if endpoint.is_warm() {
            return weight;
        }
        let quota = endpoint.slow_start.per_window;
        weight * (1.0 / quota).clamp(1.0, selection.shares.running)
    }

    /// Upper bound of the weights of the members of a group.
    ///
    /// The weight of a warming member is proportional to its share `s` of its full load, times
    /// `1 / (q s')` clamped between one and the number of running endpoints, where `s'` is that
    /// share at the last evaluation and `q` is the quota of a full share.
    pub(super) fn max_group_weight(
        &self,
        selection: &Selection,
        status: BuildStatus,
        group: &EndpointGroup,
    ) -> f64 {
        let share = self.build_share(&selection.shares, status, group.zone);
        let heavy_factor = self.heavy_factor(selection, group.endpoint_type);
        let throughput = self.fleet.types[group.endpoint_type].throughput;
        let capacity = MAX_ENDPOINT_WEIGHT * throughput * share * heavy_factor;
        if group.is_warm {
            return capacity;
        }
        let max_share = self.max_warming_share(selection.now, group.build);
        let quota_share = self.max_share_growth(selection.now) / self.full_quota(throughput);
        let max_scaled_share = max_share * selection.shares.running;
        capacity * quota_share.min(max_scaled_share).max(max_share)
    }

    /// Load of an endpoint relative to its capacity.
    pub(super) fn candidate_load(&self, selection: &Selection, endpoint: &Endpoint) -> f64 {
        let min_load = if selection.is_heavy {
            let hardware = &self.fleet.types[endpoint.endpoint_type];
            1.0 + hardware.reported_load.value
        } else {
            0.0
        };
        let load = self.expected_load(selection.now, endpoint).max(min_load);
        load / self.candidate_capacity(selection, endpoint)
    }

    fn candidate_capacity(&self, selection: &Selection, endpoint: &Endpoint) -> f64 {
        let hardware = &self.fleet.types[endpoint.endpoint_type];
        let slow_start_share = self.slow_start_share(selection.now, endpoint);
        self.endpoint_weight(endpoint) * hardware.throughput * slow_start_share
    }

    /// Factor on the weight of endpoints of this type for a heavy request, by their relative
    /// latency; 1 for other requests.
    ///
    /// Prevents heavy requests from going to slow hardware, which looks fast when it is idle. Does
    /// harm by crowding the fast hardware.
    fn heavy_factor(&self, selection: &Selection, endpoint_type: usize) -> f64 {
        if !selection.is_heavy {
            return 1.0;
        }
        let hardware = &self.fleet.types[endpoint_type];
        hardware.relative_latency.powi(HEAVY_LATENCY_POWER)
    }
}
