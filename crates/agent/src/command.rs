//! The life of one command, from top to bottom: the module is asked at each point of choice.

use crate::agent::Agent;
use crate::delivery::{deliver, Order};
use crate::reactor::Timer;
use crate::wire::connection::Connection;
use crate::wire::statement::Statement;
use futures_lite::future::{self, poll_fn};
use std::cell::Cell;
use std::future::Future;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tulipwall::{Answer, Command, Outcome};

/// What a client may write ahead of its answers before it is held back.
const AHEAD_MOST: usize = 16 * 1024;

/// What the client is told; nothing when it has left.
pub enum Final {
    Satisfied(Vec<u8>),
    Denied(Option<Duration>),
    Scrapped,
    Left,
}

type Ended = (Outcome, Vec<u8>);

/// A delivery that is out.
struct Out {
    sent: Duration,
    give_up: Duration,
    written: Rc<Cell<bool>>,
    ends: Pin<Box<dyn Future<Output = Ended>>>,
}

enum Next {
    Ended(usize, Duration, Ended),
    Look,
    Left,
    Expired,
}

/// Takes a command that came in whole at `heard`, and sees it to its final answer.
pub async fn live(
    agent: &Rc<Agent>,
    client: &mut Connection,
    statement: Statement,
    lane: usize,
    heard: Duration,
) -> Final {
    let customer = statement.customer.as_deref().and_then(|c| agent.site.customer(c));
    let expires = heard + statement.wait;
    let left = expires.saturating_sub(agent.clock.now());
    let command = Command { lane, customer, key: Some(number(&statement.object)), left };
    let statement = Rc::new(statement);
    let mut out: Vec<Option<Out>> = Vec::new();
    let mut look: Option<Duration> = None;
    let (id, mut answer) = agent.hand.take(command);
    let end = loop {
        match answer {
            Answer::Send { appliance, time_out, look: at } => {
                out.push(Some(send(agent, &statement, appliance, time_out)));
                look = at.or(look);
            }
            Answer::NotYet { until } => look = Some(until),
            Answer::Deny { come_back } => break Final::Denied(come_back),
            Answer::Scrap => break Final::Scrapped,
            Answer::Withdraw { delivery } => {
                answer = withdraw(agent, id, &mut out, delivery, false);
                continue;
            }
            Answer::Wait => {}
        }
        answer = match next(agent, &mut out, &mut look, client, expires).await {
            Next::Ended(n, sent, (Outcome::Satisfied, value)) => {
                if let Answer::Withdraw { delivery } = agent.hand.after(id, n, sent, Outcome::Satisfied, true)
                {
                    withdraw(agent, id, &mut out, delivery, true);
                }
                break Final::Satisfied(value);
            }
            Next::Ended(n, sent, (outcome, _)) => agent.hand.after(id, n, sent, outcome, false),
            Next::Look => agent.hand.place(id),
            Next::Left => {
                agent.hand.left(id);
                break Final::Left;
            }
            // A net under the module's own time-outs: an answer is owed before the expiry, come what may.
            Next::Expired => {
                agent.hand.left(id);
                break Final::Scrapped;
            }
        };
    };
    // What may not be withdrawn ends by itself, and the module hears of it.
    if out.iter().any(Option::is_some) {
        let shared = agent.clone();
        agent.tasks.spawn(async move { rest(&shared, id, out).await }).detach();
    }
    end
}

fn send(agent: &Rc<Agent>, statement: &Rc<Statement>, appliance: usize, time_out: Duration) -> Out {
    let sent = agent.clock.now();
    let (give_up, written) = (sent + time_out, Rc::new(Cell::new(false)));
    let Some(target) = agent.target(appliance) else {
        return Out { sent, give_up, written, ends: Box::pin(async { (Outcome::NotSent, Vec::new()) }) };
    };
    let order = Order { target, turn: agent.hand.turn(), give_up, held: agent.hold(appliance) };
    let (agent, statement, mark) = (agent.clone(), statement.clone(), written.clone());
    Out {
        sent,
        give_up,
        written,
        ends: Box::pin(async move { deliver(&agent, &statement, order, &mark).await }),
    }
}

/// Closes a delivery's connection, before anything else goes out for its command.
fn withdraw(agent: &Agent, id: u64, out: &mut [Option<Out>], delivery: usize, closed: bool) -> Answer {
    match out.get_mut(delivery).and_then(Option::take) {
        Some(Out { sent, ends, .. }) => {
            drop(ends);
            agent.hand.after(id, delivery, sent, Outcome::Withdrawn, closed)
        }
        None => Answer::Wait,
    }
}

/// What happens next to a command. Ends are told before time-outs: after a stall that is their order.
async fn next(
    agent: &Agent,
    out: &mut [Option<Out>],
    look: &mut Option<Duration>,
    client: &mut Connection,
    expires: Duration,
) -> Next {
    let give_up = out.iter().flatten().map(|o| o.give_up).min().unwrap_or(expires);
    let first = give_up.min(look.unwrap_or(expires)).min(expires);
    let mut timer = pin!(Timer::at(agent.clock.instant(first)));
    let mut leaves = pin!(leaves(client));
    poll_fn(|cx| {
        if let Some((n, sent, ended)) = ended(out, cx) {
            return Poll::Ready(Next::Ended(n, sent, ended));
        }
        if leaves.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Next::Left);
        }
        timer.as_mut().poll(cx).map(|()| match late(out, first) {
            Some((n, sent, ended)) => Next::Ended(n, sent, ended),
            None if look.take_if(|at| *at <= first).is_some() => Next::Look,
            None => Next::Expired,
        })
    })
    .await
}

/// A delivery whose time is over is closed. It never ran if it was not yet written whole.
fn late(out: &mut [Option<Out>], now: Duration) -> Option<(usize, Duration, Ended)> {
    let n = out.iter().position(|o| o.as_ref().is_some_and(|o| o.give_up <= now))?;
    let o = out[n].take()?;
    let outcome = if o.written.get() { Outcome::TimedOut } else { Outcome::NoConnection };
    Some((n, o.sent, (outcome, Vec::new())))
}

fn ended(out: &mut [Option<Out>], cx: &mut Context) -> Option<(usize, Duration, Ended)> {
    for (n, slot) in out.iter_mut().enumerate() {
        let Some(Out { sent, ends, .. }) = slot else { continue };
        if let Poll::Ready(ended) = ends.as_mut().poll(cx) {
            let sent = *sent;
            *slot = None;
            return Some((n, sent, ended));
        }
    }
    None
}

/// Ready once the client closes its connection. What it writes ahead is kept, up to a bound.
async fn leaves(client: &mut Connection) {
    while client.inbox.len() <= AHEAD_MOST {
        if client.more().await.map_or(true, |n| n == 0) {
            return;
        }
    }
    future::pending().await
}

/// Hears out the deliveries of a command that has its final answer.
async fn rest(agent: &Agent, id: u64, mut out: Vec<Option<Out>>) {
    while let Some(give_up) = out.iter().flatten().map(|o| o.give_up).min() {
        let mut timer = pin!(Timer::at(agent.clock.instant(give_up)));
        let ends = poll_fn(|cx| match ended(&mut out, cx) {
            Some(ended) => Poll::Ready(Some(ended)),
            None => timer.as_mut().poll(cx).map(|()| late(&mut out, give_up)),
        });
        let Some((n, sent, (outcome, _))) = ends.await else { continue };
        if let Answer::Withdraw { delivery } = agent.hand.after(id, n, sent, outcome, true) {
            withdraw(agent, id, &mut out, delivery, true);
        }
    }
}

/// The number that equal keys share.
fn number(key: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}
