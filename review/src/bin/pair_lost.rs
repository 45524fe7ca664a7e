//! A burst of clients that write two commands back to back: does each command get its answer?

use serde_json::json;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipwall_review::agent::{free_address, Agent};
use tulipwall_review::discovery::{entry, Discovery};
use tulipwall_review::platform::Platform;
use tulipwall_review::record::Recorder;
use tulipwall_review::{appliance, has_trouble, settings, wire};

const APPLIANCES: usize = 9;
const BUILD: u32 = 41;
const WORK: Duration = Duration::from_millis(60);
/// The agent's descriptors.
const SOCKETS: usize = 128;
/// Clients of a usual hour, each with one connection.
const CLIENTS: usize = 32;
/// Clients while traffic is 2.4 times the usual (1.4 to 2.5 times for 2.2 to 10 s are named).
const CLIENTS_IN_BURST: usize = 76;
const BURST_FROM: Duration = Duration::from_secs(3);
const BURST_UNTIL: Duration = Duration::from_secs(11);
const END: Duration = Duration::from_secs(14);
/// From one pair of a client to its next, whatever became of the one before: clients that are rejected send no
/// more than others, so the burst stays within its named rate.
const PERIOD: Duration = Duration::from_millis(260);
/// The expiry of `view`, the half second in which an answer only earns nothing, and slack.
const PATIENCE: Duration = Duration::from_millis(1500 + 500 + 50);

#[derive(Default)]
struct Counts {
    commands: AtomicUsize,
    satisfied: AtomicUsize,
    denied: AtomicUsize,
    scrapped: AtomicUsize,
    resent: AtomicUsize,
    lost: AtomicUsize,
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

fn run() -> io::Result<bool> {
    let record = Recorder::create(
        &std::env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".into()),
    )?;
    let mut entries = Vec::new();
    for n in 0..APPLIANCES {
        let name = format!("s-{n:02}");
        let record = record.clone();
        let handler = move |query: &appliance::Query, stream: &mut TcpStream| {
            record.line(&format!("{} gets id {}", query.appliance, query.id));
            if !appliance::work(stream, WORK) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
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
    let counts = Arc::new(Counts::default());
    let clients = if has_trouble() {
        CLIENTS_IN_BURST
    } else {
        CLIENTS
    };
    let begun = Instant::now();
    let threads: Vec<_> = (0..clients)
        .map(|client| {
            let (from, until) = if client < CLIENTS {
                (Duration::ZERO, END)
            } else {
                (BURST_FROM, BURST_UNTIL)
            };
            let (record, counts, address) = (record.clone(), counts.clone(), agent.address);
            std::thread::spawn(move || {
                let stagger = Duration::from_millis(client as u64 * 7);
                std::thread::sleep(from + stagger);
                let mut session = Session {
                    client,
                    address,
                    record,
                    counts,
                    stream: None,
                    number: 0,
                };
                while begun.elapsed() < until {
                    let next = Instant::now() + PERIOD;
                    session.ask_pair();
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    let of = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    record.say(&format!(
        "{} commands: {} satisfied, {} denied, {} scrapped, {} crossed a close, {} read and never answered",
        of(&counts.commands), of(&counts.satisfied), of(&counts.denied), of(&counts.scrapped),
        of(&counts.resent), of(&counts.lost)
    ));
    Ok(of(&counts.lost) > 0)
}

struct Session {
    client: usize,
    address: SocketAddr,
    record: Recorder,
    counts: Arc<Counts>,
    stream: Option<TcpStream>,
    number: usize,
}

/// How the answer to one command ended.
enum Answer {
    /// An answer, and whether the connection can be used on.
    Whole(bool),
    /// The connection ended in order: the other side had read all that was written.
    End,
    /// The connection was reset: something that was written was not read.
    Reset,
    /// Nothing came.
    Nothing,
}

impl Session {
    /// Writes two commands at once and reads their answers.
    fn ask_pair(&mut self) {
        let (mut stream, mut bytes, is_new) = match self.stream.take() {
            Some(stream) => (stream, Vec::new(), false),
            None => match TcpStream::connect(self.address) {
                Ok(stream) => (stream, wire::startup(), true),
                Err(_) => return,
            },
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(PATIENCE));
        let mut ids = Vec::new();
        for _ in 0..2 {
            self.number += 1;
            let id = format!("{}-{}", self.client, self.number);
            let statement = format!(
                "SELECT body FROM objects WHERE oid = 'o{id}' /* id={id},c=view,t=northern,d=1500 */"
            );
            bytes.extend(wire::query(&statement));
            ids.push(id);
        }
        if wire::write(&mut stream, &bytes).is_err() {
            return;
        }
        self.counts.commands.fetch_add(2, Ordering::Relaxed);
        let how = if is_new {
            "a new connection"
        } else {
            "its connection"
        };
        self.record.line(&format!(
            "client {} sends {} and {} on {how}",
            self.client, ids[0], ids[1]
        ));
        let mut keeps = !is_new
            || matches!(
                self.read_answer(&mut stream, "the startup"),
                Answer::Whole(_)
            );
        for id in &ids {
            keeps = match self.read_answer(&mut stream, id) {
                Answer::Whole(keeps) => keeps,
                ended => {
                    self.on_no_answer(id, &ended);
                    false
                }
            };
        }
        if keeps {
            self.stream = Some(stream);
        }
    }

    fn on_no_answer(&self, id: &str, ended: &Answer) {
        match ended {
            // A close may cross a request that the agent has not read: the client sends it again.
            Answer::Reset => {
                self.counts.resent.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!("{id}: the connection was reset"));
            }
            _ => {
                self.counts.lost.fetch_add(1, Ordering::Relaxed);
                let how = if matches!(ended, Answer::End) {
                    "the agent closed the connection"
                } else {
                    "nothing came"
                };
                self.record
                    .line(&format!("BROKEN: {id} was read and never answered: {how}"));
            }
        }
    }

    fn read_answer(&self, stream: &mut TcpStream, id: &str) -> Answer {
        let mut error = None;
        loop {
            let (tag, body) = match wire::read_message(stream) {
                Ok(message) => message,
                Err(e) if error.is_some() => {
                    return self.count(id, error, e.kind() == io::ErrorKind::WouldBlock)
                }
                Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Answer::End,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Answer::Nothing,
                Err(_) => return Answer::Reset,
            };
            match tag {
                b'E' if wire::error_field(&body, b'S').as_deref() == Some("FATAL") => {
                    return self.count(id, wire::error_field(&body, b'C'), false);
                }
                b'E' => error = wire::error_field(&body, b'C'),
                b'Z' => return self.count(id, error, true),
                _ => {}
            }
        }
    }

    fn count(&self, id: &str, error: Option<String>, keeps: bool) -> Answer {
        let text = error.as_deref().unwrap_or("a value").to_owned();
        if id != "the startup" {
            let count = match error.as_deref() {
                None => &self.counts.satisfied,
                Some("53300" | "57P03") => &self.counts.denied,
                Some(_) => &self.counts.scrapped,
            };
            count.fetch_add(1, Ordering::Relaxed);
            self.record.line(&format!("{id}: {text}"));
        }
        Answer::Whole(keeps)
    }
}
