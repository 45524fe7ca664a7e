//! Parser of scenario documents (KDL), with a module for each kind of section.

mod fault;
mod installation;
mod rollout;
mod variation;

use super::{ClientKind, Scenario, ROUTING_NAMES};
use kdl::KdlNode;
use std::time::Duration;
use tulipwall_config::{ConfigDiagnostic, KdlReader, SourceLocation};

const DEFAULT_SEEDS: u64 = 5;
const DEFAULT_AGENTS: usize = 3;
/// Maximum number of agents of an experiment.
const MAX_AGENTS: f64 = 1e5;
/// Maximum number of endpoints of a zone or a rollout.
const MAX_ENDPOINTS: f64 = 1e5;

/// Keys that may appear at most once in an experiment.
const SINGLE_KEYS: [&str; 12] = [
    "seeds",
    "span",
    "rate",
    "agents",
    "spread",
    "clients",
    "routing",
    "share",
    "offer",
    "steady",
    "loss",
    "told-late",
];
/// Keys that may appear several times in an experiment.
const REPEATED_KEYS: [&str; 5] = ["lane", "zone", "way", "fault", "vary"];

/// Parses a document, or returns a diagnostic for everything that is wrong with it, in the order of
/// its lines.
pub(super) fn scenario(text: &str) -> Result<Scenario, Vec<ConfigDiagnostic>> {
    let mut reader = KdlReader::new(text);
    let document = reader.document();
    let nodes = reader.nodes(document.as_ref(), "the file", &["experiment"], &[]);
    let node = nodes.first().copied();
    let scenario = node.and_then(|node| experiment(&mut reader, node));
    if node.is_none() && !reader.has_diagnostics() {
        let start = SourceLocation { line: 1, column: 1 };
        reader.report(start, "experiment", "expected one, found none".into());
    }
    match scenario {
        Some(scenario) if !reader.has_diagnostics() => Ok(scenario),
        _ => Err(reader.into_diagnostics()),
    }
}

fn experiment(reader: &mut KdlReader, node: &KdlNode) -> Option<Scenario> {
    let name = name_argument(reader, node, "experiment")?;
    let mut scenario = default_scenario(name);
    let nodes = reader.nodes(node.children(), "experiment", &SINGLE_KEYS, &REPEATED_KEYS);
    // Read the zones first, since links and faults refer to them by name.
    for node in nodes.iter().filter(|n| n.name().value() == "zone") {
        installation::add_zone(reader, node, &mut scenario.zones);
    }
    for node in nodes {
        section(reader, node, &mut scenario);
    }
    check_complete(reader, node, &scenario);
    Some(scenario)
}

fn default_scenario(name: String) -> Scenario {
    Scenario {
        name,
        seeds: DEFAULT_SEEDS,
        duration: Duration::from_secs(30),
        rate: 500.0,
        agents: DEFAULT_AGENTS,
        load_spread: 0.0,
        classes: Vec::new(),
        zones: Vec::new(),
        links: Vec::new(),
        clients: ClientKind::Open,
        prefer_local_zone: false,
        constant_work_share: 0.4,
        loss: 0.0,
        notification_delay: Duration::ZERO,
        cross_zone_share: None,
        rollout: None,
        faults: Vec::new(),
        variations: Vec::new(),
    }
}

/// Reads one node of an experiment into the scenario.
fn section(reader: &mut KdlReader, node: &KdlNode, scenario: &mut Scenario) {
    match node.name().value() {
        "offer" => scenario.rollout = Some(rollout::rollout(reader, node)),
        "lane" => scenario.classes.extend(installation::class(reader, node)),
        "way" => {
            let link = installation::link(reader, node, &scenario.zones);
            scenario.links.extend(link);
        }
        "fault" => {
            let fault = fault::fault(reader, node, &scenario.zones);
            scenario.faults.extend(fault);
        }
        "vary" => scenario
            .variations
            .extend(variation::variation(reader, node)),
        _ => setting(reader, node, scenario),
    }
}

/// Reads a node that holds a single value.
fn setting(reader: &mut KdlReader, node: &KdlNode, scenario: &mut Scenario) {
    match node.name().value() {
        "seeds" => {
            let seeds = reader.number(node, 1.0, 10_000.0);
            scenario.seeds = seeds.map_or(DEFAULT_SEEDS, |n| n as u64);
        }
        "span" => {
            let duration = reader.duration(node, Duration::from_secs(1));
            scenario.duration = duration.unwrap_or(scenario.duration);
        }
        "rate" => scenario.rate = reader.number(node, 0.1, 1e7).unwrap_or(scenario.rate),
        "agents" => {
            let agents = reader.number(node, 1.0, MAX_AGENTS);
            scenario.agents = agents.map_or(DEFAULT_AGENTS, |n| n as usize);
        }
        "spread" => scenario.load_spread = reader.number(node, 0.0, 1.0).unwrap_or(0.0),
        "clients" => {
            let kind = reader.keyword(node, &ClientKind::NAMES);
            scenario.clients = kind.map_or(ClientKind::Open, |n| ClientKind::ALL[n]);
        }
        "routing" => scenario.prefer_local_zone = reader.keyword(node, &ROUTING_NAMES) == Some(1),
        "share" => scenario.cross_zone_share = reader.number(node, 0.0, 1.0),
        "steady" => {
            let share = reader.number(node, 0.0, 1.0);
            scenario.constant_work_share = share.unwrap_or(scenario.constant_work_share);
        }
        "loss" => scenario.loss = reader.number(node, 0.0, 1.0).unwrap_or(0.0),
        "told-late" => {
            let delay = reader.duration(node, Duration::ZERO);
            scenario.notification_delay = delay.unwrap_or(Duration::ZERO);
        }
        _ => {}
    }
}

/// Checks what concerns more than one section: that required sections exist, and that there is a
/// rollout if a parameter of it varies.
fn check_complete(reader: &mut KdlReader, node: &KdlNode, scenario: &Scenario) {
    let required = [
        ("lane", scenario.classes.is_empty()),
        ("zone", scenario.zones.is_empty()),
    ];
    for (key, missing) in required {
        // A section that exists and is invalid has been reported already.
        let reported = reader.has_diagnostics_for(key);
        if missing && !reported {
            reader.report(
                reader.location(node),
                key,
                "expected one or more, found none".into(),
            );
        }
    }
    let varies_rollout = scenario
        .variations
        .iter()
        .any(|v| v.parameter.needs_rollout());
    if scenario.rollout.is_none() && varies_rollout {
        let text = "expected an offer, since a parameter of it varies";
        reader.report(reader.location(node), "vary", text.into());
    }
}

/// Returns the name that is the only argument of a node.
fn name_argument(reader: &mut KdlReader, node: &KdlNode, key: &str) -> Option<String> {
    let arguments = reader.arguments(node, 1, &[]);
    arguments
        .into_iter()
        .find_map(|entry| reader.entry_text(entry, key))
}
