//! A burst takes the clients' places up. Clients write two requests back to back, a long one and a short one; a request
//! that was read and whose connection is closed with no answer is lost, on a new connection too.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tulipwall_second_review::client::Client;
use tulipwall_second_review::deployment::Deployment;
use tulipwall_second_review::load::{fresh_id, name};
use tulipwall_second_review::record::Record;
use tulipwall_second_review::{ms, run_case, settings, trouble};

/// Clients in the usual traffic, and in the burst: 2.4 times as many.
const USUAL_CLIENTS: usize = 30;
const BURST_CLIENTS: usize = 72;
/// Each client sends a pair in this time.
const INTERVAL: Duration = ms(260);
const BURST: Duration = ms(8000);
/// The agent's limit on descriptors.
const SOCKETS: u32 = 128;
/// The length of a long value; the page allows 64 KiB.
const LONG_VALUE: usize = 60_000;

fn work(class: &str) -> Duration {
    ms(if class == "payment" { 90 } else { 60 })
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Answered,
    /// Its connection ended in order, so all of it had been read, and nothing was answered.
    ReadAndNeverAnswered,
    /// Its connection was reset or could not be written: it crossed the end, and the client sends it again.
    Crossed,
    /// Nothing came although the connection stayed open.
    Silent,
}

fn main() {
    run_case(|| {
        let record = Record::create()?;
        let mut site = Deployment::start(&record, 9, "akl-west", "std-4core", settings::AKL, work)?;
        site.sockets = SOCKETS;
        let mut agent = site.start_agent(site.discovery.whole_list())?;
        agent.wait_until_ready()?;
        let stop = Arc::new(AtomicBool::new(false));
        let ends = Arc::new(Mutex::new(BTreeMap::new()));
        let pairs = Arc::new(AtomicU64::new(0));
        let start = |count: usize, from: usize| -> Vec<thread::JoinHandle<()>> {
            (from..from + count)
                .map(|n| {
                    let (record, stop) = (record.clone(), stop.clone());
                    let (ends, pairs) = (ends.clone(), pairs.clone());
                    let address = agent.address;
                    thread::spawn(move || {
                        thread::sleep(INTERVAL.mul_f64((n % 13) as f64 / 13.0));
                        run_client(&record, address, n, &stop, &ends, &pairs);
                    })
                })
                .collect()
        };
        let mut clients = start(USUAL_CLIENTS, 0);
        thread::sleep(ms(3000));
        let before = pairs.load(Ordering::Relaxed);
        record.say(&format!(
            "usual: {:.0} requests a second",
            before as f64 * 2.0 / 3.0
        ));
        if trouble() {
            clients.extend(start(BURST_CLIENTS - USUAL_CLIENTS, USUAL_CLIENTS));
        }
        thread::sleep(BURST);
        let during = pairs.load(Ordering::Relaxed) - before;
        record.say(&format!(
            "then: {:.0} requests a second",
            during as f64 * 2.0 / BURST.as_secs_f64()
        ));
        stop.store(true, Ordering::Relaxed);
        for client in clients {
            let _ = client.join();
        }
        let ends = ends.lock().unwrap();
        record.say(&format!("{ends:?}"));
        let lost = |end: End| ends.get(&end).copied().unwrap_or(0);
        Ok(lost(End::ReadAndNeverAnswered) + lost(End::Silent) == 0)
    })
}

fn run_client(
    record: &Record,
    agent: SocketAddr,
    number: usize,
    stop: &AtomicBool,
    ends: &Mutex<BTreeMap<End, usize>>,
    pairs: &AtomicU64,
) {
    let mut client: Option<Client> = None;
    let mut next = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += INTERVAL;
        if client.is_none() {
            client = Client::connect(agent).ok();
        }
        let Some(open) = client.as_mut() else {
            continue;
        };
        let ids = [fresh_id(), fresh_id()];
        let long = format!(
            "INSERT INTO objects (oid, body) VALUES ('o{0}', '\\x{1}') RETURNING body /* id={0},c=send,t=northern,d=1500,k=k{0} */",
            ids[0],
            "9f".repeat(LONG_VALUE)
        );
        let short = format!(
            "SELECT body FROM objects WHERE oid = 'o{0}' /* id={0},c=view,t=northern,d=1500 */",
            ids[1]
        );
        pairs.fetch_add(1, Ordering::Relaxed);
        let written = open.send_all(&[&long, &short]);
        let mut is_open = written.is_ok();
        for id in &ids {
            let (end, seen) = if is_open {
                read_end(open)
            } else if written.is_err() {
                (End::Crossed, "not written whole".to_owned())
            } else {
                // The connection ended behind the answer before: in order, or by a reset.
                read_end(open)
            };
            is_open &= end == End::Answered;
            record.line(&format!("client {number}: {id}: {end:?}: {seen}"));
            if matches!(end, End::ReadAndNeverAnswered | End::Silent) {
                record.line(&format!("BROKEN lost: {id} of client {number}: {end:?}"));
            }
            *ends.lock().unwrap().entry(end).or_default() += 1;
        }
        if !is_open {
            client = None;
        }
    }
}

/// Reads the next answer, or how the connection ended without one.
fn read_end(client: &mut Client) -> (End, String) {
    match client.read_answer_before_end() {
        Ok(Some(answer)) => (End::Answered, name(&answer)),
        Ok(None) => (
            End::ReadAndNeverAnswered,
            "the connection ended in order".into(),
        ),
        Err(error) if error.kind() == ErrorKind::WouldBlock => (End::Silent, "nothing came".into()),
        Err(error) => (End::Crossed, error.to_string()),
    }
}
