//! Tests with lists of thousands of endpoints that are complete, partly unreadable or empty.

use serde_json::{json, Value};
use std::time::{Duration, Instant};
use tulipwall::{Balancer, Decision, EndpointState, Request};
use tulipwall_config::{Fields, ServiceConfig};
use tulipwall_discovery::list_response::ListResponse;
use tulipwall_discovery::{clock::Clock, endpoint_table::EndpointTable};
use tulipwall_testkit::agent_process;

const ENDPOINTS: usize = 7_700;

struct Agent {
    service: ServiceConfig,
    clock: Clock,
    table: EndpointTable,
    balancer: Balancer,
    request_count: u64,
}

fn entry(n: usize, state: &str) -> Value {
    json!({"id": format!("s-{n:08x}"), "addr": format!("10.{}.{}.1:6543", n / 256, n % 256), "zone": "a", "kind": "m2",
        "cell": n % 5, "state": state, "weight": 1.0, "started_ms": 0, "release": 41})
}

fn fleet() -> Vec<Value> {
    (0..ENDPOINTS).map(|n| entry(n, "in_service")).collect()
}

impl Agent {
    fn new() -> Agent {
        let value = agent_process::settings(&["a"], "a", 770, &agent_process::classes());
        let service = ServiceConfig::read(&Fields::new(&value, "settings").unwrap(), 1).unwrap();
        let clock = Clock::start();
        let balancer = Balancer::new(clock.now(), service.settings.clone());
        Agent {
            service,
            clock,
            table: EndpointTable::default(),
            balancer,
            request_count: 0,
        }
    }

    /// Applies a list. Returns the error message of the first entry that cannot be read, or `None`
    /// if all entries can.
    fn receive_list(&mut self, version: u64, full: bool, servers: &[Value]) -> Option<String> {
        let text = json!({"version": version, "full": full, "servers": servers}).to_string();
        let response = ListResponse::parse(text.as_bytes()).unwrap();
        let complete = response.complete;
        let first_error = response.first_error.as_ref().map(ToString::to_string);
        let entries = self
            .table
            .apply(response, &self.service, &self.clock)
            .entries;
        self.balancer
            .update_endpoints(self.clock.now(), &entries, complete);
        first_error
    }

    fn running_count(&self) -> usize {
        self.table.targets().len()
    }

    /// Returns the first decision on a request that arrives now.
    fn route_request(&mut self) -> Decision {
        let (now, id) = (self.clock.now(), self.request_count);
        self.request_count += 1;
        let remaining = Duration::from_secs(1);
        self.balancer.on_request(
            now,
            id,
            Request {
                class: 0,
                tenant: None,
                key: None,
                time_left: remaining,
                estimated_work: None,
                is_retry: false,
            },
        );
        let decision = self.balancer.route(now, id);
        self.balancer.close_request(id);
        decision
    }
}

#[test]
fn applies_a_large_list_and_finds_endpoints_by_id() {
    let (mut agent, started_at) = (Agent::new(), Instant::now());
    assert_eq!(agent.receive_list(1, true, &fleet()), None);
    assert_eq!(
        (
            agent.running_count(),
            agent.table.len(),
            agent.table.version
        ),
        (ENDPOINTS, ENDPOINTS, 1)
    );
    assert_eq!(
        agent.table.id(agent.table.index("s-00001e13").unwrap()),
        "s-00001e13"
    );
    assert!(matches!(agent.route_request(), Decision::Forward { .. }));
    // Guards against a scan of the whole list for each of its entries, which took seconds. The
    // bound is far above the time that the list normally takes.
    assert!(
        started_at.elapsed() < Duration::from_secs(20),
        "{:?}",
        started_at.elapsed()
    );
}

/// Of two contradictory entries for one endpoint only one can be correct, and that may be the one
/// that drains the endpoint.
#[test]
fn drains_and_reports_an_endpoint_with_contradictory_entries() {
    let mut agent = Agent::new();
    agent.receive_list(1, true, &fleet());
    for (nth, (key, value)) in [
        ("state", json!("terminating")),
        ("release", json!(42)),
        ("addr", json!("10.9.9.9:1")),
    ]
    .into_iter()
    .enumerate()
    {
        let mut servers = fleet();
        let mut other = entry(17, "in_service");
        other[key] = value;
        // Alternates between the start and the end of the list, before and after the other entry.
        servers.insert(if nth % 2 == 0 { 0 } else { ENDPOINTS }, other);
        let version = 2 + 2 * nth as u64;
        let what = agent
            .receive_list(version, true, &servers)
            .expect("the contradiction must be reported");
        assert!(
            what.contains("s-00000011") && what.contains("twice"),
            "{what}"
        );
        assert_eq!(agent.running_count(), ENDPOINTS - 1);
        assert_eq!(
            agent.table.target(agent.table.index("s-00000011").unwrap()),
            None
        );
        assert_eq!(
            agent.table.version,
            version - 1,
            "the list must be requested again"
        );
        assert_eq!(agent.receive_list(version + 1, true, &fleet()), None);
        assert_eq!(agent.running_count(), ENDPOINTS);
    }
}

#[test]
fn equal_duplicate_entries_count_once() {
    let mut agent = Agent::new();
    let mut servers = fleet();
    servers.extend(fleet().into_iter().take(500));
    assert_eq!(agent.receive_list(1, true, &servers), None);
    assert_eq!(
        (agent.running_count(), agent.table.len()),
        (ENDPOINTS, ENDPOINTS)
    );
}

#[test]
fn applies_the_readable_entries_of_a_list_with_hundreds_of_unreadable_ones() {
    let mut agent = Agent::new();
    agent.receive_list(1, true, &fleet());
    let mut servers = fleet();
    servers
        .iter_mut()
        .step_by(10)
        .for_each(|e| e["state"] = json!("asleep"));
    servers[1] = entry(1, "terminating");
    let what = agent
        .receive_list(2, true, &servers)
        .expect("the unreadable entry must be reported");
    assert!(what.contains("asleep"), "{what}");
    assert_eq!(agent.running_count(), ENDPOINTS - ENDPOINTS / 10 - 1);
    assert_eq!(agent.table.version, 1);
    assert_eq!(agent.receive_list(3, true, &fleet()), None);
    assert_eq!(agent.running_count(), ENDPOINTS);
}

/// An endpoint that is missing from a complete list is gone, even if the list is empty. Endpoints
/// that are listed again get the same indices as before.
#[test]
fn sends_nothing_after_an_empty_list_until_endpoints_are_listed_again() {
    let mut agent = Agent::new();
    agent.receive_list(1, true, &fleet());
    let index_before = agent.table.index("s-00000100").unwrap();
    assert_eq!(agent.receive_list(2, true, &[]), None);
    assert_eq!(
        (agent.running_count(), agent.table.has_running()),
        (0, false)
    );
    for _ in 0..100 {
        assert!(!matches!(agent.route_request(), Decision::Forward { .. }));
    }
    assert_eq!(agent.receive_list(3, true, &fleet()[..ENDPOINTS / 2]), None);
    assert_eq!(agent.running_count(), ENDPOINTS / 2);
    assert_eq!(agent.receive_list(4, true, &fleet()), None);
    assert_eq!(
        (agent.running_count(), agent.table.len()),
        (ENDPOINTS, ENDPOINTS),
        "endpoints that return must reuse their entries"
    );
    assert_eq!(agent.table.index("s-00000100"), Some(index_before));
    assert!(matches!(agent.route_request(), Decision::Forward { .. }));
}

/// Guards against a table that keeps entries of all endpoints that ever ran, and so grows without
/// bound.
#[test]
fn replaced_endpoints_leave_no_entries_behind() {
    let mut agent = Agent::new();
    agent.receive_list(1, true, &fleet());
    for version in 2..=12 {
        let renamed = |n: usize| {
            let mut e = entry(n, "in_service");
            e["id"] = json!(format!("r{version}-{n}"));
            e
        };
        let servers: Vec<Value> = (0..ENDPOINTS)
            .map(|n| {
                if n % 7 == 0 {
                    renamed(n)
                } else {
                    entry(n, "in_service")
                }
            })
            .collect();
        assert_eq!(agent.receive_list(version, true, &servers), None);
        assert_eq!(agent.running_count(), ENDPOINTS);
        assert!(
            agent.table.len() <= ENDPOINTS + 2 * (ENDPOINTS / 7 + 1),
            "{}",
            agent.table.len()
        );
        agent.receive_list(version, false, &[]);
    }
    let is_running = |n: usize| agent.table.target(n).is_some();
    assert_eq!(
        (0..agent.table.len()).filter(|n| is_running(*n)).count(),
        ENDPOINTS
    );
    assert_eq!(
        EndpointState::default(),
        EndpointState::Gone,
        "an index without an endpoint counts as gone"
    );
}
