//! Parses the sections `zone`, `way` and `lane`: the zones with their endpoints, the network delays
//! between zones, and the request classes of the load.

use super::{name_argument, MAX_ENDPOINTS};
use crate::scenario::{Link, RequestClass, Zone};
use kdl::KdlNode;
use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency};
use tulipwall_config::{KdlReader, SourceLocation};

/// How long endpoints remember the keys of deduplicated requests.
const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(3);

pub(super) fn add_zone(reader: &mut KdlReader, node: &KdlNode, zones: &mut Vec<Zone>) {
    let location = reader.location(node);
    let Some(zone) = zone(reader, node) else {
        return;
    };
    if zones.iter().any(|known| known.name == zone.name) {
        let text = format!("duplicate zone name '{}'", zone.name);
        reader.report(location, "zone", text.into());
    }
    zones.push(zone);
}

fn zone(reader: &mut KdlReader, node: &KdlNode) -> Option<Zone> {
    let name = name_argument(reader, node, "zone")?;
    let mut zone = Zone {
        name,
        endpoints: 1,
        cores: 1,
    };
    for node in reader.nodes(node.children(), "zone", &["appliances", "cores"], &[]) {
        let count = reader
            .number(node, 0.0, MAX_ENDPOINTS)
            .map_or(1, |n| n as usize);
        match node.name().value() {
            "appliances" => zone.endpoints = count,
            _ => zone.cores = count.max(1),
        }
    }
    Some(zone)
}

/// Returns the index of the zone with this name; reports a diagnostic if there is none.
pub(super) fn zone_index(
    reader: &mut KdlReader,
    location: SourceLocation,
    key: &str,
    name: &str,
    zones: &[Zone],
) -> Option<usize> {
    let found = zones.iter().position(|zone| zone.name == name);
    if found.is_none() {
        let known: Vec<&str> = zones.iter().map(|zone| zone.name.as_str()).collect();
        let text = format!(
            "unknown zone '{name}'; expected one of {}",
            known.join(", ")
        );
        reader.report(location, key, text.into());
    }
    found
}

pub(super) fn link(reader: &mut KdlReader, node: &KdlNode, zones: &[Zone]) -> Option<Link> {
    let location = reader.location(node);
    let names: Vec<String> = reader
        .arguments(node, 2, &[])
        .into_iter()
        .filter_map(|entry| reader.entry_text(entry, "way"))
        .collect();
    let delay_node = reader
        .nodes(node.children(), "way", &["delay"], &[])
        .first()
        .copied();
    let delay = delay_node.and_then(|node| reader.duration(node, Duration::ZERO));
    let [from, to]: [String; 2] = names.try_into().ok()?;
    // Look up both names before returning, so that both are reported if they are unknown.
    let from = zone_index(reader, location, "way", &from, zones);
    let to = zone_index(reader, location, "way", &to, zones);
    if delay.is_none() {
        reader.report(location, "way", "expected a delay".into());
    }
    Some(Link {
        from: from?,
        to: to?,
        delay: delay?,
    })
}

pub(super) fn class(reader: &mut KdlReader, node: &KdlNode) -> Option<RequestClass> {
    let mut class = RequestClass {
        name: name_argument(reader, node, "lane")?,
        idempotency: Idempotency::Idempotent,
        work: Duration::from_millis(20),
        latency_objective: Duration::from_millis(400),
        deadline: Duration::from_millis(1500),
        priority_weight: 1.0,
        load_weight: 1.0,
    };
    let keys = ["repeats", "work", "quoted", "expiry", "benefit", "weight"];
    for node in reader.nodes(node.children(), "lane", &keys, &[]) {
        class_setting(reader, node, &mut class);
    }
    Some(class)
}

fn class_setting(reader: &mut KdlReader, node: &KdlNode, class: &mut RequestClass) {
    let millisecond = Duration::from_millis(1);
    match node.name().value() {
        "repeats" => class.idempotency = idempotency(reader, node).unwrap_or(class.idempotency),
        "work" => {
            let work = reader.duration(node, Duration::from_micros(1));
            class.work = work.unwrap_or(class.work);
        }
        "quoted" => {
            let objective = reader.duration(node, millisecond);
            class.latency_objective = objective.unwrap_or(class.latency_objective);
        }
        "expiry" => class.deadline = reader.duration(node, millisecond).unwrap_or(class.deadline),
        "benefit" => class.priority_weight = reader.number(node, 0.0, 1e9).unwrap_or(1.0),
        _ => class.load_weight = reader.number(node, 0.0, 1e9).unwrap_or(1.0),
    }
}

fn idempotency(reader: &mut KdlReader, node: &KdlNode) -> Option<Idempotency> {
    let kinds = [
        Idempotency::Idempotent,
        Idempotency::Keyed {
            scope: DeduplicationScope::All,
            window: DEDUPLICATION_WINDOW,
        },
        Idempotency::NonIdempotent,
    ];
    let names = ["idempotent", "deduplicated", "unrepeatable"];
    reader.keyword(node, &names).map(|n| kinds[n])
}
