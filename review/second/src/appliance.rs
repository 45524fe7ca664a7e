//! A stand-in for an appliance.

use crate::pg;
use crate::record::Record;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What an appliance does with queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Runs and answers them.
    Serving,
    /// Takes them and answers nothing.
    Hanging,
    /// Completes what it has and turns away what is new (53300, never run).
    Draining,
}

/// A query whose last byte has arrived.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: Instant,
    pub appliance: String,
    pub id: String,
    pub class: String,
    pub mode: Mode,
}

/// A query with a key that a group of appliances ran, or a repeat that it dropped.
#[derive(Clone, Debug)]
pub struct Keyed {
    pub key: String,
    pub id: String,
    pub appliance: String,
    /// When its last byte arrived.
    pub at: Instant,
    /// Whether it ran; false if it was known as a repeat.
    pub ran: bool,
}

/// The keys that all appliances of a deployment remember together: they drop a repeat while the first query runs, and
/// for a time from its end on.
pub struct KeyMemory {
    remembered_for: Duration,
    /// By key: until when it is remembered; `None` while the query runs.
    keys: Mutex<HashMap<String, Option<Instant>>>,
    log: Mutex<Vec<Keyed>>,
}

impl KeyMemory {
    pub fn new(remembered_for: Duration) -> Arc<KeyMemory> {
        Arc::new(KeyMemory {
            remembered_for,
            keys: Mutex::default(),
            log: Mutex::default(),
        })
    }

    /// All that was run or dropped so far, in order.
    pub fn log(&self) -> Vec<Keyed> {
        self.log.lock().unwrap().clone()
    }

    /// Returns whether the query has to run: it is no repeat of a remembered one.
    fn begin(&self, key: &str, id: &str, appliance: &str, at: Instant) -> bool {
        let mut keys = self.keys.lock().unwrap();
        let is_repeat = match keys.get(key) {
            Some(None) => true,
            Some(Some(until)) => Instant::now() < *until,
            None => false,
        };
        if !is_repeat {
            keys.insert(key.to_owned(), None);
        }
        self.log.lock().unwrap().push(Keyed {
            key: key.to_owned(),
            id: id.to_owned(),
            appliance: appliance.to_owned(),
            at,
            ran: !is_repeat,
        });
        !is_repeat
    }

    fn end(&self, key: &str) {
        let until = Instant::now() + self.remembered_for;
        self.keys
            .lock()
            .unwrap()
            .insert(key.to_owned(), Some(until));
    }
}

struct State {
    mode: Mode,
    keys: Option<Arc<KeyMemory>>,
    received: Vec<Received>,
}

/// A running appliance.
#[derive(Clone)]
pub struct Appliance {
    pub id: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Appliance {
    /// Starts an appliance. `work` returns the time that a query of a class takes.
    pub fn start(
        id: &str,
        record: &Record,
        work: impl Fn(&str) -> Duration + Send + Sync + 'static,
    ) -> std::io::Result<Appliance> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let appliance = Appliance {
            id: id.to_owned(),
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                mode: Mode::Serving,
                keys: None,
                received: Vec::new(),
            })),
            record: record.clone(),
        };
        let work = Arc::new(work);
        let accepting = appliance.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let session = accepting.clone();
                let work = work.clone();
                thread::spawn(move || session.serve(stream, &*work));
            }
        });
        Ok(appliance)
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
        self.record
            .line(&format!("appliance {} is {mode:?}", self.id));
    }

    /// Lets the appliance drop repeats together with the others that have this memory.
    pub fn set_key_memory(&self, keys: &Arc<KeyMemory>) {
        self.state.lock().unwrap().keys = Some(keys.clone());
    }

    /// All queries so far.
    pub fn received(&self) -> Vec<Received> {
        self.state.lock().unwrap().received.clone()
    }

    fn serve(&self, mut stream: TcpStream, work: &dyn Fn(&str) -> Duration) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        pg::read_startup(&mut stream).ok()?;
        stream.write_all(&pg::startup_reply()).ok()?;
        loop {
            let (tag, body) = pg::read_message(&mut stream).ok()??;
            if tag != b'Q' {
                return None;
            }
            let at = Instant::now();
            let text = String::from_utf8_lossy(&body).into_owned();
            let statement = text.trim_end_matches('\0');
            let Some(id) = pg::comment_field(statement, "id") else {
                // SET, RESET, DISCARD and empty queries have no effect.
                stream
                    .write_all(&[pg::message(b'I', b""), pg::ready()].concat())
                    .ok()?;
                continue;
            };
            let class = pg::comment_field(statement, "c").unwrap_or_default();
            let mode = self.take(at, &id, &class);
            match mode {
                Mode::Hanging => continue,
                Mode::Draining => {
                    stream
                        .write_all(&pg::error_answer("53300", "draining"))
                        .ok()?;
                    continue;
                }
                Mode::Serving => {}
            }
            let key = pg::comment_field(statement, "k");
            let keys = self.state.lock().unwrap().keys.clone();
            match key.zip(keys) {
                Some((key, keys)) => {
                    let runs = keys.begin(&key, &id, &self.id, at);
                    self.record.line(&format!(
                        "{} {} {id} with key {key}",
                        self.id,
                        if runs { "runs" } else { "drops the repeat" }
                    ));
                    if runs {
                        // It goes on to its end whatever becomes of the connection: it may have run.
                        thread::sleep(work(&class));
                        keys.end(&key);
                    }
                }
                None => thread::sleep(work(&class)),
            }
            let answer = pg::value_answer(format!("value of {id}").as_bytes());
            stream.write_all(&answer).ok()?;
        }
    }

    fn take(&self, at: Instant, id: &str, class: &str) -> Mode {
        let mut state = self.state.lock().unwrap();
        let mode = state.mode;
        state.received.push(Received {
            at,
            appliance: self.id.clone(),
            id: id.to_owned(),
            class: class.to_owned(),
            mode,
        });
        drop(state);
        self.record
            .line_at(at, &format!("{} ({mode:?}) got {id} {class}", self.id));
        mode
    }
}
