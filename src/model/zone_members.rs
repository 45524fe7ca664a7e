//! Endpoints by zone.

use super::{EndpointKey, MemberLists};
use crate::interface::EndpointState;
use std::collections::BTreeMap;

/// Endpoints of each zone, updated at each change of an endpoint.
#[derive(Default)]
pub(crate) struct ZoneMembers {
    in_service: MemberLists<ZoneGroup>,
    /// Number of draining endpoints by zone. Zones without any have no entry.
    draining: BTreeMap<usize, usize>,
}

/// Endpoints of one zone that are running, not ejected, and either all in slow start or all past
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneGroup {
    zone: usize,
    is_warm: bool,
}

impl ZoneMembers {
    /// Updates the lists after a change of one endpoint.
    pub fn update(&mut self, endpoint: usize, before: &EndpointKey, after: &EndpointKey) {
        self.update_draining(before, after);
        let (group_before, group_after) = (in_service_group(before), in_service_group(after));
        if group_before == group_after {
            return;
        }
        if let Some(group) = group_before {
            self.in_service.remove(&group, endpoint);
        }
        if let Some(group) = group_after {
            self.in_service.insert(group, endpoint);
        }
    }

    fn update_draining(&mut self, before: &EndpointKey, after: &EndpointKey) {
        let (zone_before, zone_after) = (draining_zone(before), draining_zone(after));
        if zone_before == zone_after {
            return;
        }
        if let Some(zone) = zone_before {
            if let Some(count) = self.draining.get_mut(&zone) {
                *count = count.saturating_sub(1);
                if *count == 0 {
                    self.draining.remove(&zone);
                }
            }
        }
        if let Some(zone) = zone_after {
            *self.draining.entry(zone).or_default() += 1;
        }
    }

    /// Returns the number of draining endpoints of a zone.
    pub fn draining(&self, zone: usize) -> usize {
        self.draining.get(&zone).copied().unwrap_or_default()
    }

    /// Returns the endpoints of a zone that are running, not ejected and past slow start.
    pub fn warm(&self, zone: usize) -> &[usize] {
        let is_warm = true;
        self.in_service.get(&ZoneGroup { zone, is_warm })
    }

    /// Returns the endpoints of a zone that are running, not ejected and in slow start.
    pub fn warming(&self, zone: usize) -> &[usize] {
        let is_warm = false;
        self.in_service.get(&ZoneGroup { zone, is_warm })
    }
}

fn in_service_group(key: &EndpointKey) -> Option<ZoneGroup> {
    (key.is_running() && key.ejected_until.is_none()).then_some(ZoneGroup {
        zone: key.zone,
        is_warm: key.is_warm,
    })
}

fn draining_zone(key: &EndpointKey) -> Option<usize> {
    (key.state == EndpointState::Draining).then_some(key.zone)
}
