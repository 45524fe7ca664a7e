//! Which agent a try goes to, how gently one that failed is tried, and when new connections may be
//! opened.
//!
//! Of the agents that are open, two are drawn and the one with fewer calls in flight is taken, so
//! that a slow one gets less by itself. One that failed again and again rests for a while that
//! doubles, by chance between half and the whole of it; then it gets one call at a time, and twice
//! as many with each that is satisfied. One that is leaving is passed over for a while, and so is
//! its reconnecting: the first new connection after an agent was lost waits for a time drawn from
//! the whole spread, so that any number of clients that were cut at the same moment come back
//! spread over it without knowing of each other.

use crate::service::Connections;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Failures in a row after which an agent rests.
const FAILURES: u32 = 3;
const REST: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));
/// How long one that leaves is passed over.
const LEAVES: Duration = Duration::from_secs(2);
/// An agent that closed the only connection so long ago at most, and was reached since, makes room
/// for others.
const MAKES_ROOM: Duration = Duration::from_secs(30);
/// Calls at a time with which one that was tried is open again.
const OPEN_FROM: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Open,
    /// So many calls at a time.
    Trying(usize),
    /// Until then.
    Resting(Duration),
    Leaving(Duration),
}

/// What comes of asking for an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chosen {
    /// A call to it has begun; its end is owed to [`Endpoints::ended`].
    Agent(usize),
    /// None before this time, unless a call ends before.
    NotBefore(Duration),
}

/// Whether a new connection may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// Its end is owed to [`Endpoints::opened`].
    Now,
    /// Not before this time.
    NotBefore(Duration),
    /// Not before another ends.
    Full,
}

#[derive(Debug)]
struct Endpoint {
    in_flight: usize,
    failures: u32,
    rest: Duration,
    state: State,
    opening: usize,
    tokens: f64,
    counted: Duration,
    /// No new connection before this time.
    gate: Duration,
    lost: u32, // times in a row
    closed: Option<Duration>,
}

#[derive(Debug)]
pub struct Endpoints {
    by: Connections,
    all: Vec<Endpoint>,
    rng: Pcg64Mcg,
}

impl Endpoints {
    pub fn new(by: Connections, agents: usize, seed: u64) -> Endpoints {
        let new = |_| Endpoint {
            in_flight: 0,
            failures: 0,
            rest: REST.0,
            state: State::Open,
            opening: 0,
            tokens: by.opening as f64,
            counted: Duration::ZERO,
            gate: Duration::ZERO,
            lost: 0,
            closed: None,
        };
        Endpoints {
            all: (0..agents).map(new).collect(),
            by,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    pub fn state(&self, agent: usize) -> State {
        self.all.get(agent).map_or(State::Open, |e| e.state)
    }

    pub fn in_flight(&self, agent: usize) -> usize {
        self.all.get(agent).map_or(0, |e| e.in_flight)
    }

    /// Draws an agent for a try, another than `but` where there is one. `waits` says whether a
    /// connection to an agent waits for a request: without one, an agent whose gate is closed
    /// cannot be reached yet.
    pub fn choose(
        &mut self,
        now: Duration,
        but: Option<usize>,
        waits: impl Fn(usize) -> bool,
    ) -> Chosen {
        for e in &mut self.all {
            match e.state {
                State::Resting(until) if now >= until => e.state = State::Trying(1),
                State::Leaving(until) if now >= until => e.state = State::Trying(1),
                _ => {}
            }
        }
        let fits = |e: &Endpoint| match e.state {
            State::Open => true,
            State::Trying(most) => e.in_flight < most,
            State::Resting(_) | State::Leaving(_) => false,
        };
        let reached = |a: &usize| now >= self.all[*a].gate || waits(*a);
        let open: Vec<usize> = (0..self.all.len())
            .filter(|a| fits(&self.all[*a]))
            .filter(reached)
            .collect();
        let others: Vec<usize> = open.iter().copied().filter(|a| Some(*a) != but).collect();
        let of = if others.is_empty() { &open } else { &others };
        if of.is_empty() {
            // All that do not rest are being tried: whichever ends first, or the first rest or
            // gate.
            let ends = self.all.iter().filter_map(|e| match e.state {
                State::Resting(until) | State::Leaving(until) => Some(until.max(e.gate)),
                _ => Some(e.gate).filter(|at| now < *at),
            });
            return Chosen::NotBefore(
                ends.min()
                    .unwrap_or(now + REST.0)
                    .max(now + Duration::from_millis(1)),
            );
        }
        let mut draw = || of[self.rng.gen_range(0..of.len())];
        let (one, two) = (draw(), draw());
        let agent = if self.all[two].in_flight < self.all[one].in_flight {
            two
        } else {
            one
        };
        self.all[agent].in_flight += 1;
        Chosen::Agent(agent)
    }

    /// A try at this agent has ended: `Some(true)` with an answer that the agent made (a rejection,
    /// too), `Some(false)` failed, `None` without a word on the agent.
    pub fn ended(&mut self, now: Duration, agent: usize, good: Option<bool>) {
        let drawn = self.rng.gen_range(0.5..1.0);
        let Some(e) = self.all.get_mut(agent) else {
            return;
        };
        e.in_flight = e.in_flight.saturating_sub(1);
        match (good, e.state) {
            (Some(true), state) => {
                (e.failures, e.rest, e.lost) = (0, REST.0, 0);
                if let State::Trying(most) = state {
                    e.state = if most >= OPEN_FROM {
                        State::Open
                    } else {
                        State::Trying(most * 2)
                    };
                }
            }
            (Some(false), State::Trying(_)) => rest(e, now, drawn),
            (Some(false), _) => {
                e.failures += 1;
                if e.failures >= FAILURES && !matches!(e.state, State::Resting(_)) {
                    rest(e, now, drawn);
                }
            }
            (None, _) => {}
        }
    }

    /// It said that it leaves, or closed between requests.
    pub fn leaves(&mut self, now: Duration, agent: usize) {
        let gate = self.spread(now, agent);
        if let Some(e) = self.all.get_mut(agent) {
            e.state = State::Leaving(now + LEAVES);
            e.gate = e.gate.max(gate);
        }
    }

    /// The only connection to it was closed between requests: it may have gone, or made room for
    /// others. The first time in a while the next waits as after a loss; when that happens again
    /// soon it makes room, and the next is opened within a tenth of the spread.
    pub fn closed(&mut self, now: Duration, agent: usize) {
        let part = self.rng.gen_range(0.0..1.0);
        let Some(e) = self.all.get_mut(agent) else {
            return;
        };
        let soon = e
            .closed
            .replace(now)
            .is_some_and(|at| now < at + MAKES_ROOM);
        let wait = self.by.spread.mul_f64(if soon { part * 0.1 } else { part });
        e.gate = e.gate.max(now + wait);
    }

    /// Its connections broke, or it refused one: the next is opened at a time drawn from the
    /// spread, which doubles up to twice while it stays lost.
    pub fn lost(&mut self, now: Duration, agent: usize) {
        let open = self.all.get(agent).is_some_and(|e| now < e.gate);
        if !open {
            let gate = self.spread(now, agent);
            if let Some(e) = self.all.get_mut(agent) {
                (e.gate, e.lost) = (gate, e.lost + 1);
            }
        }
    }

    fn spread(&mut self, now: Duration, agent: usize) -> Duration {
        let lost = self.all.get(agent).map_or(0, |e| e.lost);
        let span = self.by.spread.saturating_mul(1 << lost.min(2));
        now + span.mul_f64(self.rng.gen_range(0.0..1.0))
    }

    /// Whether a connection to this agent may be opened now.
    pub fn open(&mut self, now: Duration, agent: usize) -> Opening {
        let Some(e) = self.all.get_mut(agent) else {
            return Opening::Full;
        };
        if now < e.gate {
            return Opening::NotBefore(e.gate);
        }
        let most = self.by.opening.max(1) as f64;
        let earned = now.saturating_sub(e.counted).as_secs_f64() * self.by.rate;
        (e.tokens, e.counted) = ((e.tokens + earned).min(most), now);
        if e.opening >= self.by.opening.max(1) {
            return Opening::Full;
        }
        if e.tokens < 1.0 {
            let wait = (1.0 - e.tokens) / self.by.rate.max(1e-3);
            return Opening::NotBefore(
                now + Duration::from_secs_f64(wait.min(60.0)) + Duration::from_micros(1),
            );
        }
        e.tokens -= 1.0;
        e.opening += 1;
        Opening::Now
    }

    /// One that was being opened is open, or not.
    pub fn opened(&mut self, now: Duration, agent: usize, open: bool) {
        if let Some(e) = self.all.get_mut(agent) {
            e.opening = e.opening.saturating_sub(1);
        }
        if !open {
            self.lost(now, agent);
        }
    }

    /// The life of a new connection: its most, less up to a tenth by chance.
    pub fn life(&mut self) -> Duration {
        self.by.life.mul_f64(self.rng.gen_range(0.9..1.0))
    }
}

fn rest(e: &mut Endpoint, now: Duration, drawn: f64) {
    e.state = State::Resting(now + e.rest.mul_f64(drawn));
    e.rest = (e.rest * 2).min(REST.1);
    e.failures = 0;
}
