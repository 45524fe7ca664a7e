//! Sets of endpoints that let an evaluation visit only the endpoints it needs.

use super::{EndpointKey, MemberLists};
use std::collections::BTreeSet;

/// Sets of endpoints by the property that an evaluation looks for, updated at each change of an
/// endpoint.
#[derive(Default)]
pub(crate) struct EndpointSets {
    /// Running endpoints in slow start.
    warming: BTreeSet<usize>,
    /// Endpoints with attempts in flight, and running endpoints without a response since an attempt
    /// was sent.
    awaiting_response: BTreeSet<usize>,
    /// Running endpoints past slow start, by hardware type and build.
    warm: WarmEndpoints,
}

impl EndpointSets {
    /// Updates the sets after a change of one endpoint.
    pub fn update(&mut self, endpoint: usize, before: &EndpointKey, after: &EndpointKey) {
        if is_warming(before) != is_warming(after) {
            set_member(&mut self.warming, endpoint, is_warming(after));
        }
        if is_awaiting_response(before) != is_awaiting_response(after) {
            set_member(
                &mut self.awaiting_response,
                endpoint,
                is_awaiting_response(after),
            );
        }
        let (group_before, group_after) = (warm_group(before), warm_group(after));
        if group_before == group_after {
            return;
        }
        if let Some(group) = group_before {
            self.warm.0.remove(&group, endpoint);
        }
        if let Some(group) = group_after {
            self.warm.0.insert(group, endpoint);
        }
    }

    /// Returns the running endpoints in slow start, by index.
    pub fn warming(&self) -> &BTreeSet<usize> {
        &self.warming
    }

    /// Returns the endpoints that may be unresponsive, by index. All others have no attempts in
    /// flight.
    pub fn awaiting_response(&self) -> &BTreeSet<usize> {
        &self.awaiting_response
    }

    /// Returns the running endpoints past slow start.
    pub fn warm(&self) -> &WarmEndpoints {
        &self.warm
    }
}

fn is_warming(key: &EndpointKey) -> bool {
    key.is_running() && !key.is_warm
}

fn is_awaiting_response(key: &EndpointKey) -> bool {
    key.is_busy || key.is_running() && key.silent_since.is_some()
}

fn warm_group(key: &EndpointKey) -> Option<WarmGroup> {
    (key.is_running() && key.is_warm).then_some(WarmGroup {
        endpoint_type: key.endpoint_type,
        build: key.build,
    })
}

fn set_member(set: &mut BTreeSet<usize>, endpoint: usize, is_member: bool) {
    if is_member {
        set.insert(endpoint);
    } else {
        set.remove(&endpoint);
    }
}

/// Warm endpoints of one hardware type that run the same build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WarmGroup {
    endpoint_type: usize,
    build: u32,
}

/// Warm endpoints in dense lists, which allow access to any of them by position.
#[derive(Default)]
pub(crate) struct WarmEndpoints(MemberLists<WarmGroup>);

impl WarmEndpoints {
    /// Returns the lists of all warm endpoints.
    pub fn all(&self) -> Vec<&[usize]> {
        self.0.iter().map(|(_, members)| members).collect()
    }

    /// Returns the lists of the warm endpoints of one hardware type: those that run `newest_build`
    /// or a newer one if `is_newest`, else those that run an earlier one.
    pub fn peers(&self, endpoint_type: usize, newest_build: u32, is_newest: bool) -> Vec<&[usize]> {
        let group = |build| WarmGroup {
            endpoint_type,
            build,
        };
        if is_newest {
            let lists = self.0.range(group(newest_build)..=group(u32::MAX));
            lists.collect()
        } else {
            self.0.range(group(0)..group(newest_build)).collect()
        }
    }
}
