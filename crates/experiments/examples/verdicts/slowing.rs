//! Groups outcomes into bins of a tenth of a second and finds the most likely slowdown in them.

use crate::evidence::TOLERATED_LATENCY_RATIO;
use crate::log::Log;

/// Length of a bin in seconds.
pub const BIN: f64 = 0.1;
/// Weight of each new bin in the exponentially smoothed share of the canary.
const SMOOTHING_FACTOR: f64 = 0.3;
/// Number of slowdowns in proportion to the canary's share that are tried; each is larger than the
/// previous one by a factor of the square root of two.
const TRIED_SLOWINGS: u32 = 24;
/// Lower bound of arguments of logarithms and of divisors, which keeps results finite.
const EPSILON: f64 = 1e-9;

/// Totals of the answers of some builds. An answer is an attempt that succeeded or failed.
#[derive(Clone, Copy, Default)]
pub struct Answers {
    pub count: f64,
    pub failed: f64,
    /// Total duration of all attempts in seconds, including attempts that ended without an answer.
    pub seconds: f64,
}

impl Answers {
    /// Adds up the answers that `side` selects from each bin.
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

/// Attempts during a tenth of a second.
#[derive(Clone, Copy, Default)]
pub struct Bin {
    /// Answers of the canary.
    pub canary: Answers,
    /// Answers of earlier builds.
    pub others: Answers,
    sent_to_canary: f64,
    sent: f64,
    /// Time that attempts were in flight within this bin, summed over the attempts, in seconds.
    waited: f64,
}

impl Bin {
    fn answers(&self) -> f64 {
        self.canary.count + self.others.count
    }
}

/// Groups the attempts of a canary and of earlier builds between two times into bins. Answers count
/// at their end, sent attempts at their start.
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
            side.count += as_count(has_failed || attempt.outcome == "Succeeded");
            side.failed += as_count(has_failed);
            side.seconds += attempt.duration;
        }
        let start_bin = bins.get_mut(index(started_at));
        if let Some(bin) = start_bin.filter(|_| started_at >= from) {
            bin.sent_to_canary += as_count(attempt.build == build);
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

fn as_count(holds: bool) -> f64 {
    f64::from(u8::from(holds))
}

/// How likely a slowdown is, as natural logarithms of likelihood ratios.
pub struct Likelihood {
    /// Compared with no slowdown beyond the tolerated one.
    pub over_none: f64,
    /// Compared with the other kind of slowdown and with no slowdown.
    pub over_other: f64,
}

/// Likelihoods of the two kinds of slowdown.
pub struct Slowing {
    /// A slowdown in proportion to the canary's share of the attempts sent.
    pub in_step: Likelihood,
    /// A slowdown of all builds that begins at one moment.
    pub at_one_moment: Likelihood,
}

/// Finds the most likely slowdown of each kind beyond the tolerated one. Models answers as a
/// Poisson process over the time that attempts were in flight.
pub fn slowing(bins: &[Bin]) -> Slowing {
    let total = Total::of(bins);
    let constant_rate_likelihood = total.likelihood();
    let moment = moment_likelihood(bins, &total, constant_rate_likelihood);
    let shares = smoothed_shares(bins);
    let tolerated = in_step_likelihood(bins, &shares, TOLERATED_LATENCY_RATIO - 1.0);
    let step = (0..TRIED_SLOWINGS)
        .map(|n| (TOLERATED_LATENCY_RATIO - 1.0) * (f64::from(n) / 2.0).exp2())
        .map(|by| in_step_likelihood(bins, &shares, by))
        .fold(tolerated, f64::max);
    Slowing {
        in_step: Likelihood {
            over_none: step - tolerated,
            over_other: step - moment,
        },
        at_one_moment: Likelihood {
            over_none: moment - constant_rate_likelihood,
            over_other: moment - step.max(constant_rate_likelihood),
        },
    }
}

/// Number of answers, and the time that attempts were in flight, in seconds.
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

    /// Logarithm of the likelihood at the most likely rate, up to an additive constant.
    fn likelihood(&self) -> f64 {
        poisson_likelihood(self.answers, self.waited)
    }
}

fn poisson_likelihood(answers: f64, waited: f64) -> f64 {
    answers * (answers.max(EPSILON) / waited.max(EPSILON)).ln()
}

/// Returns the log-likelihood of the most likely slowdown at one moment, or
/// `constant_rate_likelihood` if that slowdown is within the tolerated ratio.
fn moment_likelihood(bins: &[Bin], total: &Total, constant_rate_likelihood: f64) -> f64 {
    let mut before = Total::default();
    let mut best = constant_rate_likelihood;
    let mut latency_ratio = 1.0;
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
            let wait_per_answer_after = after.waited / after.answers.max(EPSILON);
            let wait_per_answer_before = before.waited / before.answers.max(EPSILON);
            latency_ratio = wait_per_answer_after / wait_per_answer_before;
        }
    }
    if latency_ratio > TOLERATED_LATENCY_RATIO {
        best
    } else {
        constant_rate_likelihood
    }
}

/// Returns the canary's share of the attempts sent, exponentially smoothed, for each bin.
fn smoothed_shares(bins: &[Bin]) -> Vec<f64> {
    let mut share = 0.0;
    let smoothed = |bin: &Bin| {
        if bin.sent > 0.0 {
            share += (bin.sent_to_canary / bin.sent - share) * SMOOTHING_FACTOR;
        }
        share
    };
    bins.iter().map(smoothed).collect()
}

/// Returns the log-likelihood of a slowdown that grows with the canary's share.
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
