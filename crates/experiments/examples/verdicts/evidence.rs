//! When all outcomes together tell of a build.

use crate::log::Log;
use crate::slowing::{bins, slowing, Answers, Bin, BIN};
use std::collections::BTreeMap;

/// One false verdict in a thousand by chance: Wald's bound for a sequential test, as a logarithm.
const WALD_BOUND: f64 = 6.91;
/// What a slowing must be beyond before it counts, as in the balancer's evaluation of builds.
pub const EXCUSED_SLOWING: f64 = 1.4;
/// The same for a share of failures.
const EXCUSED_FAILURES: f64 = 0.04;
/// Seconds before a build's first answer that count as well.
const LEAD: f64 = 5.0;
/// Failures are looked for since every so many bins.
const SINCE_STEP: usize = 5;

/// A sample of answers, some of them bad.
#[derive(Clone, Copy)]
struct Sample {
    bad: f64,
    all: f64,
}

/// Logarithm of the likelihood ratio of two shares against one; zero where the first is not larger.
fn log_likelihood_ratio(first: Sample, second: Sample) -> f64 {
    let is_empty = first.all <= 0.0 || second.all <= 0.0;
    if is_empty || first.bad * second.all <= second.bad * first.all {
        return 0.0;
    }
    let both = Sample {
        bad: first.bad + second.bad,
        all: first.all + second.all,
    };
    let share = |sample: Sample| sample.bad / sample.all;
    log_likelihood(first, share(first)) + log_likelihood(second, share(second))
        - log_likelihood(both, share(both))
}

/// Logarithm of the likelihood of a sample where this share is bad.
fn log_likelihood(sample: Sample, share: f64) -> f64 {
    let term = |count: f64, share: f64| {
        if count > 0.0 {
            count * share.max(1e-9).ln()
        } else {
            0.0
        }
    };
    term(sample.bad, share) + term(sample.all - sample.bad, 1.0 - share)
}

/// The bound for a sample: fitting a share or a pace costs half the logarithm of its size.
fn bound(sample_size: f64) -> f64 {
    WALD_BOUND + sample_size.max(1.0).ln() / 2.0
}

/// When all outcomes together tell of a build, by kind. A slowing that came at one moment, out of
/// step with the canary, is not the build's.
pub fn first_told(log: &Log, build: u32, from: f64, until: f64) -> BTreeMap<&'static str, f64> {
    let begin = (from - LEAD).max(0.0);
    let end = until.min(log.attempts.last().map_or(0.0, |attempt| attempt.at));
    let bins = bins(log, build, begin, end);
    let first = ((from - begin) / BIN) as usize;
    let mut found = BTreeMap::new();
    for n in first + 1..=bins.len() {
        let now = begin + n as f64 * BIN;
        let outcomes = Outcomes {
            log,
            build,
            bins: &bins[..n],
            first,
            now,
        };
        for kind in outcomes.kinds_told() {
            found.entry(kind).or_insert(now);
        }
    }
    found
}

/// All outcomes up to a time.
struct Outcomes<'a> {
    log: &'a Log,
    build: u32,
    bins: &'a [Bin],
    /// Bin of the build's first answer.
    first: usize,
    now: f64,
}

impl Outcomes<'_> {
    /// What they tell of the build.
    fn kinds_told(&self) -> Vec<&'static str> {
        let slowing = slowing(self.bins);
        let all = bound(self.canary().count + self.others().count);
        let is_in_step =
            slowing.in_step.over_none > all && slowing.in_step.over_other > -WALD_BOUND;
        let moment = slowing.at_one_moment;
        let kinds = [
            ("failing", self.is_failing()),
            ("wrong", self.is_wrong()),
            ("slow itself", self.is_slow()),
            ("all slow in step with it", is_in_step),
            (
                "all slow at one moment",
                moment.over_none > all && moment.over_other > all,
            ),
        ];
        let told = kinds.into_iter().filter(|(_, is_told)| *is_told);
        told.map(|(kind, _)| kind).collect()
    }

    fn canary(&self) -> Answers {
        Answers::sum(self.bins, |bin| bin.canary)
    }

    fn others(&self) -> Answers {
        Answers::sum(self.bins, |bin| bin.others)
    }

    /// More failures than earlier builds have, since whichever moment: a build may turn bad some
    /// seconds after its start.
    fn is_failing(&self) -> bool {
        let others = self.others();
        let base = Sample {
            bad: others.failed,
            all: others.count,
        };
        let mut starts = (self.first..self.bins.len()).step_by(SINCE_STEP);
        starts.any(|since| {
            let late = Answers::sum(&self.bins[since..], |bin| bin.canary);
            let sample = Sample {
                bad: late.failed,
                all: late.count,
            };
            late.failed > EXCUSED_FAILURES * late.count
                && log_likelihood_ratio(sample, base) > bound(late.count)
        })
    }

    /// More errors reported by clients than earlier builds have.
    fn is_wrong(&self) -> bool {
        let canary = Sample {
            bad: self.client_errors(|build| build == self.build),
            all: self.canary().count,
        };
        let others = Sample {
            bad: self.client_errors(|build| build < self.build),
            all: self.others().count,
        };
        log_likelihood_ratio(canary, others) > bound(canary.all)
    }

    fn client_errors(&self, of: impl Fn(u32) -> bool) -> f64 {
        let errors = self.log.client_errors.iter();
        let counted = errors.filter(|e| e.at <= self.now && e.build > 0 && of(e.build));
        counted.count() as f64
    }

    /// Slower than earlier builds are since its first answer.
    fn is_slow(&self) -> bool {
        let canary = self.canary();
        let others = Answers::sum(&self.bins[self.first..], |bin| bin.others);
        let canary_pace = canary.seconds / canary.count.max(1.0);
        let others_pace = others.seconds / others.count.max(1.0);
        let ratio = canary_pace / others_pace / EXCUSED_SLOWING;
        let harmonic = canary.count * others.count / (canary.count + others.count).max(1.0);
        let evidence = harmonic * (ratio - 1.0 - ratio.ln());
        ratio.is_finite() && ratio > 1.0 && evidence > bound(canary.count)
    }
}
