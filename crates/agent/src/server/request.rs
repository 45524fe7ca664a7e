//! The life of one request, from top to bottom: the module is asked at each point of choice.

use crate::agent::Agent;
use crate::balancer_handle::{AdmittedRequest, AttemptResult};
use crate::observability::logging::EVIDENCE;
use crate::protocol::connection::Connection;
use crate::protocol::statement::Statement;
use crate::runtime::reactor::Timer;
use crate::server::connection::class;
use crate::upstream::attempt::{send_attempt, AttemptPlan};
use crate::upstream::transfer_meter::TransferMeter;
use futures_lite::future::poll_fn;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tulipwall::{Decision, DeduplicationScope, Idempotency, Outcome, Request};
use tulipwall_config::number;
use tulipwall_zones::{AttemptStart, Reservation};

/// What a client may write ahead of its answers before it is held back.
const AHEAD_MOST: usize = 16 * 1024;

/// What the client is told; nothing when it has left.
pub enum FinalResponse {
    Succeeded(Vec<u8>),
    Rejected(Option<Duration>),
    Failed,
    Left,
}

impl FinalResponse {
    fn name(&self) -> &'static str {
        match self {
            FinalResponse::Succeeded(_) => "Succeeded",
            FinalResponse::Rejected(_) => "Rejected",
            FinalResponse::Failed => "Failed",
            FinalResponse::Left => "Abandoned",
        }
    }
}

type Ended = (Outcome, Vec<u8>);

/// An attempt that is out.
struct InFlightAttempt {
    sent: Duration,
    give_up: Duration,
    class: usize,
    build: u32,
    meter: Rc<TransferMeter>,
    ticket: Option<Reservation>,
    ends: Pin<Box<dyn Future<Output = Ended>>>,
}

enum Next {
    Ended(usize, Duration, Ended),
    Look,
    Left,
    Expired,
}

/// Takes a request that came in whole at `heard`, and sees it to its final answer.
pub async fn handle_request(
    agent: &Rc<Agent>,
    client: &mut Connection,
    statement: Statement,
    heard: Duration,
) -> FinalResponse {
    agent.endpoints.serving_allowed().await;
    // Numbers are those of the settings in force as the module takes it, and stay its own to its
    // end.
    let (class, tenant, idempotency) = {
        let site = agent.service_config();
        // They may have changed while it waited above: nothing ran, and a retry is told more.
        let Ok(class) = class(&site, &statement) else {
            return FinalResponse::Rejected(None);
        };
        let tenant = statement.tenant.as_deref().and_then(|c| site.tenant(c));
        (class, tenant, site.settings.classes[class].idempotency)
    };
    let deadline = heard + statement.wait;
    let left = deadline.saturating_sub(agent.clock.now());
    let Statement {
        estimated_work: work,
        is_retry: again,
        ..
    } = statement;
    let command = Request {
        class,
        tenant,
        key: Some(number(&statement.object)),
        time_left: left,
        estimated_work: work,
        is_retry: again,
    };
    let statement = Rc::new(statement);
    let mut out: Vec<Option<InFlightAttempt>> = Vec::new();
    let (mut look, mut ran): (Option<Duration>, bool) = (None, false);
    agent.zone_traffic.on_request(agent.clock.now(), class);
    let AdmittedRequest {
        id,
        decision: mut answer,
    } = agent.balancer.on_request(command);
    let end = loop {
        match answer {
            Decision::Forward {
                endpoint,
                timeout,
                recheck_at: at,
            } => {
                let sending = AttemptStart {
                    to: 0,
                    class,
                    build: 0,
                    previous_attempts: out.len(),
                    hedged: out.iter().any(Option::is_some),
                    is_canary: false,
                    pinned_to_scope: ran && bound(idempotency),
                };
                out.push(Some(send(
                    agent, &statement, id, endpoint, timeout, sending,
                )));
                look = at.or(look);
            }
            Decision::Defer { until } => look = Some(until),
            Decision::Reject { retry_after } => break FinalResponse::Rejected(retry_after),
            Decision::Fail => break FinalResponse::Failed,
            Decision::Cancel { attempt } => {
                answer = withdraw(agent, id, &mut out, attempt, false);
                continue;
            }
            Decision::Await => {}
        }
        answer = match next(agent, &mut out, &mut look, client, deadline).await {
            Next::Ended(n, sent, (Outcome::Succeeded, value)) => {
                if let Decision::Cancel { attempt } = agent.balancer.on_attempt_end(
                    id,
                    AttemptResult {
                        attempt: n,
                        sent,
                        outcome: Outcome::Succeeded,
                        request_closed: true,
                    },
                ) {
                    withdraw(agent, id, &mut out, attempt, true);
                }
                break FinalResponse::Succeeded(value);
            }
            Next::Ended(n, sent, (outcome, _)) => {
                ran |= !outcome.never_ran();
                agent.balancer.on_attempt_end(
                    id,
                    AttemptResult {
                        attempt: n,
                        sent,
                        outcome,
                        request_closed: false,
                    },
                )
            }
            Next::Look => agent.balancer.route(id),
            Next::Left => {
                agent.balancer.close_request(id);
                break FinalResponse::Left;
            }
            // A net under the module's own time-outs: an answer is owed before the expiry, come
            // what may.
            Next::Expired => {
                agent.balancer.close_request(id);
                break FinalResponse::Failed;
            }
        };
    };
    let now = agent.clock.now();
    log::debug!(target: EVIDENCE, "{} request class {class} {} {} us work {} us",
        agent.clock.wall(now), end.name(), now.saturating_sub(heard).as_micros(), work.unwrap_or_default().as_micros());
    // Nothing goes out for it from now on. What has gone and may not be withdrawn ends by itself,
    // and the module hears of it.
    for n in 0..out.len() {
        if out[n].as_ref().is_some_and(|o| !o.meter.is_fully_written()) {
            end_unwritten(agent, id, &mut out, n);
        }
    }
    if out.iter().any(Option::is_some) {
        let shared = agent.clone();
        agent
            .executors
            .tasks
            .spawn(async move { rest(&shared, id, out).await })
            .detach();
    }
    end
}

fn send(
    agent: &Rc<Agent>,
    statement: &Rc<Statement>,
    id: u64,
    endpoint: usize,
    timeout: Duration,
    sending: AttemptStart,
) -> InFlightAttempt {
    let sent = agent.clock.now();
    let (give_up, meter) = (sent + timeout, Rc::new(TransferMeter::default()));
    let Some(target) = agent.endpoints.target(endpoint) else {
        let ends = Box::pin(async { (Outcome::NotSent, Vec::new()) });
        return InFlightAttempt {
            sent,
            give_up,
            class: sending.class,
            build: 0,
            meter,
            ticket: None,
            ends,
        };
    };
    let trial = agent.balancer.is_canary(target.build);
    let sending = AttemptStart {
        to: target.zone,
        build: target.build,
        is_canary: trial,
        ..sending
    };
    let ticket = agent.zone_traffic.on_attempt(sent, sending, || {
        agent
            .balancer
            .zone_capacities(agent.service_config().zones.len() + 1)
    });
    if target.zone != agent.service_config().settings.zone {
        agent.apply_cross_zone_policy();
    }
    let (turn, held) = (
        agent.balancer.rollout_revision(),
        agent.endpoints.retain_index(endpoint),
    );
    let order = AttemptPlan {
        id,
        nth: sending.previous_attempts,
        target,
        turn,
        give_up,
        held,
    };
    let (agent, statement, on) = (agent.clone(), statement.clone(), meter.clone());
    InFlightAttempt {
        sent,
        give_up,
        class: sending.class,
        build: target.build,
        meter,
        ticket,
        ends: Box::pin(async move { send_attempt(&agent, &statement, order, &on).await }),
    }
}

/// Whether what may have run must stay in its zone or cell.
fn bound(idempotency: Idempotency) -> bool {
    matches!(
        idempotency,
        Idempotency::Keyed {
            scope: DeduplicationScope::Zone | DeduplicationScope::Cell,
            ..
        }
    )
}

impl InFlightAttempt {
    /// It is over: what it did goes into the account of what crosses.
    fn account(self, agent: &Agent, outcome: Outcome) {
        let InFlightAttempt {
            sent,
            class,
            build,
            meter,
            ticket,
            ends,
            ..
        } = self;
        drop(ends);
        let now = agent.clock.now();
        let took = now.saturating_sub(sent);
        log::debug!(target: EVIDENCE, "{} attempt class {class} build {build} {outcome:?} {} us",
            agent.clock.wall(now), took.as_micros());
        agent
            .zone_traffic
            .on_attempt_end(now, ticket.as_ref(), &meter, outcome, took);
    }
}

/// Closes an attempt's connection, before anything else goes out for its request.
fn withdraw(
    agent: &Agent,
    id: u64,
    out: &mut [Option<InFlightAttempt>],
    attempt: usize,
    closed: bool,
) -> Decision {
    match out.get_mut(attempt).and_then(Option::take) {
        Some(o) => {
            let sent = o.sent;
            o.account(agent, Outcome::Cancelled);
            agent.balancer.on_attempt_end(
                id,
                AttemptResult {
                    attempt,
                    sent,
                    outcome: Outcome::Cancelled,
                    request_closed: closed,
                },
            )
        }
        None => Decision::Await,
    }
}

/// Gives up an attempt that was not written whole.
fn end_unwritten(agent: &Agent, id: u64, out: &mut [Option<InFlightAttempt>], attempt: usize) {
    if let Some(o) = out[attempt].take() {
        let sent = o.sent;
        o.account(agent, Outcome::NotSent);
        agent.balancer.on_attempt_end(
            id,
            AttemptResult {
                attempt,
                sent,
                outcome: Outcome::NotSent,
                request_closed: true,
            },
        );
    }
}

/// What happens next to a request. Ends are told before time-outs: after a stall that is their
/// order. Before either comes a client that has left: an attempt's first look at its connection is
/// also its first byte.
async fn next(
    agent: &Agent,
    out: &mut [Option<InFlightAttempt>],
    look: &mut Option<Duration>,
    client: &mut Connection,
    deadline: Duration,
) -> Next {
    let give_up = out
        .iter()
        .flatten()
        .map(|o| o.give_up)
        .min()
        .unwrap_or(deadline);
    let first = give_up.min(look.unwrap_or(deadline)).min(deadline);
    let mut timer = pin!(Timer::at(agent.clock.instant(first)));
    let mut leaves = pin!(leaves(client));
    poll_fn(|cx| {
        if leaves.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Next::Left);
        }
        if let Some((n, sent, ended)) = ended(agent, out, cx) {
            return Poll::Ready(Next::Ended(n, sent, ended));
        }
        timer
            .as_mut()
            .poll(cx)
            .map(|()| match late(agent, out, first) {
                Some((n, sent, ended)) => Next::Ended(n, sent, ended),
                None if look.take_if(|at| *at <= first).is_some() => Next::Look,
                None => Next::Expired,
            })
    })
    .await
}

/// An attempt whose time is over is closed. It never ran if it was not yet written whole.
fn late(
    agent: &Agent,
    out: &mut [Option<InFlightAttempt>],
    now: Duration,
) -> Option<(usize, Duration, Ended)> {
    let n = out
        .iter()
        .position(|o| o.as_ref().is_some_and(|o| o.give_up <= now))?;
    let o = out[n].take()?;
    let outcome = if o.meter.is_fully_written() {
        Outcome::TimedOut
    } else {
        Outcome::ConnectFailed
    };
    let sent = o.sent;
    o.account(agent, outcome);
    Some((n, sent, (outcome, Vec::new())))
}

fn ended(
    agent: &Agent,
    out: &mut [Option<InFlightAttempt>],
    cx: &mut Context,
) -> Option<(usize, Duration, Ended)> {
    for (n, slot) in out.iter_mut().enumerate() {
        let Some(Poll::Ready(ended)) = slot.as_mut().map(|o| o.ends.as_mut().poll(cx)) else {
            continue;
        };
        let over = slot.take()?;
        let sent = over.sent;
        over.account(agent, ended.0);
        return Some((n, sent, ended));
    }
    None
}

/// Ready once the client closes its connection, or ends its sending, which cannot be told apart.
/// What it writes ahead is kept, up to a bound, beyond which its end is still seen.
async fn leaves(client: &mut Connection) {
    while client.inbox.len() <= AHEAD_MOST {
        if client.read_more().await.map_or(true, |n| n == 0) {
            return;
        }
    }
    client.peer_closed().await;
}

/// Hears out the attempts of a request that has its final answer.
async fn rest(agent: &Agent, id: u64, mut out: Vec<Option<InFlightAttempt>>) {
    while let Some(give_up) = out.iter().flatten().map(|o| o.give_up).min() {
        let mut timer = pin!(Timer::at(agent.clock.instant(give_up)));
        let ends = poll_fn(|cx| match ended(agent, &mut out, cx) {
            Some(ended) => Poll::Ready(Some(ended)),
            None => timer
                .as_mut()
                .poll(cx)
                .map(|()| late(agent, &mut out, give_up)),
        });
        let Some((n, sent, (outcome, _))) = ends.await else {
            continue;
        };
        if let Decision::Cancel { attempt } = agent.balancer.on_attempt_end(
            id,
            AttemptResult {
                attempt: n,
                sent,
                outcome,
                request_closed: true,
            },
        ) {
            withdraw(agent, id, &mut out, attempt, true);
        }
    }
}
