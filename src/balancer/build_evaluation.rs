//! Evaluates whether the newest build is worse than the one before it, and decides this agent's
//! vote.

use super::evidence::EVALUATED_AFTER_START;
use super::outcome_regression::{OutcomeFinding, MIN_FAILURES};
use super::platform_evidence::PlatformFinding;
use super::{Balancer, EVALUATION_INTERVAL};
use crate::interface::{RolloutPhase, RolloutStatus, Verdict, Vote};
use std::time::Duration;

/// Time after a build's newest start within which its evidence has not settled.
pub(super) const SETTLED_AFTER_START: Duration = Duration::from_millis(6000);
/// Factor on the thresholds for a regression that keeps an existing hold until the build has
/// settled.
const HOLD_THRESHOLD_FACTOR: f64 = 0.5;
/// Accumulated evidence of a regression that justifies a rollback, in failures multiplied by
/// the seconds for which they have persisted.
const ROLL_BACK_EVIDENCE: f64 = 12.0;
/// Decay factor of that evidence for each evaluation interval without a regression.
const EVIDENCE_DECAY: f64 = 0.98;
/// Strength of a latency alarm, as a share of the minimum number of failures.
const ALARM_STRENGTH: f64 = 0.5;
/// Share of the endpoints above which a lasting regression of an in-place canary is rolled back
/// rather than held.
const IN_PLACE_ROLL_BACK_SHARE: f64 = 0.2;

/// Result of one evaluation of the newest build.
struct Finding {
    /// Why the build is regressed; `None` if it is not.
    reason: Option<String>,
    /// Strength of the evidence, in failures.
    strength: f64,
    /// Whether the evidence justifies a rollback at once, because other agents or the platform see
    /// the regression as well.
    is_agreed: bool,
    /// Whether client-reported errors show a regression.
    has_wrong_answers: bool,
}

impl Balancer {
    /// Evaluates the newest build and updates the vote that this agent wants to have counted.
    pub(super) fn evaluate_canary(&mut self, now: Duration) {
        let Some(status) = self.rollout.status.clone() else {
            return;
        };
        let age = self.age_since_newest_start(now, status.build);
        let earlier_build = self.rollout.build_before(status.build);
        let was_regressed = self.rollout.is_regressed(status.build);
        // Until the build has settled, half of the evidence that placed a hold is enough to keep
        // it.
        let threshold_factor = if was_regressed && age < SETTLED_AFTER_START {
            HOLD_THRESHOLD_FACTOR
        } else {
            1.0
        };
        let mut outcomes = self.compare_outcomes(&status, earlier_build, threshold_factor);
        let endpoints = self.fleet.index().of_build(status.build).running.max(1) as f64;
        outcomes.strength *= self.failing_endpoints(status.build) / endpoints;
        self.update_latency_regression(now, &status, age);
        let platform = self.compare_platform_counts(status.build, earlier_build);
        let finding = self.combine_evidence(&status, age, outcomes, &platform);
        self.log_change(status.build, was_regressed, finding.reason.as_deref());
        let is_lasting = self.accumulate_evidence(status.build, &finding);
        // Only a rollback returns the endpoints that the canary has replaced to the earlier build.
        let replaces_endpoints = self.parameters.rollout.in_place
            && endpoints > IN_PLACE_ROLL_BACK_SHARE * self.fleet.index().total().running as f64;
        let verdict = self.verdict(&status, age, &finding, is_lasting, replaces_endpoints);
        self.votes.wanted = verdict.map(|verdict| Vote {
            build: status.build,
            stage: status.stage,
            verdict,
        });
    }

    /// Time since the newest start of a build, or the time to settle if the build is unknown.
    fn age_since_newest_start(&self, now: Duration, build: u32) -> Duration {
        let build = self.rollout.builds.get(&build);
        build.map_or(SETTLED_AFTER_START, |b| now.saturating_sub(b.newest_start))
    }

    /// Number of endpoints of a build that show failures.
    ///
    /// Limits the effect of a few faulty endpoints, which add to the evidence only in proportion to
    /// their share of the build's endpoints. Does harm by a later rollback if only some endpoints
    /// get the requests that fail.
    fn failing_endpoints(&self, build: u32) -> f64 {
        self.outcomes.failing_endpoints(build) as f64
    }

    /// Combines the evidence of outcomes, latencies and platform counts into one finding.
    fn combine_evidence(
        &self,
        status: &RolloutStatus,
        age: Duration,
        outcomes: OutcomeFinding,
        platform: &PlatformFinding,
    ) -> Finding {
        let latency = &self.evaluation.latency;
        let has_wrong_answers = outcomes.has_wrong_answers;
        let is_evaluated = status.phase == RolloutPhase::Canary
            || status.phase == RolloutPhase::Released && age < EVALUATED_AFTER_START;
        let is_slow = latency.is_fleet_slower && !platform.is_latency_similar;
        let votes_agree = self.parameters.rollout.needs_agreement && (is_slow || has_wrong_answers);
        let is_agreed = is_evaluated && (votes_agree || platform.regression.is_some());
        let is_alarmed =
            status.phase == RolloutPhase::Canary && latency.alarm && !platform.is_latency_similar;
        let mut finding = Finding {
            reason: outcomes.reason,
            strength: outcomes.strength,
            is_agreed,
            has_wrong_answers,
        };
        if is_agreed || is_alarmed {
            if latency.alarm {
                finding.strength = MIN_FAILURES * ALARM_STRENGTH;
            }
            let default_reason = if has_wrong_answers {
                "wrong answers"
            } else {
                "the fleet slows with it"
            };
            finding.reason = Some(platform.regression.unwrap_or(default_reason).to_owned());
        }
        finding
    }

    fn log_change(&mut self, build: u32, was_regressed: bool, reason: Option<&str>) {
        if reason.is_some() == was_regressed {
            return;
        }
        self.output.log_lines.push(match reason {
            Some(reason) => format!("regression: build {build}, {reason}"),
            None => format!("recovered: build {build} shows no regression"),
        });
    }

    /// Adds a finding to the accumulated evidence against a build. Returns whether the evidence
    /// justifies a rollback.
    fn accumulate_evidence(&mut self, build: u32, finding: &Finding) -> bool {
        let build = self.build_mut(build);
        build.regressed = finding.reason.is_some();
        if build.regressed {
            build.regression_evidence += finding.strength * EVALUATION_INTERVAL.as_secs_f64();
        } else {
            build.regression_evidence *= EVIDENCE_DECAY;
        }
        build.regressed && build.regression_evidence >= ROLL_BACK_EVIDENCE
    }

    /// The verdict that the evidence calls for; `None` if it calls for no vote.
    ///
    /// A hold of this agent only keeps its own requests away from the build. It does not protect
    /// agents with little traffic, does not give back replaced endpoints, and prevents neither
    /// wrong responses nor damage by a released build. If several agents must agree, half of them
    /// vote to roll back at once, and the others once their hold counts.
    fn verdict(
        &self,
        status: &RolloutStatus,
        age: Duration,
        finding: &Finding,
        is_lasting: bool,
        replaces_endpoints: bool,
    ) -> Option<Verdict> {
        if finding.is_agreed {
            return Some(Verdict::RollBack);
        }
        let is_regressed = finding.reason.is_some();
        let standing = self.votes.standing.as_ref();
        let has_vote = standing.is_some_and(|s| s.vote.build == status.build);
        let needs_agreement = self.parameters.rollout.needs_agreement;
        match status.phase {
            RolloutPhase::Released if is_lasting && age < EVALUATED_AFTER_START => {
                Some(Verdict::RollBack)
            }
            RolloutPhase::Canary if is_lasting && replaces_endpoints => Some(Verdict::RollBack),
            RolloutPhase::Canary if is_regressed => {
                let agrees = needs_agreement && (self.votes.rolls_back_first || has_vote);
                if agrees || finding.has_wrong_answers && has_vote {
                    Some(Verdict::RollBack)
                } else {
                    Some(Verdict::Hold)
                }
            }
            _ => None,
        }
    }
}
