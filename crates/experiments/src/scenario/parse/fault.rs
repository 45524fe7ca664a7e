//! Parses the section `fault`: a fault that is injected.

use super::installation::zone_index;
use super::MAX_ENDPOINTS;
use crate::scenario::{Fault, FaultKind, Zone};
use kdl::KdlNode;
use std::time::Duration;
use tulipwall_config::KdlReader;

const KEYS: [&str; 8] = [
    "at",
    "for",
    "zone",
    "appliances",
    "slow",
    "fail",
    "burst",
    "kind",
];
/// Kinds that take no number, in the order of [`SIMPLE_FAULTS`].
const SIMPLE_FAULT_NAMES: [&str; 4] = ["drain", "gone", "mute", "stall"];
const SIMPLE_FAULTS: [FaultKind; 4] = [
    FaultKind::Drain,
    FaultKind::Gone,
    FaultKind::Unresponsive,
    FaultKind::Stall,
];

pub(super) fn fault(reader: &mut KdlReader, node: &KdlNode, zones: &[Zone]) -> Option<Fault> {
    let location = reader.location(node);
    reader.arguments(node, 0, &[]);
    let mut fault = Fault {
        start: Duration::ZERO,
        duration: None,
        zone: None,
        max_endpoints: usize::MAX,
        kind: FaultKind::Drain,
    };
    let mut kinds = Vec::new();
    for node in reader.nodes(node.children(), "fault", &KEYS, &[]) {
        match node.name().value() {
            "at" => fault.start = reader.duration(node, Duration::ZERO)?,
            "for" => fault.duration = reader.duration(node, Duration::from_millis(1)),
            "zone" => fault.zone = zone(reader, node, zones),
            "appliances" => {
                let endpoints = reader.number(node, 1.0, MAX_ENDPOINTS);
                fault.max_endpoints = endpoints.map_or(usize::MAX, |n| n as usize);
            }
            _ => kinds.extend(kind(reader, node)),
        }
    }
    if kinds.len() != 1 {
        let text = "expected exactly one of slow, fail, burst or kind";
        reader.report(location, "fault", text.into());
    }
    fault.kind = kinds.first().copied()?;
    Some(fault)
}

fn zone(reader: &mut KdlReader, node: &KdlNode, zones: &[Zone]) -> Option<usize> {
    let location = reader.location(node);
    let name = reader.text(node)?;
    zone_index(reader, location, "zone", &name, zones)
}

fn kind(reader: &mut KdlReader, node: &KdlNode) -> Option<FaultKind> {
    match node.name().value() {
        "slow" => reader.number(node, 0.01, 1e4).map(FaultKind::Slow),
        "fail" => reader.number(node, 0.0, 1.0).map(FaultKind::Fail),
        "burst" => reader.number(node, 0.0, 1e4).map(FaultKind::Burst),
        _ => reader
            .keyword(node, &SIMPLE_FAULT_NAMES)
            .map(|n| SIMPLE_FAULTS[n]),
    }
}
