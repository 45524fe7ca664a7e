//! Whether a call is tried again, when, and what it ends as otherwise.
//!
//! An non-idempotent request goes out again only if it provably never ran: its last byte was not
//! written, or the agent said that a retry is harmless. One deduplicated among all endpoints may go
//! again inside its window, counted from the first try that may have run; one deduplicated in a
//! zone or cell may not, as the next agent may pick another. Idempotent ones may always. Each retry
//! costs a token, of this agent and of all; tokens are earned by satisfied requests, so that
//! retries stay a tenth of what works and vanish when nothing does.

use crate::service::Retrying;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency};

/// How one try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A retry is harmless; when to come back, where that was said.
    Rejected(Option<Duration>),
    /// The same, as the agent leaves (57P03).
    Leaving,
    /// Not written to its last byte: refused, never came up, or broke before. It never ran.
    NotSent,
    /// The connection, used before, was closed without a byte of an answer: the close may have
    /// crossed it.
    Crossed,
    /// Written whole, then the connection broke.
    Broken,
    /// An error that promises nothing.
    Failed,
    /// An answer that is none.
    Garbage,
    /// Nothing in time.
    Late,
}

impl Ended {
    /// It may have run, or may yet.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Ended::Rejected(_) | Ended::Leaving | Ended::NotSent)
    }

    /// As logs and counters write it.
    pub fn word(self) -> &'static str {
        match self {
            Ended::Rejected(_) => "denied",
            Ended::Leaving => "leaving",
            Ended::NotSent => "not_sent",
            Ended::Crossed => "crossed",
            Ended::Broken => "broken",
            Ended::Failed => "failed",
            Ended::Garbage => "garbage",
            Ended::Late => "late",
        }
    }
}

/// Why a call is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It may have run and may not run twice.
    MayNotRepeat,
    /// The window in which its repeats are told is over.
    WindowOver,
    Tries,
    Tokens,
    /// The time to come back, or the next pause, lies beyond its expiry.
    Expiry,
}

impl Cause {
    pub fn word(self) -> &'static str {
        match self {
            Cause::MayNotRepeat => "may_not_repeat",
            Cause::WindowOver => "window_over",
            Cause::Tries => "tries",
            Cause::Tokens => "tokens",
            Cause::Expiry => "expiry",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Again at this time.
    Again(Duration),
    Over(Cause),
}

/// One call's tries so far.
#[derive(Clone, Debug)]
pub struct Tries {
    pub idempotency: Idempotency,
    pub deadline: Duration,
    /// Begun, the one that is out among them.
    pub count: u32,
    /// When the first that may have run began.
    pub ran_from: Option<Duration>,
    /// The resend that the protocol allows was used.
    resent: bool,
    began: Duration,
}

impl Tries {
    pub fn new(idempotency: Idempotency, deadline: Duration) -> Tries {
        Tries {
            idempotency,
            deadline,
            count: 0,
            ran_from: None,
            resent: false,
            began: Duration::ZERO,
        }
    }

    /// A try begins.
    pub fn begin(&mut self, now: Duration) {
        (self.count, self.began) = (self.count + 1, now);
    }

    pub fn may_have_run(&self) -> bool {
        self.ran_from.is_some()
    }

    /// Whether it may go out at this time, which was decided earlier: its window may have ended
    /// meanwhile.
    pub fn may_go(&self, now: Duration) -> Result<(), Cause> {
        match (self.idempotency, self.ran_from) {
            (Idempotency::Idempotent, _) | (_, None) => Ok(()),
            (
                Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    window,
                },
                Some(from),
            ) if now < from + window => Ok(()),
            (
                Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                },
                Some(_),
            ) => Err(Cause::WindowOver),
            _ => Err(Cause::MayNotRepeat),
        }
    }
}

/// The retries of one client.
#[derive(Debug)]
pub struct Retries {
    by: Retrying,
    tokens: f64,
    each: Vec<f64>, // by agent
    rng: Pcg64Mcg,
}

impl Retries {
    pub fn new(by: Retrying, agents: usize, seed: u64) -> Retries {
        let tokens = by.kept;
        Retries {
            by,
            tokens,
            each: vec![tokens; agents],
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// A request was satisfied by this agent.
    pub fn succeeded(&mut self, agent: usize) {
        self.tokens = (self.tokens + self.by.earned).min(self.by.kept);
        if let Some(t) = self.each.get_mut(agent) {
            *t = (*t + self.by.earned).min(self.by.kept);
        }
    }

    /// Tokens left, of all agents together.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// What to do after a try at this agent ended so. Costs a token where it is tried again.
    pub fn next(&mut self, now: Duration, tries: &mut Tries, agent: usize, ended: Ended) -> Next {
        if ended.may_have_run() {
            tries.ran_from.get_or_insert(tries.began);
        }
        if let Err(cause) = tries.may_go(now) {
            return Next::Over(cause);
        }
        // The close of an idle connection crossed the request: sent once more at once, beside all
        // counts.
        if ended == Ended::Crossed && !std::mem::replace(&mut tries.resent, true) {
            return self.at(now, tries);
        }
        if tries.count >= self.by.tries {
            return Next::Over(Cause::Tries);
        }
        let pause = self.pause(tries.count);
        let floor = match ended {
            Ended::Rejected(Some(back)) => back,
            _ => Duration::ZERO,
        };
        // Beyond a time to come back that all were told alike, they spread over as long again.
        let beyond = pause.max(floor);
        let drawn = beyond.mul_f64(self.rng.gen_range(0.0..1.0));
        let at = now.saturating_add(floor).saturating_add(drawn);
        if now.saturating_add(floor) >= tries.deadline {
            return Next::Over(Cause::Expiry);
        }
        // A pause of its own never costs the last chance: half of what is left is the most it
        // takes.
        let latest = now + floor + (tries.deadline - now - floor) / 2;
        let next = self.at(at.min(latest), tries);
        if let Next::Again(_) = next {
            let each = self.each.get(agent).copied().unwrap_or(self.tokens);
            if self.tokens < 1.0 || each < 1.0 {
                return Next::Over(Cause::Tokens);
            }
            self.tokens -= 1.0;
            self.each.get_mut(agent).into_iter().for_each(|t| *t -= 1.0);
        }
        next
    }

    /// At this time, if it may still go out then.
    fn at(&self, at: Duration, tries: &Tries) -> Next {
        match tries.may_go(at) {
            Err(cause) => Next::Over(cause),
            Ok(()) if at >= tries.deadline => Next::Over(Cause::Expiry),
            Ok(()) => Next::Again(at),
        }
    }

    /// The longest pause after so many tries.
    fn pause(&self, tries: u32) -> Duration {
        let doubled = self
            .by
            .pause
            .0
            .saturating_mul(1 << tries.saturating_sub(1).min(20));
        doubled.min(self.by.pause.1)
    }
}
