//! Writing to a client, and closing its connection.

use super::limits::{
    CLOSE_TIMEOUT, MAX_BYTES_AT_CLOSE, SHORT_WRITE_PROGRESS_TIMEOUT, SHORT_WRITE_TIMEOUT,
    WRITE_PROGRESS_TIMEOUT,
};
use crate::agent::Agent;
use crate::protocol::buffer::BASE_CAPACITY;
use crate::protocol::connection::{Connection, SocketTraffic};
use futures_lite::FutureExt;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Writes a reply. Fails if the client reads none of it for [`WRITE_PROGRESS_TIMEOUT`], or does not
/// read it in the shorter times that hold while others wait for the memory of its reply.
pub async fn write_reply(agent: &Agent, client: &mut Connection, reply: &[u8]) -> io::Result<()> {
    let mut timeout = WriteTimeout::new(agent, client.traffic.clone(), reply.len());
    let mut writing = pin!(client.write(reply));
    loop {
        let next_check = async {
            let at = agent.clock.now() + SHORT_WRITE_PROGRESS_TIMEOUT;
            agent.sleep_until(at).await;
            None
        };
        let written = async { Some(writing.as_mut().await) };
        match written.or(next_check).await {
            Some(outcome) => return outcome,
            None => timeout.check()?,
        }
    }
}

/// The times within which a client has to read a reply.
struct WriteTimeout<'a> {
    agent: &'a Agent,
    traffic: Rc<SocketTraffic>,
    /// Whether the reply holds memory that others may wait for.
    is_long: bool,
    started_at: Duration,
    written: u64,
    progress_at: Duration,
}

impl WriteTimeout<'_> {
    fn new(agent: &Agent, traffic: Rc<SocketTraffic>, reply_length: usize) -> WriteTimeout<'_> {
        let now = agent.clock.now();
        WriteTimeout {
            agent,
            written: traffic.written(),
            traffic,
            is_long: reply_length > BASE_CAPACITY,
            started_at: now,
            progress_at: now,
        }
    }

    /// Fails if the client has run out of time.
    fn check(&mut self) -> io::Result<()> {
        let now = self.agent.clock.now();
        let written = self.traffic.written();
        if written > self.written {
            self.written = written;
            self.progress_at = now;
        }
        let counters = &self.agent.counters;
        let memory_is_claimed = self.is_long && self.agent.limits.response_memory.has_waiters();
        let without_progress = now.saturating_sub(self.progress_at);
        if without_progress >= WRITE_PROGRESS_TIMEOUT {
            counters.clients_timed_out.increment();
            log::info!("a client does not read its responses; it is disconnected");
            return Err(io::ErrorKind::TimedOut.into());
        }
        let is_slow = without_progress >= SHORT_WRITE_PROGRESS_TIMEOUT
            || now.saturating_sub(self.started_at) >= SHORT_WRITE_TIMEOUT;
        if memory_is_claimed && is_slow {
            counters.clients_closed_for_memory.increment();
            log::debug!("a client reads its response slowly while others wait for memory; it is disconnected");
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }
}

/// Closes a connection so that its last reply arrives: closing a socket with unread input would
/// reset the connection and lose the reply. A client that keeps writing beyond the limits is reset.
pub async fn close_gracefully(agent: &Agent, mut client: Connection) {
    client.shutdown_write();
    client.arrivals = None;
    let timeout = agent.sleep_until(agent.clock.now() + CLOSE_TIMEOUT);
    discard_input(&mut client).or(timeout).await;
}

/// Reads and discards what a client still writes, up to [`MAX_BYTES_AT_CLOSE`] bytes.
async fn discard_input(client: &mut Connection) {
    let mut discarded = 0;
    client.consume(usize::MAX);
    while discarded < MAX_BYTES_AT_CLOSE && !client.is_open_and_quiet() {
        match client.read_more().await {
            Ok(count) if count > 0 => discarded += count,
            _ => return,
        }
        client.consume(usize::MAX);
    }
}
