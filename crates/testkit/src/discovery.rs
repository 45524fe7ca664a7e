//! Discovery: the list over HTTP, whole or as a watch, told to each zone with the addresses that
//! are its own.

pub use crate::registry::Entry;
use crate::registry::{self, Registry};
use crate::runtime::{self, lock_unpoisoned, sleep, TerminationSignal};
use async_executor::Task;
use async_io::Async;
use event_listener::Event;
use futures_lite::future::FutureExt;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::Value;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// What is wrong with it.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum DiscoveryBehavior {
    #[default]
    Normal,
    /// Refuses to answer: each connection is closed.
    ClosesConnections,
    /// Takes what is asked and says nothing.
    Unresponsive,
    /// Answers with this.
    Sends(String),
}

/// How one further connection is met, whatever the manner.
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionBehavior {
    /// It is closed.
    Closed,
    /// It is answered as ever from now on, after so long.
    AnsweredAfter(Duration),
    /// Nothing is ever said on it.
    Unanswered,
}

#[derive(Default)]
struct State {
    manner: DiscoveryBehavior,
    next: VecDeque<ConnectionBehavior>, // how the next connections are met
    hushes: u64,                        // how often open connections fell silent
    registry: Registry,
    connections: usize,
    open: usize,    // of them
    own: usize,     // of them, one call each: those of `settled`
    written: usize, // bytes
    asked: usize,
    wholes: usize,
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
}

pub struct Discovery {
    shared: Arc<Shared>,
    ends: Arc<TerminationSignal>,
    addresses: Vec<SocketAddr>,
    _listening: Vec<Task<()>>,
}

impl Discovery {
    /// Listens for those who ask from each of `zones` zones.
    pub fn start(zones: usize) -> io::Result<Discovery> {
        let (shared, ends) = (
            Arc::<Shared>::default(),
            Arc::<TerminationSignal>::default(),
        );
        let (mut addresses, mut listening) = (Vec::new(), Vec::new());
        for from in 0..zones {
            let s = shared.clone();
            let serve = move |stream| {
                let shared = s.clone();
                async move {
                    let _ = talk(&shared, from, stream).await;
                }
            };
            let (address, task) = runtime::listen(&ends, serve)?;
            addresses.push(address);
            listening.push(task);
        }
        Ok(Discovery {
            shared,
            ends,
            addresses,
            _listening: listening,
        })
    }

    pub fn address(&self, from: usize) -> SocketAddr {
        self.addresses[from]
    }

    /// Changes or adds entries; who watches is told at once. One version for all of them.
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

    pub fn entries(&self) -> Vec<Entry> {
        self.shared.state().registry.entries().cloned().collect()
    }

    /// Behaves like this from now on; connections that are open end.
    pub fn set_behavior(&self, manner: DiscoveryBehavior) {
        self.shared.state().manner = manner;
        self.ends.end();
        self.shared.changed.notify(usize::MAX);
    }

    /// Watches that are open fall silent, though their connections stay; the next ones are met like
    /// this, then as ever.
    pub fn silence_watches(&self, next: impl IntoIterator<Item = ConnectionBehavior>) {
        let mut state = self.shared.state();
        state.hushes += 1;
        state.next = next.into_iter().collect();
    }

    /// How many connections were opened to it.
    pub fn connections(&self) -> usize {
        let state = self.shared.state();
        state.connections - state.own
    }

    /// Waits until all that was asked before this call is counted: at most one of the connections
    /// that were opened by then goes on. Whether it came to that within [`ground::SOON`].
    pub fn settled(&self, from: usize) -> io::Result<bool> {
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

    /// How often anything was asked.
    pub fn requests(&self) -> usize {
        let state = self.shared.state();
        state.asked - state.own
    }

    /// How often the whole list was.
    pub fn full_list_requests(&self) -> usize {
        self.shared.state().wholes
    }

    /// The list as a configuration's `known`.
    pub fn full_list(&self, from: usize) -> Value {
        self.shared.state().registry.full_list(from)
    }
}

/// A connection that is open, until it is dropped.
struct Opened<'a>(&'a Shared);

impl Drop for Opened<'_> {
    fn drop(&mut self) {
        self.0.state().open -= 1;
    }
}

async fn talk(shared: &Shared, from: usize, mut stream: Async<TcpStream>) -> io::Result<()> {
    let _open = Opened(shared);
    let (meets, hushes) = {
        let mut state = shared.state();
        (state.connections, state.open) = (state.connections + 1, state.open + 1);
        (state.next.pop_front(), state.hushes)
    };
    match meets {
        Some(ConnectionBehavior::Closed) => return Ok(()),
        Some(ConnectionBehavior::AnsweredAfter(time)) => sleep(time).await,
        Some(ConnectionBehavior::Unanswered) => futures_lite::future::pending().await,
        None => {}
    }
    loop {
        let Some(path) = question(&mut stream).await? else {
            return Ok(());
        };
        let manner = {
            let mut state = shared.state();
            state.asked += 1;
            state.wholes += usize::from(!path.contains("after="));
            state.manner.clone()
        };
        let body = match manner {
            DiscoveryBehavior::ClosesConnections => return Ok(()),
            DiscoveryBehavior::Unresponsive => futures_lite::future::pending().await,
            DiscoveryBehavior::Sends(text) => {
                stream.write_all(text.as_bytes()).await?;
                continue;
            }
            DiscoveryBehavior::Normal => told(shared, from, &path).await,
        };
        if shared.state().hushes != hushes {
            futures_lite::future::pending::<()>().await;
        }
        let answer = registry::http_response(&body);
        shared.state().written += answer.len();
        stream.write_all(answer.as_bytes()).await?;
    }
}

async fn question(stream: &mut Async<TcpStream>) -> io::Result<Option<String>> {
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
async fn told(shared: &Shared, from: usize, path: &str) -> Value {
    let Some((after, wait)) = registry::parse_watch(path) else {
        return shared.state().registry.full_list(from);
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
    state.registry.changes_since(after, from)
}
