//! Outcomes by tenths of a second, and the most likely slowing in them.

use crate::evidence::EXCUSED_SLOWING;
use crate::log::Log;

/// Length of a bin, in seconds.
pub const BIN: f64 = 0.1;
/// Weight of a bin in the smoothed share of the canary.
const SMOOTHING: f64 = 0.3;
/// Slowings that are tried in step with the canary; each is the square root of two times the one
/// before.
const TRIED_SLOWINGS: u32 = 24;
/// Keeps logarithms and quotients finite.
const TINY: f64 = 1e-9;

/// Answers of some builds.
#[derive(Clone, Copy, Default)]
pub struct Answers {
    pub count: f64,
    pub failed: f64,
    /// Seconds of all attempts together.
    pub seconds: f64,
}

impl Answers {
    /// The sum over bins.
    pub fn sum(bins: &[Bin], side: fn(&Bin) -> Answers) -> Answers {
        let mut sum = Answers::default();
        for bin in bins {
            let answers = side(bin);
            sum.count += answers.count;
            sum.failed += answers.failed;
            sum.seconds += answers.seconds;
        }
        sum
    }
}

/// What happened in a tenth of a second.
#[derive(Clone, Copy, Default)]
pub struct Bin {
    /// Answers of the canary.
    pub canary: Answers,
    /// Answers of earlier builds.
    pub others: Answers,
    sent_to_canary: f64,
    sent: f64,
    /// Seconds that attempts were in flight.
    waited: f64,
}

impl Bin {
    fn answers(&self) -> f64 {
        self.canary.count + self.others.count
    }
}

/// Bins of the attempts of a canary and of earlier builds in a span of time.
pub fn bins(log: &Log, build: u32, from: f64, until: f64) -> Vec<Bin> {
    let count = ((until - from) / BIN).ceil().max(0.0) as usize;
    let mut bins = vec![Bin::default(); count];
    let index = |time: f64| ((time - from) / BIN).floor().max(0.0) as usize;
    let attempts = log.attempts.iter();
    for attempt in attempts.filter(|a| a.build > 0 && a.build <= build && a.at >= from) {
        let started_at = attempt.at - attempt.duration;
        if let Some(bin) = bins.get_mut(index(attempt.at)) {
            let side = if attempt.build == build {
                &mut bin.canary
            } else {
                &mut bin.others
            };
            let has_failed = attempt.outcome == "Failed";
            side.count += as_number(has_failed || attempt.outcome == "Succeeded");
            side.failed += as_number(has_failed);
            side.seconds += attempt.duration;
        }
        let start_bin = bins.get_mut(index(started_at));
        if let Some(bin) = start_bin.filter(|_| started_at >= from) {
            bin.sent_to_canary += as_number(attempt.build == build);
            bin.sent += 1.0;
        }
        for n in index(started_at)..=index(attempt.at) {
            let edge = from + n as f64 * BIN;
            let part = attempt.at.min(edge + BIN) - started_at.max(edge);
            if let Some(bin) = bins.get_mut(n) {
                bin.waited += part.max(0.0);
            }
        }
    }
    bins
}

fn as_number(holds: bool) -> f64 {
    f64::from(u8::from(holds))
}

/// How likely a slowing is, as logarithms of likelihood ratios.
pub struct Likelihood {
    /// Against no slowing beyond what is excused.
    pub over_none: f64,
    /// Against the other kind of slowing, and none.
    pub over_other: f64,
}

/// The two kinds of slowing.
pub struct Slowing {
    /// In step with the canary's share of what was sent.
    pub in_step: Likelihood,
    /// At any one moment.
    pub at_one_moment: Likelihood,
}

/// The most likely slowing of each kind beyond what is excused. Answers are Poisson by the time
/// waited.
pub fn slowing(bins: &[Bin]) -> Slowing {
    let total = Total::of(bins);
    let flat = total.likelihood();
    let moment = moment_likelihood(bins, &total, flat);
    let shares = smoothed_shares(bins);
    let excused = in_step_likelihood(bins, &shares, EXCUSED_SLOWING - 1.0);
    let step = (0..TRIED_SLOWINGS)
        .map(|n| (EXCUSED_SLOWING - 1.0) * (f64::from(n) / 2.0).exp2())
        .map(|by| in_step_likelihood(bins, &shares, by))
        .fold(excused, f64::max);
    Slowing {
        in_step: Likelihood {
            over_none: step - excused,
            over_other: step - moment,
        },
        at_one_moment: Likelihood {
            over_none: moment - flat,
            over_other: moment - step.max(flat),
        },
    }
}

/// Answers, and the time waited for them.
#[derive(Clone, Copy, Default)]
struct Total {
    answers: f64,
    waited: f64,
}

impl Total {
    fn of(bins: &[Bin]) -> Total {
        let mut total = Total::default();
        for bin in bins {
            total.add(bin);
        }
        total
    }

    fn add(&mut self, bin: &Bin) {
        self.answers += bin.answers();
        self.waited += bin.waited;
    }

    /// Logarithm of the likelihood at the most likely rate, but for a constant.
    fn likelihood(&self) -> f64 {
        poisson_likelihood(self.answers, self.waited)
    }
}

fn poisson_likelihood(answers: f64, waited: f64) -> f64 {
    answers * (answers.max(TINY) / waited.max(TINY)).ln()
}

/// The likelihood of the most likely slowing at one moment; `flat` where that is excused.
fn moment_likelihood(bins: &[Bin], total: &Total, flat: f64) -> f64 {
    let mut before = Total::default();
    let mut best = flat;
    let mut slower_by = 1.0;
    for bin in bins {
        before.add(bin);
        let after = Total {
            answers: total.answers - before.answers,
            waited: total.waited - before.waited,
        };
        let likelihood = before.likelihood() + after.likelihood();
        let is_slower = after.answers * before.waited < before.answers * after.waited;
        if is_slower && likelihood > best {
            best = likelihood;
            let pace_after = after.waited / after.answers.max(TINY);
            let pace_before = before.waited / before.answers.max(TINY);
            slower_by = pace_after / pace_before;
        }
    }
    if slower_by > EXCUSED_SLOWING {
        best
    } else {
        flat
    }
}

/// The canary's share of what was sent of late, by bin.
fn smoothed_shares(bins: &[Bin]) -> Vec<f64> {
    let mut share = 0.0;
    let smoothed = |bin: &Bin| {
        if bin.sent > 0.0 {
            share += (bin.sent_to_canary / bin.sent - share) * SMOOTHING;
        }
        share
    };
    bins.iter().map(smoothed).collect()
}

/// The likelihood of a slowing that grows with the canary's share.
fn in_step_likelihood(bins: &[Bin], shares: &[f64], slowing: f64) -> f64 {
    let mut sum = 0.0;
    let mut waited = 0.0;
    for (bin, share) in bins.iter().zip(shares) {
        let rate = 1.0 / (1.0 + slowing * share);
        sum += bin.answers() * rate.ln();
        waited += bin.waited * rate;
    }
    sum + poisson_likelihood(Total::of(bins).answers, waited)
}
