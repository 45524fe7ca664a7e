//! What one agent spends: processor time of its thread by kind, messages and bytes by kind, and
//! both by second.

use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;
use std::time::Duration;

/// What processor time goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// `Balancer::on_request`, `route` and `on_attempt_end`, and where the target is.
    Decisions,
    /// `Balancer::poll`, ten times a second.
    Surveys,
    /// Bytes to a list: `http::answer`, `Listing::parse`.
    Reading,
    /// `List::take`.
    Taking,
    /// `Balancer::update_endpoints`.
    Listing,
    /// `Site::customer`, a tenant's name to its number.
    Tenants,
    /// The platform's lines: `platform::line`, `Balancer::update_rollout` and `on_vote_reply`.
    RolloutStatus,
}

pub const WORKS: [(Work, &str); 7] = [
    (Work::Decisions, "decisions"),
    (Work::Surveys, "surveys"),
    (Work::Reading, "reading"),
    (Work::Taking, "taking"),
    (Work::Listing, "listing"),
    (Work::Tenants, "tenants"),
    (Work::RolloutStatus, "news"),
];

/// What goes over the wire, to the agent but for what it asks and votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Whole,
    Changes,
    /// A watch that ended without news.
    Quiet,
    Refused,
    /// Calls to discovery.
    Asked,
    RolloutStatus,
    Ping,
    /// The platform's answers.
    Answered,
    /// Calls to the platform.
    Voted,
}

pub const KINDS: [(Kind, &str); 9] = [
    (Kind::Whole, "whole lists"),
    (Kind::Changes, "changes"),
    (Kind::Quiet, "quiet watches"),
    (Kind::Refused, "refusals"),
    (Kind::Asked, "list calls"),
    (Kind::RolloutStatus, "news"),
    (Kind::Ping, "pings"),
    (Kind::Answered, "answers"),
    (Kind::Voted, "votes"),
];

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Sum {
    pub count: u64,
    pub total: u64,
}

/// Of one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub bytes: u64,
    pub ns: u64,
    /// Without what each request takes: its decisions and its tenant's name.
    pub control_ns: u64,
}

/// Nanoseconds that this thread has run.
pub fn cpu() -> u64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    t.tv_sec as u64 * 1_000_000_000 + t.tv_nsec as u64
}

/// What reading that clock itself takes.
pub fn clock_cost() -> u64 {
    let mut all: Vec<u64> = (0..2001)
        .map(|_| cpu())
        .collect::<Vec<_>>()
        .windows(2)
        .map(|w| w[1] - w[0])
        .collect();
    all.sort_unstable();
    all[all.len() / 2]
}

#[derive(Clone, Debug, Default)]
pub struct Meter {
    pub work: [Sum; WORKS.len()],
    pub traffic: [Sum; KINDS.len()],
    pub seconds: Vec<Second>,
    pub from: Duration, // nothing counts before
    pub clock: u64,     // what reading the clock costs, in ns
}

impl Meter {
    fn second(&mut self, now: Duration) -> Option<&mut Second> {
        let at = now.checked_sub(self.from)?.as_secs() as usize;
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, Second::default());
        }
        self.seconds.get_mut(at)
    }

    /// Work that began when the thread's clock stood at `begun`.
    pub fn spent(&mut self, now: Duration, work: Work, begun: u64) {
        let ns = (cpu() - begun).saturating_sub(self.clock);
        let Some(second) = self.second(now) else {
            return;
        };
        second.ns += ns;
        second.control_ns += if matches!(work, Work::Decisions | Work::Tenants) {
            0
        } else {
            ns
        };
        let sum = &mut self.work[work as usize];
        (sum.count, sum.total) = (sum.count + 1, sum.total + ns);
    }

    pub fn passed(&mut self, now: Duration, kind: Kind, bytes: usize) {
        let Some(second) = self.second(now) else {
            return;
        };
        second.bytes += bytes as u64;
        let sum = &mut self.traffic[kind as usize];
        (sum.count, sum.total) = (sum.count + 1, sum.total + bytes as u64);
    }
}
