//! Measures the latency overhead of a call and the memory of an idle client.

use crate::naive::read_response;
use crate::CALL_TIMEOUT;
use async_io::Async;
use futures_lite::future::block_on;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use tulipwall_client::{Call, Client};
use tulipwall_testkit::{client_config, pg, Endpoint, EndpointBehavior};

const CALLS: usize = 12_000;
const IDLE_CLIENTS: usize = 10_000;
/// A statement of the same size as that of a call.
const STATEMENT: &str =
    "SELECT body FROM objects WHERE oid = 'o1' /* id=1234567890123456-1,c=view,d=1500 */";

/// Prints the latency of a call next to that of the same bytes on a bare socket, against a fake
/// agent that responds immediately. The two are measured alternately.
pub fn print_call_overhead() {
    let endpoint = Endpoint::start(1, EndpointBehavior::default(), 1).expect("loopback");
    let client = Client::new(client_config(vec![endpoint.address(0)]));
    let mut bare = block_on(connect(endpoint.address(0))).expect("loopback");
    let query = pg::query(STATEMENT);
    let mut call_times = Vec::with_capacity(CALLS);
    let mut bare_times = Vec::with_capacity(CALLS);
    for n in 0..CALLS {
        let started = Instant::now();
        let response = block_on(client.call(Call::read("view", "o1", CALL_TIMEOUT)));
        call_times.push(started.elapsed());
        let started = Instant::now();
        let bare_response = block_on(exchange_bytes(&mut bare, &query));
        bare_times.push(started.elapsed());
        assert!(response.is_ok() && bare_response.is_ok(), "call {n}");
    }
    call_times.sort();
    bare_times.sort();
    println!(
        "\nA call: p50 {:.0} us, p99 {:.0} us; the same bytes on a bare socket: p50 {:.0} us, p99 {:.0} us.",
        percentile_us(&call_times, 0.5),
        percentile_us(&call_times, 0.99),
        percentile_us(&bare_times, 0.5),
        percentile_us(&bare_times, 0.99),
    );
}

async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let mut stream = Async::<TcpStream>::connect(address).await?;
    stream.get_ref().set_nodelay(true)?;
    stream.write_all(&pg::startup()).await?;
    read_response(&mut stream).await?;
    Ok(stream)
}

async fn exchange_bytes(stream: &mut Async<TcpStream>, query: &[u8]) -> io::Result<usize> {
    stream.write_all(query).await?;
    let mut buffer = [0; 4096];
    stream.read(&mut buffer).await
}

fn percentile_us(sorted: &[Duration], fraction: f64) -> f64 {
    let index = (sorted.len() as f64 * fraction) as usize;
    sorted[index].as_secs_f64() * 1e6
}

/// Prints the memory of an idle client.
pub fn print_memory() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let before = resident_kb();
    let new_client = |_| Client::new(client_config(vec![address, address]));
    let clients: Vec<Client> = (0..IDLE_CLIENTS).map(new_client).collect();
    let grown = resident_kb() - before;
    println!(
        "\n10,000 idle clients: {:.1} KB each.",
        grown as f64 / clients.len() as f64
    );
}

/// Returns the resident memory of this process in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).unwrap_or_default()
}
