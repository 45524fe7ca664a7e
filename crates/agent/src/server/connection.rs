//! A client's connection, from its startup message to its end.

use crate::agent::Agent;
use crate::lifecycle::phase::Phase;
use crate::protocol::buffer::MemoryReservation;
use crate::protocol::connection::Connection;
use crate::protocol::error::{PostgresError, StatementError};
use crate::protocol::postgres::{self, ClientOpening};
use crate::protocol::statement::Statement;
use crate::protocol::ProtocolError;
use crate::runtime::reactor::Timer;
use crate::server::request::{handle_request, FinalResponse};
use crate::upstream::limits::ConnectionPermit;
use futures_lite::future::{self, FutureExt};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tulipwall_config::ServiceConfig;

/// How long a client beyond the limit, or one that comes at the very end, has for its first
/// request, and one that holds half a message for its rest while memory is short.
const FIRST_WITHIN: Duration = Duration::from_millis(300);
/// How soon a client that was held back is read again.
const HELD_BACK: Duration = Duration::from_millis(5);

/// How long a client may take from its connection to its first whole request, and from the first
/// byte of a message to its last. Guards against clients that hold a place and say nothing, or half
/// of it.
const HEARD_WITHIN: Duration = Duration::from_secs(2);
/// How long, and how much, a client that was told of its end may still write.
const HEARD_OUT: Duration = Duration::from_secs(1);
const HEARD_OUT_MOST: usize = 1024 * 1024;
/// Requests that may wait behind the one in hand. With more of them it is rejected at once: answers
/// keep their order, so that one behind it could not be.
const BEHIND_MOST: usize = 32;
/// How long a client may leave what it was told unread, without taking in any of it. Guards places
/// and the shutdown against clients that never read; a slow one goes on taking some.
const TAKEN_WITHIN: Duration = Duration::from_secs(5);

/// Serves a client until it leaves, breaks the protocol, or is idle when the agent needs it to go.
pub async fn serve(agent: Rc<Agent>, mut client: Connection, _slot: ConnectionPermit) {
    let (mut reply, mut open) = (Vec::new(), false);
    // When what was begun must be whole: the first request, later each message.
    let mut whole_by = Some(agent.clock.now() + HEARD_WITHIN);
    loop {
        let step = if open {
            handle_message(&agent, &mut client, &mut reply).await
        } else {
            greet(&mut client, &mut reply)
        };
        let go_on = match step {
            Ok(Step::Answer) => {
                whole_by = whole_by.filter(|_| !open);
                true
            }
            Ok(Step::Open) => {
                open = true;
                true
            }
            Ok(Step::More) => {
                if !client.inbox.is_empty() {
                    whole_by.get_or_insert(agent.clock.now() + HEARD_WITHIN);
                }
                match more(&agent, &mut client, whole_by).await {
                    More::Came => continue,
                    More::Over => {
                        agent.counters.clients_closed.increment();
                        return;
                    }
                    More::Late => {
                        agent.counters.clients_timed_out.increment();
                        let missing = if client.inbox.is_empty() {
                            "command"
                        } else {
                            "message"
                        };
                        postgres::write_fatal(
                            &mut reply,
                            &PostgresError::ReceiveTimeout { missing }.into(),
                        );
                        false
                    }
                }
            }
            Ok(Step::End) => false,
            Err(fault) => {
                agent.counters.requests_invalid.increment();
                postgres::write_fatal(&mut reply, &fault);
                false
            }
        };
        if !reply.is_empty() && tell(&agent, &mut client, &reply).await.is_err() {
            return;
        }
        if !go_on {
            return finish(&agent, client).await;
        }
        reply.clear();
    }
}

/// Writes an answer, for as long as some of it is taken in now and then.
async fn tell(agent: &Agent, client: &mut Connection, reply: &[u8]) -> std::io::Result<()> {
    let traffic = client.traffic.clone();
    let mut writing = pin!(client.write(reply));
    loop {
        let taken = traffic.written();
        let late = async {
            agent.sleep_until(agent.clock.now() + TAKEN_WITHIN).await;
            None
        };
        match async { Some(writing.as_mut().await) }.or(late).await {
            Some(outcome) => return outcome,
            None if traffic.written() > taken => {}
            None => {
                agent.counters.clients_timed_out.increment();
                log::info!("a client leaves its answers unread; it is let go");
                return Err(std::io::ErrorKind::TimedOut.into());
            }
        }
    }
}

/// Serves a client for which there is no room up to its first request, which is rejected: a retry
/// is harmless. The connection is not closed before: that request would be taken and lost.
pub async fn deny(agent: Rc<Agent>, mut client: Connection, _slot: ConnectionPermit) {
    let talk = async {
        let (mut reply, mut open) = (Vec::new(), false);
        loop {
            let step = if open {
                turn_away(&mut client, &mut reply)
            } else {
                greet(&mut client, &mut reply)
            };
            let go_on = match step {
                Ok(Step::More) => client.read_more().await.is_ok_and(|n| n > 0),
                Ok(Step::Open) => {
                    open = true;
                    true
                }
                Ok(Step::Answer) => true,
                Ok(Step::End) | Err(_) => false,
            };
            if client.write(&reply).await.is_err() || !go_on {
                return;
            }
            reply.clear();
        }
    };
    let late = async {
        agent.sleep_until(agent.clock.now() + FIRST_WITHIN).await;
    };
    talk.or(late).await;
    finish(&agent, client).await;
}

fn turn_away(client: &mut Connection, reply: &mut Vec<u8>) -> Result<Step, ProtocolError> {
    let Some(message) = postgres::parse_message(client.inbox.unread())? else {
        return Ok(Step::More);
    };
    let empty = message.tag == b'Q' && matches!(message.body.trim_ascii(), b"\0" | b";\0");
    let length = message.length;
    client.consume(length);
    if empty {
        postgres::write_empty_query(reply);
        postgres::write_ready(reply);
        return Ok(Step::Answer);
    }
    postgres::write_too_many_clients(reply);
    Ok(Step::End)
}

/// Ends a connection so that its last answer arrives: closed with something unread it would be
/// reset. Whoever writes on and on is reset.
async fn finish(agent: &Agent, mut client: Connection) {
    client.shutdown_write();
    client.arrivals = None;
    let heard = async {
        let mut heard = 0;
        client.inbox.consume(usize::MAX);
        while heard < HEARD_OUT_MOST && !client.is_open_and_quiet() {
            match client.read_more().await {
                Ok(n) if n > 0 => heard += n,
                _ => return,
            }
            client.inbox.consume(usize::MAX);
        }
    };
    heard
        .or(agent.sleep_until(agent.clock.now() + HEARD_OUT))
        .await;
}

enum Step {
    /// Something is to be answered; the connection goes on.
    Answer,
    /// The same, and the startup is over.
    Open,
    /// What came in so far is not whole.
    More,
    End,
}

enum More {
    Came,
    /// The client has left, or was asked to while idle.
    Over,
    Late,
}

/// Reads on, until `whole_by` where something is owed. Between requests the agent may end the
/// connection.
async fn more(agent: &Agent, client: &mut Connection, whole_by: Option<Duration>) -> More {
    let came = |read: std::io::Result<usize>| {
        if read.is_ok_and(|n| n > 0) {
            More::Came
        } else {
            More::Over
        }
    };
    // Clients are held back while too much is buffered; answers of endpoints keep the rest of the
    // memory. Who holds half a message meanwhile has little time left for it: all would wait for
    // each other.
    let room = async {
        while MemoryReservation::total() > agent.limits.max_buffered_bytes() {
            Timer::after(HELD_BACK).await;
        }
    };
    let begun = !client.inbox.is_empty();
    let short = begun && MemoryReservation::total() > agent.limits.max_buffered_bytes();
    let late = async {
        match whole_by {
            Some(at) if short => {
                agent
                    .sleep_until(at.min(agent.clock.now() + FIRST_WITHIN))
                    .await
            }
            Some(at) => agent.sleep_until(at).await,
            None => future::pending().await,
        }
        More::Late
    };
    let idle = if begun {
        None
    } else {
        agent
            .lifecycle
            .register_idle_client(agent.clock.now(), whole_by.is_some())
    };
    let read = async {
        room.or(client.peer_closed()).await;
        came(client.read_more().await)
    };
    if begun {
        return read.or(late).await;
    }
    let Some(mut idle) = idle else {
        // Time to go, but not past a request that has already come, nor past the first one that is
        // on its way.
        let owed = if whole_by.is_some() {
            FIRST_WITHIN
        } else {
            Duration::ZERO
        };
        let late = async {
            agent.sleep_until(agent.clock.now() + owed).await;
            More::Late
        };
        return match read.or(late).await {
            More::Late if client.is_open_and_quiet() => More::Over,
            More::Late => came(client.read_more().await),
            more => more,
        };
    };
    let asked = async {
        (&mut idle.close_requested).await;
        More::Over
    };
    match read.or(asked).or(late).await {
        // A request that has come meanwhile is still served: closing would lose it.
        More::Over | More::Late if !client.is_open_and_quiet() => came(client.read_more().await),
        more => more,
    }
}

fn greet(client: &mut Connection, reply: &mut Vec<u8>) -> Result<Step, ProtocolError> {
    let Some((opening, took)) = postgres::parse_opening(client.inbox.unread())? else {
        return Ok(Step::More);
    };
    client.consume(took);
    Ok(match opening {
        ClientOpening::Startup => {
            client.track_arrivals();
            postgres::write_welcome(reply);
            Step::Open
        }
        ClientOpening::Encryption => {
            reply.push(b'N');
            Step::Answer
        }
        ClientOpening::Cancel => Step::End,
    })
}

async fn handle_message(
    agent: &Rc<Agent>,
    client: &mut Connection,
    reply: &mut Vec<u8>,
) -> Result<Step, ProtocolError> {
    let Some(message) = postgres::parse_message(client.inbox.unread())? else {
        return Ok(Step::More);
    };
    let took = message.length;
    let text = match message.tag {
        b'Q' => postgres::parse_query_text(message.body)?,
        b'X' => return Ok(Step::End),
        other => {
            return Err(PostgresError::UnsupportedMessage(other).into());
        }
    };
    let word = text.split_whitespace().next().unwrap_or_default();
    let flood = client
        .arrivals
        .as_ref()
        .is_some_and(|a| a.whole_messages() > BEHIND_MOST);
    if word.is_empty() || word == ";" {
        client.consume(took);
        // This answer tells the front that requests may come.
        agent.lifecycle.wait_for(Phase::Serving).await;
        postgres::write_empty_query(reply);
    } else if let Some(word) = ["SET", "RESET", "DISCARD"]
        .iter()
        .find(|w| word.eq_ignore_ascii_case(w))
    {
        client.consume(took);
        postgres::write_command_complete(reply, word);
    } else {
        let read = read(agent, text);
        let heard = client
            .consume(took)
            .map_or_else(|| agent.clock.now(), |at| agent.clock.at(at));
        let open = read
            .as_ref()
            .ok()
            .map(|statement| agent.balancer.open_request(&statement.id));
        match read {
            Ok(_) if open.as_ref().is_some_and(Option::is_none) => {
                agent.counters.requests_invalid.increment();
                postgres::write_statement_error(reply, &StatementError::RequestStillOpen.into());
            }
            Ok(_) if flood => {
                agent.counters.requests_over_pipeline_limit.increment();
                postgres::write_rejected(reply, None);
            }
            // Its time outlasts the program's: another agent may serve it.
            Ok(statement) if agent.lifecycle.ends_before(heard + statement.wait) => {
                agent.counters.requests_rejected.increment();
                postgres::write_rejected(reply, None);
            }
            Ok(statement) => match handle_request(agent, client, statement, heard).await {
                FinalResponse::Succeeded(value) => {
                    agent.counters.requests_succeeded.increment();
                    *reply = value;
                }
                FinalResponse::Rejected(retry_after) => {
                    agent.counters.requests_rejected.increment();
                    postgres::write_rejected(reply, retry_after);
                }
                FinalResponse::Failed => {
                    agent.counters.requests_failed.increment();
                    postgres::write_failed(reply);
                }
                FinalResponse::Left => {
                    agent.counters.requests_abandoned.increment();
                    return Ok(Step::End);
                }
            },
            Err(fault) => {
                agent.counters.requests_invalid.increment();
                postgres::write_statement_error(reply, &fault);
            }
        }
    }
    postgres::write_ready(reply);
    if !client.inbox.is_empty() {
        // Others have their turn, however much this client has written ahead.
        future::yield_now().await;
    }
    Ok(Step::Answer)
}

fn read(agent: &Agent, text: &str) -> Result<Statement, ProtocolError> {
    let statement = Statement::parse(text)?;
    class(&agent.service_config(), &statement).map(|_| statement)
}

/// The class of a statement under the settings in force.
pub fn class(site: &ServiceConfig, statement: &Statement) -> Result<usize, ProtocolError> {
    match site.class(&statement.class) {
        Some(class) if !statement.has_deduplication_key && site.is_keyed(class) => {
            Err(StatementError::MissingField("k").into())
        }
        Some(class) => Ok(class),
        None => Err(StatementError::UnknownClass(statement.class.clone()).into()),
    }
}
