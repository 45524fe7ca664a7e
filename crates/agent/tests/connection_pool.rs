//! Idle connections: which of them is closed first, and how many endpoints are visited to find it.

use async_executor::LocalExecutor;
use std::future::Future;
use std::io::Write;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tulipwall_agent::observability::counters::Counters;
use tulipwall_agent::protocol::connection::Connection;
use tulipwall_agent::protocol::postgres::{MessageReader, ResponseReader};
use tulipwall_agent::runtime::reactor;
use tulipwall_agent::upstream::active_connection::ReuseError;
use tulipwall_agent::upstream::limits::ConnectionLimits;
use tulipwall_agent::upstream::pool::{ConnectionPool, PooledConnection};
use tulipwall_discovery::clock::Clock;

/// Number of endpoints in a large list.
const ENDPOINTS: usize = 7_700;
/// Long enough for no connection to expire during a test.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection pool, and a listener that accepts its connections.
struct PoolFixture {
    clock: Rc<Clock>,
    pool: ConnectionPool,
    counters: Rc<Counters>,
    limits: ConnectionLimits,
    listener: TcpListener,
}

impl PoolFixture {
    fn new() -> PoolFixture {
        let clock = Rc::new(Clock::start());
        let counters = Rc::new(Counters::default());
        PoolFixture {
            pool: ConnectionPool::new(IDLE_TIMEOUT, clock.clone(), counters.clone()),
            clock,
            counters,
            limits: ConnectionLimits::new(1024),
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    /// Opens a connection that has been idle since this time, counted from the clock's zero.
    async fn connection(&self, idle_since: Duration) -> PooledConnection {
        let address = self.listener.local_addr().unwrap();
        let connection = Connection::open(address).await.unwrap();
        let permit = self.limits.endpoint_permit().unwrap();
        PooledConnection::new(connection, permit, idle_since)
    }

    /// Takes a connection of each of these endpoints. Returns the endpoints that had one.
    fn taken(&self, endpoints: &[usize]) -> Vec<usize> {
        let endpoints = endpoints.iter().copied();
        endpoints
            .filter(|endpoint| self.pool.take(*endpoint).is_some())
            .collect()
    }
}

fn run<T>(main: impl Future<Output = T>) -> T {
    reactor::run(&LocalExecutor::new(), &LocalExecutor::new(), main).unwrap()
}

/// The clock time this many milliseconds after the clock's start, which lies an hour after its
/// zero.
fn time_since_start(millis: u64) -> Duration {
    Duration::from_secs(3600) + Duration::from_millis(millis)
}

#[test]
fn evicts_the_connection_that_has_been_idle_for_longest() {
    run(async {
        let fixture = PoolFixture::new();
        for (endpoint, since) in [(5, 30), (ENDPOINTS - 1, 10), (9, 20)] {
            let connection = fixture.connection(time_since_start(since)).await;
            fixture.pool.put(endpoint, connection);
        }
        std::thread::sleep(Duration::from_millis(50));
        assert!(fixture.pool.evict_idle());
        assert!(fixture.pool.evict_idle());
        assert_eq!(fixture.taken(&[5, 9, ENDPOINTS - 1]), [5]);
        assert!(!fixture.pool.evict_idle(), "no connection is left");
    });
}

#[test]
fn evicts_by_the_longest_idle_connection_of_each_endpoint() {
    run(async {
        let fixture = PoolFixture::new();
        // Endpoint 1 has two connections. Once the first is evicted, the connection of endpoint 2
        // has been idle for longer than the other.
        for (endpoint, since) in [(1, 10), (1, 30), (2, 20)] {
            let connection = fixture.connection(time_since_start(since)).await;
            fixture.pool.put(endpoint, connection);
        }
        std::thread::sleep(Duration::from_millis(50));
        assert!(fixture.pool.evict_idle());
        assert!(fixture.pool.evict_idle());
        assert_eq!(fixture.taken(&[1, 2]), [1]);
    });
}

#[test]
fn closes_connections_that_the_peer_closed_or_is_about_to_close() {
    run(async {
        let fixture = PoolFixture::new();
        let kept = fixture.connection(time_since_start(0)).await;
        fixture.pool.put(1, kept);
        let expired = fixture.connection(Duration::ZERO).await;
        fixture.pool.put(2, expired);
        let closed = fixture.connection(time_since_start(0)).await;
        fixture.pool.put(3, closed);
        let mut accepted: Vec<_> = (0..3).map(|_| fixture.listener.accept().unwrap()).collect();
        drop(accepted.pop());
        std::thread::sleep(Duration::from_millis(50));
        fixture.pool.close_stale();
        assert_eq!(fixture.counters.connections_found_closed.get(), 1);
        assert_eq!(fixture.taken(&[1, 2, 3]), [1]);
    });
}

/// Guards against work that grows with the length of the endpoint list while an agent holds few
/// connections.
#[test]
fn visits_endpoints_with_connections_and_not_the_whole_list() {
    run(async {
        let fixture = PoolFixture::new();
        let held: Vec<usize> = (0..8).map(|n| ENDPOINTS - 1 - n * 900).collect();
        for endpoint in &held {
            let connection = fixture.connection(time_since_start(0)).await;
            fixture.pool.put(*endpoint, connection);
        }
        let before = fixture.pool.endpoints_visited();
        fixture.pool.close_stale();
        let visited_by_cleanup = fixture.pool.endpoints_visited() - before;
        assert_eq!(visited_by_cleanup, held.len() as u64);
        assert!(fixture.pool.evict_idle());
        let visited_by_eviction = fixture.pool.endpoints_visited() - before - visited_by_cleanup;
        assert_eq!(visited_by_eviction, 1);
    });
}

/// Guards against a connection that serves another request while a response is still owed on it.
#[test]
fn ends_no_exchange_before_its_response_is_complete() {
    run(async {
        let fixture = PoolFixture::new();
        let pooled = fixture.connection(time_since_start(0)).await;
        let active = pooled.begin_exchange(time_since_start(1));
        let nothing_received = ResponseReader::default();
        let ended = active.end_exchange(&nothing_received, time_since_start(2));
        assert_eq!(ended.err(), Some(ReuseError::IncompleteResponse));
    });
}

/// Reads a whole response.
fn complete_response() -> ResponseReader {
    let column = [&[0, 1][..], b"body\0", &[0; 18]].concat();
    let mut response = ResponseReader::default();
    let messages: [(u8, &[u8]); 4] = [
        (b'T', &column),
        (b'D', b"\0\x01\0\0\0\x01x"),
        (b'C', b"SELECT 1\0"),
        (b'Z', b"I"),
    ];
    for (tag, body) in messages {
        response.on_message(tag, body, &[]).unwrap();
    }
    response
}

/// Guards against a second response, some milliseconds late, that is taken for the response to the
/// next request on the connection.
#[test]
fn lets_a_connection_rest_after_a_response_and_longer_if_its_endpoint_is_suspect() {
    run(async {
        let fixture = PoolFixture::new();
        for endpoint in [1, 2] {
            let pooled = fixture.connection(fixture.clock.now()).await;
            let active = pooled.begin_exchange(fixture.clock.now());
            let ended = active.end_exchange(&complete_response(), fixture.clock.now());
            fixture
                .pool
                .put(endpoint, ended.unwrap_or_else(|e| panic!("{e}")));
        }
        fixture.pool.suspect(2);
        assert!(fixture.taken(&[1, 2]).is_empty());
        std::thread::sleep(Duration::from_millis(120));
        assert_eq!(fixture.taken(&[1, 2]), [1]);
        std::thread::sleep(Duration::from_millis(900));
        assert_eq!(fixture.taken(&[1, 2]), [2]);
    });
}

/// A new endpoint may take over the index of one that is gone, and none of its faults.
#[test]
fn counts_unsolicited_data_and_forgets_it_with_the_endpoint() {
    run(async {
        let fixture = PoolFixture::new();
        let pooled = fixture.connection(fixture.clock.now()).await;
        fixture.pool.put(1, pooled);
        let (mut peer, _) = fixture.listener.accept().unwrap();
        peer.write_all(b"Z").unwrap();
        std::thread::sleep(Duration::from_millis(20));
        assert!(fixture.taken(&[1]).is_empty());
        assert_eq!(fixture.counters.responses_unsolicited.get(), 1);
        assert_eq!(fixture.counters.connections_found_closed.get(), 0);
        fixture.pool.close_all_to(1);
        let pooled = fixture.connection(fixture.clock.now()).await;
        let active = pooled.begin_exchange(fixture.clock.now());
        let ended = active.end_exchange(&complete_response(), fixture.clock.now());
        fixture.pool.put(1, ended.unwrap_or_else(|e| panic!("{e}")));
        std::thread::sleep(Duration::from_millis(120));
        assert_eq!(fixture.taken(&[1]), [1]);
    });
}
