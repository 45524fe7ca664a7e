//! Tests of the endpoint table, the balancer and the timing of calls to discovery, without sockets:
//! draining endpoints, unreadable entries and watches that time out.

use serde_json::{json, Value};
use std::time::Duration;
use tulipwall::{Balancer, Decision, Request};
use tulipwall_config::{Fields, ServiceConfig};
use tulipwall_discovery::list_lease::ListLease;
use tulipwall_discovery::list_response::ListResponse;
use tulipwall_discovery::watch_timer::{FirstCall, WatchEnd, WatchTimer};
use tulipwall_discovery::{clock::Clock, endpoint_table::EndpointTable};
use tulipwall_testkit::*;

fn service(agents: u32) -> ServiceConfig {
    let value = agent_process::settings(&["a"], "a", agents, &agent_process::classes());
    ServiceConfig::read(&Fields::new(&value, "settings").unwrap(), 1).unwrap()
}

fn entry(id: &str, state: &str, port: u16, build: u32) -> Value {
    json!({"id": id, "addr": format!("127.0.0.1:{port}"), "zone": "a", "cell": 0, "state": state,
        "started_ms": 0, "release": build})
}

/// An endpoint table and a balancer, which must agree on the endpoints that may receive attempts.
struct TableAndBalancer {
    service: ServiceConfig,
    clock: Clock,
    table: EndpointTable,
    balancer: Balancer,
}

impl TableAndBalancer {
    fn new() -> TableAndBalancer {
        let (service, clock) = (service(1), Clock::start());
        let balancer = Balancer::new(clock.now(), service.settings.clone());
        TableAndBalancer {
            service,
            clock,
            table: EndpointTable::default(),
            balancer,
        }
    }

    fn receive_list(&mut self, version: u64, full: bool, servers: &[Value]) {
        let body = json!({"version": version, "full": full, "servers": servers});
        let body = serde_json::to_string_pretty(&body).unwrap();
        let response = ListResponse::parse(body.as_bytes()).unwrap();
        let complete = response.complete;
        let entries = self
            .table
            .apply(response, &self.service, &self.clock)
            .entries;
        self.balancer
            .update_endpoints(self.clock.now(), &entries, complete);
    }

    /// Returns the ids of the table's targets, after checking that the balancer forwards a hundred
    /// requests to these endpoints only.
    fn usable_endpoints(&mut self) -> Vec<String> {
        let mut ids: Vec<_> = self
            .table
            .targets()
            .iter()
            .map(|t| self.table.id(t.endpoint).to_owned())
            .collect();
        ids.sort();
        for id in 0..100 {
            let now = self.clock.now() + Duration::from_millis(id);
            let request = Request {
                class: 0,
                tenant: None,
                key: None,
                time_left: Duration::from_secs(1),
                estimated_work: None,
                is_retry: false,
            };
            self.balancer.on_request(now, id, request);
            if let Decision::Forward { endpoint, .. } = self.balancer.route(now, id) {
                assert!(
                    ids.contains(&self.table.id(endpoint).to_owned()),
                    "the balancer selected an endpoint that is not a target of the table"
                );
            }
            self.balancer.close_request(id);
        }
        ids
    }
}

/// Guards against a discovery instance at another address whose list is older. This does harm to an
/// endpoint that is put back into service within one version: only the next version revives it.
#[test]
fn older_list_revives_only_restarted_endpoints() {
    let mut pair = TableAndBalancer::new();
    let running_entry = |id: &str| entry(id, "in_service", 7, 41);
    pair.receive_list(
        10,
        true,
        &[
            running_entry("s-0"),
            running_entry("s-1"),
            running_entry("s-2"),
            running_entry("s-3"),
        ],
    );
    pair.receive_list(
        12,
        false,
        &[
            entry("s-0", "terminating", 7, 41),
            entry("s-1", "terminated", 7, 41),
        ],
    );
    pair.receive_list(
        13,
        true,
        &[running_entry("s-3"), entry("s-0", "terminating", 7, 41)],
    );
    assert_eq!(
        pair.usable_endpoints(),
        ["s-3"],
        "an endpoint missing from a complete list is gone"
    );
    pair.receive_list(
        11,
        true,
        &[
            running_entry("s-0"),
            running_entry("s-1"),
            running_entry("s-2"),
            running_entry("s-3"),
        ],
    );
    assert_eq!(
        pair.usable_endpoints(),
        ["s-3"],
        "an older list revives nothing"
    );
    // An endpoint with the same id but another build or address is revived by any version.
    pair.receive_list(
        12,
        false,
        &[
            entry("s-0", "in_service", 8, 41),
            entry("s-1", "in_service", 7, 42),
        ],
    );
    assert_eq!(pair.usable_endpoints(), ["s-0", "s-1", "s-3"]);
    pair.receive_list(14, false, &[running_entry("s-2")]);
    assert_eq!(
        pair.usable_endpoints(),
        ["s-0", "s-1", "s-2", "s-3"],
        "a newer list revives an endpoint"
    );
}

/// Guards against a list that counts as received although one of its entries cannot be read. This
/// does harm to that endpoint until its entry can be read.
#[test]
fn applies_the_readable_entries_and_drains_the_unreadable_one() {
    let mut pair = TableAndBalancer::new();
    let running_entry = |id: &str| entry(id, "in_service", 7, 41);
    pair.receive_list(
        1,
        true,
        &[
            running_entry("s-0"),
            running_entry("s-1"),
            running_entry("s-2"),
            running_entry("s-3"),
        ],
    );
    let unreadable = |key: &str, value: Value| {
        let mut e = running_entry("s-1");
        e[key] = value;
        e
    };
    let bad = [
        ("state", json!("asleep")),
        ("addr", json!("here")),
        ("release", json!(-1)),
        ("cell", json!([])),
    ];
    for (n, (key, value)) in bad.into_iter().enumerate() {
        let version = 2 + 2 * n as u64;
        pair.receive_list(
            version,
            n % 2 == 0,
            &[
                unreadable(key, value),
                entry("s-0", "terminating", 7, 41),
                json!(7),
                running_entry("s-2"),
                running_entry("s-3"),
            ],
        );
        assert_eq!(
            pair.table.version,
            version - 1,
            "the version of a partly unreadable list must not count as received"
        );
        assert_eq!(pair.usable_endpoints(), ["s-2", "s-3"], "{key}");
        pair.receive_list(
            version + 1,
            true,
            &[
                running_entry("s-0"),
                running_entry("s-1"),
                running_entry("s-2"),
                running_entry("s-3"),
            ],
        );
        assert_eq!(pair.usable_endpoints().len(), 4);
    }
    for length in 0..80 {
        let text =
            json!({"version": 9, "full": false, "servers": [running_entry("s-0")]}).to_string();
        assert!(ListResponse::parse(&text.as_bytes()[..length]).is_err());
    }
}

/// The watches of all agents of a fleet (300 agents and other sizes) fall silent at the same
/// moment, right after a response to all. For half of the agents the first new call gets no
/// response either. Guards against agents that miss drains, and against overloading discovery,
/// where every call uses shared capacity. Each silence must cause a single call: in an incident
/// with refused calls, a second call in parallel ended the first one. So an agent that is not
/// answered in time must not rely on its list from then on.
#[test]
fn watches_that_time_out_together_restart_in_time_and_spread_out() {
    for (agents, poll_interval_ms) in [(300, 10_000), (350, 4_000), (1024, 20_000), (4, 10_000)] {
        let mut calls = Vec::new();
        for seed in 0..agents {
            let mut agent_settings = service(agents as u32).settings;
            (
                agent_settings.seed,
                agent_settings.shared_discovery,
                agent_settings.max_poll_interval,
            ) = (seed, true, Duration::from_millis(poll_interval_ms));
            let (mut timer, mut lease) = (
                WatchTimer::new(&agent_settings),
                ListLease::new(&agent_settings, Duration::ZERO),
            );
            timer.on_response();
            let wait = timer.next_wait();
            lease.on_response(Duration::ZERO, wait);
            let silence_detected_at = wait + timer.response_grace();
            lease.on_watch_end(silence_detected_at, WatchEnd::TimedOut);
            let at = silence_detected_at + timer.on_watch_end(WatchEnd::TimedOut).unwrap();
            calls.push(at);
            let receive_list = Duration::from_secs(6).max(wait + Duration::from_secs(2));
            lease.on_watch_begin(at);
            if seed % 2 == 0 {
                // The lease must not extend beyond the time from which the agent must comply with
                // changes, unless there is an answer.
                assert!(lease
                    .valid_until()
                    .is_some_and(|t| t <= receive_list + Duration::from_millis(250)));
                // The balancer schedules the call after this failure.
                assert_eq!(timer.on_watch_end(WatchEnd::TimedOut), None);
            } else {
                // Covers a connection that opens slowly and some time to answer, for which the
                // timeout of the call must be long enough.
                let answer_delay = Duration::from_millis(1300);
                assert!(answer_delay < wait + timer.first_call_timeout(FirstCall::Patient));
                assert!(
                    at + answer_delay < receive_list + Duration::from_millis(250),
                    "called after {at:?}, must comply after {receive_list:?}, wait {wait:?}"
                );
            }
        }
        let calls_in_second = |c: &Duration| {
            calls
                .iter()
                .filter(|o| **o >= *c && **o < *c + Duration::from_secs(1))
                .count()
        };
        let max_calls_per_second = calls.iter().map(calls_in_second).max().unwrap() as f64;
        // At least nine tenths of the longest wait are random, and each silence causes one call.
        let spread = 2.0 * poll_interval_ms as f64 / 1000.0 * 0.9;
        let bound = agents as f64 / spread * 1.3 + 4.0;
        assert!(
            max_calls_per_second <= bound,
            "{max_calls_per_second} calls in a second, expected at most {bound}, with {agents} agents"
        );
    }
}

#[test]
fn detects_silence_within_one_short_wait_where_calls_are_free() {
    let mut timer = WatchTimer::new(&service(300).settings);
    assert_eq!(timer.first_wait(), Duration::ZERO);
    timer.on_response();
    let notice = timer.next_wait()
        + timer.response_grace()
        + timer.on_watch_end(WatchEnd::TimedOut).unwrap();
    assert!(
        notice + timer.first_call_timeout(FirstCall::Patient) * 2 < Duration::from_secs(6),
        "{notice:?} and two slow calls"
    );
    // Agents must comply with discovery's list as soon as it is available again. The next quick
    // call comes within the grace period of 250 ms.
    assert!(
        timer.first_call_timeout(FirstCall::Quick) + timer.retry_delay(WatchEnd::TimedOut)
            < Duration::from_millis(250)
    );
    // Guards against a busy loop when every call is disconnected or gets a malformed response.
    for ended in [WatchEnd::Disconnected, WatchEnd::Malformed] {
        timer.on_response();
        assert!(timer.on_watch_end(ended).unwrap() >= Duration::from_millis(50));
    }
}
