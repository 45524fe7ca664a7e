//! Sets of endpoints that evaluations walk in place of all endpoints.

use super::{EndpointKey, MemberLists};
use std::collections::BTreeSet;

/// Endpoints by what an evaluation asks of them, kept up to date at each change.
#[derive(Default)]
pub(crate) struct EndpointSets {
    /// Those that run and are in slow start.
    warming: BTreeSet<usize>,
    /// Those that have attempts in flight, and those that run and owe a sign of life.
    awaiting_response: BTreeSet<usize>,
    /// Those that run and are past slow start, by hardware type and build.
    warm: WarmEndpoints,
}

impl EndpointSets {
    /// Takes in a change of one endpoint.
    pub fn update(&mut self, endpoint: usize, before: &EndpointKey, after: &EndpointKey) {
        if is_warming(before) != is_warming(after) {
            set_member(&mut self.warming, endpoint, is_warming(after));
        }
        if is_awaited(before) != is_awaited(after) {
            set_member(&mut self.awaiting_response, endpoint, is_awaited(after));
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

    /// Endpoints that run and are in slow start, by index.
    pub fn warming(&self) -> &BTreeSet<usize> {
        &self.warming
    }

    /// Endpoints that may be unresponsive, by index: all others have nothing in flight.
    pub fn awaiting_response(&self) -> &BTreeSet<usize> {
        &self.awaiting_response
    }

    /// Endpoints that run and are past slow start.
    pub fn warm(&self) -> &WarmEndpoints {
        &self.warm
    }
}

fn is_warming(key: &EndpointKey) -> bool {
    key.is_running() && !key.is_warm
}

fn is_awaited(key: &EndpointKey) -> bool {
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

/// Warm endpoints of one hardware type that run one build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WarmGroup {
    endpoint_type: usize,
    build: u32,
}

/// Warm endpoints in dense lists, so that any of them is found by its position.
#[derive(Default)]
pub(crate) struct WarmEndpoints(MemberLists<WarmGroup>);

impl WarmEndpoints {
    /// Lists of all warm endpoints.
    pub fn all(&self) -> Vec<&[usize]> {
        self.0.iter().map(|(_, members)| members).collect()
    }

    /// Lists of the warm endpoints of one hardware type: those that run `newest_build` or a newer
    /// one, or those that run an earlier one.
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
