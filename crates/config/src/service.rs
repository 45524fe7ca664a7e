//! What a client of the agents sets, in KDL.

use crate::document::{ConfigDiagnostic, Reader};
use kdl::KdlNode;
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency};
use tulipwall_client_policy::{
    ClientConfig, ConcurrencyPolicy, ConnectionPolicy, RequestClass, RetryPolicy,
};

const TIMES_MOST: f64 = 1e6;
const WINDOW: Duration = Duration::from_secs(5);

/// Reads the text of a client's file; all that is wrong with it otherwise, in the order of its
/// lines.
pub fn read_service(text: &str) -> Result<ClientConfig, Vec<ConfigDiagnostic>> {
    let mut r = Reader::new(text);
    let mut service = ClientConfig::new(Vec::new(), Vec::new());
    let document = r.document();
    let whole = document.is_some();
    let once = [
        "marks-retries",
        "value-most",
        "retries",
        "connections",
        "in-flight",
    ];
    for node in r.nodes(document.as_ref(), "the file", &once, &["agent", "lane"]) {
        match node.name().value() {
            "agent" => {
                let Some(text) = r.text(node) else { continue };
                match text.parse::<SocketAddr>() {
                    Ok(address) => service.agents.push(address),
                    Err(_) => r.wrong(
                        r.of(node),
                        "agent",
                        format!("'{text}' is no address with a port"),
                    ),
                }
            }
            "lane" => {
                let Some(class) = class(&mut r, node) else {
                    continue;
                };
                if service.class_index(&class.name).is_some() {
                    r.wrong(
                        r.of(node),
                        "lane",
                        format!("the name '{}' stands twice", class.name),
                    );
                }
                service.classes.push(class);
            }
            "marks-retries" => service.marks_retries = r.flag(node).unwrap_or(false),
            "value-most" => {
                service.max_value_bytes =
                    r.size(node).map_or(service.max_value_bytes, |n| n as usize)
            }
            "retries" => service.retry = retrying(&mut r, node),
            "connections" => service.connections = connections(&mut r, node),
            _ => service.concurrency = in_flight(&mut r, node),
        }
    }
    let nothing = [
        ("agent", service.agents.is_empty()),
        ("lane", service.classes.is_empty()),
    ];
    for (key, missing) in nothing.into_iter().filter(|_| whole) {
        if missing && !r.mistakes.iter().any(|m| m.key == key) {
            r.wrong(Default::default(), key, "one or more are wanted".into());
        }
    }
    if r.mistakes.is_empty() {
        return Ok(service);
    }
    r.mistakes.sort();
    Err(r.mistakes)
}

fn class(r: &mut Reader, node: &KdlNode) -> Option<RequestClass> {
    let at = r.of(node);
    let name = r
        .arguments(node, 1, &[])
        .into_iter()
        .find_map(|e| r.text_of(e, "lane"));
    let (mut kind, mut group, mut window) = (None, DeduplicationScope::All, WINDOW);
    let (mut latency_objective, mut priority_weight) = (None, 1.0);
    for node in r.nodes(
        node.children(),
        "lane",
        &["repeats", "group", "window", "quoted", "benefit"],
        &[],
    ) {
        match node.name().value() {
            "repeats" => kind = r.word(node, &["idempotent", "deduplicated", "unrepeatable"]),
            "group" => {
                let groups = [
                    DeduplicationScope::All,
                    DeduplicationScope::Zone,
                    DeduplicationScope::Cell,
                ];
                group = r
                    .word(node, &["all", "zone", "cell"])
                    .map_or(DeduplicationScope::All, |n| groups[n]);
            }
            "window" => window = r.span(node, Duration::from_millis(1)).unwrap_or(WINDOW),
            "quoted" => latency_objective = r.span(node, Duration::from_millis(1)),
            _ => priority_weight = r.number(node, 0.0, 1e9).unwrap_or(1.0),
        }
    }
    if (kind.is_none() || latency_objective.is_none()) && r.mistakes.is_empty() {
        r.wrong(at, "lane", "repeats and quoted are wanted in it".into());
    }
    let idempotency = match kind? {
        0 => Idempotency::Idempotent,
        1 => Idempotency::Keyed {
            scope: group,
            window,
        },
        _ => Idempotency::NonIdempotent,
    };
    Some(RequestClass {
        name: name?,
        idempotency,
        latency_objective: latency_objective?,
        priority_weight,
    })
}

fn retrying(r: &mut Reader, node: &KdlNode) -> RetryPolicy {
    r.arguments(node, 0, &[]);
    let mut by = RetryPolicy::default();
    for node in r.nodes(
        node.children(),
        "retries",
        &["tries", "earned", "kept", "pause", "pause-most"],
        &[],
    ) {
        match node.name().value() {
            "tries" => {
                by.max_attempts = r
                    .number(node, 1.0, 100.0)
                    .map_or(by.max_attempts, |n| n as u32)
            }
            "earned" => {
                by.tokens_per_success = r.number(node, 0.0, 1.0).unwrap_or(by.tokens_per_success)
            }
            "kept" => by.max_tokens = r.number(node, 0.0, TIMES_MOST).unwrap_or(by.max_tokens),
            "pause" => {
                by.initial_backoff = r
                    .span(node, Duration::from_millis(1))
                    .unwrap_or(by.initial_backoff)
            }
            _ => {
                by.max_backoff = r
                    .span(node, Duration::from_millis(1))
                    .unwrap_or(by.max_backoff)
            }
        }
    }
    by
}

fn connections(r: &mut Reader, node: &KdlNode) -> ConnectionPolicy {
    r.arguments(node, 0, &[]);
    let (mut by, least) = (ConnectionPolicy::default(), Duration::from_millis(1));
    let known = [
        "least", "most", "idle", "life", "within", "opening", "rate", "spread",
    ];
    for node in r.nodes(node.children(), "connections", &known, &[]) {
        match node.name().value() {
            "least" => {
                by.min_connections = r
                    .number(node, 0.0, TIMES_MOST)
                    .map_or(by.min_connections, |n| n as usize)
            }
            "most" => {
                by.max_connections = r
                    .number(node, 1.0, TIMES_MOST)
                    .map_or(by.max_connections, |n| n as usize)
            }
            "idle" => by.idle_timeout = r.span(node, least).unwrap_or(by.idle_timeout),
            "life" => by.max_lifetime = r.span(node, least).unwrap_or(by.max_lifetime),
            "within" => by.connect_timeout = r.span(node, least).unwrap_or(by.connect_timeout),
            "opening" => {
                by.max_connecting = r
                    .number(node, 1.0, TIMES_MOST)
                    .map_or(by.max_connecting, |n| n as usize)
            }
            "rate" => {
                by.connects_per_second = r
                    .number(node, 0.1, TIMES_MOST)
                    .unwrap_or(by.connects_per_second)
            }
            _ => by.reconnect_spread = r.span(node, Duration::ZERO).unwrap_or(by.reconnect_spread),
        }
    }
    if by.min_connections > by.max_connections {
        r.wrong(r.of(node), "connections", "least is more than most".into());
    }
    by
}

fn in_flight(r: &mut Reader, node: &KdlNode) -> ConcurrencyPolicy {
    r.arguments(node, 0, &[]);
    let mut by = ConcurrencyPolicy::default();
    for node in r.nodes(
        node.children(),
        "in-flight",
        &["least", "most", "waiting", "wait"],
        &[],
    ) {
        match node.name().value() {
            "least" => by.min_limit = r.number(node, 1.0, TIMES_MOST).unwrap_or(by.min_limit),
            "most" => by.max_limit = r.number(node, 1.0, TIMES_MOST).unwrap_or(by.max_limit),
            "waiting" => {
                by.max_queued = r
                    .number(node, 0.0, TIMES_MOST)
                    .map_or(by.max_queued, |n| n as usize)
            }
            _ => by.queue_timeout = r.span(node, Duration::ZERO).unwrap_or(by.queue_timeout),
        }
    }
    if by.min_limit > by.max_limit {
        r.wrong(r.of(node), "in-flight", "least is more than most".into());
    }
    by
}
