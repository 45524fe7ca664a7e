//! Endpoints that drain, as the endpoint table and the balancer learn of them, and when discovery
//! is called; without sockets.

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

/// An endpoint table and a balancer, which must agree on the endpoints that may get attempts.
struct TableAndBalancer {
    service: ServiceConfig,
    clock: Clock,
    list: EndpointTable,
    balancer: Balancer,
}

impl TableAndBalancer {
    fn new() -> TableAndBalancer {
        let (service, clock) = (service(1), Clock::start());
        let balancer = Balancer::new(clock.now(), service.settings.clone());
        TableAndBalancer {
            service,
            clock,
            list: EndpointTable::default(),
            balancer,
        }
    }

    fn receive_list(&mut self, version: u64, full: bool, servers: &[Value]) {
        let body = json!({"version": version, "full": full, "servers": servers});
        let body = serde_json::to_string_pretty(&body).unwrap();
        let response = ListResponse::parse(body.as_bytes()).unwrap();
        let complete = response.complete;
        let entries = self
            .list
            .apply(response, &self.service, &self.clock)
            .entries;
        self.balancer
            .update_endpoints(self.clock.now(), &entries, complete);
    }

    /// The ids of the table's targets, after the balancer has sent a hundred requests to some of
    /// them and to no others.
    fn usable_endpoints(&mut self) -> Vec<String> {
        let mut ids: Vec<_> = self
            .list
            .targets()
            .iter()
            .map(|t| self.list.id(t.endpoint).to_owned())
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
                    ids.contains(&self.list.id(endpoint).to_owned()),
                    "they differ"
                );
            }
            self.balancer.close_request(id);
        }
        ids
    }
}

/// Guards against a discovery at another address that is behind. Harms an endpoint that is called
/// back within one version: it is told again by the next.
#[test]
fn older_list_revives_only_restarted_endpoints() {
    let mut pair = TableAndBalancer::new();
    let run = |id: &str| entry(id, "in_service", 7, 41);
    pair.receive_list(10, true, &[run("s-0"), run("s-1"), run("s-2"), run("s-3")]);
    pair.receive_list(
        12,
        false,
        &[
            entry("s-0", "terminating", 7, 41),
            entry("s-1", "terminated", 7, 41),
        ],
    );
    pair.receive_list(13, true, &[run("s-3"), entry("s-0", "terminating", 7, 41)]);
    assert_eq!(pair.usable_endpoints(), ["s-3"], "who is lacking is gone");
    pair.receive_list(11, true, &[run("s-0"), run("s-1"), run("s-2"), run("s-3")]);
    assert_eq!(pair.usable_endpoints(), ["s-3"], "an older list");
    // The same id with another build or address lives anew, whatever the version.
    pair.receive_list(
        12,
        false,
        &[
            entry("s-0", "in_service", 8, 41),
            entry("s-1", "in_service", 7, 42),
        ],
    );
    assert_eq!(pair.usable_endpoints(), ["s-0", "s-1", "s-3"]);
    pair.receive_list(14, false, &[run("s-2")]);
    assert_eq!(
        pair.usable_endpoints(),
        ["s-0", "s-1", "s-2", "s-3"],
        "a newer list says so"
    );
}

/// Guards against a list that counts as told though one entry cannot be read. Harms that endpoint
/// until it can be.
#[test]
fn applies_the_readable_entries_and_drains_the_unreadable_one() {
    let mut pair = TableAndBalancer::new();
    let run = |id: &str| entry(id, "in_service", 7, 41);
    pair.receive_list(1, true, &[run("s-0"), run("s-1"), run("s-2"), run("s-3")]);
    let unreadable = |key: &str, value: Value| {
        let mut e = run("s-1");
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
                run("s-2"),
                run("s-3"),
            ],
        );
        assert_eq!(
            pair.list.version,
            version - 1,
            "its version is not taken for heard"
        );
        assert_eq!(pair.usable_endpoints(), ["s-2", "s-3"], "{key}");
        pair.receive_list(
            version + 1,
            true,
            &[run("s-0"), run("s-1"), run("s-2"), run("s-3")],
        );
        assert_eq!(pair.usable_endpoints().len(), 4);
    }
    for torn in 0..80 {
        let text = json!({"version": 9, "full": false, "servers": [run("s-0")]}).to_string();
        assert!(ListResponse::parse(&text.as_bytes()[..torn]).is_err());
    }
}

/// Three hundred agents whose watches fall silent at the same moment, right after an answer to all;
/// for half of them the first call anew is lost in silence, too. Guards the rule on drains and
/// discovery, which is paid for each call. One call a silence: a second beside it put an end to the
/// first (the incident on refused calls), so who was not heard in time must vouch for nothing from
/// then on.
#[test]
fn watches_that_time_out_at_once_begin_anew_in_time_and_spread_out() {
    for (agents, within) in [(300, 10_000), (350, 4_000), (1024, 20_000), (4, 10_000)] {
        let mut calls = Vec::new();
        for seed in 0..agents {
            let mut d = service(agents as u32).settings;
            (d.seed, d.shared_discovery, d.max_poll_interval) =
                (seed, true, Duration::from_millis(within));
            let (mut timer, mut lease) = (WatchTimer::new(&d), ListLease::new(&d, Duration::ZERO));
            timer.on_response();
            let wait = timer.next_wait();
            lease.on_response(Duration::ZERO, wait);
            let silent = wait + timer.response_grace();
            lease.on_watch_end(silent, WatchEnd::TimedOut);
            let at = silent + timer.on_watch_end(WatchEnd::TimedOut).unwrap();
            calls.push(at);
            let receive_list = Duration::from_secs(6).max(wait + Duration::from_secs(2));
            lease.on_watch_begin(at);
            if seed % 2 == 0 {
                // Nothing is vouched for between what counts as told and an answer.
                assert!(lease
                    .valid_until()
                    .is_some_and(|t| t <= receive_list + Duration::from_millis(250)));
                // What fails then is spread by the module.
                assert_eq!(timer.on_watch_end(WatchEnd::TimedOut), None);
            } else {
                // With a connection that comes up late, and some time to answer, which the call
                // must be given.
                let answer = Duration::from_millis(1300);
                assert!(answer < wait + timer.first_call_timeout(FirstCall::Patient));
                assert!(
                    at + answer < receive_list + Duration::from_millis(250),
                    "{at:?} of {receive_list:?} after {wait:?}"
                );
            }
        }
        let second = |c: &Duration| {
            calls
                .iter()
                .filter(|o| **o >= *c && **o < *c + Duration::from_secs(1))
                .count()
        };
        let most = calls.iter().map(second).max().unwrap() as f64;
        // Nine tenths of the longest wait at least are left to chance; each silence brings one
        // call.
        let spread = 2.0 * within as f64 / 1000.0 * 0.9;
        let bound = agents as f64 / spread * 1.3 + 4.0;
        assert!(most <= bound, "{most} of {bound} in a second with {agents}");
    }
}

#[test]
fn notices_silence_within_one_short_wait_where_calls_are_free() {
    let mut timer = WatchTimer::new(&service(300).settings);
    assert_eq!(timer.first_wait(), Duration::ZERO);
    timer.on_response();
    let notice = timer.next_wait()
        + timer.response_grace()
        + timer.on_watch_end(WatchEnd::TimedOut).unwrap();
    assert!(
        notice + timer.first_call_timeout(FirstCall::Patient) * 2 < Duration::from_secs(6),
        "{notice:?} and two late tries"
    );
    // What discovery holds at its return counts at once: the next quick try is within the grace.
    assert!(
        timer.first_call_timeout(FirstCall::Quick) + timer.retry_delay(WatchEnd::TimedOut)
            < Duration::from_millis(250)
    );
    // No busy loop on lists that end or are spoilt at every call.
    for ended in [WatchEnd::Disconnected, WatchEnd::Malformed] {
        timer.on_response();
        assert!(timer.on_watch_end(ended).unwrap() >= Duration::from_millis(50));
    }
}
