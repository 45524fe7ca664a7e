//! A way to a fake that counts what passes, for one agent and one party.

use async_io::Async;
use futures_lite::future::FutureExt;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tulipwall_testkit::runtime::{self, lock_unpoisoned, TerminationSignal};

/// Single passages kept at most; beyond, only sums go on.
const KEPT: usize = 100_000;

/// Bytes that passed at once.
#[derive(Clone, Copy, Debug)]
pub struct Passage {
    pub at: Instant,
    /// Counted from 1 in the order they came.
    pub connection: u64,
    /// From the agent, or to it.
    pub asked: bool,
    pub bytes: u64,
}

/// What has passed so far, payload alone: without the heads of TCP and IP.
#[derive(Clone, Debug, Default)]
pub struct Passed {
    /// From the agent.
    pub asked: u64,
    /// To the agent.
    pub told: u64,
    pub connections: u64,
    pub passages: Vec<Passage>,
}

impl Passed {
    pub fn bytes(&self) -> u64 {
        self.asked + self.told
    }
}

pub struct Meter {
    pub address: SocketAddr,
    passed: Arc<Mutex<Passed>>,
    ends: Arc<TerminationSignal>,
    _task: async_executor::Task<()>,
}

impl Meter {
    /// Passes on all that comes to a fake at this address, and back.
    pub fn start(to: SocketAddr) -> io::Result<Meter> {
        let (passed, ends) = (
            Arc::<Mutex<Passed>>::default(),
            Arc::<TerminationSignal>::default(),
        );
        let p = passed.clone();
        let (address, task) = runtime::listen(&ends, move |stream| {
            let passed = p.clone();
            async move {
                let _ = pass(stream, to, &passed).await;
            }
        })?;
        Ok(Meter {
            address,
            passed,
            ends,
            _task: task,
        })
    }

    pub fn passed(&self) -> Passed {
        lock_unpoisoned(&self.passed).clone()
    }

    pub fn bytes(&self) -> u64 {
        lock_unpoisoned(&self.passed).bytes()
    }

    /// The first answer that began at or after `since` and was followed by another question on its
    /// connection: what came, when it was whole and when that question came.
    pub fn taken_in(&self, since: Instant) -> Option<Taken> {
        let passed = lock_unpoisoned(&self.passed);
        let mut answers: BTreeMap<u64, Taken> = BTreeMap::new();
        for p in passed.passages.iter().filter(|p| p.at >= since) {
            match (p.asked, answers.get_mut(&p.connection)) {
                (true, Some(taken)) => {
                    return Some(Taken {
                        next: p.at,
                        ..*taken
                    })
                }
                (true, None) => {}
                (false, Some(taken)) => (taken.whole, taken.bytes) = (p.at, taken.bytes + p.bytes),
                (false, None) => {
                    let taken = Taken {
                        began: p.at,
                        whole: p.at,
                        next: p.at,
                        bytes: p.bytes,
                    };
                    answers.insert(p.connection, taken);
                }
            }
        }
        None
    }

    /// When anything was told first.
    pub fn first_told(&self) -> Option<Instant> {
        lock_unpoisoned(&self.passed)
            .passages
            .iter()
            .find(|p| !p.asked)
            .map(|p| p.at)
    }
}

/// An answer that was taken in.
#[derive(Clone, Copy, Debug)]
pub struct Taken {
    pub began: Instant,
    pub whole: Instant,
    /// When its reader asked again.
    pub next: Instant,
    pub bytes: u64,
}

impl Drop for Meter {
    fn drop(&mut self) {
        self.ends.end();
    }
}

async fn pass(agent: Async<TcpStream>, to: SocketAddr, passed: &Mutex<Passed>) -> io::Result<()> {
    let connection = {
        let mut p = lock_unpoisoned(passed);
        p.connections += 1;
        p.connections
    };
    let party = Async::<TcpStream>::connect(to).await?;
    party.get_ref().set_nodelay(true)?;
    copy(&agent, &party, passed, (connection, true))
        .or(copy(&party, &agent, passed, (connection, false)))
        .await?;
    let _ = agent.get_ref().shutdown(Shutdown::Both);
    let _ = party.get_ref().shutdown(Shutdown::Both);
    Ok(())
}

async fn copy(
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
    passed: &Mutex<Passed>,
    (connection, asked): (u64, bool),
) -> io::Result<()> {
    let mut room = vec![0; 64 * 1024];
    loop {
        let got = from.read(&mut room).await?;
        if got == 0 {
            return Ok(());
        }
        // Counted before it goes on: an answer that was taken in must never seem to lack a part.
        {
            let mut p = lock_unpoisoned(passed);
            *(if asked { &mut p.asked } else { &mut p.told }) += got as u64;
            if p.passages.len() < KEPT {
                p.passages.push(Passage {
                    at: Instant::now(),
                    connection,
                    asked,
                    bytes: got as u64,
                });
            }
        }
        to.write_all(&room[..got]).await?;
    }
}
