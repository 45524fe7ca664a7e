//! Memory and service while hundreds of clients press on one agent: clients that write slowly, stop
//! within a message, pipeline very many short messages, or use large requests, names and values.
//!
//! `AGENT` names another binary than the one of this build, such as a release build.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");
/// The lowest limits that the platform sets.
const MEMORY_MB: u64 = 32;
const DESCRIPTORS: usize = 1024;
/// Nearly as many clients as there are places for under these limits.
const CLIENTS: usize = 530;
/// How long the clients press on the agent.
const PRESSURE_TIME: Duration = Duration::from_secs(4);
/// The interval between two writes of a client.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
const KIB_PER_MIB: u64 = 1024;

/// What a crowd of clients does.
struct Crowd {
    clients: usize,
    /// How many bytes a client writes every [`WRITE_INTERVAL`].
    bytes_per_write: usize,
    /// Whether the clients read what the agent writes.
    reads: bool,
}

const SLOW_WRITERS: Crowd = Crowd {
    clients: CLIENTS,
    bytes_per_write: 4000,
    reads: true,
};
const FAST_WRITERS: Crowd = Crowd {
    clients: CLIENTS,
    bytes_per_write: 40_000,
    reads: true,
};

fn endpoint(work_ms: u64, value_bytes: usize) -> EndpointBehavior {
    EndpointBehavior {
        work: Duration::from_millis(work_ms),
        cores: 1000,
        value_bytes,
        ..EndpointBehavior::default()
    }
}

fn start_agent(cluster: &TestCluster) -> AgentProcess {
    let mut configuration = cluster.configuration("n1", 0).unwrap();
    configuration["limits"]["sockets"] = DESCRIPTORS.into();
    configuration["limits"]["memory_mb"] = MEMORY_MB.into();
    let binary = std::env::var("AGENT").unwrap_or_else(|_| BINARY.to_owned());
    AgentProcess::start(binary, configuration, &[]).unwrap()
}

/// Lets a crowd press on an agent and checks that the agent stays within its memory limit, and that
/// it serves another client afterwards. Returns the agent's log. `bytes_of` returns what a client of the crowd writes.
fn assert_memory_limit_kept(
    behavior: EndpointBehavior,
    crowd: &Crowd,
    bytes_of: impl Fn(usize) -> Vec<u8>,
) -> String {
    let cluster = TestCluster::new(&["a"], agent_process::classes()).unwrap();
    for n in 0..6 {
        cluster
            .add_endpoint(0, &format!("s-{n}"), 41, behavior.clone())
            .unwrap();
    }
    let mut agent = start_agent(&cluster);
    drop(TestClient::connect(agent.address().unwrap()).unwrap());
    let before = agent.memory_kib("VmRSS").unwrap();
    press(&agent, crowd, bytes_of);
    let peak = agent.memory_kib("VmHWM").unwrap();
    println!("{before} KiB at first, {peak} KiB at the peak");
    assert!(agent.is_running().unwrap());
    assert!(
        peak < MEMORY_MB * KIB_PER_MIB,
        "{before} KiB at first, {peak} KiB at the peak"
    );
    let mut other = TestClient::connect(agent.address().unwrap()).unwrap();
    assert!(runtime::wait_until(|| {
        other.send_query("view", 5000);
        other.read_reply().unwrap().code().is_none()
    }));
    agent.terminate().unwrap();
    assert!(agent.wait_for_success().unwrap());
    agent.log()
}

/// Connects a crowd at once and lets it write. Clients that the agent has closed come back.
fn press(agent: &AgentProcess, crowd: &Crowd, bytes_of: impl Fn(usize) -> Vec<u8>) {
    let contents: Vec<Arc<[u8]>> = (0..crowd.clients).map(|n| bytes_of(n).into()).collect();
    let address = agent.address().unwrap();
    let connect = |n: usize| {
        let mut client = RawClient::connect(address, contents[n].clone()).unwrap();
        client.write(crowd.bytes_per_write);
        client
    };
    let mut clients: Vec<_> = (0..crowd.clients).map(connect).collect();
    let begun = Instant::now();
    while begun.elapsed() < PRESSURE_TIME {
        for (n, client) in clients.iter_mut().enumerate() {
            client.write(crowd.bytes_per_write);
            if crowd.reads {
                client.discard_received();
            }
            if client.is_closed() {
                *client = connect(n);
            }
        }
        sleep(WRITE_INTERVAL);
    }
}

fn view(object: &str, id: &str, class: &str, attributes: &str) -> Vec<u8> {
    pg::query(&format!(
        "SELECT body FROM objects WHERE oid = '{object}' /* id={id},c={class},d=1400{attributes} */"
    ))
}

/// Returns the bytes of a client that sends `count` requests.
fn requests(count: usize, request: impl Fn(usize) -> Vec<u8>) -> Vec<u8> {
    let mut bytes = pg::startup();
    (0..count).for_each(|n| bytes.extend(request(n)));
    bytes
}

#[test]
fn keeps_its_memory_limit_with_long_startup_messages_that_arrive_slowly() {
    let mut startup = b"\0\0\x23\x28\0\x03\0\0".to_vec();
    while startup.len() < 8900 {
        startup.extend(b"a\0b\0");
    }
    let slowest = Crowd {
        bytes_per_write: 700,
        ..SLOW_WRITERS
    };
    assert_memory_limit_kept(endpoint(5, 2), &slowest, |_| startup.clone());
}

#[test]
fn keeps_its_memory_limit_with_large_requests_that_stop_half_way() {
    let half = [
        &pg::startup()[..],
        b"Q\x00\x02\x00\x00",
        &vec![b' '; 100_000],
    ]
    .concat();
    assert_memory_limit_kept(endpoint(5, 2), &SLOW_WRITERS, |_| half.clone());
    let more_than_places = Crowd {
        clients: 700,
        ..FAST_WRITERS
    };
    assert_memory_limit_kept(endpoint(5, 2), &more_than_places, |_| half.clone());
}

#[test]
fn keeps_its_memory_limit_with_very_many_short_messages_behind_a_request() {
    assert_memory_limit_kept(endpoint(1000, 2), &SLOW_WRITERS, |client| {
        let mut bytes = requests(1, |_| view("a", &format!("c{client}"), "payment", ""));
        bytes.extend(pg::query("").repeat(15_000));
        bytes
    });
}

#[test]
fn keeps_its_memory_limit_with_statements_of_very_many_short_attributes() {
    let attributes = ",a=b".repeat(30_000);
    assert_memory_limit_kept(endpoint(300, 2), &FAST_WRITERS, |client| {
        requests(3, |n| {
            view("a", &format!("{client}-{n}"), "view", &attributes)
        })
    });
}

#[test]
fn keeps_its_memory_limit_with_large_requests() {
    let value = "9f".repeat(60_000);
    let log = assert_memory_limit_kept(endpoint(800, 2), &FAST_WRITERS, |client| {
        requests(3, |n| {
            pg::query(&format!(
                "INSERT INTO objects (oid, body) VALUES ('a', '\\x{value}') RETURNING body /* id={client}-{n},c=payment,d=1400 */"
            ))
        })
    });
    // Who looks at the log of a process that was killed sees that its memory was short.
    assert!(log.contains("memory is short"), "{log}");
}

#[test]
fn keeps_its_memory_limit_with_long_names() {
    let name = "n".repeat(100_000);
    assert_memory_limit_kept(endpoint(300, 2), &FAST_WRITERS, |client| {
        requests(3, |n| view("a", &format!("{name}{client}-{n}"), "view", ""))
    });
    assert_memory_limit_kept(endpoint(300, 2), &FAST_WRITERS, |client| {
        requests(3, |n| view(&name, &format!("{client}-{n}"), "view", ""))
    });
    assert_memory_limit_kept(endpoint(300, 2), &FAST_WRITERS, |client| {
        requests(3, |n| view("a", &format!("{client}-{n}"), &name, ""))
    });
}

#[test]
fn keeps_its_memory_limit_with_large_values() {
    assert_memory_limit_kept(endpoint(100, 65_000), &SLOW_WRITERS, |client| {
        requests(8, |n| view("a", &format!("{client}-{n}"), "view", ""))
    });
}

#[test]
fn keeps_its_memory_limit_with_large_values_that_nobody_reads() {
    let deaf = Crowd {
        reads: false,
        ..SLOW_WRITERS
    };
    assert_memory_limit_kept(endpoint(100, 65_000), &deaf, |client| {
        requests(30, |n| view("a", &format!("{client}-{n}"), "view", ""))
    });
}
