//! Spoilt answers of some appliances: does a client ever get a value that was made for another request?

use serde_json::json;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tulipwall_review::agent::{free_address, Agent};
use tulipwall_review::client::{Answer, Client};
use tulipwall_review::discovery::{entry, Discovery};
use tulipwall_review::platform::Platform;
use tulipwall_review::record::Recorder;
use tulipwall_review::{appliance, has_trouble, settings, wire};

const APPLIANCES: usize = 9;
const BUILD: u32 = 41;
const SEED: u64 = 11;

/// Of a thousand answers of the appliance that spoils some, so many are spoilt.
const SPOILT: u64 = 300;
/// The agent's descriptors.
const SOCKETS: usize = 128;
const CLIENTS: usize = 24;
const LENGTH: Duration = Duration::from_secs(15);
/// Between two requests of one client.
const GAP: Duration = Duration::from_millis(10);
/// The longest expiry, the half second in which an answer only earns nothing, and slack.
const PATIENCE: Duration = Duration::from_millis(2000 + 500 + 50);

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn draw(state: &Mutex<u64>) -> u64 {
    let mut state = state.lock().unwrap();
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state % 1000
}

fn run() -> std::io::Result<bool> {
    let record = Recorder::create(
        &std::env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".into()),
    )?;
    let random = Arc::new(Mutex::new(SEED.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    let mut entries = Vec::new();
    for n in 0..APPLIANCES {
        let name = format!("s-{n:02}");
        let record = record.clone();
        let random = random.clone();
        let spoilt = if has_trouble() && n == 0 { SPOILT } else { 0 };
        let handler = move |query: &appliance::Query, stream: &mut std::net::TcpStream| {
            let time = Duration::from_millis(44 + draw(&random) / 32);
            let place = format!("{} connection {}", query.appliance, query.connection);
            record.line(&format!(
                "{place} gets id {} of lane {}",
                query.id, query.class
            ));
            if draw(&random) < spoilt {
                record.line(&format!(
                    "{place} spoils the answer to id {}: a ready-for-query before it",
                    query.id
                ));
                wire::write(stream, &wire::ready())?;
            }
            if !appliance::work(stream, time) {
                record.line(&format!("{place} stops: id {} was cancelled", query.id));
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            record.line(&format!(
                "{place} answers id {} with the value {}",
                query.id, query.object
            ));
            wire::write(stream, &wire::value_reply(query.object.as_bytes()))
        };
        let address = appliance::start(&name, Arc::new(handler))?;
        entries.push(entry(
            &name,
            address,
            ["akl-east", "akl-west"][n % 2],
            "std-4core",
            BUILD,
        ));
    }
    let news =
        json!({"image": BUILD, "ring": 3, "progress": "released", "ceiling": 1.0, "lag_ms": 60000});
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
    configuration["limits"]["sockets"] = SOCKETS.into();
    let agent = Agent::start(&configuration)?;
    let wrong = Arc::new(AtomicUsize::new(0));
    let asked = Arc::new(AtomicUsize::new(0));
    let failed = Arc::new(AtomicUsize::new(0));
    let end = Instant::now() + LENGTH;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (record, wrong, asked, failed, address) =
                (record.clone(), wrong.clone(), asked.clone(), failed.clone(), agent.address);
            std::thread::spawn(move || -> std::io::Result<()> {
                let mut client = Client::connect(address, PATIENCE)?;
                let mut n = 0;
                while Instant::now() < end {
                    n += 1;
                    let object = format!("o{c}x{n}");
                    // The lanes' shares: 46, 43 and 11 in a hundred.
                    let (class, expiry) = match (n * 37 + c * 11) % 100 {
                        0..=45 => ("view", 1500),
                        46..=88 => ("send", 1500),
                        _ => ("payment", 2000),
                    };
                    let key = if class == "send" { format!(",k=k{c}x{n}") } else { String::new() };
                    let statement = format!(
                        "SELECT body FROM objects WHERE oid = '{object}' /* id={c}-{n},c={class},t=northern,d={expiry}{key} */"
                    );
                    asked.fetch_add(1, Ordering::Relaxed);
                    match client.ask(&statement)? {
                        Answer::Value(value) if value == object.as_bytes() => {}
                        Answer::Value(value) => {
                            wrong.fetch_add(1, Ordering::Relaxed);
                            let value = String::from_utf8_lossy(&value).into_owned();
                            record.line(&format!("BROKEN: request {c}-{n} of lane {class} for {object} was satisfied with the value {value}"));
                        }
                        Answer::Error(code) => {
                            failed.fetch_add(1, Ordering::Relaxed);
                            record.line(&format!("request {c}-{n} got error {code}"));
                        }
                    }
                    std::thread::sleep(GAP);
                }
                Ok(())
            })
        })
        .collect();
    for client in clients {
        if let Ok(Err(error)) = client.join() {
            record.say(&format!("a client ended: {error}"));
        }
    }
    let wrong = wrong.load(Ordering::Relaxed);
    record.say(&format!(
        "{} requests, {} errors, {wrong} with the value of another",
        asked.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed)
    ));
    Ok(wrong > 0)
}
