//! What an installation sets beside the platform's configuration: one KDL file for all its agents.

use crate::document::{ConfigDiagnostic, Reader, SourceLocation};
use crate::ServiceConfig;
use kdl::KdlNode;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tulipwall::AlternativeSettings;
use tulipwall_zones::{Budget, ClassProfile, Limit, Link, Price, RoutingPolicy, ZoneConfig};

/// The name by which the file speaks of a zone that the settings do not know.
pub const UNNAMED: &str = "(unnamed)";
/// The shortest window of a budget: its bins must outlast the steps in which routing looks.
const WINDOW_LEAST: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(3600);
const MONEY_MOST: f64 = 1e12;
const STAGES_MOST: f64 = 100.0;
const COUNT_MOST: f64 = 1e15;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Installation {
    pub log: Option<LogForm>,
    /// Where operators may ask for reports; nowhere if not given.
    pub door: Option<Door>,
    zones: Option<Traffic>,
    watch: Option<(SourceLocation, AlternativeSettings)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogForm {
    Text,
    Json,
}

/// An address that only this machine reaches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Door {
    Tcp(SocketAddr),
    Unix(PathBuf),
}

impl Door {
    /// `127.0.0.1:9190`, `[::1]:9190` or `unix:/run/tulipwall/door`.
    pub fn parse(text: &str) -> Result<Door, String> {
        if let Some(path) = text.strip_prefix("unix:").filter(|p| !p.is_empty()) {
            return Ok(Door::Unix(path.into()));
        }
        match text.parse::<SocketAddr>() {
            Ok(address) if address.ip().is_loopback() => Ok(Door::Tcp(address)),
            Ok(address) => Err(format!(
                "a loopback address is wanted, {} is none",
                address.ip()
            )),
            Err(_) => Err("\"127.0.0.1:PORT\" or \"unix:PATH\" is wanted".into()),
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Traffic {
    routing: RoutingPolicy,
    links: Vec<StatedLink>,
    budgets: Vec<StatedBudget>,
}

#[derive(Clone, Debug, PartialEq)]
struct StatedLink {
    at: SourceLocation,
    from: String,
    to: String,
    link: Link,
}

#[derive(Clone, Debug, PartialEq)]
struct StatedBudget {
    at: SourceLocation,
    name: String,
    to: Option<(SourceLocation, String)>,
    class: Option<(SourceLocation, String)>,
    limits: Vec<Limit>,
    window: Duration,
    part: Option<f64>,
}

impl Installation {
    /// Reads the file's text; all that is wrong with it otherwise, in the order of its lines.
    pub fn read(text: &str) -> Result<Installation, Vec<ConfigDiagnostic>> {
        let mut reader = Reader::new(text);
        let mut installation = Installation::default();
        let document = reader.document();
        for node in reader.nodes(
            document.as_ref(),
            "the file",
            &["log", "door", "zones", "watch"],
            &[],
        ) {
            match node.name().value() {
                "log" => {
                    let forms = [LogForm::Text, LogForm::Json];
                    installation.log = reader.word(node, &["text", "json"]).map(|n| forms[n]);
                }
                "door" => {
                    let text = reader.text(node);
                    match text.map(|t| Door::parse(&t)) {
                        Some(Ok(door)) => installation.door = Some(door),
                        Some(Err(what)) => reader.wrong(reader.of(node), "door", what),
                        None => {}
                    }
                }
                "watch" => installation.watch = Some((reader.of(node), shape(&mut reader, node))),
                _ => installation.zones = Some(traffic(&mut reader, node)),
            }
        }
        if reader.mistakes.is_empty() {
            return Ok(installation);
        }
        reader.mistakes.sort();
        Err(reader.mistakes)
    }

    /// The settings that are watched beside those that decide; none unless the file says so.
    pub fn watch(
        &self,
        site: &ServiceConfig,
    ) -> Result<Option<AlternativeSettings>, Vec<ConfigDiagnostic>> {
        let Some((at, shape)) = &self.watch else {
            return Ok(None);
        };
        let stages = shape
            .caps
            .as_ref()
            .map_or(site.settings.rollout.caps.len(), Vec::len);
        if shape.guarded_stages.is_some_and(|n| n > stages) {
            let (key, what) = (
                "guarded-stages".to_owned(),
                format!("there are {stages} stages"),
            );
            return Err(vec![ConfigDiagnostic {
                line: at.line,
                column: at.column,
                key,
                what,
            }]);
        }
        Ok(Some(shape.clone()))
    }

    /// Whether anything is said of zones.
    pub fn has_zones(&self) -> bool {
        self.zones.is_some()
    }

    /// What is said of zones, in the numbers of this deployment; nothing where nothing is said.
    /// Names that the deployment does not have are mistakes.
    pub fn zoning(
        &self,
        site: &ServiceConfig,
    ) -> Result<Option<ZoneConfig>, Vec<ConfigDiagnostic>> {
        let Some(traffic) = &self.zones else {
            return Ok(None);
        };
        let mut mistakes = Vec::new();
        let mut wrong = |at: SourceLocation, key: &str, what: String| {
            mistakes.push(ConfigDiagnostic {
                line: at.line,
                column: at.column,
                key: key.to_owned(),
                what,
            });
        };
        let zones = site.zones.len();
        let zone = |name: &str| {
            if name == UNNAMED {
                Some(zones)
            } else {
                site.zone(name)
            }
        };
        let no_zone = |name: &str| {
            format!(
                "no zone '{name}' in the settings; they have {}",
                site.zones.join(", ")
            )
        };
        let mut links = vec![Link::default(); zones + 1];
        for l in &traffic.links {
            let ends = [zone(&l.from), zone(&l.to)];
            for (name, end) in [&l.from, &l.to].into_iter().zip(ends) {
                if end.is_none() {
                    wrong(l.at, "link", no_zone(name));
                }
            }
            if let [Some(from), Some(to)] = ends {
                if from == site.settings.zone {
                    links[to] = l.link;
                }
            }
        }
        let mut budgets = Vec::new();
        for b in &traffic.budgets {
            let to = b.to.as_ref().map(|(at, name)| (at, name, zone(name)));
            let class = b
                .class
                .as_ref()
                .map(|(at, name)| (at, name, site.class(name)));
            if let Some((at, name, None)) = to {
                wrong(*at, "to", no_zone(name));
            }
            if let Some((at, name, None)) = class {
                let known = site.classes.join(", ");
                wrong(
                    *at,
                    "lane",
                    format!("no lane '{name}' in the settings; they have {known}"),
                );
            }
            let (to, class) = (to.and_then(|t| t.2), class.and_then(|l| l.2));
            if to == Some(site.settings.zone) {
                // It is some other agent's.
                continue;
            }
            let part = b
                .part
                .unwrap_or(1.0 / f64::from(site.settings.agents.max(1)));
            budgets.extend(b.limits.iter().map(|limit| Budget {
                name: b.name.clone(),
                to,
                class,
                limit: *limit,
                window: b.window,
                agent_fraction: part,
            }));
        }
        if !mistakes.is_empty() {
            return Err(mistakes);
        }
        let classes = site.settings.classes.iter();
        Ok(Some(ZoneConfig {
            local_zone: site.settings.zone,
            zone_count: zones,
            classes: classes
                .map(|l| ClassProfile {
                    priority_weight: l.priority_weight,
                    latency_objective: l.latency_objective,
                })
                .collect(),
            links,
            budgets,
            routing: traffic.routing,
        }))
    }
}

fn traffic(r: &mut Reader, node: &KdlNode) -> Traffic {
    r.arguments(node, 0, &[]);
    let mut traffic = Traffic::default();
    let (mut links, mut budgets) = (BTreeSet::new(), BTreeSet::new());
    for node in r.nodes(node.children(), "zones", &["routing"], &["link", "budget"]) {
        match node.name().value() {
            "routing" => {
                let kinds = [RoutingPolicy::BalancerDefault, RoutingPolicy::LocalFirst];
                traffic.routing = r
                    .word(node, &["as-ever", "near-first"])
                    .map_or(RoutingPolicy::BalancerDefault, |n| kinds[n]);
            }
            "link" => {
                let Some(link) = link(r, node) else { continue };
                if !links.insert((link.from.clone(), link.to.clone())) {
                    r.wrong(
                        link.at,
                        "link",
                        format!("the way from {} to {} stands twice", link.from, link.to),
                    );
                }
                traffic.links.push(link);
            }
            _ => {
                let Some(budget) = budget(r, node) else {
                    continue;
                };
                if !budgets.insert(budget.name.clone()) {
                    r.wrong(
                        budget.at,
                        "budget",
                        format!("the name '{}' stands twice", budget.name),
                    );
                }
                traffic.budgets.push(budget);
            }
        }
    }
    traffic
}

fn shape(r: &mut Reader, node: &KdlNode) -> AlternativeSettings {
    r.arguments(node, 0, &[]);
    let mut shape = AlternativeSettings::default();
    let known = [
        "guarded-stages",
        "caps",
        "free",
        "by-lane",
        "cold-for",
        "warm-keys",
    ];
    for node in r.nodes(node.children(), "watch", &known, &[]) {
        match node.name().value() {
            "guarded-stages" => {
                shape.guarded_stages = r.number(node, 0.0, STAGES_MOST).map(|n| n as usize);
                if r.number(node, 0.0, STAGES_MOST)
                    .is_some_and(|n| n.fract() > 0.0)
                {
                    r.wrong(
                        r.of(node),
                        "guarded-stages",
                        "a whole number is wanted".into(),
                    );
                }
            }
            "caps" => shape.caps = Some(r.numbers(node, 0.0, 1.0)),
            "free" => shape.exposure_burst = r.number(node, 0.0, COUNT_MOST),
            "by-lane" => shape.cap_per_class = r.flag(node),
            "cold-for" => shape.slow_start_duration = r.span(node, Duration::ZERO),
            _ => shape.key_affinity = r.flag(node),
        }
    }
    shape
}

fn link(r: &mut Reader, node: &KdlNode) -> Option<StatedLink> {
    let at = r.of(node);
    let ends: Vec<String> = r
        .arguments(node, 2, &[])
        .into_iter()
        .filter_map(|e| r.text_of(e, "link"))
        .collect();
    let mut link = Link::default();
    for node in r.nodes(node.children(), "link", &["price", "delay"], &[]) {
        match node.name().value() {
            "delay" => link.added_latency = r.span(node, Duration::ZERO),
            _ => {
                r.arguments(node, 0, &["delivery", "out-gib", "in-gib"]);
                link.price = Price {
                    per_attempt: r.property(node, "delivery", 0.0, MONEY_MOST),
                    per_gib_sent: r.property(node, "out-gib", 0.0, MONEY_MOST),
                    per_gib_received: r.property(node, "in-gib", 0.0, MONEY_MOST),
                };
            }
        }
    }
    let [from, to]: [String; 2] = ends.try_into().ok()?;
    if from == to {
        r.wrong(
            at,
            "link",
            format!("two zones are wanted, not '{from}' twice"),
        );
        return None;
    }
    Some(StatedLink { at, from, to, link })
}

fn budget(r: &mut Reader, node: &KdlNode) -> Option<StatedBudget> {
    let at = r.of(node);
    let name = r
        .arguments(node, 1, &[])
        .into_iter()
        .find_map(|e| r.text_of(e, "budget"));
    let (mut to, mut class, mut part, mut window, mut limits) =
        (None, None, None, WINDOW, Vec::new());
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
    for node in r.nodes(node.children(), "budget", &known, &[]) {
        let place = r.of(node);
        match node.name().value() {
            "to" => to = r.text(node).map(|name| (place, name)),
            "lane" => class = r.text(node).map(|name| (place, name)),
            "deliveries" => limits.extend(r.number(node, 0.0, COUNT_MOST).map(Limit::Attempts)),
            "bytes" => limits.extend(r.size(node).map(Limit::Bytes)),
            "money" => limits.extend(r.number(node, 0.0, MONEY_MOST).map(Limit::Money)),
            "share" => limits.extend(r.number(node, 0.0, 1.0).map(Limit::Share)),
            "window" => window = r.span(node, WINDOW_LEAST).unwrap_or(WINDOW),
            _ => part = r.number(node, 0.0, 1.0),
        }
    }
    if limits.is_empty() && r.mistakes.is_empty() {
        r.wrong(
            at,
            "budget",
            "one of deliveries, bytes, money or share is wanted in it".into(),
        );
    }
    Some(StatedBudget {
        at,
        name: name?,
        to,
        class,
        limits,
        window,
        part,
    })
}
