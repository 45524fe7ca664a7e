//! One connection to the platform, from its first call to its end.

use super::calls::Calls;
use super::messages::{handle_message, AcceptedMessages};
use crate::agent::{Agent, CastVote};
use crate::lifecycle::phase::ControlService;
use crate::observability::logging::log_evidence;
use crate::protocol::connection::Connection;
use crate::protocol::platform;
use crate::protocol::ProtocolError;
use futures_lite::FutureExt;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall::{Vote, VoteReply};

/// A heartbeat is due every second: without one for as long as this the connection is opened anew.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(3500);
/// How soon the rest of a line must come once it has begun.
const LINE_TIMEOUT: Duration = Duration::from_millis(500);
/// For how long an old connection is still read after the address has changed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum SessionEnd {
    #[error("its address has changed")]
    AddressChanged,
    #[error("it ended")]
    Closed,
    #[error("it is silent")]
    HeartbeatTimeout,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
}

/// What a session waits for.
enum SessionEvent {
    Received(usize),
    VoteCast,
    TimedOut,
}

/// One connection to the platform.
pub(super) struct Session {
    connection: Connection,
    /// The call with the last vote written here.
    last_vote: Option<u64>,
    /// Whether a whole line was received.
    pub(super) received_line: bool,
}

/// Runs until the connection ends or falls silent; says why. The session is left in `session` once
/// it is connected.
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
        let mut silent_at = agent.clock.now() + HEARTBEAT_TIMEOUT;
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
            match self.wait_for_event(agent, vote_cast, silent_at).await? {
                SessionEvent::Received(0) => return Err(SessionEnd::Closed),
                SessionEvent::Received(_) => silent_at = agent.clock.now() + HEARTBEAT_TIMEOUT,
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
        // One that waited for its connection for as long as a reply may take is cast anew.
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
        silent_at: Duration,
    ) -> io::Result<SessionEvent> {
        // Guards against a line that stops short of its end, behind which nothing can be read.
        let line_begun = !self.connection.receive_buffer.is_empty();
        let times_out_at = if line_begun {
            silent_at.min(agent.clock.now() + LINE_TIMEOUT)
        } else {
            silent_at
        };
        let received = async {
            self.connection
                .read_more()
                .await
                .map(SessionEvent::Received)
        };
        let timed_out = async {
            agent.sleep_until(times_out_at).await;
            Ok(SessionEvent::TimedOut)
        };
        received.or(vote_cast).or(timed_out).await
    }

    /// Handles all whole lines that were received; whether there were any.
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
            handle_message(agent, calls, message, accepted);
        }
        Ok(received)
    }

    /// Reads an old connection to its end: the reply to a vote, and what was reported before the
    /// new one was open.
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

    /// A vote that was written may count, though its reply will not come.
    pub(super) fn abandon_vote(&self, agent: &Agent, calls: &Calls) {
        if self.last_vote.is_some() && calls.pending_vote.get() == self.last_vote {
            calls.pending_vote.set(None);
            agent.balancer.on_vote_reply(VoteReply::Unknown);
        }
    }
}
