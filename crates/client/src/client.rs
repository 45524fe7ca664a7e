//! A client: its calls, from the first try to the answer.

use crate::call::{AttemptSummary, Call, CallError, CallResponse};
use crate::connection::{Connection, Heard};
use crate::stats::{ClassStats, ClientStats, Counters};
use async_io::Timer;
use event_listener::Event;
use futures_lite::future::FutureExt;
use rand::RngCore;
use std::collections::{BTreeSet, VecDeque};
use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tulipwall::Idempotency;
use tulipwall_client_policy::response::Response;
use tulipwall_client_policy::{
    AgentSelector, AttemptHistory, AttemptOutcome, AttemptSignal, ClientConfig, ConcurrencyLimit,
    ConnectDecision, RetryController, RetryDecision, Selection,
};

/// A timer that is seen so late tells of a client that stood still.
const STOOD_STILL: Duration = Duration::from_millis(20);

/// Shared by all calls of a process; clones are the same client.
#[derive(Clone, Debug)]
pub struct Client(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    service: ClientConfig,
    start: Instant,
    prefix: String,
    next: AtomicU64,
    state: Mutex<State>,
    /// A connection was put back, a place became free, or a call ended.
    freed: Event,
}

#[derive(Debug)]
struct State {
    retries: RetryController,
    endpoints: AgentSelector,
    bound: ConcurrencyLimit,
    pools: Vec<Pool>,
    waiting: usize,
    keys: BTreeSet<String>, // of deduplicated calls in hand
    counters: Counters,
    classes: Vec<ClassStats>,
}

impl State {
    /// A connection to this agent was closed by it or broke. If others that wait are quiet, that
    /// was all. If all are closed, the agent has gone, or is going.
    fn broke(&mut self, now: Duration, agent: usize) {
        let pool = &mut self.pools[agent];
        let before = pool.idle.len();
        pool.idle.retain(Connection::quiet);
        pool.open = pool.open.saturating_sub(before - pool.idle.len());
        self.counters.idle_found_closed += (before - pool.idle.len()) as u64;
        match (pool.idle.is_empty(), before) {
            (false, _) => {}
            (true, 0) => self.endpoints.on_idle_close(now, agent),
            (true, _) if self.pools.len() > 1 => self.endpoints.on_draining(now, agent),
            (true, _) => self.endpoints.on_connection_loss(now, agent),
        }
    }
}

/// Connections to one agent.
#[derive(Debug, Default)]
struct Pool {
    idle: VecDeque<Connection>, // the longest idle first
    open: usize,                // with those in use
}

/// Gives back what a call holds, however it ends.
struct Held<'a> {
    inner: &'a Inner,
    key: Option<String>,
    over: bool,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let mut state = self.inner.state();
        state.bound.release();
        if let Some(key) = &self.key {
            state.keys.remove(key);
        }
        state.counters.cancelled += u64::from(!self.over);
        drop(state);
        self.inner.freed.notify(usize::MAX);
    }
}

/// One try at an agent; dropped unended it says nothing of the agent.
struct Trying<'a> {
    inner: &'a Inner,
    agent: usize,
    good: AttemptSignal,
}

impl Drop for Trying<'_> {
    fn drop(&mut self) {
        let now = self.inner.now();
        self.inner
            .state()
            .endpoints
            .on_attempt_end(now, self.agent, self.good);
        self.inner.freed.notify(usize::MAX);
    }
}

/// A place among the connections to an agent.
struct Place<'a> {
    inner: &'a Inner,
    agent: usize,
    kept: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if !self.kept {
            let mut state = self.inner.state();
            state.pools[self.agent].open = state.pools[self.agent].open.saturating_sub(1);
            drop(state);
            self.inner.freed.notify(usize::MAX);
        }
    }
}

/// A call that waits for a place.
struct Waiting<'a>(&'a Inner);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.waiting = state.waiting.saturating_sub(1);
    }
}

/// A connection that is being opened; dropped it counts as not opened.
struct Opened<'a> {
    inner: &'a Inner,
    agent: usize,
    open: Option<bool>,
}

impl Drop for Opened<'_> {
    fn drop(&mut self) {
        let now = self.inner.now();
        let mut state = self.inner.state();
        // One that a call gave up for its own expiry says nothing of the agent.
        state
            .endpoints
            .on_connect_end(now, self.agent, self.open != Some(false));
        match self.open {
            Some(true) => state.counters.connections_opened += 1,
            _ => state.counters.connect_failures += 1,
        }
        drop(state);
        self.inner.freed.notify(usize::MAX);
    }
}

enum Got<'a> {
    Connection(Box<Connection>, Place<'a>),
    /// The agent would not take it.
    Refused(Response),
    /// It could not be reached.
    Not,
    /// No place in the time that a call may wait, or too many wait.
    NoPlace,
}

impl Client {
    /// A client of this service. Nothing is opened before the first call, or [`Client::warm`].
    pub fn new(service: ClientConfig) -> Client {
        let mut rng = rand::thread_rng();
        let (seed, agents) = (rng.next_u64(), service.agents.len());
        let state = State {
            retries: RetryController::new(service.retry.clone(), agents, seed),
            endpoints: AgentSelector::new(service.connections.clone(), agents, seed ^ 1),
            bound: ConcurrencyLimit::new(service.concurrency.clone(), &service.classes),
            pools: (0..agents).map(|_| Pool::default()).collect(),
            waiting: 0,
            keys: BTreeSet::new(),
            counters: Counters::default(),
            classes: service
                .classes
                .iter()
                .map(|l| ClassStats::new(&l.name))
                .collect(),
        };
        Client(Arc::new(Inner {
            service,
            start: Instant::now(),
            prefix: format!("{:016x}", rng.next_u64()),
            next: AtomicU64::new(0),
            state: Mutex::new(state),
            freed: Event::new(),
        }))
    }

    /// Opens the least number of connections to each agent, as far as its gate lets them; how many
    /// are open.
    pub async fn warm(&self) -> usize {
        let inner = &*self.0;
        let within = inner.service.connections.connect_timeout;
        for agent in 0..inner.service.agents.len() {
            for _ in 0..inner.service.connections.min_connections {
                if inner.state().pools[agent].open >= inner.service.connections.min_connections {
                    break;
                }
                let until = Instant::now() + within;
                if let Some(Got::Connection(c, place)) =
                    limited(until, inner.connection(agent, until)).await
                {
                    inner.keep(*c, place);
                }
            }
        }
        inner.state().pools.iter().map(|p| p.open).sum()
    }

    /// One call, to its answer. Dropping it closes what it had out.
    pub async fn call(&self, call: Call) -> Result<CallResponse, CallError> {
        let inner = &*self.0;
        let begun = Instant::now();
        let checked = call.check().and_then(|()| {
            let unknown = || format!("lane: '{}' is not one of this service", call.class);
            inner.service.class_index(&call.class).ok_or_else(unknown)
        });
        let ended = match checked {
            Ok(class) => inner.call(&call, class, begun).await,
            Err(what) => Err(CallError::InvalidCall(what)),
        };
        let mut state = inner.state();
        let c = &mut state.counters;
        c.calls += 1;
        match &ended {
            Ok(_) => c.succeeded += 1,
            Err(CallError::Rejected { .. }) => c.rejected += 1,
            Err(CallError::Failed { .. }) => c.failed += 1,
            Err(CallError::DeadlineExceeded { .. }) => c.deadline_exceeded += 1,
            Err(CallError::Overloaded) => c.overloaded += 1,
            Err(CallError::InvalidCall(_)) => c.invalid += 1,
        }
        ended
    }

    /// What can be seen of it now.
    pub fn stats(&self) -> ClientStats {
        let state = self.0.state();
        ClientStats {
            counters: state.counters.clone(),
            classes: state.classes.clone(),
            concurrency_limit: state.bound.limit(),
            in_flight: state.bound.in_flight(),
            retry_tokens: state.retries.available_tokens(),
            idle_connections: state.pools.iter().map(|p| p.idle.len()).collect(),
        }
    }

    pub fn config(&self) -> &ClientConfig {
        &self.0.service
    }
}

/// The outcome of `work`, unless the time is over before.
async fn limited<T>(until: Instant, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::at(until).await;
        None
    };
    async { Some(work.await) }.or(late).await
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn at(&self, at: Duration) -> Instant {
        self.start + at
    }

    async fn call(
        &self,
        call: &Call,
        class: usize,
        begun: Instant,
    ) -> Result<CallResponse, CallError> {
        let of = &self.service.classes[class];
        let keyed = matches!(of.idempotency, Idempotency::Keyed { .. });
        let key = keyed.then(|| call.key.clone().unwrap_or_else(|| self.id()));
        let mut held = {
            let mut state = self.state();
            // Two calls under one key at once could not tell whose answer is whose.
            if key.as_ref().is_some_and(|k| state.keys.contains(k)) {
                return Err(CallError::InvalidCall(
                    "key: another call with it is in hand".into(),
                ));
            }
            if !state.bound.try_acquire(class) {
                return Err(CallError::Overloaded);
            }
            state.keys.extend(key.clone());
            Held {
                inner: self,
                key: key.clone(),
                over: false,
            }
        };
        let deadline = begun + call.timeout;
        let mut tries = AttemptHistory::new(
            of.idempotency,
            self.now() + deadline.saturating_duration_since(Instant::now()),
        );
        let mut tried = AttemptSummary::default();
        let ended = self
            .tries(call, key.as_deref(), deadline, &mut tries, &mut tried)
            .await;
        held.over = true;
        tried.elapsed = begun.elapsed();
        tried.may_have_executed = tries.may_have_executed();
        // What may have run and may not simply run again is not rejected, wherever the call ended.
        let harmless = !tries.may_have_executed() || of.idempotency == Idempotency::Idempotent;
        match ended {
            Err(Given::Rejected(_)) if !harmless => Err(CallError::Failed {
                code: "unreachable".into(),
                attempts: tried,
            }),
            Ok(value) => {
                let mut state = self.state();
                state.classes[class].succeeded(tries.attempts as usize, tried.elapsed);
                if tried.elapsed <= of.latency_objective {
                    state.bound.on_timely_response();
                } else {
                    state.bound.on_overload(self.now());
                }
                Ok(CallResponse {
                    value,
                    attempts: tried,
                })
            }
            Err(Given::Rejected(retry_after)) => Err(CallError::Rejected {
                retry_after,
                attempts: tried,
            }),
            Err(Given::Failed(code)) => Err(CallError::Failed {
                code,
                attempts: tried,
            }),
            Err(Given::Expired) => Err(CallError::DeadlineExceeded { attempts: tried }),
            Err(Given::Shed) => Err(CallError::Overloaded),
        }
    }

    /// Tries until there is an answer, none may follow, or its time is over.
    async fn tries(
        &self,
        call: &Call,
        key: Option<&str>,
        deadline: Instant,
        tries: &mut AttemptHistory,
        tried: &mut AttemptSummary,
    ) -> Result<Vec<u8>, Given> {
        let mut last = None;
        loop {
            let agent = self.agent(last, deadline).await?;
            let mut trying = Trying {
                inner: self,
                agent,
                good: AttemptSignal::Neutral,
            };
            let got = limited(deadline, self.connection(agent, deadline)).await;
            // Its window may have ended while it waited.
            if let Err(cause) = tries.check_repeatable(self.now()) {
                self.note(call, agent, "window", cause.as_str());
                return Err(Given::Failed(cause.as_str().into()));
            }
            tries.on_attempt_start(self.now());
            tried.agents.push(self.service.agents[agent]);
            self.state().counters.attempts += 1;
            let (ended, failure) = match got {
                None => return Err(Given::Expired),
                Some(Got::NoPlace) if tries.attempts == 1 && !tries.may_have_executed() => {
                    return Err(Given::Shed)
                }
                Some(Got::NoPlace | Got::Not) => (AttemptOutcome::NotSent, Given::Rejected(None)),
                Some(Got::Refused(Response::Draining)) => {
                    (AttemptOutcome::Draining, Given::Rejected(None))
                }
                Some(Got::Refused(Response::Rejected { retry_after: back })) => (
                    AttemptOutcome::Rejected { retry_after: back },
                    Given::Rejected(back),
                ),
                Some(Got::Refused(_)) => (AttemptOutcome::NotSent, Given::Rejected(None)),
                Some(Got::Connection(connection, place)) => {
                    let left = deadline.saturating_duration_since(Instant::now());
                    let again = self.service.marks_retries && tries.attempts > 1;
                    let statement = call.statement(&self.id(), key, left, again);
                    match self.ask(*connection, place, &statement, deadline).await {
                        Ok(value) => {
                            trying.good = AttemptSignal::Success;
                            self.state().retries.on_success(agent);
                            return Ok(value);
                        }
                        Err(failed) => failed,
                    }
                }
            };
            trying.good = match ended {
                AttemptOutcome::Rejected { .. } | AttemptOutcome::Failed => AttemptSignal::Success,
                AttemptOutcome::Draining | AttemptOutcome::StaleConnection => {
                    AttemptSignal::Neutral
                }
                _ => AttemptSignal::Failure,
            };
            let now = self.now();
            let next = {
                let mut state = self.state();
                *state
                    .counters
                    .attempt_failures
                    .entry(ended.as_str())
                    .or_default() += 1;
                match ended {
                    AttemptOutcome::Draining => state.endpoints.on_draining(now, agent),
                    AttemptOutcome::ConnectionLost | AttemptOutcome::StaleConnection => {
                        state.broke(now, agent)
                    }
                    AttemptOutcome::Rejected { .. } | AttemptOutcome::TimedOut => {
                        state.bound.on_overload(now)
                    }
                    _ => {}
                }
                state.retries.decide(now, tries, agent, ended)
            };
            drop(trying);
            if ended == AttemptOutcome::TimedOut {
                return Err(Given::Expired);
            }
            match next {
                RetryDecision::RetryAt(at) => {
                    self.note(call, agent, ended.as_str(), "again");
                    tried.failures.push(ended.as_str());
                    last = Some(agent);
                    if limited(deadline, Timer::at(self.at(at))).await.is_none() {
                        return Err(Given::Expired);
                    }
                }
                RetryDecision::GiveUp(cause) => {
                    self.note(call, agent, ended.as_str(), cause.as_str());
                    *self
                        .state()
                        .counters
                        .given_up
                        .entry(cause.as_str())
                        .or_default() += 1;
                    return Err(failure);
                }
            }
        }
    }

    fn note(&self, call: &Call, agent: usize, ended: &str, next: &str) {
        log::debug!(class = call.class.as_str(), agent:% = self.service.agents[agent], ended, next;
            "a try of {} ended: {ended}; {next}", call.class);
    }

    /// An id that no other try has.
    fn id(&self) -> String {
        format!(
            "{}-{:x}",
            self.prefix,
            self.next.fetch_add(1, Ordering::Relaxed)
        )
    }

    /// The agent for the next try, once one may be tried. Where that is beyond the call's time it
    /// ends at once.
    async fn agent(&self, but: Option<usize>, deadline: Instant) -> Result<usize, Given> {
        loop {
            let freed = self.freed.listen();
            let now = self.now();
            let chosen = {
                let State {
                    endpoints, pools, ..
                } = &mut *self.state();
                endpoints.select(now, but, |agent| !pools[agent].idle.is_empty())
            };
            match chosen {
                Selection::Agent(agent) => return Ok(agent),
                Selection::NotBefore(at) if self.at(at) >= deadline => {
                    return Err(Given::Rejected(Some(at.saturating_sub(now))));
                }
                Selection::NotBefore(at) => {
                    limited(self.at(at), freed).await;
                    if Instant::now() >= deadline {
                        return Err(Given::Expired);
                    }
                }
            }
        }
    }

    /// A connection to this agent: one that waits, or a new one where its gate lets it, or the next
    /// that is free.
    async fn connection(&self, agent: usize, deadline: Instant) -> Got<'_> {
        let until = deadline.min(Instant::now() + self.service.concurrency.queue_timeout);
        let mut waiting: Option<Waiting> = None;
        loop {
            let freed = self.freed.listen();
            if let Some(found) = self.idle(agent) {
                return Got::Connection(Box::new(found.0), found.1);
            }
            let opening = {
                let now = self.now();
                let mut state = self.state();
                if state.pools[agent].open >= self.service.connections.max_connections.max(1) {
                    ConnectDecision::AtLimit
                } else {
                    let opening = state.endpoints.try_connect(now, agent);
                    if opening == ConnectDecision::Connect {
                        state.pools[agent].open += 1;
                    }
                    opening
                }
            };
            let look = match opening {
                ConnectDecision::Connect => return self.open(agent, deadline).await,
                ConnectDecision::NotBefore(at) => self.at(at).min(until),
                ConnectDecision::AtLimit => until,
            };
            if waiting.is_none() {
                let mut state = self.state();
                if state.waiting >= self.service.concurrency.max_queued {
                    return Got::NoPlace;
                }
                state.waiting += 1;
                drop(state);
                waiting = Some(Waiting(self));
            }
            limited(look, freed).await;
            if Instant::now() >= until {
                return Got::NoPlace;
            }
        }
    }

    /// One that waits, known open and quiet. Those that are too old, or idle for too long, are
    /// closed.
    fn idle(&self, agent: usize) -> Option<(Connection, Place<'_>)> {
        let by = &self.service.connections;
        let mut state = self.state();
        while let Some(c) = state.pools[agent].idle.pop_front() {
            let fresh = c.since.elapsed() < c.life && c.idle_from.elapsed() < by.idle_timeout;
            let quiet = c.quiet();
            if fresh && quiet {
                state.counters.connections_reused += 1;
                return Some((
                    c,
                    Place {
                        inner: self,
                        agent,
                        kept: false,
                    },
                ));
            }
            state.pools[agent].open = state.pools[agent].open.saturating_sub(1);
            if fresh && !quiet {
                state.counters.idle_found_closed += 1;
                let now = self.now();
                state.broke(now, agent);
            }
        }
        None
    }

    async fn open(&self, agent: usize, deadline: Instant) -> Got<'_> {
        let place = Place {
            inner: self,
            agent,
            kept: false,
        };
        let mut opened = Opened {
            inner: self,
            agent,
            open: None,
        };
        let life = self.state().endpoints.draw_connection_lifetime();
        let within = self.service.connections.connect_timeout;
        let mut until = Instant::now() + within;
        let mut opening = pin!(Connection::open(self.service.agents[agent], life));
        let heard = loop {
            let heard = limited(until.min(deadline), opening.as_mut()).await;
            // What the agent said while this client stood still is yet to be heard. Guards against
            // taking its own standstill for the agent's; costs a call as much of its time again
            // where the agent is lost as well.
            let missed = Instant::now().saturating_duration_since(until);
            if heard.is_some() || until >= deadline || missed < STOOD_STILL {
                break heard;
            }
            until += missed + missed.min(within);
        };
        match heard {
            Some(Ok(Ok(connection))) => {
                opened.open = Some(true);
                Got::Connection(Box::new(connection), place)
            }
            Some(Ok(Err(said))) => {
                opened.open = Some(false);
                Got::Refused(said)
            }
            Some(Err(_)) => {
                opened.open = Some(false);
                Got::Not
            }
            None => {
                opened.open = (until <= deadline).then_some(false);
                Got::Not
            }
        }
    }

    /// Asks on a connection, which is kept where it may be used again.
    async fn ask(
        &self,
        mut connection: Connection,
        place: Place<'_>,
        statement: &str,
        deadline: Instant,
    ) -> Result<Vec<u8>, (AttemptOutcome, Given)> {
        let mut written = false;
        let heard = limited(
            deadline,
            connection.ask(statement, self.service.max_value_bytes, &mut written),
        )
        .await;
        match heard {
            Some(Heard::Response(said)) => {
                let leaving = said == Response::Draining;
                if !leaving {
                    self.keep(connection, place);
                }
                match said {
                    Response::Value(value) => Ok(value),
                    Response::Rejected { retry_after: back } => Err((
                        AttemptOutcome::Rejected { retry_after: back },
                        Given::Rejected(back),
                    )),
                    Response::Draining => Err((AttemptOutcome::Draining, Given::Rejected(None))),
                    Response::Error { code, .. } => {
                        Err((AttemptOutcome::Failed, Given::Failed(code)))
                    }
                    Response::Ready => Err((
                        AttemptOutcome::MalformedResponse,
                        Given::Failed("garbage".into()),
                    )),
                }
            }
            Some(Heard::AttemptOutcome(AttemptOutcome::NotSent)) => {
                Err((AttemptOutcome::NotSent, Given::Rejected(None)))
            }
            Some(Heard::AttemptOutcome(ended)) => {
                Err((ended, Given::Failed(ended.as_str().into())))
            }
            // Before its last byte was written it never ran, but its time is over all the same.
            None if written => Err((AttemptOutcome::TimedOut, Given::Expired)),
            None => Err((AttemptOutcome::NotSent, Given::Expired)),
        }
    }

    fn keep(&self, connection: Connection, mut place: Place<'_>) {
        if connection.since.elapsed() < connection.life {
            place.kept = true;
            self.state().pools[place.agent].idle.push_back(connection);
            self.freed.notify(usize::MAX);
        }
    }
}

/// How a call that has no value is given up.
enum Given {
    Rejected(Option<Duration>),
    Failed(String),
    Expired,
    Shed,
}
