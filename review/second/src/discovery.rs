//! A stand-in for discovery: HTTP/1.1, the whole list or a watch.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub state: &'static str,
    pub release: u32,
    version: u64,
}

/// A watch that waits for an answer.
#[derive(Clone, Copy, Debug)]
pub struct OpenWatch {
    /// When the call arrived.
    pub at: Instant,
    /// How long it may wait.
    pub wait: Duration,
}

/// Whether discovery answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    Up,
    /// Takes connections and calls and answers nothing, as while it is down behind a machine that is up.
    Silent,
    /// Its process is gone: open connections end and new ones are refused.
    Dead,
}

struct State {
    version: u64,
    entries: Vec<Entry>,
    service: Service,
    /// Connections with a lower number are never answered again.
    silenced_below: u64,
    connections: u64,
    open: Vec<(u64, TcpStream)>,
    watch: Option<OpenWatch>,
}

/// A running discovery service.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Discovery {
            address: listener.local_addr()?,
            state: Arc::new((
                Mutex::new(State {
                    version: 41,
                    entries: Vec::new(),
                    service: Service::Up,
                    silenced_below: 0,
                    connections: 0,
                    open: Vec::new(),
                    watch: None,
                }),
                Condvar::new(),
            )),
            record: record.clone(),
        };
        discovery.accept_on(listener)?;
        Ok(discovery)
    }

    fn accept_on(&self, listener: TcpListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let this = self.clone();
        thread::spawn(move || loop {
            if this.state.0.lock().unwrap().service == Service::Dead {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let session = this.clone();
                    thread::spawn(move || session.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        });
        Ok(())
    }

    /// Lists an appliance as in service, with build 41.
    pub fn add(&self, id: &str, address: SocketAddr, zone: &str, kind: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.entries.push(Entry {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            kind: kind.to_owned(),
            state: "in_service",
            release: 41,
            version,
        });
        drop(state);
        self.state.1.notify_all();
    }

    /// Changes the state of an entry.
    pub fn set_state(&self, id: &str, new: &'static str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for entry in state.entries.iter_mut().filter(|entry| entry.id == id) {
            entry.state = new;
            entry.version = version;
        }
        drop(state);
        self.state.1.notify_all();
        self.record
            .say(&format!("discovery has version {version}: {id} is {new}"));
    }

    /// Answers the open watches without a change of any state.
    pub fn touch(&self) {
        self.state.0.lock().unwrap().version += 1;
        self.state.1.notify_all();
    }

    /// Lets all open connections fall silent: nothing is written on them any more. New ones are answered.
    pub fn silence_open_connections(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.silenced_below = state.connections;
        state.watch = None;
        drop(state);
        self.record.say("discovery: open watches fall silent");
    }

    /// Discovery goes down and stays silent.
    pub fn go_silent(&self) {
        self.state.0.lock().unwrap().service = Service::Silent;
        self.record.say("discovery is down (silent)");
    }

    /// The process of discovery dies: connections end, new ones are refused.
    pub fn die(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.service = Service::Dead;
        for (_, stream) in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.record.say("discovery's process is dead");
    }

    /// Discovery answers again.
    pub fn come_back(&self) -> std::io::Result<()> {
        let was = std::mem::replace(&mut self.state.0.lock().unwrap().service, Service::Up);
        if was == Service::Dead {
            self.accept_on(TcpListener::bind(self.address)?)?;
        }
        self.state.1.notify_all();
        self.record.say("discovery is back");
        Ok(())
    }

    /// The watch that waits for an answer now.
    pub fn open_watch(&self) -> Option<OpenWatch> {
        self.state.0.lock().unwrap().watch
    }

    /// The whole list in discovery's form.
    pub fn whole_list(&self) -> String {
        list(&self.state.0.lock().unwrap(), None)
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let number = {
            let mut state = self.state.0.lock().unwrap();
            state.connections += 1;
            let number = state.connections - 1;
            state.open.push((number, stream.try_clone().ok()?));
            number
        };
        let mut buffer = Vec::new();
        loop {
            let head = read_head(&mut stream, &mut buffer);
            let Some(head) = head else {
                let mut state = self.state.0.lock().unwrap();
                state.open.retain(|(n, _)| *n != number);
                return None;
            };
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            self.record.line(&format!("discovery: call {path}"));
            let body = self.answer(number, &path)?;
            let reply = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(reply.as_bytes()).ok()?;
            self.record.line(&format!(
                "discovery: answered {path} with {} bytes",
                body.len()
            ));
        }
    }

    /// Waits as the call says, and returns the body; `None` if the connection is never answered.
    fn answer(&self, number: u64, path: &str) -> Option<String> {
        let parameter = |name: &str| -> Option<u64> {
            let (_, query) = path.split_once('?')?;
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(&format!("{name}=")))
                .and_then(|value| value.parse().ok())
        };
        let after = parameter("after");
        let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0).min(60_000));
        let arrived = Instant::now();
        let (mutex, changed) = &*self.state;
        let mut state = mutex.lock().unwrap();
        if !wait.is_zero() {
            state.watch = Some(OpenWatch { at: arrived, wait });
        }
        loop {
            let is_silenced = number < state.silenced_below;
            let is_over =
                after.is_none_or(|after| state.version > after) || arrived.elapsed() >= wait;
            if state.service == Service::Dead {
                return None;
            }
            if state.service == Service::Up && !is_silenced && is_over {
                state.watch = None;
                return Some(list(&state, after));
            }
            let (next, _) = changed
                .wait_timeout(state, Duration::from_millis(5))
                .unwrap();
            state = next;
        }
    }
}

fn list(state: &State, after: Option<u64>) -> String {
    let entries: Vec<String> = state
        .entries
        .iter()
        .filter(|entry| after.is_none_or(|after| entry.version > after))
        .map(|e| {
            format!(
                "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"kind\":\"{}\",\"cell\":0,\"state\":\"{}\",\"weight\":1.0,\"started_ms\":0,\"release\":{}}}",
                e.id, e.address, e.zone, e.kind, e.state, e.release
            )
        })
        .collect();
    format!(
        "{{\"version\":{},\"full\":{},\"servers\":[{}]}}",
        state.version,
        after.is_none(),
        entries.join(",")
    )
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return Some(String::from_utf8_lossy(&head).into_owned());
        }
        let mut part = [0; 1024];
        let count = stream.read(&mut part).ok()?;
        if count == 0 {
            return None;
        }
        buffer.extend_from_slice(&part[..count]);
    }
}
