//! Reads the section `zones`: links between zones with their prices and delays, and budgets for
//! cross-zone traffic. Zones and request classes are given by name and not yet resolved.

use crate::diagnostic::{ConfigProblem, SourceLocation};
use crate::kdl_reader::KdlReader;
use kdl::KdlNode;
use std::collections::BTreeSet;
use std::time::Duration;
use tulipwall_zones::{Limit, Link, Price, RoutingPolicy};

/// The shortest window of a budget. Its bins must be longer than the interval at which the routing
/// hints are updated.
const MIN_WINDOW: Duration = Duration::from_secs(1);
/// The window of a budget that does not set one.
const DEFAULT_WINDOW: Duration = Duration::from_secs(3600);
/// The largest amount of money. A larger one is assumed to be a mistake.
const MAX_MONEY: f64 = 1e12;
/// The largest count. A floating-point number still represents it exactly.
pub(super) const MAX_COUNT: f64 = 1e15;

/// The contents of the section, with names not yet resolved.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ZonesSection {
    pub routing: RoutingPolicy,
    pub links: Vec<LinkEntry>,
    pub budgets: Vec<BudgetEntry>,
}

/// A link from one zone to another, given by their names.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LinkEntry {
    pub location: SourceLocation,
    pub from: String,
    pub to: String,
    pub link: Link,
}

/// A zone or class name in the file, which the settings must define.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct NameEntry {
    pub location: SourceLocation,
    pub name: String,
}

/// A budget for cross-zone traffic.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct BudgetEntry {
    pub location: SourceLocation,
    pub name: String,
    /// The destination zone of the traffic; `None` for any.
    pub to: Option<NameEntry>,
    /// The request class of the traffic; `None` for any.
    pub class: Option<NameEntry>,
    pub limits: Vec<Limit>,
    pub window: Duration,
    /// The agent's fraction of the budget; `None` for an equal part of it.
    pub fraction: Option<f64>,
}

impl ZonesSection {
    /// Reads the node `zones` and reports its problems to `reader`.
    pub fn read(reader: &mut KdlReader, node: &KdlNode) -> ZonesSection {
        reader.arguments(node, 0, &[]);
        let mut section = ZonesSection::default();
        let mut link_ends = BTreeSet::new();
        let mut budget_names = BTreeSet::new();
        for node in reader.nodes(node.children(), "zones", &["routing"], &["link", "budget"]) {
            match node.name().value() {
                "routing" => section.routing = read_routing(reader, node),
                "link" => {
                    let Some(entry) = LinkEntry::read(reader, node) else {
                        continue;
                    };
                    if !link_ends.insert((entry.from.clone(), entry.to.clone())) {
                        entry.report_duplicate(reader);
                    }
                    section.links.push(entry);
                }
                _ => {
                    let Some(entry) = BudgetEntry::read(reader, node) else {
                        continue;
                    };
                    if !budget_names.insert(entry.name.clone()) {
                        entry.report_duplicate(reader);
                    }
                    section.budgets.push(entry);
                }
            }
        }
        section
    }
}

fn read_routing(reader: &mut KdlReader, node: &KdlNode) -> RoutingPolicy {
    let choices = [
        ("as-ever", RoutingPolicy::BalancerDefault),
        ("near-first", RoutingPolicy::LocalFirst),
    ];
    reader
        .choice(node, &choices)
        .unwrap_or(RoutingPolicy::BalancerDefault)
}

impl LinkEntry {
    fn read(reader: &mut KdlReader, node: &KdlNode) -> Option<LinkEntry> {
        let location = reader.location(node);
        let ends: Vec<String> = reader
            .arguments(node, 2, &[])
            .into_iter()
            .filter_map(|entry| reader.entry_text(entry, "link"))
            .collect();
        let link = read_link_properties(reader, node);
        let [from, to]: [String; 2] = ends.try_into().ok()?;
        if from == to {
            let problem = ConfigProblem::LinkToSameZone { zone: from };
            reader.report(location, "link", problem);
            return None;
        }
        Some(LinkEntry {
            location,
            from,
            to,
            link,
        })
    }

    fn report_duplicate(&self, reader: &mut KdlReader) {
        let problem = ConfigProblem::DuplicateLink {
            from: self.from.clone(),
            to: self.to.clone(),
        };
        reader.report(self.location, "link", problem);
    }
}

fn read_link_properties(reader: &mut KdlReader, node: &KdlNode) -> Link {
    let mut link = Link::default();
    for node in reader.nodes(node.children(), "link", &["price", "delay"], &[]) {
        match node.name().value() {
            "delay" => link.added_latency = reader.duration(node, Duration::ZERO),
            _ => link.price = read_price(reader, node),
        }
    }
    link
}

fn read_price(reader: &mut KdlReader, node: &KdlNode) -> Price {
    reader.arguments(node, 0, &["delivery", "out-gib", "in-gib"]);
    Price {
        per_attempt: reader.property(node, "delivery", 0.0, MAX_MONEY),
        per_gib_sent: reader.property(node, "out-gib", 0.0, MAX_MONEY),
        per_gib_received: reader.property(node, "in-gib", 0.0, MAX_MONEY),
    }
}

impl BudgetEntry {
    fn read(reader: &mut KdlReader, node: &KdlNode) -> Option<BudgetEntry> {
        let location = reader.location(node);
        let name = reader
            .arguments(node, 1, &[])
            .into_iter()
            .find_map(|entry| reader.entry_text(entry, "budget"));
        let mut budget = BudgetEntry {
            location,
            name: String::new(),
            to: None,
            class: None,
            limits: Vec::new(),
            window: DEFAULT_WINDOW,
            fraction: None,
        };
        budget.read_children(reader, node);
        if budget.limits.is_empty() && !reader.has_diagnostics() {
            let problem = ConfigProblem::Missing {
                expected: "one of deliveries, bytes, money or share is required",
            };
            reader.report(location, "budget", problem);
        }
        budget.name = name?;
        Some(budget)
    }

    fn read_children(&mut self, reader: &mut KdlReader, node: &KdlNode) {
        let known = [
            "to",
            "lane",
            "deliveries",
            "bytes",
            "money",
            "share",
            "window",
            "part",
        ];
        for node in reader.nodes(node.children(), "budget", &known, &[]) {
            match node.name().value() {
                "to" => self.to = NameEntry::read(reader, node),
                "lane" => self.class = NameEntry::read(reader, node),
                "window" => {
                    self.window = reader.duration(node, MIN_WINDOW).unwrap_or(DEFAULT_WINDOW);
                }
                "part" => self.fraction = reader.number(node, 0.0, 1.0),
                _ => self.limits.extend(read_limit(reader, node)),
            }
        }
    }

    fn report_duplicate(&self, reader: &mut KdlReader) {
        let problem = ConfigProblem::DuplicateName {
            name: self.name.clone(),
        };
        reader.report(self.location, "budget", problem);
    }
}

fn read_limit(reader: &mut KdlReader, node: &KdlNode) -> Option<Limit> {
    match node.name().value() {
        "deliveries" => reader.number(node, 0.0, MAX_COUNT).map(Limit::Attempts),
        "bytes" => reader.byte_size(node).map(Limit::Bytes),
        "money" => reader.number(node, 0.0, MAX_MONEY).map(Limit::Money),
        _ => reader.number(node, 0.0, 1.0).map(Limit::Share),
    }
}

impl NameEntry {
    fn read(reader: &mut KdlReader, node: &KdlNode) -> Option<NameEntry> {
        let location = reader.location(node);
        let name = reader.text(node)?;
        Some(NameEntry { location, name })
    }
}
