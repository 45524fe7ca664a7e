//! The memory limit: the share of it that remains for buffers, and that every client is served
//! within it.

use std::net::TcpStream;
use std::time::{Duration, Instant};
use tulipwall_agent::agent::{ResourceLimits, MIN_BUFFERED_BYTES};
use tulipwall_agent::protocol::arrivals::ArrivalTracker;
use tulipwall_agent::protocol::buffer::{Buffer, MemoryReservation};
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");
const MIB: usize = 1024 * 1024;

fn cluster() -> TestCluster {
    let cluster = TestCluster::new(&["only"], agent_process::classes()).unwrap();
    cluster
        .add_endpoint(0, "s-0", 41, EndpointBehavior::default())
        .unwrap();
    cluster
}

fn start_agent(cluster: &TestCluster, memory_mb: usize) -> AgentProcess {
    let mut configuration = cluster.configuration("n1", 0).unwrap();
    configuration["limits"]["memory_mb"] = memory_mb.into();
    AgentProcess::start(BINARY, configuration, &[]).unwrap()
}

fn limits(memory_mb: usize, process_mb: usize) -> ResourceLimits {
    let limits = ResourceLimits::new(1024, memory_mb * MIB);
    limits.set_process_bytes(process_mb * MIB);
    limits
}

#[test]
fn leaves_a_quarter_for_buffers_where_the_process_is_small() {
    assert_eq!(limits(256, 20).max_buffered_bytes(), 64 * MIB);
    assert_eq!(limits(32, 8).max_buffered_bytes(), 8 * MIB);
}

#[test]
fn subtracts_the_process_and_each_client_from_the_memory_for_buffers() {
    let limits = limits(33, 18);
    assert_eq!(limits.max_buffered_bytes(), 5 * MIB);
    let clients: Vec<_> = (0..256)
        .map_while(|_| limits.connections.client_permit())
        .collect();
    assert_eq!(clients.len(), 256);
    assert_eq!(limits.max_buffered_bytes(), 4 * MIB);
    drop(clients);
    assert_eq!(limits.max_buffered_bytes(), 5 * MIB);
}

/// Guards against requests that fill all memory, so that no response to them can be read.
#[test]
fn leaves_memory_for_responses_beside_full_request_buffers() {
    for limits in [
        limits(256, 20),
        limits(32, 9),
        limits(24, 9),
        limits(16, 18),
    ] {
        let requests = MemoryReservation::new(limits.max_buffered_bytes());
        assert!(!limits.allows_request_bytes(1));
        assert!(limits.allows_response_bytes(MIN_BUFFERED_BYTES / 2));
        let responses = MemoryReservation::new(limits.max_response_bytes());
        assert!(!limits.allows_response_bytes(1));
        drop((requests, responses));
        assert!(limits.allows_request_bytes(1));
    }
}

/// Guards against messages of a few bytes for each of which more than their bytes is kept.
#[test]
fn keeps_a_bounded_number_of_arrival_times() {
    let begun = Instant::now();
    let mut arrivals = ArrivalTracker::default();
    let empty_query = pg::query("");
    let mut unread = Vec::new();
    for n in 0..1000 {
        unread.extend(&empty_query);
        arrivals.on_data(&unread, begun + Duration::from_millis(n));
    }
    assert_eq!(arrivals.complete_messages(), 1000);
    let times: Vec<_> = (0..1000)
        .map(|_| arrivals.on_consumed(empty_query.len()).unwrap())
        .collect();
    assert!(times.windows(2).all(|pair| pair[0] <= pair[1]));
    let distinct = times.windows(2).filter(|pair| pair[0] < pair[1]).count();
    assert!((32..100).contains(&distinct), "{distinct} arrival times");
    // No message counts as arriving later than it did.
    let late = times
        .iter()
        .zip(0..)
        .filter(|(at, n)| **at > begun + Duration::from_millis(*n));
    assert_eq!(late.count(), 0);
    assert_eq!(arrivals.on_consumed(1), None);
}

#[test]
fn buffers_a_little_under_a_limit_below_the_size_of_the_process() {
    let limits = limits(16, 18);
    assert_eq!(limits.max_buffered_bytes(), MIN_BUFFERED_BYTES);
    let error = limits.check_memory().unwrap_err().to_string();
    assert!(
        error.starts_with("field limits.memory_mb: 16 MB"),
        "{error}"
    );
    limits.resize(1024, 32 * MIB);
    assert_eq!(limits.check_memory(), Ok(()));
}

#[test]
fn serves_under_a_limit_below_the_size_of_the_process_and_logs_it_in_one_line() {
    let cluster = cluster();
    let mut agent = start_agent(&cluster, 2);
    let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
    client.send_query("view", 15_000);
    assert_eq!(client.read_reply().unwrap().code(), None);
    let log = agent.log();
    assert_eq!(log.matches("limits.memory_mb").count(), 1, "{log}");
    agent.terminate().unwrap();
    assert!(agent.wait_for_success().unwrap());
}

/// Guards against idle clients whose buffers exhaust the memory of all: each keeps 16 KiB after its
/// request, which together is three times the limit on buffered bytes.
#[test]
fn serves_others_while_many_clients_that_sent_long_requests_are_idle() {
    let cluster = cluster();
    let agent = start_agent(&cluster, 2);
    let padding = " ".repeat(12_000);
    let idle: Vec<TcpStream> = (0..200)
        .map(|_| {
            let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
            client.send_statement(&format!("{padding};"));
            client.read_until_ready().unwrap();
            client.stream
        })
        .collect();
    let mut client = TestClient::connect(agent.address().unwrap()).unwrap();
    client.send_query("view", 15_000);
    assert_eq!(client.read_reply().unwrap().code(), None);
    drop(idle);
}

/// Guards against growth in several steps: the smaller blocks would remain as freed memory that no
/// limit accounts for.
#[test]
fn grows_a_buffer_to_the_announced_length_in_one_step() {
    let read = |buffer: &mut Buffer| buffer.fill(|space| Ok::<_, ()>(space.len().min(4096)));
    let message_length = 100_000;
    let mut buffer = Buffer::default();
    read(&mut buffer).unwrap();
    buffer.reserve(message_length);
    let reserved = MemoryReservation::total();
    while buffer.len() < message_length {
        read(&mut buffer).unwrap();
        assert_eq!(MemoryReservation::total(), reserved);
    }
    assert!(reserved < message_length + 8192, "{reserved}");
}
