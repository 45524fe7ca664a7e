//! Fake discovery: the list over HTTP, whole or as a watch, for each zone with the addresses that
//! are its own.

pub use crate::registry::Entry;
use crate::registry::{self, Registry};
use crate::runtime::{self, lock_unpoisoned, sleep, Listeners, TerminationSignal};
use async_io::Async;
use event_listener::Event;
use futures_lite::future::{pending, FutureExt};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::Value;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How discovery answers.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum DiscoveryBehavior {
    /// With the list.
    #[default]
    Normal,
    /// Not at all: it closes the connection.
    ClosesConnections,
    /// Not at all: the connection stays open.
    Unresponsive,
    /// With this text.
    Sends(String),
}

/// How one further connection is treated, whatever the [`DiscoveryBehavior`].
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionBehavior {
    /// It is closed.
    Closed,
    /// Its requests are answered as usual after this time.
    AnsweredAfter(Duration),
    /// Nothing is ever sent on it.
    Unanswered,
}

#[derive(Default)]
struct State {
    behavior: DiscoveryBehavior,
    next_connections: VecDeque<ConnectionBehavior>,
    silenced: u64, // how often open connections fell silent
    registry: Registry,
    connections: usize,
    open: usize,       // of them
    own: usize,        // of them, with one request each: those of `wait_until_requests_counted`
    written: usize,    // bytes
    requests: usize,   // of all kinds
    full_lists: usize, // of them
}

/// How a connection was accepted.
struct Accepted {
    behavior: Option<ConnectionBehavior>,
    /// How often connections had been silenced by then.
    silenced: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Event,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        lock_unpoisoned(&self.state)
    }

    fn accept(&self) -> Accepted {
        let mut state = self.state();
        state.connections += 1;
        state.open += 1;
        Accepted {
            behavior: state.next_connections.pop_front(),
            silenced: state.silenced,
        }
    }

    /// Counts a request and says how it is answered.
    fn count_request(&self, path: &str) -> DiscoveryBehavior {
        let mut state = self.state();
        state.requests += 1;
        state.full_lists += usize::from(!path.contains("after="));
        state.behavior.clone()
    }
}

/// A fake discovery service.
pub struct Discovery {
    shared: Arc<Shared>,
    connections: Arc<TerminationSignal>,
    listeners: Listeners,
}

impl Discovery {
    /// Listens for those who ask from each of `zones` zones.
    pub fn start(zones: usize) -> io::Result<Discovery> {
        let shared = Arc::<Shared>::default();
        let connections = Arc::<TerminationSignal>::default();
        let served = shared.clone();
        let serve = move |zone, stream| {
            let shared = served.clone();
            async move {
                let _ = serve_connection(&shared, zone, stream).await;
            }
        };
        let addresses = vec![runtime::ANY_PORT; zones];
        let listeners = runtime::listen_by_zone(&addresses, &connections, serve)?;
        Ok(Discovery {
            shared,
            connections,
            listeners,
        })
    }

    /// Where callers of a zone reach it.
    pub fn address(&self, from: usize) -> SocketAddr {
        self.listeners.addresses[from]
    }

    /// Changes or adds entries, under one version; watches are answered at once.
    pub fn update(&self, entries: impl IntoIterator<Item = Entry>) {
        self.shared.state().registry.update(entries);
        self.shared.changed.notify(usize::MAX);
    }

    /// Changes one entry, if it is listed.
    pub fn update_entry(&self, id: &str, change: impl FnOnce(&mut Entry)) {
        let found = self.shared.state().registry.get(id).cloned();
        if let Some(mut e) = found {
            change(&mut e);
            self.update([e]);
        }
    }

    /// All entries.
    pub fn entries(&self) -> Vec<Entry> {
        self.shared.state().registry.entries().cloned().collect()
    }

    /// Behaves like this from now on; connections that are open end.
    pub fn set_behavior(&self, behavior: DiscoveryBehavior) {
        self.shared.state().behavior = behavior;
        self.connections.end();
        self.shared.changed.notify(usize::MAX);
    }

    /// Watches that are open fall silent, though their connections stay. The next connections are
    /// treated as given, then as usual.
    pub fn silence_watches(&self, next: impl IntoIterator<Item = ConnectionBehavior>) {
        let mut state = self.shared.state();
        state.silenced += 1;
        state.next_connections = next.into_iter().collect();
    }

    /// How many connections were opened to it.
    pub fn connections(&self) -> usize {
        let state = self.shared.state();
        state.connections - state.own
    }

    /// Waits until all that was asked before this call is counted: at most one of the connections
    /// that were opened by then goes on. Whether it came to that within [`runtime::TEST_TIMEOUT`].
    pub fn wait_until_requests_counted(&self, from: usize) -> io::Result<bool> {
        // Connections are taken in their order, so each earlier one has been once this one is
        // answered.
        let mut last = TcpStream::connect(self.address(from))?;
        last.set_read_timeout(Some(runtime::TEST_TIMEOUT))?;
        write!(
            last,
            "GET /api/targets?after={}&wait_ms=0 HTTP/1.1\r\n\r\n",
            u64::MAX
        )?;
        last.read_exact(&mut [0; 1])?;
        drop(last);
        self.shared.state().own += 1;
        Ok(runtime::wait_until(|| self.shared.state().open <= 1))
    }

    /// Bytes of all answers so far.
    pub fn bytes_written(&self) -> usize {
        self.shared.state().written
    }

    /// How many requests came.
    pub fn requests(&self) -> usize {
        let state = self.shared.state();
        state.requests - state.own
    }

    /// How many of them asked for the whole list.
    pub fn full_list_requests(&self) -> usize {
        self.shared.state().full_lists
    }

    /// The list as a configuration's `known`.
    pub fn full_list(&self, from: usize) -> Value {
        self.shared.state().registry.full_list(from)
    }
}

/// Counts a connection as open until it is dropped.
struct OpenGuard<'a>(&'a Shared);

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.state().open -= 1;
    }
}

async fn serve_connection(
    shared: &Shared,
    zone: usize,
    mut stream: Async<TcpStream>,
) -> io::Result<()> {
    let _open = OpenGuard(shared);
    let accepted = shared.accept();
    match accepted.behavior {
        Some(ConnectionBehavior::Closed) => return Ok(()),
        Some(ConnectionBehavior::AnsweredAfter(time)) => sleep(time).await,
        Some(ConnectionBehavior::Unanswered) => pending().await,
        None => {}
    }
    while let Some(path) = read_path(&mut stream).await? {
        let body = match shared.count_request(&path) {
            DiscoveryBehavior::ClosesConnections => return Ok(()),
            DiscoveryBehavior::Unresponsive => pending().await,
            DiscoveryBehavior::Sends(text) => {
                stream.write_all(text.as_bytes()).await?;
                continue;
            }
            DiscoveryBehavior::Normal => list_document(shared, zone, &path).await,
        };
        if shared.state().silenced != accepted.silenced {
            pending::<()>().await;
        }
        let answer = registry::http_response(&body);
        shared.state().written += answer.len();
        stream.write_all(answer.as_bytes()).await?;
    }
    Ok(())
}

/// The path of the next request; nothing where the caller has closed or sends no head.
async fn read_path(stream: &mut Async<TcpStream>) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0; 1];
        if stream.read(&mut byte).await? == 0 || head.len() > 8192 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let line = String::from_utf8_lossy(&head);
    Ok(line.split(' ').nth(1).map(str::to_owned))
}

/// The whole list, or what is newer than the version that is named, for which it waits.
async fn list_document(shared: &Shared, zone: usize, path: &str) -> Value {
    let Some((after, wait)) = registry::parse_watch(path) else {
        return shared.state().registry.full_list(zone);
    };
    let newer = async {
        loop {
            let listener = shared.changed.listen();
            if shared.state().registry.version > after {
                return;
            }
            listener.await;
        }
    };
    newer.or(sleep(wait)).await;
    let state = shared.state();
    state.registry.changes_since(after, zone)
}
