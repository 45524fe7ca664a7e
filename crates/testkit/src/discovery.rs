//! A fake discovery service. It serves the endpoint list over HTTP, in full or as a long-poll watch
//! for changes, and gives each caller's zone its own endpoint addresses.

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

/// How discovery responds to requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum DiscoveryBehavior {
    /// Responds with the endpoint list.
    #[default]
    Normal,
    /// Closes the connection without a response.
    ClosesConnections,
    /// Never responds; the connection stays open.
    Unresponsive,
    /// Sends this text in place of an HTTP response.
    Sends(String),
}

/// How one scripted connection is handled. Takes precedence over the [`DiscoveryBehavior`].
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionBehavior {
    /// The connection is closed at once.
    Closed,
    /// The first request is read after this delay; then requests are answered as usual.
    AnsweredAfter(Duration),
    /// Nothing is ever sent on the connection.
    Unanswered,
}

#[derive(Default)]
struct State {
    behavior: DiscoveryBehavior,
    next_connections: VecDeque<ConnectionBehavior>,
    silenced: u64, // how many times the open connections were silenced
    registry: Registry,
    connections: usize,
    open: usize,            // connections that are open now
    own_connections: usize, // opened by `wait_until_requests_counted`, one request each
    bytes_sent: usize,      // bytes of responses
    requests: usize,        // for the full list and for changes
    full_list_count: usize, // requests for the full list
}

/// The state that applies to a connection from the time it was accepted.
struct Accepted {
    behavior: Option<ConnectionBehavior>,
    /// The value of [`State::silenced`] when the connection was accepted.
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

    /// Counts a request and returns the behavior that applies to it.
    fn count_request(&self, path: &str) -> DiscoveryBehavior {
        let mut state = self.state();
        state.requests += 1;
        state.full_list_count += usize::from(!path.contains("after="));
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
    /// Starts a service with one listener for each of `zones` zones.
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

    /// Returns the address for callers in zone `from`.
    pub fn address(&self, from: usize) -> SocketAddr {
        self.listeners.addresses[from]
    }

    /// Adds or replaces entries under one new version. Pending watches are answered at once.
    pub fn update(&self, entries: impl IntoIterator<Item = Entry>) {
        self.shared.state().registry.update(entries);
        self.shared.changed.notify(usize::MAX);
    }

    /// Applies `change` to the entry with this id. Does nothing if the id is not listed.
    pub fn update_entry(&self, id: &str, change: impl FnOnce(&mut Entry)) {
        let found = self.shared.state().registry.get(id).cloned();
        if let Some(mut e) = found {
            change(&mut e);
            self.update([e]);
        }
    }

    /// Applies `change` to the entry with this id, numbers versions anew and closes all open
    /// connections, as a service that restarts without its counts.
    pub fn restart_versions(&self, id: &str, change: impl FnOnce(&mut Entry)) {
        self.connections.end();
        let mut state = self.shared.state();
        if let Some(mut entry) = state.registry.get(id).cloned() {
            change(&mut entry);
            state.registry.update([entry]);
        }
        state.registry.restart_versions();
    }

    /// Returns all entries, terminated ones included, ordered by id.
    pub fn entries(&self) -> Vec<Entry> {
        self.shared.state().registry.entries().cloned().collect()
    }

    /// Sets the behavior for further requests and closes all open connections.
    pub fn set_behavior(&self, behavior: DiscoveryBehavior) {
        self.shared.state().behavior = behavior;
        self.connections.end();
        self.shared.changed.notify(usize::MAX);
    }

    /// Stops responding on the connections that are open now, without closing them.
    ///
    /// The next connections are handled as listed in `next`, later ones as usual.
    pub fn silence_watches(&self, next: impl IntoIterator<Item = ConnectionBehavior>) {
        let mut state = self.shared.state();
        state.silenced += 1;
        state.next_connections = next.into_iter().collect();
    }

    /// Returns how many connections were opened, except by [`Self::wait_until_requests_counted`].
    pub fn connections(&self) -> usize {
        let state = self.shared.state();
        state.connections - state.own_connections
    }

    /// Waits until all requests that were sent before this call are counted, which is when at most
    /// one of the connections opened by then is still open.
    ///
    /// Returns `false` if that does not happen within [`runtime::TEST_TIMEOUT`].
    pub fn wait_until_requests_counted(&self, from: usize) -> io::Result<bool> {
        // Connections are accepted in order, so all earlier ones have been accepted once this one
        // is answered.
        let mut last = TcpStream::connect(self.address(from))?;
        last.set_read_timeout(Some(runtime::TEST_TIMEOUT))?;
        write!(
            last,
            "GET /api/targets?after={}&wait_ms=0 HTTP/1.1\r\n\r\n",
            u64::MAX
        )?;
        last.read_exact(&mut [0; 1])?;
        drop(last);
        self.shared.state().own_connections += 1;
        Ok(runtime::wait_until(|| self.shared.state().open <= 1))
    }

    /// Returns the bytes of all list responses so far, HTTP heads included.
    pub fn bytes_written(&self) -> usize {
        self.shared.state().bytes_sent
    }

    /// Returns how many requests were received, except from
    /// [`Self::wait_until_requests_counted`].
    pub fn requests(&self) -> usize {
        let state = self.shared.state();
        state.requests - state.own_connections
    }

    /// Returns how many requests asked for the full list.
    pub fn full_list_requests(&self) -> usize {
        self.shared.state().full_list_count
    }

    /// Returns the full list for callers in zone `from`, in the form of a configuration's `known`.
    pub fn full_list(&self, from: usize) -> Value {
        self.shared.state().registry.full_list(from)
    }
}

/// Decrements [`State::open`] when it is dropped.
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
        shared.state().bytes_sent += answer.len();
        stream.write_all(answer.as_bytes()).await?;
    }
    Ok(())
}

/// Reads the next request head and returns its path; `None` if the caller closes the connection or
/// sends more than 8 KiB without the end of a head.
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

/// Returns the full list or, for a watch, the changes since the named version. A watch waits for a
/// change until its timeout.
async fn list_document(shared: &Shared, zone: usize, path: &str) -> Value {
    let Some((after, wait)) = registry::parse_watch(path) else {
        return shared.state().registry.full_list(zone);
    };
    let newer_version = async {
        loop {
            let listener = shared.changed.listen();
            if shared.state().registry.version > after {
                return;
            }
            listener.await;
        }
    };
    newer_version.or(sleep(wait)).await;
    let state = shared.state();
    state.registry.changes_since(after, zone)
}
