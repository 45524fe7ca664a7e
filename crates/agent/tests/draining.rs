//! Endpoints that leave: nothing goes to them after the announcement counts as told and its grace
//! is over, judged by what the fake endpoints received.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::Write;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::endpoint::Link;
use tulipwall_testkit::runtime::TEST_TIMEOUT;
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");
/// What a silent watch misses counts as told so long after it fell silent; then there is the grace.
const TOLD_AFTER: Duration = ms(6000);
const GRACE: Duration = ms(250);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn cluster(endpoints: usize) -> TestCluster {
    let cluster = TestCluster::new(&["a"], agent_process::classes()).unwrap();
    for n in 0..endpoints {
        cluster
            .add_endpoint(0, &format!("s-{n}"), 41, EndpointBehavior::default())
            .unwrap();
    }
    cluster
}

fn start(cluster: &TestCluster) -> AgentProcess {
    AgentProcess::start(BINARY, cluster.configuration("n1", 0).unwrap(), &[]).unwrap()
}

fn connect_client(agent: &AgentProcess) -> TestClient {
    TestClient::connect(agent.address().unwrap()).unwrap()
}

fn announce_drain(cluster: &TestCluster, id: &str) {
    cluster
        .discovery
        .update_entry(id, |e| e.state = "terminating".into());
}

/// Asks until `until`, and says when `s-0` was last sent anything.
fn last_sent(cluster: &TestCluster, agent: &AgentProcess, until: Instant) -> Option<Instant> {
    let mut client = connect_client(agent);
    while Instant::now() < until {
        client.send_query("view", 1000);
        assert_eq!(client.read_reply().unwrap().code(), None);
        sleep(ms(5));
    }
    cluster
        .endpoint("s-0")
        .unwrap()
        .received_queries()
        .last()
        .map(|s| s.at)
}

/// The watch falls silent, its next connections are met like this, and one endpoint is to leave.
fn silence(next: &[ConnectionBehavior]) {
    let cluster = cluster(2);
    let agent = start(&cluster);
    // Past its first call, which waits for less.
    last_sent(&cluster, &agent, Instant::now() + ms(1300));
    let silent = Instant::now();
    cluster.discovery.silence_watches(next.iter().cloned());
    announce_drain(&cluster, "s-0");
    let told = silent + TOLD_AFTER + GRACE;
    let last = last_sent(&cluster, &agent, told + GRACE).unwrap();
    assert!(
        last < told,
        "sent {:?} after the silence began",
        last - silent
    );
    assert!(runtime::wait_until(|| agent
        .log()
        .contains("discovery: responding again")));
}

/// Guards against a watch that is given up only when what it missed counts as told. Costs a call a
/// second where they are free.
#[test]
fn reopens_a_silent_watch_before_a_missed_drain_must_be_obeyed() {
    silence(&[]);
}

#[test]
fn reopens_a_silent_watch_in_time_when_the_next_connections_are_late_refused_or_silent() {
    let answered_late = || ConnectionBehavior::AnsweredAfter(ms(1000));
    silence(&[
        answered_late(),
        ConnectionBehavior::Closed,
        ConnectionBehavior::Unanswered,
        answered_late(),
        answered_late(),
        ConnectionBehavior::Closed,
        ConnectionBehavior::Unanswered,
        answered_late(),
    ]);
}

/// Guards against lists that come between a decision and the first byte: the connection of either
/// attempt, the hedged request too, comes up after them. Without room for connections kept ahead,
/// each has to be opened.
#[test]
fn reroutes_attempts_whose_connection_opens_after_their_endpoint_began_to_drain() {
    let cluster = cluster(2);
    for id in ["s-0", "s-1"] {
        cluster.endpoint(id).unwrap().set_link(
            0,
            Link {
                reply_delay: ms(300),
                ..Link::default()
            },
        );
    }
    let mut configuration = cluster.configuration("n1", 0).unwrap();
    configuration["limits"]["sockets"] = 26.into();
    configuration["settings"]["limits"]["dial-timeout-ms"] = 2000.into();
    let agent = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    let mut client = connect_client(&agent);
    client.send_query("view", 1400);
    sleep(ms(120));
    cluster
        .add_endpoint(0, "s-2", 41, EndpointBehavior::default())
        .unwrap();
    announce_drain(&cluster, "s-0");
    announce_drain(&cluster, "s-1");
    assert_eq!(client.read_reply().unwrap().code(), None);
    let seen = |id: &str| cluster.endpoint(id).unwrap().received_count();
    assert_eq!((seen("s-0"), seen("s-1"), seen("s-2")), (0, 0, 1));
}

/// Guards a new process that was given an old list, while what discovery holds counts as told from
/// its first moment. Delays the first requests while discovery is away, for the time of a start.
#[test]
fn sends_nothing_from_a_known_list_before_discovery_was_called() {
    let cluster = cluster(2);
    let configuration = cluster.configuration("n1", 0).unwrap();
    announce_drain(&cluster, "s-0");
    // Both of its first tries.
    cluster.discovery.silence_watches([
        ConnectionBehavior::AnsweredAfter(ms(120)),
        ConnectionBehavior::AnsweredAfter(ms(120)),
    ]);
    let agent = AgentProcess::start(BINARY, configuration.clone(), &[]).unwrap();
    // Clients that do not wait until they are told that the agent serves, as after a restart.
    let ask = |n: usize| {
        let query =
            format!("SELECT body FROM objects WHERE oid = 'a{n}' /* id={n},c=view,d=900 */");
        let mut stream = loop {
            if let Ok(stream) = std::net::TcpStream::connect(agent.address().unwrap()) {
                break stream;
            }
        };
        stream
            .write_all(&[pg::startup(), pg::query(&query)].concat())
            .unwrap();
        TestClient { stream }
    };
    let eager: Vec<_> = (0..12).map(ask).collect();
    for mut client in eager {
        client.read_until_ready().unwrap();
        assert_eq!(client.read_reply().unwrap().code(), None);
    }
    assert_eq!(last_sent(&cluster, &agent, Instant::now() + ms(300)), None);
    // Discovery that is away keeps nobody from serving by that list.
    cluster
        .discovery
        .set_behavior(DiscoveryBehavior::Unresponsive);
    let mut configuration = configuration;
    configuration["listen"] = agent_process::free_address().to_string().into();
    let begun = Instant::now();
    let agent = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    let mut client = connect_client(&agent);
    client.send_query("view", 900);
    assert!(client.read_reply().unwrap().code().is_none() && begun.elapsed() < TEST_TIMEOUT);
}

/// Guards the rule where the address moves: what the new one holds counts as told 4 s later.
#[test]
fn receives_the_list_of_a_slow_new_address_before_it_must_be_obeyed() {
    let (cluster, next) = (cluster(2), Discovery::start(1).unwrap());
    next.update(cluster.discovery.entries());
    next.update_entry("s-0", |e| e.state = "terminating".into());
    next.silence_watches([
        ConnectionBehavior::Closed,
        ConnectionBehavior::Unanswered,
        ConnectionBehavior::AnsweredAfter(ms(1000)),
        ConnectionBehavior::AnsweredAfter(ms(1000)),
    ]);
    let agent = start(&cluster);
    last_sent(&cluster, &agent, Instant::now() + ms(300));
    let mut configuration = agent.configuration.clone();
    configuration["discovery"] = next.address(0).to_string().into();
    let moved = Instant::now();
    agent.reload(&configuration.to_string()).unwrap();
    let last = last_sent(&cluster, &agent, moved + ms(4000) + GRACE).unwrap();
    assert!(last < moved + ms(4000), "sent {:?} after it", last - moved);
}

/// Guards against a list that is refused whole for one entry, and against asking for it over and
/// over.
#[test]
fn obeys_a_drain_listed_beside_an_unreadable_entry_and_retries_at_intervals() {
    let cluster = cluster(3);
    let agent = start(&cluster);
    last_sent(&cluster, &agent, Instant::now() + ms(200));
    let mut list = cluster.discovery.full_list(0);
    let entries = list["servers"].as_array_mut().unwrap();
    entries[0]["state"] = "terminating".into();
    entries[1]["cell"] = Value::Null;
    entries.push(json!({"id": 7}));
    list["version"] = 99.into();
    let text = serde_json::to_string_pretty(&list).unwrap();
    let (malformed_since, asked) = (Instant::now(), cluster.discovery.requests());
    cluster
        .discovery
        .set_behavior(DiscoveryBehavior::Sends(ScriptedServer::http_response(
            &text,
        )));
    let last = last_sent(&cluster, &agent, malformed_since + ms(2000)).unwrap();
    assert!(
        last < malformed_since + GRACE,
        "sent {:?} after it",
        last - malformed_since
    );
    let asked = cluster.discovery.requests() - asked;
    assert!((2..40).contains(&asked), "asked {asked} times in 2 s");
    assert_eq!(
        agent.log().matches("; calling again").count(),
        1,
        "named once"
    );
}

/// When something was announced to leave for good, and when that binds.
type Drains = BTreeMap<String, Instant>;

/// Attempts to endpoints after their announcement bound.
fn late_attempts(cluster: &TestCluster, drains: &Drains) -> usize {
    let late_attempts = |(id, bound): (&String, &Instant)| {
        cluster
            .endpoint(id)
            .unwrap()
            .received_queries()
            .iter()
            .filter(|s| s.at > *bound)
            .count()
    };
    drains.iter().map(late_attempts).sum()
}

/// Silences, late and refused connections, spoilt lists, restarts from the old list, new
/// configurations and drains by chance; `told` is what the agent hears.
fn run_random_faults(seed: u64, cluster: &TestCluster, told: &Discovery) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut configuration = cluster.configuration("n1", 0).unwrap();
    configuration["discovery"] = told.address(0).to_string().into();
    let mut agent = AgentProcess::start(BINARY, configuration.clone(), &[]).unwrap();
    let (mut drains, mut silent) = (Drains::new(), None::<Instant>);
    for step in 0..9 {
        let mut client = connect_client(&agent);
        let until = Instant::now() + ms(rng.gen_range(400..1600));
        while Instant::now() < until {
            client.send_query("view", 800);
            let _ = client.read_reply().unwrap();
        }
        match rng.gen_range(0..4) {
            0 | 1 => {
                let meets = [
                    ConnectionBehavior::Closed,
                    ConnectionBehavior::Unanswered,
                    ConnectionBehavior::AnsweredAfter(ms(rng.gen_range(50..1000))),
                ];
                let next: Vec<_> = (0..rng.gen_range(0..4))
                    .map(|_| meets[rng.gen_range(0..3)].clone())
                    .collect();
                told.silence_watches(next);
                silent = Some(Instant::now());
            }
            2 => agent.reload(&configuration.to_string()).unwrap(),
            _ => {
                drop(client);
                drop(agent);
                told.silence_watches([]);
                agent = AgentProcess::start(BINARY, configuration.clone(), &[]).unwrap();
                connect_client(&agent);
            }
        }
        let id = format!("s-{step}");
        let now = Instant::now();
        announce_drain(cluster, &id);
        // A silence may last as long as the rule allows; a new address, and a start, may be under
        // way.
        let under_way = silent
            .filter(|s| *s + TOLD_AFTER > now)
            .map_or(now + ms(300), |s| s + TOLD_AFTER);
        drains.insert(id, under_way + GRACE);
    }
    let mut client = connect_client(&agent);
    let end = *drains.values().max().unwrap() + ms(300);
    while Instant::now() < end {
        client.send_query("view", 800);
        let _ = client.read_reply().unwrap();
    }
    late_attempts(cluster, &drains)
}

#[test]
fn sends_nothing_to_drained_endpoints_under_random_watch_faults() {
    let all: Vec<_> = (1..5)
        .map(|seed| {
            std::thread::spawn(move || {
                let cluster = cluster(12);
                (seed, run_random_faults(seed, &cluster, &cluster.discovery))
            })
        })
        .collect();
    for run in all {
        let (seed, late_attempts) = run.join().unwrap();
        assert_eq!(late_attempts, 0, "seed {seed}");
    }
}

/// The judge of these days finds an agent that is never told.
#[test]
fn detects_an_agent_that_receives_no_drains() {
    let (cluster, outdated) = (cluster(12), Discovery::start(1).unwrap());
    outdated.update(cluster.discovery.entries());
    assert!(run_random_faults(1, &cluster, &outdated) > 0);
}

/// Guards the bounds on lists: nothing on the way of a list, a decision or a report may end at some
/// hundreds, nor hold more than the least memory an agent is given.
#[test]
fn lists_serves_and_drains_a_thousand_endpoints_with_long_names_within_its_memory() {
    let mut cluster = cluster(4);
    cluster.agents = 1024;
    let there = cluster.discovery.entries();
    let long = "-with-a-name-as-long-as-some-platforms-give".repeat(4);
    let many = |state: &str| -> Vec<Entry> {
        let entry = |n: usize| Entry {
            id: format!("m-{n}{long}"),
            state: state.into(),
            ..there[n % 4].clone()
        };
        (0..1020).map(entry).collect()
    };
    cluster.discovery.update(many("in_service"));
    let begun = Instant::now();
    let agent = start(&cluster);
    let mut client = connect_client(&agent);
    assert!(begun.elapsed() < TEST_TIMEOUT);
    for _ in 0..300 {
        client.send_query("view", 1000);
        assert_eq!(client.read_reply().unwrap().code(), None);
    }
    let (told, seen) = (
        Instant::now(),
        cluster
            .received_queries()
            .values()
            .map(Vec::len)
            .sum::<usize>(),
    );
    cluster.discovery.update(many("terminating"));
    ["s-0", "s-1", "s-2"]
        .into_iter()
        .for_each(|id| announce_drain(&cluster, id));
    sleep(GRACE);
    let only = cluster.endpoint("s-3").unwrap().received_count();
    for _ in 0..100 {
        client.send_query("view", 1000);
        assert_eq!(client.read_reply().unwrap().code(), None);
    }
    let all = cluster
        .received_queries()
        .values()
        .map(Vec::len)
        .sum::<usize>();
    assert_eq!(
        (
            all - seen,
            cluster.endpoint("s-3").unwrap().received_count() - only
        ),
        (100, 100),
        "after {:?}",
        told.elapsed()
    );
    let status = std::fs::read_to_string(format!("/proc/{}/status", agent.id())).unwrap();
    let peak = status.lines().find_map(|l| {
        l.strip_prefix("VmHWM:")?
            .trim()
            .strip_suffix(" kB")?
            .parse::<u64>()
            .ok()
    });
    assert!(peak.unwrap() < 40 * 1024, "{peak:?} kB at most");
}

/// A watch that falls silent, a new address by SIGHUP and a drain that both addresses tell, 60 ms
/// apart in each order. Each bound of the page is over 3.75 s after the last of them; the agent is
/// asked for less.
#[test]
fn obeys_a_drain_that_crosses_a_silent_watch_and_a_new_address_in_any_order() {
    let order = |order: [u8; 3]| {
        let (cluster, next) = (cluster(2), Discovery::start(1).unwrap());
        next.update(cluster.discovery.entries());
        let agent = start(&cluster);
        last_sent(&cluster, &agent, Instant::now() + ms(1300));
        let mut configuration = agent.configuration.clone();
        configuration["discovery"] = next.address(0).to_string().into();
        for event in order {
            match event {
                0 => cluster.discovery.silence_watches([
                    ConnectionBehavior::Unanswered,
                    ConnectionBehavior::AnsweredAfter(ms(300)),
                ]),
                1 => agent.reload(&configuration.to_string()).unwrap(),
                _ => {
                    announce_drain(&cluster, "s-0");
                    next.update_entry("s-0", |e| e.state = "terminating".into());
                }
            }
            sleep(ms(60));
        }
        let crossed = Instant::now();
        let last = last_sent(&cluster, &agent, crossed + ms(2500)).unwrap();
        assert!(
            last < crossed + ms(2000) + GRACE,
            "{order:?}: sent {:?} after",
            last.duration_since(crossed)
        );
    };
    let orders = [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ];
    let all: Vec<_> = orders
        .into_iter()
        .map(|o| std::thread::spawn(move || order(o)))
        .collect();
    all.into_iter().for_each(|one| one.join().unwrap());
}
