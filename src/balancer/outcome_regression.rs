//! Whether a canary fails a class that the earlier build serves.

use super::evidence::{MIN_BASELINE_OUTCOMES, MIN_OUTCOMES};
use super::Balancer;
use crate::interface::RolloutStatus;
use crate::stats::{log_likelihood_ratio, OutcomeCounts, Proportion};
use std::fmt;

/// Failures below which nothing is concluded.
pub(super) const MIN_FAILURES: f64 = 3.0;
/// Share of failed answers of a canary from which on it may be regressed: most bad builds fail
/// under a fifth.
const MAX_FAILED_SHARE: f64 = 0.04;
/// Share of failed or lost answers of the earlier build from which on it is no measure.
const MAX_BASELINE_SHARE: f64 = 0.2;
/// Share of lost answers of a canary from which on it may be regressed: a lost answer says less of
/// a build than a failed one.
const MAX_LOST_SHARE: f64 = 0.2;
/// Lost or failed attempts, in multiples of the least failures, below which nothing is concluded of
/// lost ones.
const LOST_PER_FAILURE: f64 = 2.0;
/// Weight of the earlier build's former outcomes, where it does not fail at present.
const FORMER_WEIGHT: f64 = 0.5;
/// The same where it does.
const FORMER_WEIGHT_WHILE_FAILING: f64 = 0.2;
/// Failures of the earlier build at present from which on it counts as failing.
const MIN_PEER_FAILURES: f64 = 0.5;
/// How far beyond chance a difference must be, as a logarithm; more the more agents look.
const SIGNIFICANCE_THRESHOLD: f64 = 3.0;
/// The same for each of several agents that must agree: few failures come by chance.
const AGREED_SIGNIFICANCE_THRESHOLD: f64 = 3.0;
/// Client-reported errors below which nothing is concluded: two, of which one may have decayed.
const MIN_REPORTED: f64 = 1.8;
/// How far beyond chance client-reported errors must be, as a logarithm: they hardly come by
/// chance.
const REPORTED_SIGNIFICANCE_THRESHOLD: f64 = 1.0;

/// How a canary is regressed.
#[derive(Clone, Copy)]
enum Regression {
    Failed,
    Lost,
}

impl fmt::Display for Regression {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Regression::Failed => "failed",
            Regression::Lost => "lost",
        })
    }
}

/// What counts as a regression.
struct Thresholds {
    /// Failures that one client-reported error stands for.
    reported_error_weight: f64,
    /// Least log-likelihood ratio.
    log_ratio: f64,
    /// Factor on shares and counts.
    threshold_factor: f64,
}

/// Outcomes of one class, or of all together.
struct ClassEvidence<'a> {
    canary: &'a OutcomeCounts,
    earlier: &'a OutcomeCounts,
    peers: &'a OutcomeCounts,
}

/// What the outcomes say of a canary.
pub(super) struct OutcomeFinding {
    /// Failed classes, in words, where there are any.
    pub reason: Option<String>,
    /// Failures that speak for it.
    pub strength: f64,
    /// Whether client-reported errors speak against it.
    pub has_wrong_answers: bool,
}

impl Balancer {
    /// Compares the outcomes of the newest build with those of the earlier one, by class and all
    /// together. `ease` is less than one where a hold stands.
    pub(super) fn compare_outcomes(
        &self,
        status: &RolloutStatus,
        earlier_build: u32,
        threshold_factor: f64,
    ) -> OutcomeFinding {
        let canary = self.outcomes_of(status.build);
        let earlier = self.outcomes_of(earlier_build);
        let peers = &self.evaluation.peers.outcomes;
        let canary_sum = OutcomeCounts::sum(&canary);
        let earlier_sum = OutcomeCounts::sum(&earlier);
        let peer_sum = OutcomeCounts::sum(peers);
        let overall = ClassEvidence {
            canary: &canary_sum,
            earlier: &earlier_sum,
            peers: &peer_sum,
        };
        let mut finding = OutcomeFinding {
            reason: None,
            strength: 0.0,
            has_wrong_answers: self.has_wrong_answers(&overall),
        };
        if canary_sum.total() < MIN_OUTCOMES {
            return finding;
        }
        let baseline = Baseline::new(&overall);
        let thresholds = self.outcome_thresholds(threshold_factor);
        let classes = canary.iter().zip(&earlier).zip(peers).enumerate();
        for (class, ((canary, earlier), peers)) in classes {
            // Where the canary shows no failures, nothing speaks against it.
            if !canary.has_failures() {
                continue;
            }
            let evidence = ClassEvidence {
                canary,
                earlier,
                peers,
            };
            finding.add(
                &evidence,
                &baseline,
                &thresholds,
                &format_args!("class {class}"),
            );
        }
        finding.add(&overall, &baseline, &thresholds, &"all classes");
        finding
    }

    fn outcome_thresholds(&self, threshold_factor: f64) -> Thresholds {
        let rollout = &self.parameters.rollout;
        let log_ratio = if rollout.needs_agreement {
            AGREED_SIGNIFICANCE_THRESHOLD + rollout.agents_per_vote.ln()
        } else {
            SIGNIFICANCE_THRESHOLD + self.parameters.agents.ln()
        };
        Thresholds {
            reported_error_weight: rollout.reported_error_weight,
            log_ratio: log_ratio * threshold_factor,
            threshold_factor,
        }
    }

    /// Whether clients report more wrong answers of the canary than of the earlier build. They come
    /// from no faulty hardware, and a right answer is reported as wrong but rarely.
    fn has_wrong_answers(&self, overall: &ClassEvidence) -> bool {
        let reported = |counts: &OutcomeCounts| Proportion {
            count: counts.reported,
            total: counts.succeeded,
        };
        let log_ratio = log_likelihood_ratio(reported(overall.canary), reported(overall.earlier));
        let agents = self.parameters.rollout.agents_per_vote;
        overall.canary.reported >= MIN_REPORTED
            && log_ratio > REPORTED_SIGNIFICANCE_THRESHOLD + agents.ln()
    }
}

impl OutcomeFinding {
    fn add(
        &mut self,
        evidence: &ClassEvidence,
        baseline: &Baseline,
        thresholds: &Thresholds,
        name: &dyn fmt::Display,
    ) {
        let known = baseline.of_class(evidence);
        let Some(regression) = find_regression(evidence, &known, thresholds) else {
            return;
        };
        let ClassEvidence {
            canary,
            earlier,
            peers,
        } = evidence;
        self.strength = self
            .strength
            .max(canary.failed + canary.reported + canary.lost);
        self.reason = Some(format!(
            "{name} {regression}, canary {canary:.0?}, earlier {earlier:.0?}, peers {peers:.0?}"
        ));
    }
}

/// What the earlier build does, as far as it is known: its outcomes at present, and its former ones
/// by weight.
///
/// Guards, by the outcomes at present, against faults that meet both builds while the canary runs.
/// May let a bad build go on for longer where the earlier one gets little traffic at present.
struct Baseline {
    former_weight: f64,
    overall: OutcomeCounts,
}

impl Baseline {
    fn new(overall: &ClassEvidence) -> Baseline {
        let is_failing =
            overall.peers.failed_or_lost() + overall.peers.reported >= MIN_PEER_FAILURES;
        let former_weight = if is_failing {
            FORMER_WEIGHT_WHILE_FAILING
        } else {
            FORMER_WEIGHT
        };
        Baseline {
            former_weight,
            overall: overall.earlier.scaled_plus(former_weight, overall.peers),
        }
    }

    /// The baseline of one class. Guards rare classes, of which little is known: all classes
    /// together fill up what is missing. A class that was never answered has none.
    fn of_class(&self, evidence: &ClassEvidence) -> OutcomeCounts {
        let earlier = evidence.earlier;
        let own = earlier.scaled_plus(self.former_weight, evidence.peers);
        let missing = earlier.total().min(1.0) * (MIN_BASELINE_OUTCOMES - own.total()).max(0.0)
            / self.overall.total().max(MIN_BASELINE_OUTCOMES);
        self.overall.scaled_plus(missing, &own)
    }
}

/// Whether the canary regressed what the earlier build serves: by its share, and beyond what chance
/// would show at any of the agents.
fn find_regression(
    evidence: &ClassEvidence,
    baseline: &OutcomeCounts,
    thresholds: &Thresholds,
) -> Option<Regression> {
    if is_failing(evidence, baseline, thresholds) {
        return Some(Regression::Failed);
    }
    is_losing(evidence, baseline, thresholds).then_some(Regression::Lost)
}

/// Whether its answers fail. Lost ones are left out: they would blur this baseline.
fn is_failing(evidence: &ClassEvidence, baseline: &OutcomeCounts, thresholds: &Thresholds) -> bool {
    let threshold_factor = thresholds.threshold_factor;
    let weighted = |counts: &OutcomeCounts| Proportion {
        count: counts.failed + counts.reported * thresholds.reported_error_weight,
        total: counts.succeeded + counts.failed,
    };
    let seen = |counts: &OutcomeCounts| Proportion {
        count: counts.failed + counts.reported,
        total: counts.succeeded + counts.failed,
    };
    let canary = weighted(evidence.canary);
    let earlier = weighted(evidence.earlier);
    seen(evidence.canary).count >= MIN_FAILURES * threshold_factor
        && canary.count > MAX_FAILED_SHARE * threshold_factor * canary.total
        && earlier.count < MAX_BASELINE_SHARE * earlier.total
        && log_likelihood_ratio(seen(evidence.canary), seen(baseline)) > thresholds.log_ratio
}

/// Whether its answers are lost. Guards against dead endpoints and lossy networks: what the earlier
/// build loses, too, is not the canary's.
fn is_losing(evidence: &ClassEvidence, baseline: &OutcomeCounts, thresholds: &Thresholds) -> bool {
    let threshold_factor = thresholds.threshold_factor;
    let failed_or_lost = |counts: &OutcomeCounts| Proportion {
        count: counts.failed_or_lost(),
        total: counts.total(),
    };
    let canary = failed_or_lost(evidence.canary);
    let earlier = failed_or_lost(evidence.earlier);
    canary.count > MIN_FAILURES * LOST_PER_FAILURE * threshold_factor
        && canary.count > MAX_LOST_SHARE * threshold_factor * canary.total
        && log_likelihood_ratio(canary, failed_or_lost(baseline)) > thresholds.log_ratio
        && earlier.count < MAX_BASELINE_SHARE * earlier.total
}
