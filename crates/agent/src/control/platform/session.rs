//! A session with the platform: one connection, from its first call until it ends.

use super::calls::Calls;
use super::messages::{handle_message, AcceptedMessages};
use crate::agent::{Agent, CastVote};
use crate::lifecycle::phase::ControlService;
use crate::observability::logging::log_evidence;
use crate::protocol::connection::Connection;
use crate::protocol::platform::{self, PlatformMessage};
use crate::protocol::ProtocolError;
use futures_lite::FutureExt;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall::{Vote, VoteReply};

/// The platform sends a heartbeat every second. After this long without data the connection is
/// reopened.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(3500);
/// Once a line has begun, more of it must arrive within this time.
const LINE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an old connection is still read after the address has changed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum SessionEnd {
    #[error("the address has changed")]
    AddressChanged,
    #[error("the connection ended")]
    Closed,
    #[error("no data within the heartbeat timeout")]
    HeartbeatTimeout,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
}

/// An event that a session waits for.
enum SessionEvent {
    Received(usize),
    VoteCast,
    TimedOut,
}

/// One connection to the platform.
pub(super) struct Session {
    connection: Connection,
    /// The id of the call with the last vote written on this connection; `None` before the first.
    last_vote: Option<u64>,
    /// The id of the last call that was replied to on this connection; `None` before the first.
    last_reply: Option<u64>,
    /// Whether a complete line was received.
    pub(super) received_line: bool,
}

/// Runs a session until its connection ends or times out, and returns the reason. Once connected,
/// the session is stored in `session`, where it stays after the end.
pub(super) async fn run_session(
    agent: &Agent,
    address: SocketAddr,
    calls: &Calls,
    session: &mut Option<Session>,
) -> SessionEnd {
    let connection = match connect(agent, address).await {
        Ok(connection) => connection,
        Err(error) => return error.into(),
    };
    let session = session.insert(Session {
        connection,
        last_vote: None,
        last_reply: None,
        received_line: false,
    });
    match session.run(agent, calls).await {
        Ok(never) => match never {},
        Err(end) => end,
    }
}

async fn connect(agent: &Agent, address: SocketAddr) -> io::Result<Connection> {
    let timeout = async {
        agent
            .sleep_until(agent.clock.now() + HEARTBEAT_TIMEOUT)
            .await;
        Err(io::ErrorKind::TimedOut.into())
    };
    Connection::open(address).or(timeout).await
}

impl Session {
    async fn run(&mut self, agent: &Agent, calls: &Calls) -> Result<Infallible, SessionEnd> {
        let subscription = platform::watch_request(calls.next_id());
        self.connection.write(subscription.as_bytes()).await?;
        let mut heartbeat_due = agent.clock.now() + HEARTBEAT_TIMEOUT;
        loop {
            self.handle_received(agent, calls)?;
            self.write_pending_vote(agent, calls).await?;
            let vote_cast = agent.control.pending_vote.listen();
            if agent.control.pending_vote.is_some() {
                continue;
            }
            let vote_cast = async {
                vote_cast.await;
                Ok(SessionEvent::VoteCast)
            };
            match self.wait_for_event(agent, vote_cast, heartbeat_due).await? {
                SessionEvent::Received(0) => return Err(SessionEnd::Closed),
                SessionEvent::Received(_) => heartbeat_due = agent.clock.now() + HEARTBEAT_TIMEOUT,
                SessionEvent::VoteCast => {}
                SessionEvent::TimedOut => return Err(SessionEnd::HeartbeatTimeout),
            }
        }
    }

    fn handle_received(&mut self, agent: &Agent, calls: &Calls) -> Result<(), ProtocolError> {
        match self.handle_lines(agent, calls, AcceptedMessages::All) {
            Ok(received) => {
                if received && calls.awaiting_contact.take() {
                    agent.lifecycle.on_contact(ControlService::Platform);
                }
                Ok(())
            }
            Err(error) => {
                log::warn!("platform: {error}; its connection is closed");
                Err(error)
            }
        }
    }

    async fn write_pending_vote(&mut self, agent: &Agent, calls: &Calls) -> io::Result<()> {
        let Some(CastVote { vote, cast_at }) = agent.control.pending_vote.take() else {
            return Ok(());
        };
        // The balancer casts a vote again if its reply takes longer than the vote timeout. A vote
        // that has waited for a connection for that long is dropped.
        let vote_timeout = agent.service_config().settings.rollout.vote_timeout;
        if agent.clock.now() >= cast_at + vote_timeout {
            return Ok(());
        }
        let id = calls.next_id();
        let request = platform::vote_request(id, &vote);
        if let Err(error) = self.connection.write(request.as_bytes()).await {
            agent.balancer.on_vote_reply(VoteReply::Refused);
            return Err(error);
        }
        let Vote {
            build,
            stage,
            verdict,
        } = &vote;
        log_evidence!(agent.clock, "vote build {build} stage {stage} {verdict:?}");
        self.last_vote = Some(id);
        calls.pending_vote.set(Some(id));
        agent.counters.votes_sent.increment();
        Ok(())
    }

    async fn wait_for_event(
        &mut self,
        agent: &Agent,
        vote_cast: impl Future<Output = io::Result<SessionEvent>>,
        heartbeat_due: Duration,
    ) -> io::Result<SessionEvent> {
        // Guards against a truncated line, after which no other line could be read.
        let line_begun = !self.connection.receive_buffer.is_empty();
        let read_deadline = if line_begun {
            heartbeat_due.min(agent.clock.now() + LINE_TIMEOUT)
        } else {
            heartbeat_due
        };
        let received = async {
            self.connection
                .read_more()
                .await
                .map(SessionEvent::Received)
        };
        let timed_out = async {
            agent.sleep_until(read_deadline).await;
            Ok(SessionEvent::TimedOut)
        };
        received.or(vote_cast).or(timed_out).await
    }

    /// Handles all complete lines that were received. Returns whether there were any.
    fn handle_lines(
        &mut self,
        agent: &Agent,
        calls: &Calls,
        accepted: AcceptedMessages,
    ) -> Result<bool, ProtocolError> {
        let mut received = false;
        while let Some((line, length)) =
            platform::split_line(self.connection.receive_buffer.unread())?
        {
            let message = platform::parse_message(line)?;
            self.connection.receive_buffer.consume(length);
            self.received_line = true;
            received = true;
            if self.is_repeated_reply(calls, &message) {
                continue;
            }
            handle_message(agent, calls, message, accepted);
        }
        Ok(received)
    }

    /// Returns whether this is another reply to a call that already has one. Ids increase, and
    /// replies arrive in the order of the calls.
    ///
    /// Guards against a rollout status in it that has changed since the first reply.
    fn is_repeated_reply(&mut self, calls: &Calls, message: &PlatformMessage) -> bool {
        let PlatformMessage::Response { id, .. } = message else {
            return false;
        };
        if self.last_reply.is_some_and(|last| *id <= last) {
            log::debug!("platform: another reply to call {id} is ignored");
            return true;
        }
        // An id that no call has had must not make the replies to all later calls repeated ones.
        if calls.was_issued(*id) {
            self.last_reply = Some(*id);
        }
        false
    }

    /// Reads an old connection until it ends, for the reply to a vote and for what the platform
    /// reports there before the new connection is open.
    pub(super) async fn drain(mut self, agent: &Agent, calls: &Calls) {
        let read_to_end = async {
            loop {
                let accepted = if calls.awaiting_contact.get() {
                    AcceptedMessages::All
                } else {
                    AcceptedMessages::VoteReplies
                };
                if self.handle_lines(agent, calls, accepted).is_err() {
                    return;
                }
                match self.connection.read_more().await {
                    Ok(length) if length > 0 => {}
                    _ => return,
                }
            }
        };
        read_to_end
            .or(agent.sleep_until(agent.clock.now() + DRAIN_TIMEOUT))
            .await;
        self.abandon_vote(agent, calls);
    }

    /// Reports the vote that was written on this connection as [`VoteReply::Unknown`] if it has no
    /// reply yet: it may count, but its reply will not arrive.
    pub(super) fn abandon_vote(&self, agent: &Agent, calls: &Calls) {
        if self.last_vote.is_some() && calls.pending_vote.get() == self.last_vote {
            calls.pending_vote.set(None);
            agent.balancer.on_vote_reply(VoteReply::Unknown);
        }
    }
}
