//! The watch on discovery's list. The module says when to ask; here it is kept alive while it holds.

use crate::agent::Agent;
use crate::wire::connection::Connection;
use crate::wire::listing::{self, Listing};
use crate::wire::{http, malformed, Malformed};
use futures_lite::FutureExt;
use std::time::Duration;

/// How long discovery may hold a watch without news: what it has to tell is overdue 2 s later.
const HOLD: Duration = Duration::from_secs(20);
/// The same for the first call of a watch, which should show soon whether discovery is there.
const FIRST_HOLD: Duration = Duration::from_secs(1);
const OVERDUE: Duration = Duration::from_secs(2);
/// How soon the rest of an answer that has begun must come.
const REST_WITHIN: Duration = Duration::from_millis(500);

pub async fn run(agent: &Agent) {
    let (mut moves, mut owes) = (agent.moves(), false);
    loop {
        let due = async {
            while !agent.watch_due.take() {
                agent.watch.listen().await;
            }
        };
        due.or(agent.moved(moves)).await;
        owes |= agent.moves() != moves;
        moves = agent.moves();
        let moved = async {
            agent.moved(moves).await;
            malformed("its address has changed")
        };
        // A change of the address ends the old watch and is no failure: the whole list is asked for at once.
        if let Err(what) = moved.or(watch(agent, &mut owes)).await {
            log::debug!("discovery: {what}");
        }
        if agent.moves() == moves {
            agent.hand.list_failed();
        }
    }
}

/// What has changed since the list that is known, for as long as the connection holds; the whole list first
/// where none is known or discovery is another. Guards against agents that start or call again all at once: a
/// list has as many lines as there are appliances, and discovery pays for each. `owes` while it was not yet heard
/// at its new address.
async fn watch(agent: &Agent, owes: &mut bool) -> Result<(), Malformed> {
    let mut connection = within(agent, OVERDUE, async {
        Connection::open(agent.discovery.get()).await.map_err(|e| Malformed(e.to_string()))
    })
    .await?;
    let (mut path, mut wait) = match agent.known() {
        Some(version) if !*owes => (listing::watch(version, FIRST_HOLD.as_millis() as u64), FIRST_HOLD),
        _ => (listing::LIST.to_owned(), Duration::ZERO),
    };
    loop {
        let told = within(agent, wait + OVERDUE, ask(agent, &mut connection, &path)).await?;
        agent.listed(told);
        if std::mem::take(owes) {
            agent.life.heard();
        }
        wait = HOLD;
        path = listing::watch(agent.version(), HOLD.as_millis() as u64);
    }
}

async fn ask(agent: &Agent, connection: &mut Connection, path: &str) -> Result<Listing, Malformed> {
    let broken = |e: std::io::Error| Malformed(e.to_string());
    connection.write(&http::get(&agent.discovery.get().to_string(), path)).await.map_err(broken)?;
    let mut ended = false;
    loop {
        if let Some(answer) = http::answer(connection.inbox.unread(), ended)? {
            connection.inbox.consume(answer.took);
            if answer.status != 200 {
                return malformed(format!("status {}", answer.status));
            }
            let listing = Listing::parse(&answer.body)
                .inspect_err(|e| log::warn!("discovery: {e}; its connection is closed"))?;
            if answer.last {
                // The connection does not go on: this much is told, the watch begins anew.
                agent.listed(listing);
                return malformed("it closes after an answer");
            }
            return Ok(listing);
        }
        if ended {
            return malformed("it ended within an answer");
        }
        // Guards against an answer that stops short of its end, which would be waited for as long as a watch.
        let begun = !connection.inbox.is_empty();
        let more = async { connection.more().await.map_err(broken) };
        let got = if begun { within(agent, REST_WITHIN, more).await? } else { more.await? };
        ended = got == 0;
    }
}

async fn within<T>(
    agent: &Agent,
    time: Duration,
    work: impl std::future::Future<Output = Result<T, Malformed>>,
) -> Result<T, Malformed> {
    let late = async {
        agent.until(agent.clock.now() + time).await;
        malformed("it is silent")
    };
    work.or(late).await
}
