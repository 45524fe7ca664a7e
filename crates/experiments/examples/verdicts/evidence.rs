//! Finds when the outcomes of all agents together suffice to detect that a build regressed.

use crate::log::Log;
use crate::slowing::{bins, slowing, Answers, Bin, BIN};
use std::collections::BTreeMap;

/// Natural logarithm of 1000: Wald's bound for a sequential test with one false verdict in a
/// thousand by chance.
const WALD_BOUND: f64 = 6.91;
/// Ratio of latencies above which a slowdown counts, the same as in the balancer's evaluation of
/// builds.
pub const TOLERATED_LATENCY_RATIO: f64 = 1.4;
/// Share of failed answers above which failures count.
const TOLERATED_FAILED_SHARE: f64 = 0.04;
/// Time before a build's first answer that is evaluated as well, in seconds.
const LEAD_TIME: f64 = 5.0;
/// Distance in bins between the times from which failures are counted.
const FAILURE_START_STEP: usize = 5;

/// The size of a sample of answers and how many of them are bad.
#[derive(Clone, Copy)]
struct Sample {
    bad: f64,
    all: f64,
}

/// Logarithm of the likelihood ratio of two different bad shares to one common share. Zero if the
/// first sample does not have the larger share, or a sample is empty.
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

/// Logarithm of the likelihood of a sample if the given share of answers is bad.
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

/// Bound that the log-likelihood ratio of a sample must exceed. Fitting a share or a rate adds half
/// the logarithm of the sample size.
fn bound(sample_size: f64) -> f64 {
    WALD_BOUND + sample_size.max(1.0).ln() / 2.0
}

/// Returns the time at which the outcomes of all agents together first show each kind of regression
/// of a build. A slowdown that began at one moment, out of proportion to the canary's share, is not
/// caused by the build.
pub fn first_detected(log: &Log, build: u32, from: f64, until: f64) -> BTreeMap<&'static str, f64> {
    let begin = (from - LEAD_TIME).max(0.0);
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
        for kind in outcomes.detected_kinds() {
            found.entry(kind).or_insert(now);
        }
    }
    found
}

/// The outcomes of all agents up to a point in time.
struct Outcomes<'a> {
    log: &'a Log,
    build: u32,
    bins: &'a [Bin],
    /// Index of the bin of the build's first answer.
    first: usize,
    now: f64,
}

impl Outcomes<'_> {
    /// Returns the kinds of regression that these outcomes show.
    fn detected_kinds(&self) -> Vec<&'static str> {
        let slowing = slowing(self.bins);
        let all = bound(self.canary().count + self.others().count);
        let is_in_step =
            slowing.in_step.over_none > all && slowing.in_step.over_other > -WALD_BOUND;
        let moment = slowing.at_one_moment;
        let kinds = [
            ("failing", self.is_failing()),
            ("wrong", self.has_more_client_errors()),
            ("slow itself", self.is_slow()),
            ("all slow in step with it", is_in_step),
            (
                "all slow at one moment",
                moment.over_none > all && moment.over_other > all,
            ),
        ];
        let detected = kinds.into_iter().filter(|(_, is_detected)| *is_detected);
        detected.map(|(kind, _)| kind).collect()
    }

    fn canary(&self) -> Answers {
        Answers::sum(self.bins, |bin| bin.canary)
    }

    fn others(&self) -> Answers {
        Answers::sum(self.bins, |bin| bin.others)
    }

    /// Whether the build fails more often than earlier builds from any point in time on, because a
    /// build may start to fail some seconds after its start.
    fn is_failing(&self) -> bool {
        let others = self.others();
        let baseline = Sample {
            bad: others.failed,
            all: others.count,
        };
        let mut starts = (self.first..self.bins.len()).step_by(FAILURE_START_STEP);
        starts.any(|start_bin| {
            let late = Answers::sum(&self.bins[start_bin..], |bin| bin.canary);
            let sample = Sample {
                bad: late.failed,
                all: late.count,
            };
            late.failed > TOLERATED_FAILED_SHARE * late.count
                && log_likelihood_ratio(sample, baseline) > bound(late.count)
        })
    }

    /// Whether clients report more errors of the build than of earlier builds.
    fn has_more_client_errors(&self) -> bool {
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

    /// Whether the build is slower than earlier builds have been since its first answer.
    fn is_slow(&self) -> bool {
        let canary = self.canary();
        let others = Answers::sum(&self.bins[self.first..], |bin| bin.others);
        let canary_latency = canary.seconds / canary.count.max(1.0);
        let others_latency = others.seconds / others.count.max(1.0);
        let ratio = canary_latency / others_latency / TOLERATED_LATENCY_RATIO;
        let harmonic = canary.count * others.count / (canary.count + others.count).max(1.0);
        let evidence = harmonic * (ratio - 1.0 - ratio.ln());
        ratio.is_finite() && ratio > 1.0 && evidence > bound(canary.count)
    }
}
