//! Not a case: shows what REPORT.md says of the agent's buffers. Clients with one command at a time each, values
//! of a given size, and appliances of which half stand still now and then. Prints each second what was answered
//! and the agent's memory. Set by variables: MEMORY_MB, CLIENTS, BYTES, GAP_MS, PAUSE_MS, SECONDS.

use serde_json::json;
use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipwall_review::agent::{free_address, Agent};
use tulipwall_review::client::{Answer, Client};
use tulipwall_review::discovery::{entry, Discovery};
use tulipwall_review::platform::Platform;
use tulipwall_review::{appliance, settings, wire};

const APPLIANCES: u64 = 9;
const WORK: Duration = Duration::from_millis(60);
const PAUSE_EVERY_MS: u64 = 3000;
/// The expiry, and the half second in which an answer only earns nothing.
const PATIENCE: Duration = Duration::from_millis(2000);

#[derive(Default)]
struct Counts {
    values: AtomicUsize,
    errors: AtomicUsize,
    unanswered: AtomicUsize,
}

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn main() -> io::Result<()> {
    let bytes = variable("BYTES", 14_000) as usize;
    let pause = variable("PAUSE_MS", 290);
    let begun = Instant::now();
    let mut entries = Vec::new();
    for n in 0..APPLIANCES {
        let handler = move |_: &appliance::Query, stream: &mut TcpStream| {
            let phase = begun.elapsed().as_millis() as u64 % PAUSE_EVERY_MS;
            let stands_still = n % 2 == 0 && phase < pause;
            let rest = if stands_still { pause - phase } else { 0 };
            if !appliance::work(stream, WORK + Duration::from_millis(rest)) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            wire::write(stream, &wire::value_reply(&vec![7; bytes]))
        };
        let name = format!("s-{n:02}");
        let address = appliance::start(&name, Arc::new(handler))?;
        let zone = ["akl-east", "akl-west"][n as usize % 2];
        entries.push(entry(&name, address, zone, "std-4core", 41));
    }
    let news =
        json!({"image": 41, "ring": 3, "progress": "released", "ceiling": 1.0, "lag_ms": 60000});
    let discovery = Discovery::start(entries)?;
    let platform = Platform::start(news.clone())?;
    let mut configuration = settings::configuration(
        free_address()?,
        discovery.address,
        platform.address,
        &news,
        discovery.whole_list(),
        settings::akl_member_app(),
    );
    configuration["limits"]["memory_mb"] = variable("MEMORY_MB", 24).into();
    let agent = Agent::start(&configuration)?;
    let counts = Arc::new(Counts::default());
    let end = Instant::now() + Duration::from_secs(variable("SECONDS", 10));
    let gap = Duration::from_millis(variable("GAP_MS", 500));
    for client in 0..variable("CLIENTS", 400) {
        let (counts, address) = (counts.clone(), agent.address);
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(client * 13 % 1000));
            let mut connection = None;
            let mut number = 0;
            while Instant::now() < end {
                number += 1;
                let statement = format!(
                    "SELECT body FROM objects WHERE oid = 'o{client}x{number}' /* id={client}-{number},c=view,t=northern,d=1500 */"
                );
                connection = match connection.take() {
                    Some(open) => Some(open),
                    None => Client::connect(address, PATIENCE).ok(),
                };
                let Some(open) = connection.as_mut() else {
                    continue;
                };
                match open.ask(&statement) {
                    Ok(Answer::Value(_)) => counts.values.fetch_add(1, Relaxed),
                    Ok(Answer::Error(_)) => counts.errors.fetch_add(1, Relaxed),
                    Err(error) => {
                        connection = None;
                        let nothing_came = error.kind() == io::ErrorKind::WouldBlock;
                        counts.unanswered.fetch_add(nothing_came.into(), Relaxed)
                    }
                };
                std::thread::sleep(gap);
            }
        });
    }
    while Instant::now() < end {
        std::thread::sleep(Duration::from_secs(1));
        let status = std::fs::read_to_string(format!("/proc/{}/status", agent.id()))?;
        let anonymous = status.lines().find(|line| line.starts_with("RssAnon"));
        println!(
            "{:4.1} s: {} values, {} errors, {} without an answer for 2 s; {}",
            begun.elapsed().as_secs_f64(),
            counts.values.swap(0, Relaxed),
            counts.errors.swap(0, Relaxed),
            counts.unanswered.swap(0, Relaxed),
            anonymous.unwrap_or_default()
        );
    }
    Ok(())
}
