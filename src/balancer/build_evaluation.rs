//! Whether the newest build is worse than the one before it, and what this agent votes for.

use super::evidence::EVALUATED_AFTER_START;
use super::outcome_regression::{OutcomeFinding, MIN_FAILURES};
use super::platform_evidence::PlatformFinding;
use super::{Balancer, EVALUATION_INTERVAL};
use crate::interface::{RolloutPhase, RolloutStatus, Verdict, Vote};
use std::time::Duration;

/// How long after its newest start a build's evidence is unsteady.
pub(super) const SETTLED_AFTER_START: Duration = Duration::from_millis(6000);
/// Factor on what places a hold that keeps it until then.
const HOLD_THRESHOLD_FACTOR: f64 = 0.5;
/// Evidence of a regression, in failures times the seconds for which they have shown, that rolls
/// back.
const ROLL_BACK_EVIDENCE: f64 = 12.0;
/// Decay of that evidence, each evaluation interval that shows none.
const EVIDENCE_DECAY: f64 = 0.98;
/// Strength of an alarm by latency, as a part of the least failures.
const ALARM_STRENGTH: f64 = 0.5;
/// Share of the endpoints from which on a canary is rolled back that took others' places.
const IN_PLACE_ROLL_BACK_SHARE: f64 = 0.2;

/// What this evaluation found.
struct Finding {
    /// Why the build is regressed, where it is.
    reason: Option<String>,
    /// Failures that speak for it.
    strength: f64,
    /// Whether the evidence rolls back at once: other agents see it, too, or the platform does.
    is_agreed: bool,
    /// Whether client-reported errors speak against it.
    has_wrong_answers: bool,
}

impl Balancer {
    /// Evaluates the newest build, and sets the vote that is meant.
    pub(super) fn evaluate_canary(&mut self, now: Duration) {
        let Some(status) = self.rollout.status.clone() else {
            return;
        };
        let age = self.age_since_newest_start(now, status.build);
        let earlier_build = self.rollout.build_before(status.build);
        let was_regressed = self.rollout.is_regressed(status.build);
        // Until the build has settled, a hold once placed is kept on half of what placed it.
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
        // The places that it took are given back by a roll back only.
        let replaces_endpoints = self.parameters.rollout.in_place
            && endpoints > IN_PLACE_ROLL_BACK_SHARE * self.fleet.index().total().running as f64;
        let verdict = self.verdict(&status, age, &finding, is_lasting, replaces_endpoints);
        self.votes.wanted = verdict.map(|verdict| Vote {
            build: status.build,
            stage: status.stage,
            verdict,
        });
    }

    /// Time since the newest start of a build; a settled age where it is unknown.
    fn age_since_newest_start(&self, now: Duration, build: u32) -> Duration {
        let build = self.rollout.builds.get(&build);
        build.map_or(SETTLED_AFTER_START, |b| now.saturating_sub(b.newest_start))
    }

    /// Endpoints of a build that show failures. Guards against a few faulty ones: they add little
    /// towards a roll back, only as much as their part. Does harm by a later roll back where only
    /// some endpoints get the requests that fail.
    fn failing_endpoints(&self, build: u32) -> f64 {
        self.outcomes.failing_endpoints(build) as f64
    }

    /// Draws all evidence together.
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

    /// Adds to the evidence against a build. Whether it is enough to roll back.
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

    /// What the evidence asks for.
    ///
    /// A hold of this agent keeps only its own requests from the build. It spares no agent with
    /// little traffic, gives back no places, and guards neither from wrong answers nor from a
    /// released build. Where several agents must agree, half of them vote to roll back at once, the
    /// others once their hold stands.
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
