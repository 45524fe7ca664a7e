//! Reads the client's KDL file: its agents, its request classes, and its policies for retries,
//! connections and requests in flight.

use crate::diagnostic::{ConfigDiagnostic, ConfigProblem, SourceLocation};
use crate::kdl_reader::KdlReader;
use kdl::KdlNode;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency};
use tulipwall_client_policy::{
    ClientConfig, ConcurrencyPolicy, ConnectionPolicy, RequestClass, RetryPolicy,
};

/// The largest number of connections or requests, and of tokens in the retry budget.
const MAX_COUNT: f64 = 1e6;
const MAX_ATTEMPTS: f64 = 100.0;
const MAX_PRIORITY_WEIGHT: f64 = 1e9;
/// The lowest rate of new connections per second. A lower one would amount to none.
const MIN_CONNECTION_RATE: f64 = 0.1;
/// The shortest duration for settings where zero makes no sense.
const MIN_DURATION: Duration = Duration::from_millis(1);
/// The deduplication window of a keyed class that does not set one: how long endpoints recognize
/// repeats of a request.
const DEFAULT_DEDUPLICATION_WINDOW: Duration = Duration::from_secs(5);
const DEFAULT_PRIORITY_WEIGHT: f64 = 1.0;

/// Reads the text of a client's KDL file. If it is invalid, returns all problems, sorted by
/// location.
pub fn read_client_file(text: &str) -> Result<ClientConfig, Vec<ConfigDiagnostic>> {
    let mut reader = KdlReader::new(text);
    let mut config = ClientConfig::new(Vec::new(), Vec::new());
    if let Some(document) = reader.document() {
        let single = [
            "marks-retries",
            "value-most",
            "retries",
            "connections",
            "in-flight",
        ];
        let repeated = ["agent", "lane"];
        for node in reader.nodes(Some(&document), "the file", &single, &repeated) {
            read_node(&mut reader, node, &mut config);
        }
        check_required(&mut reader, &config);
    }
    reader.finish(config)
}

fn read_node(reader: &mut KdlReader, node: &KdlNode, config: &mut ClientConfig) {
    match node.name().value() {
        "agent" => config.agents.extend(read_agent(reader, node)),
        "lane" => add_class(reader, node, config),
        "marks-retries" => config.marks_retries = reader.boolean(node).unwrap_or(false),
        "value-most" => {
            if let Some(bytes) = reader.byte_size(node) {
                config.max_value_bytes = bytes as usize;
            }
        }
        "retries" => config.retry = read_retries(reader, node),
        "connections" => config.connections = read_connections(reader, node),
        _ => config.concurrency = read_in_flight(reader, node),
    }
}

fn check_required(reader: &mut KdlReader, config: &ClientConfig) {
    let lists = [
        ("agent", config.agents.is_empty()),
        ("lane", config.classes.is_empty()),
    ];
    for (key, is_empty) in lists {
        if is_empty && !reader.has_diagnostics_for(key) {
            let problem = ConfigProblem::Missing {
                expected: "at least one is required",
            };
            reader.report(SourceLocation::default(), key, problem);
        }
    }
}

fn read_agent(reader: &mut KdlReader, node: &KdlNode) -> Option<SocketAddr> {
    let text = reader.text(node)?;
    let address = text.parse().ok();
    if address.is_none() {
        let problem = ConfigProblem::InvalidAddress { found: text };
        reader.report(reader.location(node), "agent", problem);
    }
    address
}

fn add_class(reader: &mut KdlReader, node: &KdlNode, config: &mut ClientConfig) {
    let Some(class) = read_class(reader, node) else {
        return;
    };
    if config.class_index(&class.name).is_some() {
        let name = class.name.clone();
        let problem = ConfigProblem::DuplicateName { name };
        reader.report(reader.location(node), "lane", problem);
    }
    config.classes.push(class);
}

/// The idempotency of a class without the deduplication scope and window, which are read from other
/// nodes.
#[derive(Clone, Copy)]
enum IdempotencyKind {
    Idempotent,
    Keyed,
    NonIdempotent,
}

fn read_class(reader: &mut KdlReader, node: &KdlNode) -> Option<RequestClass> {
    let location = reader.location(node);
    let name = reader
        .arguments(node, 1, &[])
        .into_iter()
        .find_map(|entry| reader.entry_text(entry, "lane"));
    let mut idempotency_kind = None;
    let mut scope = DeduplicationScope::All;
    let mut window = DEFAULT_DEDUPLICATION_WINDOW;
    let mut latency_objective = None;
    let mut priority_weight = DEFAULT_PRIORITY_WEIGHT;
    let known = ["repeats", "group", "window", "quoted", "benefit"];
    for node in reader.nodes(node.children(), "lane", &known, &[]) {
        match node.name().value() {
            "repeats" => idempotency_kind = read_idempotency_kind(reader, node),
            "group" => scope = read_deduplication_scope(reader, node),
            "window" => window = duration_or(reader, node, DEFAULT_DEDUPLICATION_WINDOW),
            "quoted" => latency_objective = reader.duration(node, MIN_DURATION),
            _ => {
                let weight = reader.number(node, 0.0, MAX_PRIORITY_WEIGHT);
                priority_weight = weight.unwrap_or(DEFAULT_PRIORITY_WEIGHT);
            }
        }
    }
    let is_incomplete = idempotency_kind.is_none() || latency_objective.is_none();
    if is_incomplete && !reader.has_diagnostics() {
        let problem = ConfigProblem::Missing {
            expected: "repeats and quoted are required",
        };
        reader.report(location, "lane", problem);
    }
    let idempotency = match idempotency_kind? {
        IdempotencyKind::Idempotent => Idempotency::Idempotent,
        IdempotencyKind::Keyed => Idempotency::Keyed { scope, window },
        IdempotencyKind::NonIdempotent => Idempotency::NonIdempotent,
    };
    Some(RequestClass {
        name: name?,
        idempotency,
        latency_objective: latency_objective?,
        priority_weight,
    })
}

fn read_idempotency_kind(reader: &mut KdlReader, node: &KdlNode) -> Option<IdempotencyKind> {
    let choices = [
        ("idempotent", IdempotencyKind::Idempotent),
        ("deduplicated", IdempotencyKind::Keyed),
        ("unrepeatable", IdempotencyKind::NonIdempotent),
    ];
    reader.choice(node, &choices)
}

fn read_deduplication_scope(reader: &mut KdlReader, node: &KdlNode) -> DeduplicationScope {
    let choices = [
        ("all", DeduplicationScope::All),
        ("zone", DeduplicationScope::Zone),
        ("cell", DeduplicationScope::Cell),
    ];
    reader
        .choice(node, &choices)
        .unwrap_or(DeduplicationScope::All)
}

fn read_retries(reader: &mut KdlReader, node: &KdlNode) -> RetryPolicy {
    reader.arguments(node, 0, &[]);
    let mut policy = RetryPolicy::default();
    let known = ["tries", "earned", "kept", "pause", "pause-most"];
    for node in reader.nodes(node.children(), "retries", &known, &[]) {
        match node.name().value() {
            "tries" => {
                if let Some(attempts) = reader.number(node, 1.0, MAX_ATTEMPTS) {
                    policy.max_attempts = attempts as u32;
                }
            }
            "earned" => {
                policy.tokens_per_success =
                    number_or(reader, node, 0.0..=1.0, policy.tokens_per_success)
            }
            "kept" => {
                policy.max_tokens = number_or(reader, node, 0.0..=MAX_COUNT, policy.max_tokens)
            }
            "pause" => policy.initial_backoff = duration_or(reader, node, policy.initial_backoff),
            _ => policy.max_backoff = duration_or(reader, node, policy.max_backoff),
        }
    }
    policy
}

fn read_connections(reader: &mut KdlReader, node: &KdlNode) -> ConnectionPolicy {
    reader.arguments(node, 0, &[]);
    let mut policy = ConnectionPolicy::default();
    let known = [
        "least", "most", "idle", "life", "within", "opening", "rate", "spread",
    ];
    let rates = MIN_CONNECTION_RATE..=MAX_COUNT;
    for node in reader.nodes(node.children(), "connections", &known, &[]) {
        match node.name().value() {
            "least" => policy.min_connections = count_or(reader, node, 0.0, policy.min_connections),
            "most" => policy.max_connections = count_or(reader, node, 1.0, policy.max_connections),
            "idle" => policy.idle_timeout = duration_or(reader, node, policy.idle_timeout),
            "life" => policy.max_lifetime = duration_or(reader, node, policy.max_lifetime),
            "within" => policy.connect_timeout = duration_or(reader, node, policy.connect_timeout),
            "opening" => policy.max_connecting = count_or(reader, node, 1.0, policy.max_connecting),
            "rate" => {
                policy.connects_per_second =
                    number_or(reader, node, rates.clone(), policy.connects_per_second)
            }
            _ => {
                policy.reconnect_spread = reader
                    .duration(node, Duration::ZERO)
                    .unwrap_or(policy.reconnect_spread)
            }
        }
    }
    if policy.min_connections > policy.max_connections {
        let location = reader.location(node);
        reader.report(location, "connections", ConfigProblem::EmptyRange);
    }
    policy
}

fn read_in_flight(reader: &mut KdlReader, node: &KdlNode) -> ConcurrencyPolicy {
    reader.arguments(node, 0, &[]);
    let mut policy = ConcurrencyPolicy::default();
    let known = ["least", "most", "waiting", "wait"];
    for node in reader.nodes(node.children(), "in-flight", &known, &[]) {
        match node.name().value() {
            "least" => {
                policy.min_limit = number_or(reader, node, 1.0..=MAX_COUNT, policy.min_limit)
            }
            "most" => policy.max_limit = number_or(reader, node, 1.0..=MAX_COUNT, policy.max_limit),
            "waiting" => policy.max_queued = count_or(reader, node, 0.0, policy.max_queued),
            _ => {
                policy.queue_timeout = reader
                    .duration(node, Duration::ZERO)
                    .unwrap_or(policy.queue_timeout)
            }
        }
    }
    if policy.min_limit > policy.max_limit {
        let location = reader.location(node);
        reader.report(location, "in-flight", ConfigProblem::EmptyRange);
    }
    policy
}

fn number_or(
    reader: &mut KdlReader,
    node: &KdlNode,
    range: RangeInclusive<f64>,
    default: f64,
) -> f64 {
    reader
        .number(node, *range.start(), *range.end())
        .unwrap_or(default)
}

fn count_or(reader: &mut KdlReader, node: &KdlNode, min: f64, default: usize) -> usize {
    reader
        .number(node, min, MAX_COUNT)
        .map_or(default, |count| count as usize)
}

fn duration_or(reader: &mut KdlReader, node: &KdlNode, default: Duration) -> Duration {
    reader.duration(node, MIN_DURATION).unwrap_or(default)
}
