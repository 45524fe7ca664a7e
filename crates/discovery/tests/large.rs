//! Lists of the size to come, whole, spoilt and empty: what is known goes on, and what is wrong is
//! named.

use serde_json::{json, Value};
use std::time::{Duration, Instant};
use tulipwall::{Balancer, Decision, EndpointState, Request};
use tulipwall_config::{Fields, ServiceConfig};
use tulipwall_discovery::list_response::ListResponse;
use tulipwall_discovery::{clock::Clock, endpoint_table::EndpointTable};
use tulipwall_testkit::agent_process;

const ENDPOINTS: usize = 7_700;

struct Agent {
    site: ServiceConfig,
    clock: Clock,
    list: EndpointTable,
    choice: Balancer,
    asked: u64,
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
        let site = ServiceConfig::read(&Fields::new(&value, "settings").unwrap(), 1).unwrap();
        let clock = Clock::start();
        let choice = Balancer::new(clock.now(), site.settings.clone());
        Agent {
            site,
            clock,
            list: EndpointTable::default(),
            choice,
            asked: 0,
        }
    }

    /// Takes a list in; what is wrong with it, as it is named.
    fn told(&mut self, version: u64, full: bool, servers: &[Value]) -> Option<String> {
        let text = json!({"version": version, "full": full, "servers": servers}).to_string();
        let told = ListResponse::parse(text.as_bytes()).unwrap();
        let (complete, spoilt) = (
            told.complete,
            told.first_error.as_ref().map(ToString::to_string),
        );
        let entries = self.list.apply(told, &self.site, &self.clock).entries;
        self.choice
            .update_endpoints(self.clock.now(), &entries, complete);
        spoilt
    }

    fn serving(&self) -> usize {
        self.list.targets().len()
    }

    /// What a request that comes now is told at once.
    fn ask(&mut self) -> Decision {
        let (now, id) = (self.clock.now(), self.asked);
        self.asked += 1;
        let left = Duration::from_secs(1);
        self.choice.on_request(
            now,
            id,
            Request {
                class: 0,
                tenant: None,
                key: None,
                time_left: left,
                estimated_work: None,
                is_retry: false,
            },
        );
        let answer = self.choice.route(now, id);
        self.choice.close_request(id);
        answer
    }
}

#[test]
fn a_list_of_the_size_to_come_is_taken_whole_and_found_by_name() {
    let (mut agent, begun) = (Agent::new(), Instant::now());
    assert_eq!(agent.told(1, true, &fleet()), None);
    assert_eq!(
        (agent.serving(), agent.list.len(), agent.list.version),
        (ENDPOINTS, ENDPOINTS, 1)
    );
    assert_eq!(
        agent.list.id(agent.list.index("s-00001e13").unwrap()),
        "s-00001e13"
    );
    assert!(matches!(agent.ask(), Decision::Forward { .. }));
    // Far above what it takes: against a walk of the whole list for each entry of it, which took
    // seconds.
    assert!(
        begun.elapsed() < Duration::from_secs(20),
        "{:?}",
        begun.elapsed()
    );
}

/// Guards the rule on drains: of two lines for one endpoint only one can be true.
#[test]
fn an_appliance_that_stands_twice_and_differently_rests_and_is_named_and_the_others_go_on() {
    let mut agent = Agent::new();
    agent.told(1, true, &fleet());
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
        // Before and after the line that it contradicts.
        servers.insert(if nth % 2 == 0 { 0 } else { ENDPOINTS }, other);
        let version = 2 + 2 * nth as u64;
        let what = agent.told(version, true, &servers).expect("it is named");
        assert!(
            what.contains("s-00000011") && what.contains("twice"),
            "{what}"
        );
        assert_eq!(agent.serving(), ENDPOINTS - 1);
        assert_eq!(
            agent.list.target(agent.list.index("s-00000011").unwrap()),
            None
        );
        assert_eq!(agent.list.version, version - 1, "it is asked for anew");
        assert_eq!(agent.told(version + 1, true, &fleet()), None);
        assert_eq!(agent.serving(), ENDPOINTS);
    }
}

#[test]
fn an_appliance_that_stands_twice_and_alike_is_one() {
    let mut agent = Agent::new();
    let mut servers = fleet();
    servers.extend(fleet().into_iter().take(500));
    assert_eq!(agent.told(1, true, &servers), None);
    assert_eq!((agent.serving(), agent.list.len()), (ENDPOINTS, ENDPOINTS));
}

#[test]
fn of_a_list_with_hundreds_of_unreadable_lines_the_rest_is_obeyed() {
    let mut agent = Agent::new();
    agent.told(1, true, &fleet());
    let mut servers = fleet();
    servers
        .iter_mut()
        .step_by(10)
        .for_each(|e| e["state"] = json!("asleep"));
    servers[1] = entry(1, "terminating");
    let what = agent.told(2, true, &servers).expect("it is named");
    assert!(what.contains("asleep"), "{what}");
    assert_eq!(agent.serving(), ENDPOINTS - ENDPOINTS / 10 - 1);
    assert_eq!(agent.list.version, 1);
    assert_eq!(agent.told(3, true, &fleet()), None);
    assert_eq!(agent.serving(), ENDPOINTS);
}

/// What a whole list lacks is gone, by the rules, also where it lacks all. Numbers and what was
/// learnt come back with them.
#[test]
fn after_a_list_without_appliances_nothing_is_sent_until_they_are_told_again() {
    let mut agent = Agent::new();
    agent.told(1, true, &fleet());
    let number = agent.list.index("s-00000100").unwrap();
    assert_eq!(agent.told(2, true, &[]), None);
    assert_eq!((agent.serving(), agent.list.has_running()), (0, false));
    for _ in 0..100 {
        assert!(!matches!(agent.ask(), Decision::Forward { .. }));
    }
    assert_eq!(agent.told(3, true, &fleet()[..ENDPOINTS / 2]), None);
    assert_eq!(agent.serving(), ENDPOINTS / 2);
    assert_eq!(agent.told(4, true, &fleet()), None);
    assert_eq!(
        (agent.serving(), agent.list.len()),
        (ENDPOINTS, ENDPOINTS),
        "nothing is kept twice"
    );
    assert_eq!(agent.list.index("s-00000100"), Some(number));
    assert!(matches!(agent.ask(), Decision::Forward { .. }));
}

/// Guards against lists that name others at each version: what is kept follows what runs.
#[test]
fn machines_replaced_by_the_thousand_leave_nothing_behind() {
    let mut agent = Agent::new();
    agent.told(1, true, &fleet());
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
        assert_eq!(agent.told(version, true, &servers), None);
        assert_eq!(agent.serving(), ENDPOINTS);
        assert!(
            agent.list.len() <= ENDPOINTS + 2 * (ENDPOINTS / 7 + 1),
            "{}",
            agent.list.len()
        );
        agent.told(version, false, &[]);
    }
    let standing = |n: usize| agent.list.target(n).is_some();
    assert_eq!(
        (0..agent.list.len()).filter(|n| standing(*n)).count(),
        ENDPOINTS
    );
    assert_eq!(
        EndpointState::default(),
        EndpointState::Gone,
        "a number without an appliance counts as gone"
    );
}
