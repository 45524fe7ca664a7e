//! Detects whether a canary fails or loses requests that the earlier build serves.

use super::evidence::{MIN_BASELINE_OUTCOMES, MIN_OUTCOMES};
use super::Balancer;
use crate::interface::RolloutStatus;
use crate::stats::{log_likelihood_ratio, OutcomeCounts, Proportion};
use std::fmt;

/// Number of failures below which no conclusion is drawn.
pub(super) const MIN_FAILURES: f64 = 3.0;
/// Share of failed responses above which a canary may be regressed: most bad builds fail less than
/// a fifth of the requests.
const MAX_FAILED_SHARE: f64 = 0.04;
/// Share of failed or lost responses of the earlier build from which on it is no valid baseline.
const MAX_BASELINE_SHARE: f64 = 0.2;
/// Share of lost responses above which a canary may be regressed. It is higher than the share of
/// failed ones, as a lost response says less about a build.
const MAX_LOST_SHARE: f64 = 0.2;
/// Number of lost or failed attempts, as a multiple of the minimum number of failures, below which
/// no conclusion is drawn from lost responses.
const LOST_PER_FAILURE: f64 = 2.0;
/// Weight of the earlier build's former outcomes if it does not fail at present.
const FORMER_WEIGHT: f64 = 0.5;
/// Weight of the earlier build's former outcomes while it fails at present.
const FORMER_WEIGHT_WHILE_FAILING: f64 = 0.2;
/// Number of present failures of the earlier build from which on it counts as failing.
const MIN_PEER_FAILURES: f64 = 0.5;
/// Minimum significance of a difference, as a log-likelihood ratio; it increases with the number of
/// agents, as each of them may err.
const SIGNIFICANCE_THRESHOLD: f64 = 3.0;
/// Minimum significance for each of several agents that must agree; it prevents a verdict on a few
/// failures by chance.
const AGREED_SIGNIFICANCE_THRESHOLD: f64 = 3.0;
/// Number of client-reported errors below which no conclusion is drawn: two, of which one may have
/// decayed.
const MIN_REPORTED: f64 = 1.8;
/// Minimum significance of client-reported errors, as a log-likelihood ratio; it is low because
/// they rarely occur by chance.
const REPORTED_SIGNIFICANCE_THRESHOLD: f64 = 1.0;

/// Kind of a canary's regression.
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

/// Thresholds from which on a difference counts as a regression.
struct Thresholds {
    /// Number of failures that one client-reported error stands for.
    reported_error_weight: f64,
    /// Minimum log-likelihood ratio.
    log_ratio: f64,
    /// Factor on the minimum shares and counts.
    threshold_factor: f64,
}

/// Outcomes of one class, or of all classes together.
struct ClassEvidence<'a> {
    canary: &'a OutcomeCounts,
    earlier: &'a OutcomeCounts,
    peers: &'a OutcomeCounts,
}

/// Result of comparing a canary's outcomes with the earlier build's.
pub(super) struct OutcomeFinding {
    /// Description of the regressed class; `None` if there is no regression.
    pub reason: Option<String>,
    /// Strength of the evidence, in failures; 0 if there is no regression.
    pub strength: f64,
    /// Whether client-reported errors show a regression.
    pub has_wrong_answers: bool,
}

impl Balancer {
    /// Compares the outcomes of the newest build with those of the earlier one, by class and for
    /// all classes together. `threshold_factor` is less than one while a hold is in place.
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
            // Without failures there is no evidence against the canary.
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

    /// Whether clients report more wrong responses of the canary than of the earlier build. Faulty
    /// hardware does not cause wrong responses, and clients rarely report a correct one as wrong.
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

/// Known outcomes of the earlier build: its present outcomes plus its former ones by weight.
///
/// The present outcomes guard against faults that affect both builds while the canary runs. May
/// keep a bad build running for longer if the earlier one gets little traffic at present.
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

    /// The baseline of one class. For rare classes with few outcomes, the outcomes of all classes
    /// together make up the missing ones. A class without any outcomes has no baseline.
    fn of_class(&self, evidence: &ClassEvidence) -> OutcomeCounts {
        let earlier = evidence.earlier;
        let own = earlier.scaled_plus(self.former_weight, evidence.peers);
        let missing = earlier.total().min(1.0) * (MIN_BASELINE_OUTCOMES - own.total()).max(0.0)
            / self.overall.total().max(MIN_BASELINE_OUTCOMES);
        self.overall.scaled_plus(missing, &own)
    }
}

/// Whether the canary fails or loses requests that the earlier build serves, both by its share and
/// with more significance than chance would show at any of the agents.
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

/// Whether the canary's responses fail. Lost responses are left out, as they would blur this
/// baseline.
fn is_failing(evidence: &ClassEvidence, baseline: &OutcomeCounts, thresholds: &Thresholds) -> bool {
    let threshold_factor = thresholds.threshold_factor;
    let weighted = |counts: &OutcomeCounts| Proportion {
        count: counts.failed + counts.reported * thresholds.reported_error_weight,
        total: counts.succeeded + counts.failed,
    };
    let observed = |counts: &OutcomeCounts| Proportion {
        count: counts.failed + counts.reported,
        total: counts.succeeded + counts.failed,
    };
    let canary = weighted(evidence.canary);
    let earlier = weighted(evidence.earlier);
    observed(evidence.canary).count >= MIN_FAILURES * threshold_factor
        && canary.count > MAX_FAILED_SHARE * threshold_factor * canary.total
        && earlier.count < MAX_BASELINE_SHARE * earlier.total
        && log_likelihood_ratio(observed(evidence.canary), observed(baseline))
            > thresholds.log_ratio
}

/// Whether the canary's responses are lost. The comparison guards against dead endpoints and lossy
/// networks: losses that the earlier build has as well do not count against the canary.
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
