//! A usual client: one request after another on connections that it keeps, a fresh id for each. It
//! leaves now and then, and sends a request again once where its connection ended before an answer.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::*;

/// How much later than its deadline an answer may come; later it counts as lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// What a machine that is busy with other runs adds.
const MACHINE_SLACK: Duration = Duration::from_millis(1000);
/// One in this many requests is abandoned by its client.
const LEAVE_DIVISOR: u32 = 20;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The agent answered: `None` for a value, or the code of an error.
    Answered(Option<String>),
    /// The connection ended without an answer.
    Closed(ErrorKind),
    /// No connection could be opened.
    NotConnected,
    /// Nothing came until long after the deadline.
    Unanswered,
    /// The client closed its connection.
    Left,
}

/// One sending of a request, as its client saw it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub id: String,
    pub class: &'static str,
    pub client_timeout: Duration,
    /// Whether the connection had served an earlier request.
    pub is_reused: bool,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub fate: Fate,
}

/// What all usual clients of a run share.
#[derive(Default)]
pub struct Observations {
    pub stopped: AtomicBool,
    pub sent: Mutex<Vec<SentRequest>>,
}

impl Observations {
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

pub struct UsualClient {
    number: u64,
    address: SocketAddr,
    observations: Arc<Observations>,
    rng: Pcg64Mcg,
    next_id: usize,
    connection: Option<TestClient>,
    is_reused: bool,
}

impl UsualClient {
    pub fn new(
        seed: u64,
        number: u64,
        address: SocketAddr,
        observations: Arc<Observations>,
    ) -> UsualClient {
        UsualClient {
            number,
            address,
            observations,
            rng: Pcg64Mcg::seed_from_u64(seed * 1000 + number),
            next_id: 0,
            connection: None,
            is_reused: false,
        }
    }

    /// Sends requests until the run is stopped.
    pub fn run(mut self) {
        while !self.observations.is_stopped() {
            let (id, class, client_timeout) = self.next_request();
            let first = self.send(&id, class, client_timeout);
            if matches!(first, Fate::Closed(_)) {
                self.send(&id, class, client_timeout);
            }
            if first == Fate::Left && self.rng.gen_bool(0.5) {
                // Rude, but seen: the same id again after leaving.
                self.send(&id, class, client_timeout);
            }
            let pause = self.rng.gen_range(5..60);
            sleep(Duration::from_millis(pause));
        }
    }

    fn next_request(&mut self) -> (String, &'static str, Duration) {
        self.next_id += 1;
        let id = format!("u{}-{}", self.number, self.next_id);
        let class = ["view", "view", "send", "payment"][self.rng.gen_range(0..4)];
        (
            id,
            class,
            Duration::from_millis(self.rng.gen_range(400..1500)),
        )
    }

    fn send(&mut self, id: &str, class: &'static str, client_timeout: Duration) -> Fate {
        let is_reused = self.is_reused && self.connection.is_some();
        let connected = self.connect();
        let sent_at = Instant::now();
        let fate = match connected {
            Ok(()) => self.exchange(id, class, client_timeout),
            Err(_) => Fate::NotConnected,
        };
        if matches!(fate, Fate::Answered(_)) {
            self.is_reused = true;
        } else {
            self.connection = None;
            self.is_reused = false;
        }
        if fate == Fate::NotConnected {
            sleep(Duration::from_millis(20));
        }
        let request = SentRequest {
            id: id.to_owned(),
            class,
            client_timeout,
            is_reused,
            sent_at,
            ended_at: Instant::now(),
            fate: fate.clone(),
        };
        self.observations.sent.lock().unwrap().push(request);
        fate
    }

    /// Connects without waiting for the answer to the startup message, as the first request may
    /// follow it directly.
    fn connect(&mut self) -> io::Result<()> {
        if self.connection.is_some() {
            return Ok(());
        }
        let timeout = Duration::from_millis(900);
        let mut stream = TcpStream::connect_timeout(&self.address, timeout)?;
        stream.set_nodelay(true)?;
        io::Write::write_all(&mut stream, &pg::startup())?;
        self.connection = Some(TestClient { stream });
        self.is_reused = false;
        Ok(())
    }

    fn exchange(&mut self, id: &str, class: &str, client_timeout: Duration) -> Fate {
        let leaves = self.rng.gen_ratio(1, LEAVE_DIVISOR);
        let leaves_after = Duration::from_millis(self.rng.gen_range(0..40));
        let awaits_startup = !self.is_reused;
        let Some(client) = self.connection.as_mut() else {
            return Fate::NotConnected;
        };
        let key = if class == "send" {
            format!(",k=k-{id}")
        } else {
            String::new()
        };
        client.send_statement(&format!(
            "SELECT body FROM objects WHERE oid = 'o{id}' /* id={id},c={class},d={}{key} */",
            client_timeout.as_millis()
        ));
        if leaves {
            sleep(leaves_after);
            self.connection = None;
            return Fate::Left;
        }
        let patience = client_timeout + MAX_LATENESS + MACHINE_SLACK;
        if let Err(error) = client.stream.set_read_timeout(Some(patience)) {
            return Fate::Closed(error.kind());
        }
        let started = if awaits_startup {
            client.read_until_ready().map(drop)
        } else {
            Ok(())
        };
        match started.and_then(|()| read_answer(client)) {
            Ok(code) => Fate::Answered(code),
            Err(error) if error.kind() == ErrorKind::WouldBlock => Fate::Unanswered,
            Err(error) => Fate::Closed(error.kind()),
        }
    }
}

/// Reads an answer up to its end: a fatal error, or ready-for-query.
fn read_answer(client: &mut TestClient) -> io::Result<Option<String>> {
    let mut code = None;
    loop {
        let (tag, body) = client.read_message()?;
        match tag {
            pg::READY => return Ok(code),
            pg::ERROR => {
                code = pg::error_field(&body, b'C');
                if pg::error_field(&body, b'S').as_deref() == Some("FATAL") {
                    return Ok(code);
                }
            }
            _ => {}
        }
    }
}
