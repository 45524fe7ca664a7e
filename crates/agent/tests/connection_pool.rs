//! Idle connections: which is closed first, and how much is looked at for it.

use async_executor::LocalExecutor;
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tulipwall_agent::observability::counters::Counters;
use tulipwall_agent::protocol::connection::Connection;
use tulipwall_agent::runtime::reactor;
use tulipwall_agent::upstream::limits::ConnectionLimits;
use tulipwall_agent::upstream::pool::{ConnectionPool, PooledConnection};
use tulipwall_discovery::clock::Clock;

/// Endpoints of a large list.
const ENDPOINTS: usize = 7_700;
/// Within this time no connection expires.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A pool with a listener that its connections lead to.
struct PoolFixture {
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
            pool: ConnectionPool::new(IDLE_TIMEOUT, clock, counters.clone()),
            counters,
            limits: ConnectionLimits::new(1024),
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    /// An open connection that has been idle since a time after the clock's zero.
    async fn connection(&self, idle_since: Duration) -> PooledConnection {
        let address = self.listener.local_addr().unwrap();
        let connection = Connection::open(address).await.unwrap();
        let permit = self.limits.endpoint_permit().unwrap();
        PooledConnection::new(connection, permit, idle_since)
    }

    /// Endpoints of these that have a connection to take.
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

/// A reading of the clock, whose zero lies an hour before its start.
fn reading(millis: u64) -> Duration {
    Duration::from_secs(3600) + Duration::from_millis(millis)
}

#[test]
fn evicts_the_connection_that_has_been_idle_for_longest() {
    run(async {
        let fixture = PoolFixture::new();
        for (endpoint, since) in [(5, 30), (ENDPOINTS - 1, 10), (9, 20)] {
            let connection = fixture.connection(reading(since)).await;
            fixture.pool.put(endpoint, connection);
        }
        std::thread::sleep(Duration::from_millis(50));
        assert!(fixture.pool.evict_idle());
        assert!(fixture.pool.evict_idle());
        assert_eq!(fixture.taken(&[5, 9, ENDPOINTS - 1]), [5]);
        assert!(!fixture.pool.evict_idle(), "none is left");
    });
}

#[test]
fn evicts_by_the_first_connection_of_each_endpoint() {
    run(async {
        let fixture = PoolFixture::new();
        // Endpoint 1 has two; behind its first the second is the next oldest but for endpoint 2.
        for (endpoint, since) in [(1, 10), (1, 30), (2, 20)] {
            let connection = fixture.connection(reading(since)).await;
            fixture.pool.put(endpoint, connection);
        }
        std::thread::sleep(Duration::from_millis(50));
        assert!(fixture.pool.evict_idle());
        assert!(fixture.pool.evict_idle());
        assert_eq!(fixture.taken(&[1, 2]), [1]);
    });
}

#[test]
fn closes_what_the_other_side_closed_or_is_about_to() {
    run(async {
        let fixture = PoolFixture::new();
        let kept = fixture.connection(reading(0)).await;
        fixture.pool.put(1, kept);
        let expired = fixture.connection(Duration::ZERO).await;
        fixture.pool.put(2, expired);
        let closed = fixture.connection(reading(0)).await;
        fixture.pool.put(3, closed);
        let mut accepted: Vec<_> = (0..3).map(|_| fixture.listener.accept().unwrap()).collect();
        drop(accepted.pop());
        std::thread::sleep(Duration::from_millis(50));
        fixture.pool.close_stale();
        assert_eq!(fixture.counters.connections_found_closed.get(), 1);
        assert_eq!(fixture.taken(&[1, 2, 3]), [1]);
    });
}

/// Guards against work that goes by the length of the list where an agent holds few connections.
#[test]
fn looks_at_held_connections_and_not_at_the_list() {
    run(async {
        let fixture = PoolFixture::new();
        let held: Vec<usize> = (0..8).map(|n| ENDPOINTS - 1 - n * 900).collect();
        for endpoint in &held {
            let connection = fixture.connection(reading(0)).await;
            fixture.pool.put(*endpoint, connection);
        }
        let before = fixture.pool.endpoints_visited();
        fixture.pool.close_stale();
        let of_cleanup = fixture.pool.endpoints_visited() - before;
        assert_eq!(of_cleanup, held.len() as u64);
        assert!(fixture.pool.evict_idle());
        let of_eviction = fixture.pool.endpoints_visited() - before - of_cleanup;
        assert_eq!(of_eviction, 1);
    });
}
