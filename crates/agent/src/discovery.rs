//! The watch on discovery's list. The module says when to ask first; here it is kept alive, and begun anew as
//! `watchdog` says.

use crate::agent::Agent;
use crate::lifecycle::life::Party;
use crate::wire::connection::Connection;
use crate::wire::{http, Malformed};
use futures_lite::FutureExt;
use std::future::{self, Future};
use std::time::Duration;
use tulipwall_membership::listing::{self, Listing};
use tulipwall_membership::watchdog::{Ended, Watchdog};

/// How soon the rest of an answer that has begun must come.
const REST_WITHIN: Duration = Duration::from_millis(500);

/// How a watch ended, and what there is to say of it.
struct End(Ended, String);

impl From<Malformed> for End {
    fn from(what: Malformed) -> End {
        End(Ended::Spoilt, what.0)
    }
}

fn broken(e: std::io::Error) -> End {
    End(Ended::Broken, e.to_string())
}

/// What was told, and whether the connection ends with it.
type Told = (Listing, bool);

pub async fn run(agent: &Agent) {
    let (mut moves, mut owes, mut again) = (agent.discovery_moves.seen(), false, None);
    let (mut watchdog, mut away) = (Watchdog::new(&agent.site().deployment), None);
    // How its watches ended while it was away: each way is named once, as a break may hide a list that is spoilt.
    let mut named = Vec::new();
    loop {
        let due = async {
            match again {
                Some(at) => agent.until(at).await,
                None => {
                    while !agent.watch_due.take() {
                        agent.watch.listen().await;
                    }
                }
            }
        };
        due.or(agent.discovery_moves.beyond(moves)).await;
        owes |= agent.discovery_moves.seen() != moves;
        moves = agent.discovery_moves.seen();
        watchdog.renew(&agent.site().deployment);
        let moved = async {
            agent.discovery_moves.beyond(moves).await;
            None
        };
        // A change of the address ends the old watch and is no failure: the whole list is asked for at once.
        let ended = moved.or(async { Some(watch(agent, &mut watchdog, &mut owes, &mut away).await) }).await;
        let Some(End(ended, what)) = ended else { continue };
        if ended == Ended::Silent {
            agent.counters.list_silences.add();
        }
        if away.is_none() {
            log::warn!("discovery: {what}; it is asked anew");
            away = Some(agent.clock.now());
            named = vec![ended];
        } else if !named.contains(&ended) {
            log::warn!("discovery: then {what}");
            named.push(ended);
        }
        again = watchdog.again(ended).map(|gap| agent.clock.now() + gap);
        match again {
            Some(_) => agent.counters.list_failures.add(),
            None => agent.hand.list_failed(),
        }
    }
}

/// What has changed since the list that is known, for as long as the connection holds; the whole list first
/// where none is known or discovery is another. Guards against agents that start or call again all at once: a
/// list has as many lines as there are appliances, and discovery pays for each. `owes` while it was not yet heard
/// at its new address, `away` since when it has not been heard.
async fn watch(agent: &Agent, watchdog: &mut Watchdog, owes: &mut bool, away: &mut Option<Duration>) -> End {
    let wait = watchdog.wait(true);
    let path = match agent.known() {
        Some(version) if !*owes => listing::watch(version, wait),
        _ => listing::LIST.to_owned(),
    };
    let (quick, patient) = (wait + watchdog.within(false), wait + watchdog.within(true));
    let begun = match watchdog.second() {
        _ if watchdog.free() => over(agent, watchdog, &path, quick).or(begin(agent, &path, patient)).await,
        Some(gap) => either(agent, &path, patient, gap).await,
        None => begin(agent, &path, patient).await,
    };
    let (mut connection, (mut told, mut last)) = match begun {
        Ok(begun) => begun,
        Err(end) => return end,
    };
    loop {
        let spoilt = told.spoilt.clone();
        agent.listed(told);
        agent.heard();
        if let Some(what) = spoilt {
            return End(Ended::Spoilt, format!("list: {what}"));
        }
        watchdog.told();
        if let Some(since) = away.take() {
            log::info!("discovery: heard again after {:.1?}", agent.clock.now().saturating_sub(since));
        }
        if std::mem::take(owes) {
            agent.life.heard(Party::Discovery);
        }
        if last {
            return End(Ended::Broken, "it closes after an answer".into());
        }
        let wait = watchdog.wait(false);
        let path = listing::watch(agent.version(), wait);
        match within(agent, wait + watchdog.late(), ask(agent, &mut connection, &path)).await {
            Ok(next) => (told, last) = next,
            Err(end) => return end,
        }
    }
}

/// A connection and its first answer.
async fn begin(agent: &Agent, path: &str, time: Duration) -> Result<(Connection, Told), End> {
    let begun = async {
        let mut connection = Connection::open(agent.discovery.get()).await.map_err(broken)?;
        let told = ask(agent, &mut connection, path).await?;
        Ok((connection, told))
    };
    within(agent, time, begun).await
}

/// The same over and over, without an end of its own.
async fn over(
    agent: &Agent,
    watchdog: &Watchdog,
    path: &str,
    time: Duration,
) -> Result<(Connection, Told), End> {
    loop {
        match begin(agent, path, time).await {
            Err(End(ended, _)) => agent.until(agent.clock.now() + watchdog.gap(ended)).await,
            begun => return begun,
        }
    }
}

/// One try, and a second beside it after `gap`: the first that is answered.
async fn either(agent: &Agent, path: &str, time: Duration, gap: Duration) -> Result<(Connection, Told), End> {
    let one = async {
        match begin(agent, path, time).await {
            Err(_) => future::pending().await,
            begun => begun,
        }
    };
    let two = async {
        agent.until(agent.clock.now() + gap).await;
        begin(agent, path, time).await
    };
    one.or(two).await
}

async fn ask(agent: &Agent, connection: &mut Connection, path: &str) -> Result<Told, End> {
    connection.write(&http::get(&agent.discovery.get().to_string(), path)).await.map_err(broken)?;
    let mut ended = false;
    loop {
        if let Some(answer) = http::answer(connection.inbox.unread(), ended)? {
            connection.inbox.consume(answer.took);
            if answer.status != 200 {
                return Err(End(Ended::Broken, format!("status {}", answer.status)));
            }
            // Where the connection does not go on, this much is told, and the watch begins anew.
            return Ok((Listing::parse(&answer.body).map_err(Malformed)?, answer.last));
        }
        if ended {
            return Err(End(Ended::Broken, "it ended within an answer".into()));
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
    work: impl Future<Output = Result<T, End>>,
) -> Result<T, End> {
    let late = async {
        agent.until(agent.clock.now() + time).await;
        Err(End(Ended::Silent, "it is silent".into()))
    };
    work.or(late).await
}
