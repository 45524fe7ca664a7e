//! A client's connection, from its startup message to its end.

use crate::agent::Agent;
use crate::command::{live, Final};
use crate::lifecycle::life::Phase;
use crate::memory::pools::Slot;
use crate::reactor::Timer;
use crate::wire::buffer::Weight;
use crate::wire::connection::Connection;
use crate::wire::postgres::{self, Opening};
use crate::wire::statement::Statement;
use crate::wire::{malformed, Malformed};
use futures_lite::future::{self, FutureExt};
use std::rc::Rc;
use std::time::Duration;

/// How long a client beyond the limit has for its first command.
const DENIED_WITHIN: Duration = Duration::from_millis(300);
/// How soon a client that was held back is read again.
const HELD_BACK: Duration = Duration::from_millis(5);

/// How long a client may take from its connection to its first whole command, and from the first byte of a
/// message to its last. Guards against clients that hold a place and say nothing, or half of it.
const HEARD_WITHIN: Duration = Duration::from_secs(2);
/// How long, and how much, a client that was told of its end may still write.
const HEARD_OUT: Duration = Duration::from_secs(1);
const HEARD_OUT_MOST: usize = 1024 * 1024;
/// Commands that may wait behind the one in hand; what a client writes beyond is denied at once.
const BEHIND_MOST: usize = 32;

/// Serves a client until it leaves, breaks the protocol, or is idle when the agent needs it to go.
pub async fn serve(agent: Rc<Agent>, mut client: Connection, _slot: Slot) {
    let (mut reply, mut open) = (Vec::new(), false);
    // When what was begun must be whole: the first command, later each message.
    let mut whole_by = Some(agent.clock.now() + HEARD_WITHIN);
    loop {
        let step =
            if open { heed(&agent, &mut client, &mut reply).await } else { greet(&mut client, &mut reply) };
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
                        agent.counters.clients_closed.add();
                        return;
                    }
                    More::Late => {
                        agent.counters.clients_late.add();
                        let missing = if client.inbox.is_empty() { "command" } else { "message" };
                        postgres::fatal(&mut reply, &Malformed(format!("no whole {missing} in time")));
                        false
                    }
                }
            }
            Ok(Step::End) => false,
            Err(fault) => {
                agent.counters.faulty.add();
                postgres::fatal(&mut reply, &fault);
                false
            }
        };
        if !reply.is_empty() && client.write(&reply).await.is_err() {
            return;
        }
        if !go_on {
            return finish(&agent, client).await;
        }
        reply.clear();
    }
}

/// Serves a client for which there is no room up to its first command, which is denied: a retry is harmless.
/// The connection is not closed before: that command would be taken and lost.
pub async fn deny(agent: Rc<Agent>, mut client: Connection, _slot: Slot) {
    let talk = async {
        let (mut reply, mut open) = (Vec::new(), false);
        loop {
            let step = if open { turn_away(&mut client, &mut reply) } else { greet(&mut client, &mut reply) };
            let go_on = match step {
                Ok(Step::More) => client.more().await.is_ok_and(|n| n > 0),
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
        agent.until(agent.clock.now() + DENIED_WITHIN).await;
    };
    talk.or(late).await;
    finish(&agent, client).await;
}

fn turn_away(client: &mut Connection, reply: &mut Vec<u8>) -> Result<Step, Malformed> {
    let Some((tag, body, took)) = postgres::message(client.inbox.unread())? else { return Ok(Step::More) };
    let empty = tag == b'Q' && matches!(body.trim_ascii(), b"\0" | b";\0");
    client.inbox.consume(took);
    if empty {
        postgres::empty(reply);
        postgres::ready(reply);
        return Ok(Step::Answer);
    }
    postgres::no_room(reply);
    Ok(Step::End)
}

/// Ends a connection so that its last answer arrives: closed with something unread it would be reset. Whoever
/// writes on and on is reset.
async fn finish(agent: &Agent, mut client: Connection) {
    client.end();
    let heard = async {
        let mut heard = 0;
        client.inbox.consume(usize::MAX);
        while heard < HEARD_OUT_MOST && !client.quiet() {
            match client.more().await {
                Ok(n) if n > 0 => heard += n,
                _ => return,
            }
            client.inbox.consume(usize::MAX);
        }
    };
    heard.or(agent.until(agent.clock.now() + HEARD_OUT)).await;
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

/// Reads on, until `whole_by` where something is owed. Between commands the agent may end the connection.
async fn more(agent: &Agent, client: &mut Connection, whole_by: Option<Duration>) -> More {
    // Clients are held back while too much is buffered; answers of appliances keep the rest of the memory.
    while Weight::held() > agent.buffers_most.get() {
        Timer::after(HELD_BACK).await;
    }
    let came = |read: std::io::Result<usize>| if read.is_ok_and(|n| n > 0) { More::Came } else { More::Over };
    let late = async {
        match whole_by {
            Some(at) => agent.until(at).await,
            None => future::pending().await,
        }
        More::Late
    };
    if !client.inbox.is_empty() {
        return async { came(client.more().await) }.or(late).await;
    }
    let Some(mut idle) = agent.life.idle(agent.clock.now(), whole_by.is_some()) else {
        // Time to go, but not past a command that has already come.
        return if client.quiet() { More::Over } else { came(client.more().await) };
    };
    let asked = async {
        (&mut idle.asked).await;
        More::Over
    };
    match async { came(client.more().await) }.or(asked).or(late).await {
        // A command that has come meanwhile is still served: closing would lose it.
        More::Over | More::Late if !client.quiet() => came(client.more().await),
        more => more,
    }
}

fn greet(client: &mut Connection, reply: &mut Vec<u8>) -> Result<Step, Malformed> {
    let Some((opening, took)) = postgres::opening(client.inbox.unread())? else { return Ok(Step::More) };
    client.inbox.consume(took);
    Ok(match opening {
        Opening::Startup => {
            postgres::welcome(reply);
            Step::Open
        }
        Opening::Encryption => {
            reply.push(b'N');
            Step::Answer
        }
        Opening::Cancel => Step::End,
    })
}

async fn heed(agent: &Rc<Agent>, client: &mut Connection, reply: &mut Vec<u8>) -> Result<Step, Malformed> {
    let Some((tag, body, took)) = postgres::message(client.inbox.unread())? else { return Ok(Step::More) };
    let text = match tag {
        b'Q' => postgres::text(body)?,
        b'X' => return Ok(Step::End),
        other => return malformed(format!("message '{}': only simple queries", other.escape_ascii())),
    };
    let heard = agent.clock.at(client.heard);
    let word = text.split_whitespace().next().unwrap_or_default();
    let flood = postgres::waiting(&client.inbox.unread()[took..], BEHIND_MOST) == BEHIND_MOST;
    if word.is_empty() || word == ";" {
        client.inbox.consume(took);
        // This answer tells the front that commands may come.
        agent.life.reached(Phase::Serving).await;
        postgres::empty(reply);
    } else if let Some(word) = ["SET", "RESET", "DISCARD"].iter().find(|w| word.eq_ignore_ascii_case(w)) {
        client.inbox.consume(took);
        postgres::complete(reply, word);
    } else {
        let read = read(agent, text);
        client.inbox.consume(took);
        let open = read.as_ref().ok().map(|(statement, _)| agent.hand.open(&statement.id));
        match read {
            Ok(_) if open.as_ref().is_some_and(Option::is_none) => {
                agent.counters.faulty.add();
                postgres::faulty(reply, &Malformed("statement: field id: its command is still open".into()));
            }
            Ok(_) if flood => {
                agent.counters.floods.add();
                postgres::denied(reply, None);
            }
            Ok((statement, lane)) => match live(agent, client, statement, lane, heard).await {
                Final::Satisfied(value) => {
                    agent.counters.satisfied.add();
                    *reply = value;
                }
                Final::Denied(come_back) => {
                    agent.counters.denied.add();
                    postgres::denied(reply, come_back);
                }
                Final::Scrapped => {
                    agent.counters.scrapped.add();
                    postgres::scrapped(reply);
                }
                Final::Left => {
                    agent.counters.left.add();
                    return Ok(Step::End);
                }
            },
            Err(fault) => {
                agent.counters.faulty.add();
                postgres::faulty(reply, &fault);
            }
        }
    }
    postgres::ready(reply);
    if !client.inbox.is_empty() {
        // Others have their turn, however much this client has written ahead.
        future::yield_now().await;
    }
    Ok(Step::Answer)
}

fn read(agent: &Agent, text: &str) -> Result<(Statement, usize), Malformed> {
    let statement = Statement::parse(text)?;
    match agent.site.lane(&statement.lane) {
        Some(lane) if !statement.keyed && agent.site.deduplicates(lane) => {
            malformed("statement: field k is missing")
        }
        Some(lane) => Ok((statement, lane)),
        None => malformed(format!("statement: field c: unknown lane '{}'", statement.lane)),
    }
}
