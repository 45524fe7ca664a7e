//! Clients that send requests one after the other, each on a connection of its own.

use crate::client::{statement, Answer, Client};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A class of requests as clients use it.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    pub is_keyed: bool,
    pub writes: bool,
    pub deadline_ms: u64,
}

/// One request and its answer.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    pub class: &'static str,
    pub deadline: Duration,
    pub sent_at: Instant,
    pub answered_at: Instant,
    pub answer: Answer,
}

/// Clients that run until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    asked: Arc<Mutex<Vec<Asked>>>,
    threads: Vec<JoinHandle<()>>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other request has.
pub fn fresh_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("9b1f{number:012x}")
}

impl Load {
    /// Starts clients; each sends its next request `pause` after the last answer.
    pub fn start(
        record: &Record,
        agent: SocketAddr,
        clients: usize,
        pause: Duration,
        classes: &'static [Class],
    ) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let asked = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..clients)
            .map(|n| {
                let (record, stop, asked) = (record.clone(), stop.clone(), asked.clone());
                thread::spawn(move || {
                    thread::sleep(pause.mul_f64(n as f64 / clients as f64));
                    run_client(&record, agent, pause, classes, n, &stop, &asked);
                })
            })
            .collect();
        Load {
            stop,
            asked,
            threads,
        }
    }

    /// Stops the clients after their present requests and returns all that was asked.
    pub fn stop(self) -> Vec<Asked> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let asked = self.asked.lock().unwrap();
        asked.clone()
    }
}

fn run_client(
    record: &Record,
    agent: SocketAddr,
    pause: Duration,
    classes: &[Class],
    number: usize,
    stop: &AtomicBool,
    asked: &Mutex<Vec<Asked>>,
) {
    let mut client: Option<Client> = None;
    let mut turn = number;
    while !stop.load(Ordering::Relaxed) {
        let Some(open) = client.as_mut() else {
            match Client::connect(agent) {
                Ok(new) => client = Some(new),
                Err(_) => thread::sleep(Duration::from_millis(50)),
            }
            continue;
        };
        let class = classes[turn % classes.len()];
        turn += 1;
        let id = fresh_id();
        let text = statement(
            &id,
            class.name,
            class.is_keyed,
            class.writes,
            class.deadline_ms,
        );
        let sent_at = Instant::now();
        let answer = match open.send(&text) {
            Ok(()) => open.read_answer().unwrap_or(Answer::Closed),
            Err(_) => Answer::Closed,
        };
        let answered_at = Instant::now();
        let took = answered_at.duration_since(sent_at).as_millis();
        record.line_at(
            sent_at,
            &format!("client {number} asks {id} {}", class.name),
        );
        record.line_at(
            answered_at,
            &format!(
                "client {number} has for {id}: {} after {took} ms",
                name(&answer)
            ),
        );
        if answer == Answer::Closed {
            client = None;
        }
        asked.lock().unwrap().push(Asked {
            id,
            class: class.name,
            deadline: Duration::from_millis(class.deadline_ms),
            sent_at,
            answered_at,
            answer,
        });
        thread::sleep(pause);
    }
}

/// Returns a short form of an answer.
pub fn name(answer: &Answer) -> String {
    match answer {
        Answer::Value(value) => String::from_utf8_lossy(value).into_owned(),
        Answer::Error(code) => code.clone(),
        Answer::Other => "no value".into(),
        Answer::Closed => "the end of the connection".into(),
    }
}
