//! Writing to a client, and closing its connection.

use super::limits::{CLOSE_TIMEOUT, MAX_BYTES_AT_CLOSE, WRITE_PROGRESS_TIMEOUT};
use crate::agent::Agent;
use crate::protocol::connection::Connection;
use futures_lite::FutureExt;
use std::io;
use std::pin::pin;

/// Writes a reply, and fails if the client reads none of it for [`WRITE_PROGRESS_TIMEOUT`].
pub async fn write_reply(agent: &Agent, client: &mut Connection, reply: &[u8]) -> io::Result<()> {
    let traffic = client.traffic.clone();
    let mut writing = pin!(client.write(reply));
    loop {
        let written_before = traffic.written();
        let timeout = async {
            agent
                .sleep_until(agent.clock.now() + WRITE_PROGRESS_TIMEOUT)
                .await;
            None
        };
        let written = async { Some(writing.as_mut().await) };
        match written.or(timeout).await {
            Some(outcome) => return outcome,
            None if traffic.written() > written_before => {}
            None => {
                agent.counters.clients_timed_out.increment();
                log::info!("a client does not read its responses; it is disconnected");
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
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
    client.receive_buffer.consume(usize::MAX);
    while discarded < MAX_BYTES_AT_CLOSE && !client.is_open_and_quiet() {
        match client.read_more().await {
            Ok(count) if count > 0 => discarded += count,
            _ => return,
        }
        client.receive_buffer.consume(usize::MAX);
    }
}
