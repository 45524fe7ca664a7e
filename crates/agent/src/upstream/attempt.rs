//! One attempt: a connection, the statement written, the answer heard.

use crate::agent::Agent;
use crate::protocol::connection::{Connection, SocketTraffic};
use crate::protocol::postgres::{self, QueryOutcome, ResponseReader};
use crate::protocol::statement::Statement;
use crate::protocol::ProtocolError;
use crate::upstream::pool::PooledConnection;
use crate::upstream::transfer_meter::TransferMeter;
use futures_lite::FutureExt;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tulipwall::Outcome;
use tulipwall_discovery::list::Target;
use tulipwall_zones::{ConnectionTraffic, ResponseFault};

/// How soon the rest of an answer that has begun must come.
const REST_WITHIN: Duration = Duration::from_millis(500);

/// What was decided, and the news it was decided on.
pub struct AttemptPlan {
    /// Its request, and which of that request's attempts it is.
    pub id: u64,
    pub nth: usize,
    pub target: Target,
    pub turn: u64,
    pub give_up: Duration,
    /// Its number stands for this endpoint until the attempt is over.
    pub held: Option<Rc<()>>,
}

/// Runs one attempt to its end; the messages of the value where there is one. `meter` tells once
/// all of it went out, and what went over its sockets. Dropping it closes its connection, which
/// withdraws it.
pub async fn send_attempt(
    agent: &Agent,
    statement: &Statement,
    order: AttemptPlan,
    meter: &TransferMeter,
) -> (Outcome, Vec<u8>) {
    let none = |outcome| (outcome, Vec::new());
    let mut held = loop {
        let (mut held, reused) = match agent.pool.take(order.target.endpoint) {
            Some(held) => (held, true),
            None => match open(agent, order.target).await {
                Ok(held) => (held, false),
                Err(outcome) => return none(outcome),
            },
        };
        meter.follow(held.connection.traffic.clone());
        // It may have waited for its connection: nothing goes out that would be decided otherwise
        // by now.
        let listed = agent.endpoints.target(order.target.endpoint) == Some(order.target);
        let stands = agent
            .balancer
            .rollout_allows(order.target.build, order.turn);
        if !listed || !stands || !agent.balancer.attempt_allowed(order.id, order.nth) {
            agent.return_connection(order.target, held);
            return none(Outcome::NotSent);
        }
        let wait = order.give_up.saturating_sub(agent.clock.now());
        let query = postgres::query(&statement.with_wait(wait));
        held.on_request(agent.clock.now());
        match held.connection.write(&query).await {
            Ok(()) => {}
            // The endpoint closed it as the request went out: not all of it was written, so it
            // never ran.
            Err(_) if reused => {
                agent.counters.connections_found_closed.increment();
                continue;
            }
            Err(_) => return none(Outcome::ConnectFailed),
        }
        (if reused {
            &agent.counters.connections_reused
        } else {
            &agent.counters.connections_opened
        })
        .increment();
        break held;
    };
    meter.set_fully_written();
    agent.counters.attempts_written.increment();
    let mut hearing = ResponseReader::default();
    let ended = hear(agent, &mut held.connection, &mut hearing).await;
    if let Some(load) = hearing
        .reported_load
        .filter(|_| agent.endpoints.target(order.target.endpoint) == Some(order.target))
    {
        agent.balancer.on_load_report(order.target.endpoint, load);
    }
    // A spoilt answer says nothing, not even that the request never ran.
    let outcome = match (&ended, hearing.outcome) {
        (Err(Heard::Garbage(_) | Heard::Half), _) | (_, None) => Outcome::ConnectionLost,
        (_, Some(QueryOutcome::Value)) => Outcome::Succeeded,
        (_, Some(QueryOutcome::Failed)) => Outcome::Failed,
        (_, Some(QueryOutcome::Rejected)) => Outcome::Rejected,
    };
    match ended {
        // What comes behind an answer belongs to nobody, and would be heard as the next request's.
        Ok(()) if held.connection.inbox.is_empty() => {
            held.on_answer(agent.clock.now());
            agent.return_connection(order.target, held);
        }
        Ok(()) => agent.counters.responses_unsolicited.increment(),
        Err(Heard::Garbage(m)) => {
            meter.set_fault(ResponseFault::Malformed);
            agent.counters.responses_malformed.increment();
            let name = agent.endpoints.name(order.target.endpoint);
            log::debug!("endpoint {name}: {m}; its connection is closed");
        }
        Err(Heard::Half) => {
            meter.set_fault(ResponseFault::Truncated);
            agent.counters.responses_malformed.increment();
        }
        Err(Heard::End)
            if outcome == Outcome::ConnectionLost
                && (hearing.has_begun() || !held.connection.inbox.is_empty()) =>
        {
            meter.set_fault(ResponseFault::Truncated);
        }
        Err(Heard::End) => {}
    }
    (outcome, hearing.value)
}

enum Heard {
    /// The connection ended.
    End,
    /// An answer stopped short of its end, and the connection did not.
    Half,
    Garbage(ProtocolError),
}

impl From<io::Error> for Heard {
    fn from(_: io::Error) -> Heard {
        Heard::End
    }
}

/// Hears messages until the connection is ready for the next query.
async fn hear(
    agent: &Agent,
    connection: &mut Connection,
    hearing: &mut ResponseReader,
) -> Result<(), Heard> {
    loop {
        let bytes = connection.inbox.unread();
        if let Some(message) = postgres::parse_endpoint_message(bytes).map_err(Heard::Garbage)? {
            let ready = hearing
                .on_message(message.tag, message.body, &bytes[..message.length])
                .map_err(Heard::Garbage)?;
            let length = message.length;
            connection.inbox.consume(length);
            if ready {
                return Ok(());
            }
            continue;
        }
        // Guards against an answer that stops short of its end. A whole one comes at once, however
        // large; one whose rest was held up on its way for as long is given up, too.
        let begun = hearing.has_begun() || !connection.inbox.is_empty();
        let more = async { connection.read_more().await.map_err(Heard::from) };
        let got = if begun {
            let late = async {
                agent.sleep_until(agent.clock.now() + REST_WITHIN).await;
                Err(Heard::Half)
            };
            more.or(late).await?
        } else {
            more.await?
        };
        if got == 0 {
            return Err(Heard::End);
        }
    }
}

/// A new connection, ready for its first query.
async fn open(agent: &Agent, target: Target) -> Result<PooledConnection, Outcome> {
    let slot = loop {
        match agent.limits.connections.endpoint_permit() {
            Some(slot) => break slot,
            None if agent.pool.evict_idle() => {}
            None => return Err(Outcome::NotSent),
        }
    };
    let late = async {
        agent
            .sleep_until(agent.clock.now() + agent.service_config().connect_timeout)
            .await;
        Err(Outcome::ConnectFailed)
    };
    let handshake = HandshakeCost {
        agent,
        target,
        begun: agent.clock.now(),
        traffic: RefCell::default(),
    };
    let opening = async {
        let mut connection = Connection::open(target.address)
            .await
            .map_err(|_| Outcome::ConnectFailed)?;
        *handshake.traffic.borrow_mut() = Some(connection.traffic.clone());
        let startup = postgres::startup("worker", "catalog");
        connection
            .write(&startup)
            .await
            .map_err(|_| Outcome::ConnectFailed)?;
        let mut hearing = ResponseReader::default();
        let heard = hear(agent, &mut connection, &mut hearing).await;
        match (heard, hearing.outcome) {
            (_, Some(QueryOutcome::Rejected)) => Err(Outcome::Rejected),
            (Ok(()), None) => Ok(connection),
            _ => Err(Outcome::ConnectFailed),
        }
    };
    let opened = opening
        .or(late)
        .await
        .map(|c| PooledConnection::new(c, slot, agent.clock.now()));
    if opened.is_ok() {
        handshake.charge(true);
    }
    opened
}

/// What opening a connection takes, accounted for also where it is given up halfway.
struct HandshakeCost<'a> {
    agent: &'a Agent,
    target: Target,
    begun: Duration,
    traffic: RefCell<Option<Rc<SocketTraffic>>>,
}

impl HandshakeCost<'_> {
    fn charge(&self, open: bool) {
        let Some(traffic) = self.traffic.take() else {
            return;
        };
        let ((out, back), now) = (traffic.take_uncharged(), self.agent.clock.now());
        let took = open.then(|| now.saturating_sub(self.begun));
        let Target { zone, build, .. } = self.target;
        self.agent.zone_traffic.on_connection(
            now,
            ConnectionTraffic {
                to: zone,
                build,
                bytes_sent: out,
                bytes_received: back,
                handshake: took,
            },
        );
    }
}

impl Drop for HandshakeCost<'_> {
    fn drop(&mut self) {
        self.charge(false);
    }
}

/// Opens connections ahead of the first requests: all at once these would wait for as many
/// handshakes. None where each is paid for, as most would close again before a request came for
/// them; there the first requests wait for their own.
pub async fn warm(agent: &Rc<Agent>) {
    let targets = agent.endpoints.usable_targets().await;
    if agent.service_config().handshake_price > 0.0 {
        return;
    }
    let each = agent.limits.connections.max_endpoint_connections() / 2 / targets.len().max(1);
    let opening: Vec<_> = targets
        .into_iter()
        .map(|target| {
            let agent = agent.clone();
            agent.clone().executors.tasks.spawn(async move {
                for _ in 0..each {
                    match open(&agent, target).await {
                        Ok(held) => agent.return_connection(target, held),
                        Err(_) => return,
                    }
                }
            })
        })
        .collect();
    for task in opening {
        task.await;
    }
}
