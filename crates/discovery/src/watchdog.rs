//! When the watch on discovery's list counts as silent, and when discovery is called again. Pure:
//! it is told what the settings say and what happened, and says spans.
//!
//! What a watch that has fallen silent misses counts as told 6 s after it fell silent, or 2 s after
//! the wait of its call where that is later, whether it came or not. So silence is noticed, and the
//! list asked for anew with some tries to spare, before either.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tulipwall::{list_call_interval, Settings};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Where lists are pushed, calls cost nothing and are answered at once from this machine: a short
/// wait is free.
const PUSHED_WAIT: Duration = ms(1000);
const PUSHED_LATE: Duration = ms(250);
/// A try that should be answered at once, and one for connections that come up late. Both are under
/// way while discovery is away, so that it is heard within the first one's time and gap after its
/// return.
const QUICK: Duration = ms(100);
const PATIENT: Duration = ms(2000);
const GAP: Duration = ms(50);
/// An answer that cannot be read costs time to read: it is not asked for as often.
const SPOILT_GAP: Duration = ms(200);

/// Where lists are asked for, each call that begins a watch is paid for by all; one that goes on
/// with it is not. The settings say within which span each agent must ask, so discovery bears one
/// call of each in that span. The wait is twice that span, nearly all of it left to chance: agents
/// whose watches fall silent together begin anew over nearly twice that span, at half of what
/// discovery bears, and ask on the mean as often as the settings want of those without a watch.
const ASKED_WAIT: u32 = 2;
const ASKED_CHANCE: f64 = 0.95;
/// Discovery's own bound.
const WAIT_MOST: Duration = ms(60_000);
/// How long the first call of a watch may take, which is told at once what is new: discovery's own
/// time-out comes first, so that both know of the failure. A second call beside it would be paid
/// for, too, and put an end to the first.
const ASKED_WITHIN: Duration = ms(3000);
/// A wait that is over is answered at once. Leaves three quarters of the 2 s for calling anew.
const ASKED_LATE: Duration = ms(500);
/// Over so long at most calls at a new address are spread: half of the 4 s after which what it
/// holds counts as told where lists are pushed, and a third of the 6 s where they are asked for.
const MOVED_WITHIN: Duration = ms(2000);

/// How long a start waits for a first answer before it serves by the list it was given, where lists
/// are pushed.
const START_WITHIN: Duration = ms(300);
/// A start sends nothing before its first call has ended (`Vouched`), so where the share of the
/// calls is longer than this the call is not put off beyond this or three quarters of the share,
/// whichever is longer: nobody waits for 4 s who is answered, and all that start at once, none of
/// which knows of the others, make a third more calls than are told at most.
const FIRST_WITHIN: Duration = ms(3000);

/// A change counts as told so long after discovery had it and could be reached, or so long after
/// the wait of a call, whichever is later, however calls have failed.
const TOLD_WITHIN: Duration = ms(6000);
const WAIT_OVER: Duration = ms(2000);

/// The wait of a call.
fn longest(d: &Settings) -> Duration {
    if d.shared_discovery {
        (d.max_poll_interval * ASKED_WAIT).min(WAIT_MOST)
    } else {
        PUSHED_WAIT
    }
}

/// Over so long the first calls of starts are spread, where that is not the agent's whole share.
fn first(d: &Settings) -> Option<Duration> {
    let share = list_call_interval(d);
    (share > FIRST_WITHIN).then(|| FIRST_WITHIN.max(share * 3 / 4))
}

/// How a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// No answer came in time.
    Silent,
    /// Its connection ended, never came up, or was refused.
    Broken,
    /// It was answered that the call is refused: discovery is there, and what it holds will count
    /// as told.
    Refused,
    /// What came could not be read.
    Spoilt,
}

pub struct Watchdog {
    pushed: bool,
    longest: Duration,       // wait of a call
    spread: Duration,        // of first calls at a new address
    first: Option<Duration>, // the same of a start
    rng: Pcg64Mcg,
    told: bool, // since the last call that failed
}

impl Watchdog {
    pub fn new(d: &Settings) -> Watchdog {
        let rng = Pcg64Mcg::seed_from_u64(d.seed);
        let (spread, first) = (list_call_interval(d).min(MOVED_WITHIN), first(d));
        Watchdog {
            pushed: !d.shared_discovery,
            longest: longest(d),
            spread,
            first,
            rng,
            told: false,
        }
    }

    /// Goes on under settings that were read anew.
    pub fn renew(&mut self, d: &Settings) {
        (self.pushed, self.longest) = (!d.shared_discovery, longest(d));
        (self.spread, self.first) = (list_call_interval(d).min(MOVED_WITHIN), first(d));
    }

    /// Calls are free: the list is asked for at once, and again and again while no answer comes.
    pub fn free(&self) -> bool {
        self.pushed
    }

    /// How long the next call may wait for news; `first` of its connection.
    pub fn wait(&mut self, first: bool) -> Duration {
        match (self.pushed, first) {
            (_, true) => Duration::ZERO,
            (true, false) => self.longest,
            (false, false) => self
                .longest
                .mul_f64(1.0 - self.rng.gen_range(0.0..ASKED_CHANCE)),
        }
    }

    /// How long after its wait an answer may still come.
    pub fn late(&self) -> Duration {
        if self.pushed {
            PUSHED_LATE
        } else {
            ASKED_LATE
        }
    }

    /// How long a first call may take, with its connection and without its wait, by which of the
    /// two tries.
    pub fn within(&self, patient: bool) -> Duration {
        match (self.pushed, patient) {
            (true, false) => QUICK,
            (true, true) => PATIENT,
            (false, _) => ASKED_WITHIN,
        }
    }

    /// How long after a new address is told it is first called, by chance.
    pub fn moved(&mut self) -> Duration {
        self.told = false;
        if self.pushed {
            Duration::ZERO
        } else {
            self.spread.mul_f64(self.rng.gen_range(0.0..1.0))
        }
    }

    /// How long after its start an agent first calls, by chance; none where the module says, over
    /// the share or at once.
    pub fn starts(&mut self) -> Option<Duration> {
        self.first
            .map(|spread| spread.mul_f64(self.rng.gen_range(0.0..1.0)))
    }

    /// Requests that come before a first answer wait for it for so long: what discovery holds
    /// counts as told from the first moment of a process where lists are pushed. None where
    /// `Vouched` says what may be sent.
    pub fn start_within(&self) -> Option<Duration> {
        self.pushed.then_some(START_WITHIN)
    }

    /// An answer came.
    pub fn told(&mut self) {
        self.told = true;
    }

    /// How long after a free call that failed the next one goes out.
    pub fn gap(&self, ended: Ended) -> Duration {
        if ended == Ended::Spoilt {
            SPOILT_GAP
        } else {
            GAP
        }
    }

    /// When to call anew after a watch or its beginning failed; none where calls are paid for and
    /// the module spreads them. Guards, there too, against a silence that is noticed in time and
    /// mended too late.
    pub fn again(&mut self, ended: Ended) -> Option<Duration> {
        let stood = std::mem::take(&mut self.told);
        match (stood, ended) {
            (true, Ended::Silent) => Some(Duration::ZERO),
            (true, Ended::Spoilt) => Some(GAP),
            _ => self.pushed.then(|| self.gap(ended)),
        }
    }
}

/// Until when the list that is known tells all that counts as told, where lists are asked for.
/// Beyond that a change may bind that was not heard: then nothing is sent until discovery is heard
/// again.
///
/// The reckoning: with N agents, a discovery that begins B watches a second, and S = N / B, all are
/// heard within S of calling at once, and a little for calls that came in vain, if tries are close
/// enough to fill what it bears. The first calls of a start are spread over the agent's share of
/// the calls (N / rate told, half of the time to ask in at most), where that is over 3 s over three
/// quarters of it and 3 s at least, those at a new address over that or 2 s, those after a silence
/// of all over nearly twice the time to ask in. After a refusal the next try comes a quarter of the
/// share later (0.25 s at least), by chance 0.7 to 1.3 of it, then half as much more each time up
/// to the share (2 s at least). So all are heard within the 6 s while S is up to 3 s. Beyond, the
/// last are not, and vouch for nothing between then and their answer. A discovery that does not
/// answer at all is no refusal: what it holds does not count yet.
pub struct Vouched {
    until: Option<Duration>,
    begun: Duration, // the call that is under way
    stood: bool,     // the watch was answered
    heard: bool,     // ever
    refused: bool,   // ever
}

impl Vouched {
    /// A start, by the list that it was given. How old that is cannot be known: the process before
    /// it may have been refused for long, and what it missed binds this one from its first moment.
    /// Guards drains: nothing is vouched for until a first call has shown that discovery cannot be
    /// reached, or was answered. Harms a start whose list lacks nothing.
    pub fn new(d: &Settings, now: Duration) -> Vouched {
        let until = d.shared_discovery.then_some(now);
        Vouched {
            until,
            begun: now,
            stood: false,
            heard: false,
            refused: false,
        }
    }

    /// Goes on under settings that were read anew: what was not heard under the earlier ones counts
    /// 6 s from now.
    pub fn renew(&mut self, d: &Settings, now: Duration) {
        self.until = d
            .shared_discovery
            .then(|| self.until.unwrap_or(now + TOLD_WITHIN));
    }

    /// None where lists are pushed: what is known is kept to there.
    pub fn until(&self) -> Option<Duration> {
        self.until
    }

    /// A watch is to be begun.
    pub fn begins(&mut self, now: Duration) {
        (self.begun, self.stood) = (now, false);
    }

    /// An answer came, and the next call may wait for so long.
    pub fn told(&mut self, now: Duration, wait: Duration) {
        self.until = self.until.map(|_| now + TOLD_WITHIN.max(wait + WAIT_OVER));
        (self.stood, self.heard) = (true, true);
    }

    /// The address is another: the watch ends here.
    pub fn moved(&mut self, now: Duration) {
        self.until = self.until.map(|t| t.min(now + TOLD_WITHIN));
        self.stood = false;
    }

    /// The call that is under way failed.
    pub fn ended(&mut self, now: Duration, ended: Ended) {
        self.refused |= ended == Ended::Refused;
        let until = |t: Duration| match (self.stood, ended) {
            // Since when is not known; its wait says how long that may be.
            (true, Ended::Silent) => t,
            (true, _) => now + TOLD_WITHIN,
            // It could not be reached as the call went out. After a start that was refused that
            // vouches for nothing.
            (false, Ended::Silent | Ended::Broken) if self.heard || !self.refused => {
                t.max(self.begun + TOLD_WITHIN)
            }
            (false, Ended::Silent | Ended::Broken) => t,
            (false, Ended::Refused) if !self.heard => t.min(now),
            (false, Ended::Refused | Ended::Spoilt) => t,
        };
        self.until = self.until.map(until);
        self.stood = false;
    }
}
