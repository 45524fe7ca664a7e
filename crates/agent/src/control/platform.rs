//! The conversation with the platform: what it tells, and votes. One connection at a time, but for
//! an old one that is heard out once the address has changed.

use crate::agent::{Agent, CastVote};
use crate::lifecycle::phase::ControlService;
use crate::observability::logging::EVIDENCE;
use crate::protocol::connection::Connection;
use crate::protocol::platform::{self, PlatformMessage};
use crate::protocol::ProtocolError;
use futures_lite::FutureExt;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tulipwall::{PlatformCounts, Vote, VoteReply};

/// A sign of life is due every second: without one for as long as this the connection is opened
/// anew.
const SILENT: Duration = Duration::from_millis(3500);
/// How long until it is opened again: at first, doubled while nothing is heard there, and at most.
const PAUSE: Duration = Duration::from_millis(50);
const PAUSE_MOST: Duration = Duration::from_secs(1);
/// How soon the rest of a line that has begun must come.
const REST_WITHIN: Duration = Duration::from_millis(500);
/// What still comes on an old connection after the address has changed.
const HEARD_OUT: Duration = Duration::from_secs(2);

/// The calls on all connections: their numbers never meet.
#[derive(Default)]
struct Calls {
    last: Cell<u64>,
    vote: Cell<Option<u64>>, // the one that is out
    owes: Cell<bool>,        // the platform was not yet heard at its new address
}

impl Calls {
    fn next(&self) -> u64 {
        self.last.set(self.last.get() + 1);
        self.last.get()
    }
}

/// A connection to the platform.
struct Talk {
    connection: Connection,
    vote: Option<u64>, // the last one written here
    heard: bool,       // a whole line
}

pub async fn run(agent: &Rc<Agent>) {
    let calls = Rc::new(Calls::default());
    let mut pause = PAUSE;
    loop {
        let moves = agent.control.platform.changes();
        let Some(address) = agent.control.platform.get() else {
            agent.control.platform.changed_since(moves).await;
            calls.owes.set(true);
            continue;
        };
        let mut talk = None;
        let moved = async {
            agent.control.platform.changed_since(moves).await;
            "its address has changed".to_owned()
        };
        let what = moved.or(converse(agent, address, &calls, &mut talk)).await;
        log::debug!("platform: {what}");
        if agent.control.platform.changes() != moves {
            // At once, and the old connection is heard out meanwhile: what it tells is not told
            // again.
            calls.owes.set(true);
            if let Some(talk) = talk {
                let (agent, calls) = (agent.clone(), calls.clone());
                agent
                    .clone()
                    .executors
                    .tasks
                    .spawn(async move { hear_out(&agent, talk, &calls).await })
                    .detach();
            }
            continue;
        }
        agent.counters.platform_disconnects.increment();
        // What is told while no connection is open is not told again: at once where it spoke, later
        // and later where it did not.
        let spoke = talk.as_ref().is_some_and(|t| t.heard);
        pause = if spoke {
            PAUSE
        } else {
            (pause * 2).min(PAUSE_MOST)
        };
        if let Some(talk) = talk {
            lost(agent, &talk, &calls);
        }
        if !spoke && agent.control.pending_vote.take().is_some() {
            // It was not written and never will count.
            agent.balancer.on_vote_reply(VoteReply::Refused);
        }
        agent
            .control
            .platform
            .changed_since(moves)
            .or(agent.sleep_until(agent.clock.now() + pause))
            .await;
        calls
            .owes
            .set(calls.owes.get() || agent.control.platform.changes() != moves);
    }
}

/// A vote that was written may count, though its answer will not come.
fn lost(agent: &Agent, talk: &Talk, calls: &Calls) {
    if talk.vote.is_some() && calls.vote.get() == talk.vote {
        calls.vote.set(None);
        agent.balancer.on_vote_reply(VoteReply::Unknown);
    }
}

enum Next {
    Heard(usize),
    Vote,
    Silent,
}

/// Runs until the connection ends or falls silent; says why.
async fn converse(
    agent: &Agent,
    address: SocketAddr,
    calls: &Calls,
    talk: &mut Option<Talk>,
) -> String {
    let late = async {
        agent.sleep_until(agent.clock.now() + SILENT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let connection = match Connection::open(address).or(late).await {
        Ok(connection) => connection,
        Err(e) => return e.to_string(),
    };
    let talk = talk.insert(Talk {
        connection,
        vote: None,
        heard: false,
    });
    if let Err(e) = talk
        .connection
        .write(platform::watch_request(calls.next()).as_bytes())
        .await
    {
        return e.to_string();
    }
    let mut quiet_until = agent.clock.now() + SILENT;
    loop {
        match lines(agent, talk, calls, true) {
            Ok(0) => {}
            Ok(_) if calls.owes.take() => agent.lifecycle.on_contact(ControlService::Platform),
            Ok(_) => {}
            Err(garbage) => {
                log::warn!("platform: {garbage}; its connection is closed");
                return garbage.to_string();
            }
        }
        if let Some(CastVote { vote, cast_at }) = agent.control.pending_vote.take() {
            // One that waited for its connection for as long as an answer may take is cast anew.
            if agent.clock.now() < cast_at + agent.service_config().settings.rollout.vote_timeout {
                let id = calls.next();
                if let Err(e) = talk
                    .connection
                    .write(platform::vote_request(id, &vote).as_bytes())
                    .await
                {
                    agent.balancer.on_vote_reply(VoteReply::Refused);
                    return e.to_string();
                }
                let Vote {
                    build,
                    stage,
                    verdict,
                } = &vote;
                let now = agent.clock.wall(agent.clock.now());
                log::debug!(target: EVIDENCE, "{now} vote build {build} stage {stage} {verdict:?}");
                talk.vote = Some(id);
                calls.vote.set(Some(id));
                agent.counters.votes_sent.increment();
            }
        }
        let voted = agent.control.pending_vote.listen();
        if agent.control.pending_vote.is_some() {
            continue;
        }
        // Guards against a line that stops short of its end, behind which nothing can be read.
        let begun = !talk.connection.inbox.is_empty();
        let rest = if begun {
            agent.clock.now() + REST_WITHIN
        } else {
            quiet_until
        };
        let heard = async { talk.connection.read_more().await.map(Next::Heard) };
        let vote = async {
            voted.await;
            Ok(Next::Vote)
        };
        let silent = async {
            agent.sleep_until(quiet_until.min(rest)).await;
            Ok(Next::Silent)
        };
        match heard.or(vote).or(silent).await {
            Ok(Next::Heard(0)) => return "it ended".into(),
            Ok(Next::Heard(_)) => quiet_until = agent.clock.now() + SILENT,
            Ok(Next::Vote) => {}
            Ok(Next::Silent) => return "it is silent".into(),
            Err(e) => return e.to_string(),
        }
    }
}

/// Hears an old connection to its end: the answer to a vote, and what was told before the new one
/// was open.
async fn hear_out(agent: &Agent, mut talk: Talk, calls: &Calls) {
    let heard = async {
        while lines(agent, &mut talk, calls, calls.owes.get()).is_ok()
            && talk.connection.read_more().await.is_ok_and(|n| n > 0)
        {}
    };
    heard
        .or(agent.sleep_until(agent.clock.now() + HEARD_OUT))
        .await;
    lost(agent, &talk, calls);
}

/// Tells the module all whole lines that have come in; only the answer to its vote unless `all`.
/// How many there were.
fn lines(agent: &Agent, talk: &mut Talk, calls: &Calls, all: bool) -> Result<usize, ProtocolError> {
    let mut count = 0;
    while let Some((bytes, took)) = platform::split_line(talk.connection.inbox.unread())? {
        let line = platform::parse_message(bytes)?;
        talk.connection.inbox.consume(took);
        (count, talk.heard) = (count + 1, true);
        match line {
            PlatformMessage::RolloutStatus(told) if all => agent.update_rollout(told),
            PlatformMessage::ClientReportedError {
                endpoint,
                class,
                age,
            } if all => {
                if let (Some(a), Some(l)) = (
                    agent.endpoints.index_of(&endpoint),
                    agent.service_config().class(&class),
                ) {
                    let build = agent.endpoints.target(a).map_or(0, |t| t.build);
                    log::debug!(target: EVIDENCE, "{} client_error class {l} build {build}", agent.clock.wall(agent.clock.now()));
                    agent.balancer.on_client_reported_error(a, l, age);
                }
            }
            PlatformMessage::AggregatedCounts {
                build,
                class,
                attempts,
                failed,
                mean_latency,
                age,
            } if all => {
                if let Some(class) = agent.service_config().class(&class) {
                    let (attempts, failed) = (attempts.into(), failed.into());
                    agent.balancer.on_platform_counts(&PlatformCounts {
                        build,
                        class,
                        attempts,
                        failed,
                        mean_latency,
                        age,
                    });
                }
            }
            PlatformMessage::Response { id, reply, rollout } => {
                if let Some(told) = rollout.filter(|_| all) {
                    agent.update_rollout(told);
                }
                if calls.vote.get() == Some(id) {
                    calls.vote.set(None);
                    log::debug!(target: EVIDENCE, "{} vote {reply:?}", agent.clock.wall(agent.clock.now()));
                    agent.balancer.on_vote_reply(reply);
                }
            }
            PlatformMessage::RolloutStatus(_)
            | PlatformMessage::ClientReportedError { .. }
            | PlatformMessage::AggregatedCounts { .. }
            | PlatformMessage::Heartbeat => {}
        }
    }
    Ok(count)
}
