//! When the watch on discovery's list counts as silent, and when discovery is called again. Pure: it is told what
//! the settings say and what happened, and says spans.
//!
//! What a watch that has fallen silent misses counts as told 6 s after it fell silent, or 2 s after the wait of its
//! call where that is later, whether it came or not. So silence is noticed, and the list asked for anew with some
//! tries to spare, before either.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tulipwall::Deployment;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Where lists are pushed, calls cost nothing and are answered at once from this machine: a short wait is free.
const PUSHED_WAIT: Duration = ms(1000);
const PUSHED_LATE: Duration = ms(250);
/// A try that should be answered at once, and one for connections that come up late. Both are under way while
/// discovery is away, so that it is heard within the first one's time and gap after its return.
const QUICK: Duration = ms(100);
const PATIENT: Duration = ms(2000);
const GAP: Duration = ms(50);
/// An answer that cannot be read costs time to read: it is not asked for as often.
const SPOILT_GAP: Duration = ms(200);

/// Where lists are asked for, each call is paid for by all, and discovery may take its time: the wait is so many times
/// the span within which the settings say the list must be asked for, of which a part is left to chance, so that
/// agents whose watches fall silent together call apart.
const ASKED_WAIT: u32 = 2;
const ASKED_CHANCE: f64 = 0.25;
/// Discovery's own bound.
const WAIT_MOST: Duration = ms(60_000);
/// The same for the first call of a watch, which should show soon whether discovery is there, and how long that
/// may take: its own time-out comes first, so that it knows of the failure.
const ASKED_FIRST: Duration = ms(1000);
const ASKED_WITHIN: Duration = ms(2000);
/// A wait that is over is answered at once. Leaves three quarters of the 2 s for calling anew.
const ASKED_LATE: Duration = ms(500);
/// A second try goes out so long after the first that follows a silence, beside it: two calls a silence at most.
const ASKED_SECOND: Duration = ms(600);

/// How long a start waits for a first answer before it serves by the list it was given.
const START_WITHIN: Duration = ms(300);

/// The wait of a call.
fn longest(d: &Deployment) -> Duration {
    if d.list_shared {
        (d.ask_within * ASKED_WAIT).min(WAIT_MOST)
    } else {
        PUSHED_WAIT
    }
}

/// How a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// No answer came in time.
    Silent,
    /// Its connection ended, never came up, or was refused.
    Broken,
    /// What came could not be read.
    Spoilt,
}

pub struct Watchdog {
    pushed: bool,
    longest: Duration, // wait of a call
    rng: Pcg64Mcg,
    told: bool,   // since the last call that failed
    silent: bool, // a watch that stood, and was not begun anew yet
}

impl Watchdog {
    pub fn new(d: &Deployment) -> Watchdog {
        let rng = Pcg64Mcg::seed_from_u64(d.seed);
        Watchdog { pushed: !d.list_shared, longest: longest(d), rng, told: false, silent: false }
    }

    /// Goes on under settings that were read anew.
    pub fn renew(&mut self, d: &Deployment) {
        (self.pushed, self.longest) = (!d.list_shared, longest(d));
    }

    /// Calls are free: the list is asked for at once, and again and again while no answer comes.
    pub fn free(&self) -> bool {
        self.pushed
    }

    /// How long the next call may wait for news; `first` of its connection.
    pub fn wait(&mut self, first: bool) -> Duration {
        match (self.pushed, first) {
            (true, true) => Duration::ZERO,
            (true, false) => self.longest,
            (false, true) => ASKED_FIRST,
            (false, false) => self.longest.mul_f64(1.0 - self.rng.gen_range(0.0..ASKED_CHANCE)),
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

    /// How long a first call may take, with its connection and without its wait, by which of the two tries.
    pub fn within(&self, patient: bool) -> Duration {
        match (self.pushed, patient) {
            (true, false) => QUICK,
            (true, true) => PATIENT,
            (false, _) => ASKED_WITHIN,
        }
    }

    /// When a second try goes out beside the first, where calls are paid for.
    pub fn second(&self) -> Option<Duration> {
        self.silent.then_some(ASKED_SECOND)
    }

    /// Commands that come before a first answer wait for it for so long: what discovery holds counts as told from
    /// the first moment of a process where lists are pushed.
    pub fn start_within(&self) -> Duration {
        if self.pushed {
            START_WITHIN
        } else {
            Duration::ZERO
        }
    }

    /// An answer came.
    pub fn told(&mut self) {
        (self.told, self.silent) = (true, false);
    }

    /// How long after a free call that failed the next one goes out.
    pub fn gap(&self, ended: Ended) -> Duration {
        if ended == Ended::Spoilt {
            SPOILT_GAP
        } else {
            GAP
        }
    }

    /// When to call anew after a watch or its beginning failed; none where calls are paid for and the module
    /// spreads them. Guards, there too, against a silence that is noticed in time and mended too late.
    pub fn again(&mut self, ended: Ended) -> Option<Duration> {
        let stood = std::mem::take(&mut self.told);
        self.silent = stood && ended == Ended::Silent;
        match (stood, ended) {
            (true, Ended::Silent) => Some(Duration::ZERO),
            (true, Ended::Spoilt) => Some(GAP),
            _ => self.pushed.then(|| self.gap(ended)),
        }
    }
}
