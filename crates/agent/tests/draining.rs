//! Draining endpoints: nothing is sent to them once their drain counts as announced to the agent
//! and its grace is over. This is checked by what the fake endpoints received.

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
/// A change that a silent watch misses counts as announced to the agent this long after the watch
/// fell silent.
const MAX_ANNOUNCEMENT_DELAY: Duration = ms(6000);
/// Time after the announcement of a drain until nothing may be sent to its endpoint.
const GRACE: Duration = ms(250);
/// Nine in ten starts have to be ready within this time.
const MAX_START_TIME: Duration = ms(10_000);

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

/// Sends requests until this time. Returns when `s-0` last received one, `None` if it never did.
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

/// Silences the watch, announces the drain of an endpoint and applies these faults to the agent's
/// next connections. Checks that the endpoint receives nothing once its drain is binding.
fn assert_drain_obeyed_after_silence(next: &[ConnectionBehavior]) {
    let cluster = cluster(2);
    let agent = start(&cluster);
    // The first call has a shorter timeout: wait until it is over.
    last_sent(&cluster, &agent, Instant::now() + ms(1300));
    let silent_since = Instant::now();
    cluster.discovery.silence_watches(next.iter().cloned());
    announce_drain(&cluster, "s-0");
    let told = silent_since + MAX_ANNOUNCEMENT_DELAY + GRACE;
    let last = last_sent(&cluster, &agent, told + GRACE).unwrap();
    assert!(
        last < told,
        "sent {:?} after the silence began",
        last - silent_since
    );
    assert!(runtime::wait_until(|| agent
        .log()
        .contains("discovery: responding again")));
}

/// Guards against a silent watch that is closed only when the changes it missed count as announced.
/// Reopening it in time costs a call per second where calls are free.
#[test]
fn reopens_a_silent_watch_before_a_missed_drain_must_be_obeyed() {
    assert_drain_obeyed_after_silence(&[]);
}

#[test]
fn reopens_a_silent_watch_in_time_when_the_next_connections_are_late_refused_or_silent() {
    let answered_late = || ConnectionBehavior::AnsweredAfter(ms(1000));
    assert_drain_obeyed_after_silence(&[
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

/// Guards against a list that arrives between the decision on an attempt and its first byte: the
/// connections of the first attempt and of the hedged request open only after the list. Without
/// room for connections opened in advance, each attempt has to open its own.
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

/// Guards against a new process that sends by an outdated list, while the changes that discovery
/// holds count as announced from the start of the process. The guard delays the first requests while discovery is
/// unreachable, for the duration of a start.
#[test]
fn sends_nothing_from_a_known_list_before_discovery_was_called() {
    let cluster = cluster(2);
    let configuration = cluster.configuration("n1", 0).unwrap();
    announce_drain(&cluster, "s-0");
    // Applies to both of the first calls.
    cluster.discovery.silence_watches([
        ConnectionBehavior::AnsweredAfter(ms(120)),
        ConnectionBehavior::AnsweredAfter(ms(120)),
    ]);
    let agent = AgentProcess::start(BINARY, configuration.clone(), &[]).unwrap();
    // Clients that send requests before the agent reports that it is ready, as after a restart.
    let connect_and_query = |n: usize| {
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
    let early_clients: Vec<_> = (0..12).map(connect_and_query).collect();
    for mut client in early_clients {
        client.read_until_ready().unwrap();
        assert_eq!(client.read_reply().unwrap().code(), None);
    }
    assert_eq!(last_sent(&cluster, &agent, Instant::now() + ms(300)), None);
    // While discovery is unresponsive, an agent sends nothing by the list that it knows: it rejects
    // requests early, and serves again soon after discovery's return.
    cluster
        .discovery
        .set_behavior(DiscoveryBehavior::Unresponsive);
    let received_before = cluster.received_queries();
    let mut configuration = configuration;
    configuration["listen"] = agent_process::free_address().to_string().into();
    let begun = Instant::now();
    let agent = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    let mut client = connect_client(&agent);
    assert!(begun.elapsed() < MAX_START_TIME, "{:?}", begun.elapsed());
    let sent_at = Instant::now();
    client.send_query("view", 900);
    let reply = client.read_reply().unwrap();
    assert!(
        matches!(&reply, Reply::Rejected(code, Some(_)) if code == "53300"),
        "{reply:?}"
    );
    assert!(sent_at.elapsed() < ms(600), "{:?}", sent_at.elapsed());
    assert_eq!(
        received_before
            .values()
            .map(Vec::len)
            .collect::<Vec<usize>>(),
        cluster
            .received_queries()
            .values()
            .map(Vec::len)
            .collect::<Vec<usize>>()
    );
    let returned = Instant::now();
    cluster.discovery.set_behavior(DiscoveryBehavior::Normal);
    client.send_query("view", 900);
    assert_eq!(client.read_reply().unwrap().code(), None);
    assert!(returned.elapsed() < ms(500), "{:?}", returned.elapsed());
}

/// Guards the rule on drains when discovery's address changes: the changes known at the new address
/// count as announced 4 s later.
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
    assert!(
        last < moved + ms(4000),
        "sent {:?} after the address changed",
        last - moved
    );
}

/// Guards against a list that is refused as a whole because of one entry, and against requests for
/// it without a pause.
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
    let (malformed_since, call_count) = (Instant::now(), cluster.discovery.requests());
    cluster
        .discovery
        .set_behavior(DiscoveryBehavior::Sends(ScriptedServer::http_response(
            &text,
        )));
    let last = last_sent(&cluster, &agent, malformed_since + ms(2000)).unwrap();
    assert!(
        last < malformed_since + GRACE,
        "sent {:?} after the malformed list",
        last - malformed_since
    );
    let call_count = cluster.discovery.requests() - call_count;
    assert!((2..40).contains(&call_count), "{call_count} calls in 2 s");
    assert_eq!(
        agent.log().matches("; calling again").count(),
        1,
        "expected the error to be logged once"
    );
}

/// The endpoints that were announced to drain for good, each with the time from which nothing may
/// be sent to it.
type Drains = BTreeMap<String, Instant>;

/// Counts the attempts that endpoints received after their drain was binding.
fn late_attempts(cluster: &TestCluster, drains: &Drains) -> usize {
    let late_attempts = |(id, deadline): (&String, &Instant)| {
        cluster
            .endpoint(id)
            .unwrap()
            .received_queries()
            .iter()
            .filter(|s| s.at > *deadline)
            .count()
    };
    drains.iter().map(late_attempts).sum()
}

/// Runs an agent under random faults: silent watches, late and refused connections, restarts from
/// the outdated list, reloads and drains. `told` is the discovery that the agent calls. Returns the
/// number of late attempts.
fn run_random_faults(seed: u64, cluster: &TestCluster, told: &Discovery) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut configuration = cluster.configuration("n1", 0).unwrap();
    configuration["discovery"] = told.address(0).to_string().into();
    let mut agent = AgentProcess::start(BINARY, configuration.clone(), &[]).unwrap();
    let (mut drains, mut silent_since) = (Drains::new(), None::<Instant>);
    for step in 0..9 {
        let mut client = connect_client(&agent);
        let until = Instant::now() + ms(rng.gen_range(400..1600));
        while Instant::now() < until {
            client.send_query("view", 800);
            let _ = client.read_reply().unwrap();
        }
        match rng.gen_range(0..4) {
            0 | 1 => {
                let connection_faults = [
                    ConnectionBehavior::Closed,
                    ConnectionBehavior::Unanswered,
                    ConnectionBehavior::AnsweredAfter(ms(rng.gen_range(50..1000))),
                ];
                let next: Vec<_> = (0..rng.gen_range(0..4))
                    .map(|_| connection_faults[rng.gen_range(0..3)].clone())
                    .collect();
                told.silence_watches(next);
                silent_since = Some(Instant::now());
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
        // A silence may last as long as the rule allows; a change of the address, or a start, may
        // be in progress.
        let announced_by = silent_since
            .filter(|s| *s + MAX_ANNOUNCEMENT_DELAY > now)
            .map_or(now + ms(300), |s| s + MAX_ANNOUNCEMENT_DELAY);
        drains.insert(id, announced_by + GRACE);
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

/// Guards against a random-fault check that passes an agent which receives no drains at all.
#[test]
fn detects_an_agent_that_receives_no_drains() {
    let (cluster, outdated) = (cluster(12), Discovery::start(1).unwrap());
    outdated.update(cluster.discovery.entries());
    assert!(run_random_faults(1, &cluster, &outdated) > 0);
}

/// Guards the limits on lists: nothing in the handling of a list, a decision or a report may be
/// limited to some hundreds of endpoints, or use more than the least memory that an agent is given.
#[test]
fn lists_serves_and_drains_a_thousand_endpoints_with_long_names_within_its_memory() {
    let mut cluster = cluster(4);
    cluster.agents = 1024;
    let existing = cluster.discovery.entries();
    let long = "-with-a-name-as-long-as-some-platforms-give".repeat(4);
    let entries_in_state = |state: &str| -> Vec<Entry> {
        let entry = |n: usize| Entry {
            id: format!("m-{n}{long}"),
            state: state.into(),
            ..existing[n % 4].clone()
        };
        (0..1020).map(entry).collect()
    };
    cluster.discovery.update(entries_in_state("in_service"));
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
    cluster.discovery.update(entries_in_state("terminating"));
    ["s-0", "s-1", "s-2"]
        .into_iter()
        .for_each(|id| announce_drain(&cluster, id));
    sleep(GRACE);
    let received_before = cluster.endpoint("s-3").unwrap().received_count();
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
            cluster.endpoint("s-3").unwrap().received_count() - received_before
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

/// A watch that falls silent, a new discovery address by SIGHUP and a drain that both addresses
/// announce, 60 ms apart, in each order. By the rules the drain is binding only more than 3.75 s
/// after the last event; the agent is required to obey it sooner.
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
        let after_events = Instant::now();
        let last = last_sent(&cluster, &agent, after_events + ms(2500)).unwrap();
        assert!(
            last < after_events + ms(2000) + GRACE,
            "{order:?}: sent {:?} after the last event",
            last.duration_since(after_events)
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
