//! The watch on discovery's list. The module says when to ask first; here it is kept alive, and
//! begun anew as `watchdog` says.

use crate::agent::Agent;
use crate::lifecycle::phase::ControlService;
use crate::protocol::connection::Connection;
use crate::protocol::{http, ProtocolError};
use futures_lite::FutureExt;
use std::future::Future;
use std::time::Duration;
use tulipwall_discovery::listing::{self, Listing};
use tulipwall_discovery::watchdog::{Ended, Vouched, Watchdog};

/// How soon the rest of an answer that has begun must come.
const REST_WITHIN: Duration = Duration::from_millis(500);

/// How a watch ended, and what there is to say of it.
struct End(Ended, String);

impl From<ProtocolError> for End {
    fn from(what: ProtocolError) -> End {
        End(Ended::Spoilt, what.to_string())
    }
}

fn broken(e: std::io::Error) -> End {
    End(Ended::Broken, e.to_string())
}

/// What was told, and whether the connection ends with it.
type Told = (Listing, bool);

pub async fn run(agent: &Agent) {
    let (moves, mut watch) = (agent.control.discovery.changes(), Watch::new(agent));
    let (mut moves, mut again) = (moves, watch.starts(agent.clock.now()));
    loop {
        let due = async {
            match again {
                Some(at) => agent.sleep_until(at).await,
                None => agent.control.watch_request.received().await,
            }
        };
        due.or(agent.control.discovery.changed_since(moves)).await;
        if agent.control.discovery.changes() != moves {
            // A change of the address ends the old watch and is no failure.
            moves = agent.control.discovery.changes();
            watch.renew(agent.clock.now());
            again = watch.moves(agent.clock.now());
            if again.is_some() {
                continue;
            }
        }
        agent.control.watch_request.clear();
        watch.renew(agent.clock.now());
        let moved = async {
            agent.control.discovery.changed_since(moves).await;
            None
        };
        let ended = moved.or(async { Some(watch.run().await) }).await;
        let Some(end) = ended else { continue };
        again = watch.ended(end);
    }
}

/// One agent's watch over its calls.
struct Watch<'a> {
    agent: &'a Agent,
    watchdog: Watchdog,
    list_valid_until: Vouched,
    owes: bool,             // it was not yet heard at its new address
    away: Option<Duration>, // since when it has not been heard
    // How its watches ended while it was away: each way is named once, as a break may hide a list
    // that is spoilt.
    named: Vec<Ended>,
    doubts: bool, // nothing is sent until it is heard
}

impl Watch<'_> {
    fn new(agent: &Agent) -> Watch<'_> {
        let d = &agent.service_config().settings;
        let list_valid_until = Vouched::new(d, agent.clock.now());
        agent
            .balancer
            .set_list_valid_until(list_valid_until.until());
        Watch {
            agent,
            watchdog: Watchdog::new(d),
            list_valid_until,
            owes: false,
            away: None,
            named: Vec::new(),
            doubts: false,
        }
    }

    /// When discovery is first called; none where the module says.
    fn starts(&mut self, now: Duration) -> Option<Duration> {
        self.watchdog.starts().map(|gap| now + gap)
    }

    /// Settings may have been read anew.
    fn renew(&mut self, now: Duration) {
        let d = &self.agent.service_config().settings;
        self.watchdog.renew(d);
        self.list_valid_until.renew(d, now);
        self.agent
            .balancer
            .set_list_valid_until(self.list_valid_until.until());
    }

    /// When the new address is first called; none for at once.
    fn moves(&mut self, now: Duration) -> Option<Duration> {
        self.owes = true;
        self.list_valid_until.moved(now);
        self.agent
            .balancer
            .set_list_valid_until(self.list_valid_until.until());
        let gap = self.watchdog.moved();
        (!gap.is_zero()).then_some(now + gap)
    }

    /// A call failed: when the next one goes out, or none where the module says.
    fn ended(&mut self, End(ended, what): End) -> Option<Duration> {
        let (agent, now) = (self.agent, self.agent.clock.now());
        if ended == Ended::Silent {
            agent.counters.list_timeouts.increment();
        }
        if self.away.is_none() {
            log::warn!("discovery: {what}; it is asked anew");
            self.away = Some(now);
            self.named = vec![ended];
        } else if !self.named.contains(&ended) {
            log::warn!("discovery: then {what}");
            self.named.push(ended);
        }
        self.list_valid_until.ended(now, ended);
        agent
            .balancer
            .set_list_valid_until(self.list_valid_until.until());
        if self.list_valid_until.until().is_some_and(|t| now >= t)
            && !std::mem::replace(&mut self.doubts, true)
        {
            log::warn!(
                "discovery: {what}; who has left is not known any more, nothing is sent until it is heard"
            );
        }
        let again = self.watchdog.again(ended).map(|gap| now + gap);
        match again {
            Some(_) => agent.counters.list_failures.increment(),
            None => {
                // What the module said before is no more.
                agent.control.watch_request.clear();
                agent.balancer.on_list_failure();
            }
        }
        again
    }

    /// What has changed since the list that is known, for as long as the connection holds; the
    /// whole list first where none is known, where discovery is another and calls are free, and
    /// where another turns out to count its versions from below. Guards against agents that start,
    /// move or call again all at once: a list has as many lines as there are endpoints, and
    /// discovery pays for each. Harms where another discovery counts versions of its own from
    /// above: what it changed before them is heard at the next start only.
    async fn run(&mut self) -> End {
        let agent = self.agent;
        let wait = self.watchdog.wait(true);
        let known = agent
            .endpoints
            .usable_version()
            .filter(|_| !self.owes || !self.watchdog.free());
        let path = known.map_or(listing::LIST.to_owned(), |version| {
            listing::watch(version, wait)
        });
        let (quick, patient) = (
            wait + self.watchdog.within(false),
            wait + self.watchdog.within(true),
        );
        self.list_valid_until.begins(agent.clock.now());
        let begun = match self.watchdog.free() {
            true => {
                over(agent, &self.watchdog, &path, quick)
                    .or(begin(agent, &path, patient))
                    .await
            }
            false => begin(agent, &path, patient).await,
        };
        let (mut connection, (mut told, mut last)) = match begun {
            Ok(begun) => begun,
            Err(end) => return end,
        };
        let below = !told.complete && known.is_some_and(|version| told.version < version);
        if self.owes && below && !last {
            match within(agent, patient, ask(agent, &mut connection, listing::LIST)).await {
                Ok(whole) => (told, last) = whole,
                Err(end) => return end,
            }
        }
        loop {
            let spoilt = told.spoilt.clone();
            agent.update_endpoints(told);
            let wait = self.watchdog.wait(false);
            self.list_valid_until.told(agent.clock.now(), wait);
            agent
                .balancer
                .set_list_valid_until(self.list_valid_until.until());
            agent.endpoints.allow_serving();
            if let Some(what) = spoilt {
                return End(Ended::Spoilt, format!("list: {what}"));
            }
            self.watchdog.told();
            self.doubts = false;
            if let Some(since) = self.away.take() {
                log::info!(
                    "discovery: heard again after {:.1?}",
                    agent.clock.now().saturating_sub(since)
                );
            }
            if std::mem::take(&mut self.owes) {
                agent.lifecycle.on_contact(ControlService::Discovery);
            }
            if last {
                return End(Ended::Broken, "it closes after an answer".into());
            }
            let path = listing::watch(agent.endpoints.version(), wait);
            let late = wait + self.watchdog.late();
            match within(agent, late, ask(agent, &mut connection, &path)).await {
                Ok(next) => (told, last) = next,
                Err(end) => return end,
            }
        }
    }
}

/// A connection and its first answer.
async fn begin(agent: &Agent, path: &str, time: Duration) -> Result<(Connection, Told), End> {
    let begun = async {
        let mut connection = Connection::open(agent.control.discovery.get())
            .await
            .map_err(broken)?;
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
            Err(End(ended, _)) => {
                agent
                    .sleep_until(agent.clock.now() + watchdog.gap(ended))
                    .await
            }
            begun => return begun,
        }
    }
}

async fn ask(agent: &Agent, connection: &mut Connection, path: &str) -> Result<Told, End> {
    connection
        .write(&http::get_request(
            &agent.control.discovery.get().to_string(),
            path,
        ))
        .await
        .map_err(broken)?;
    let mut ended = false;
    loop {
        if let Some(answer) = http::parse_response(connection.inbox.unread(), ended)? {
            connection.inbox.consume(answer.length);
            if answer.status != 200 {
                return Err(End(Ended::Refused, format!("status {}", answer.status)));
            }
            // Where the connection does not go on, this much is told, and the watch begins anew.
            let list = Listing::parse(&answer.body)
                .map_err(|error| End(Ended::Spoilt, error.to_string()))?;
            return Ok((list, answer.closes_connection));
        }
        if ended {
            return Err(End(Ended::Broken, "it ended within an answer".into()));
        }
        // Guards against an answer that stops short of its end, which would be waited for as long
        // as a watch.
        let begun = !connection.inbox.is_empty();
        let more = async { connection.read_more().await.map_err(broken) };
        let got = if begun {
            within(agent, REST_WITHIN, more).await?
        } else {
            more.await?
        };
        ended = got == 0;
    }
}

async fn within<T>(
    agent: &Agent,
    time: Duration,
    work: impl Future<Output = Result<T, End>>,
) -> Result<T, End> {
    let late = async {
        agent.sleep_until(agent.clock.now() + time).await;
        Err(End(Ended::Silent, "it is silent".into()))
    };
    work.or(late).await
}
