//! A build that fails most of one lane, and `tulipwall-call` making deduplicated calls through an agent: does
//! any call's effect happen twice?

use serde_json::json;
use std::collections::HashMap;
use std::process::{Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tulipwall_review::agent::{forget_process, free_address, note_process, root, Agent};
use tulipwall_review::discovery::{entry, Discovery};
use tulipwall_review::platform::Platform;
use tulipwall_review::record::Recorder;
use tulipwall_review::{appliance, has_trouble, settings, wire};

const APPLIANCES: usize = 15;
const BUILD: u32 = 42;
const LANE: &str = "send-notice";
/// All relay nodes drop a repeat for this long.
const WINDOW: Duration = Duration::from_millis(3000);
/// Every time limit is 50 ms longer on sockets: a node remembers a key for as much longer.
const SLACK: Duration = Duration::from_millis(50);
/// The expiry of the lane.
const EXPIRY_MS: u32 = 5000;
/// Of a hundred statements of the lane, so many fail on a bad build (44 to 90 are named).
const FAILING: u64 = 88;
const SEED: u64 = 7;
const CALLS: usize = 100;
/// Time between two calls: an agent of this deployment gets some 4 to 8 commands a second.
const CALL_GAP: Duration = Duration::from_millis(200);

/// What all appliances share: the keys that they remember, and chance.
struct Fleet {
    record: Recorder,
    /// By key: when its effect was applied, each time.
    applied: Mutex<HashMap<String, Vec<Duration>>>,
    random: Mutex<u64>,
}

impl Fleet {
    fn draw(&self) -> u64 {
        let mut state = self.random.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        *state % 1000
    }

    /// Applies the effect of a statement that arrived at `arrived`, unless its key was applied within the
    /// window before that or meanwhile.
    fn apply(&self, query: &appliance::Query, arrived: Duration) {
        let Some(key) = &query.key else { return };
        let now = self.record.now();
        let mut applied = self.applied.lock().unwrap();
        let times = applied.entry(key.clone()).or_default();
        let is_repeat = times
            .last()
            .is_some_and(|last| arrived < *last + WINDOW + SLACK);
        if is_repeat {
            self.record.line(&format!(
                "{} drops the repeat of key {key}, id {}",
                query.appliance, query.id
            ));
        } else {
            times.push(now);
            self.record.line(&format!(
                "{} applies key {key}, id {}",
                query.appliance, query.id
            ));
        }
    }
}

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

fn run() -> std::io::Result<bool> {
    let record = Recorder::create(
        &std::env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".into()),
    )?;
    let fleet = Arc::new(Fleet {
        record: record.clone(),
        applied: Mutex::default(),
        random: Mutex::new(SEED.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
    });
    let failing = if has_trouble() { FAILING } else { 0 };
    let mut entries = Vec::new();
    for n in 0..APPLIANCES {
        let name = format!("s-{n:02}");
        let fleet = fleet.clone();
        let handler = move |query: &appliance::Query, stream: &mut std::net::TcpStream| {
            fleet.record.line(&format!(
                "{} gets id {} of lane {}",
                query.appliance, query.id, query.class
            ));
            let arrived = fleet.record.now();
            let time = Duration::from_millis(120 + fleet.draw() / 10);
            if !appliance::work(stream, time) {
                fleet.record.line(&format!(
                    "{} stops: id {} was cancelled",
                    query.appliance, query.id
                ));
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            fleet.apply(query, arrived);
            if fleet.draw() < failing * 10 {
                fleet
                    .record
                    .line(&format!("{} fails id {}", query.appliance, query.id));
                wire::write(stream, &wire::error_reply("XX000", "failed"))
            } else {
                fleet
                    .record
                    .line(&format!("{} satisfies id {}", query.appliance, query.id));
                wire::write(stream, &wire::value_reply(b"ok"))
            }
        };
        let address = appliance::start(&name, Arc::new(handler))?;
        let hall = ["hall-a", "hall-b", "hall-c"][n % 3];
        let kind = if n % 5 < 3 { "std-4c" } else { "slow-3c" };
        entries.push(entry(&name, address, hall, kind, BUILD));
    }
    let news =
        json!({"image": BUILD, "ring": 3, "progress": "released", "ceiling": 1.0, "lag_ms": 60000});
    let discovery = Discovery::start(entries)?;
    let platform = Platform::start(news.clone())?;
    let configuration = settings::configuration(
        free_address()?,
        discovery.address,
        platform.address,
        &news,
        discovery.whole_list(),
        settings::push_core(),
    );
    let agent = Agent::start(&configuration)?;
    record.line(&format!(
        "the agent serves; {failing} in 100 statements of {LANE} fail"
    ));
    make_calls(&record, &agent)?;
    Ok(report(&record, &fleet))
}

/// Makes the calls, each by a process of its own, as a server with little traffic does.
fn make_calls(record: &Recorder, agent: &Agent) -> std::io::Result<()> {
    let service = agent.folder.join("client.kdl");
    let lane = format!(
        "agent \"{}\"\nlane \"{LANE}\" {{ repeats \"deduplicated\"; group \"all\"; window \"{}ms\"; quoted \"1500ms\"; benefit 2; }}\nmarks-retries #true\n",
        agent.address,
        WINDOW.as_millis()
    );
    std::fs::write(&service, lane)?;
    let mut running = Vec::new();
    for call in 0..CALLS {
        let key = format!("k{call:03}");
        record.line(&format!("call {key} begins"));
        let child = Command::new(root().join("target/release/tulipwall-call"))
            .arg("--service")
            .arg(&service)
            .args([
                LANE,
                &format!("o{call:03}"),
                "--value",
                "9f03",
                "--key",
                &key,
            ])
            .args(["--expiry", &EXPIRY_MS.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let id = child.id();
        note_process(id);
        let record = record.clone();
        running.push(std::thread::spawn(move || {
            let output = child.wait_with_output();
            forget_process(id);
            let answer =
                output.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned());
            record.line(&format!("call {key} ends: {}", answer.unwrap_or_default()));
        }));
        std::thread::sleep(CALL_GAP);
    }
    for thread in running {
        let _ = thread.join();
    }
    // Whatever is still out at the appliances ends.
    std::thread::sleep(Duration::from_millis(500));
    Ok(())
}

fn report(record: &Recorder, fleet: &Fleet) -> bool {
    let applied = fleet.applied.lock().unwrap();
    let mut twice: Vec<_> = applied
        .iter()
        .filter(|(_, times)| times.len() > 1)
        .collect();
    twice.sort();
    for (key, times) in &twice {
        let gap = times[1] - times[0];
        record.say(&format!(
            "BROKEN: key {key} was applied {} times, {gap:.3?} apart",
            times.len()
        ));
    }
    record.say(&format!(
        "{} calls, {} keys applied, {} of them more than once",
        CALLS,
        applied.len(),
        twice.len()
    ));
    !twice.is_empty()
}
