//! The platform's side of a rollout: timed stages and the agents' votes.

use super::{RolloutOutcome, RolloutPlan, START};
use std::ops::Range;
use std::time::Duration;
use tulipwall::{Verdict, Vote};

/// Interval at which the platform checks the rollout's progress.
pub(super) const TICK: Duration = Duration::from_millis(100);

/// The current stage of a rollout.
#[derive(Clone, Copy, Debug)]
struct ActiveStage {
    index: usize,
    /// How long the stage has run, not counting holds.
    elapsed: Duration,
}

/// The platform's action at a tick.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RolloutStep {
    /// A stage begins and starts this range of the plan's endpoints.
    StartStage {
        stage: usize,
        endpoints: Range<usize>,
    },
    /// All stages are complete and the build is released.
    Release { last_stage: usize },
    /// The current stage continues or is held.
    Continue,
    /// The rollout has ended; no further ticks are needed.
    Over,
}

/// Moves one build through its stages. The stage timer is paused while a hold is in force.
pub(super) struct RolloutController {
    pub plan: Option<RolloutPlan>,
    pub outcome: RolloutOutcome,
    stage: Option<ActiveStage>,
    held_until: Vec<Option<Duration>>, // by agent: when its vote to hold lapses
    rollback_votes: Vec<bool>,         // by agent
}

impl RolloutController {
    pub fn new(plan: Option<RolloutPlan>, agents: usize) -> RolloutController {
        RolloutController {
            plan,
            outcome: RolloutOutcome::default(),
            stage: None,
            held_until: vec![None; agents],
            rollback_votes: vec![false; agents],
        }
    }

    /// Records an agent's vote on the current build and stage. Returns whether the votes suffice to
    /// roll the build back.
    pub fn on_vote(&mut self, now: Duration, agent: usize, vote: &Vote, ttl: Duration) -> bool {
        let holds = vote.verdict == Verdict::Hold;
        self.held_until[agent] = holds.then_some(now + ttl);
        if holds && self.stage.is_some() {
            let first = (now - START, vote.stage);
            self.outcome.first_hold.get_or_insert(first);
        }
        self.rollback_votes[agent] = vote.verdict == Verdict::RollBack;
        self.stage.is_some() && self.has_rollback_quorum()
    }

    fn has_rollback_quorum(&self) -> bool {
        let votes = self.rollback_votes.iter().filter(|vote| **vote).count();
        let plan = self.plan.as_ref();
        plan.is_some_and(|plan| votes >= plan.votes_to_roll_back.max(1))
    }

    /// Ends the rollout as rolled back.
    pub fn roll_back(&mut self, now: Duration) {
        self.stage = None;
        self.outcome.rolled_back = Some(now - START);
    }

    /// Advances the rollout by one tick and returns the action to take.
    pub fn tick(&mut self, now: Duration) -> RolloutStep {
        let over = self.outcome.rolled_back.is_some() || self.outcome.released.is_some();
        let Some(plan) = self.plan.as_ref().filter(|_| !over) else {
            return RolloutStep::Over;
        };
        let stages = plan.caps.len();
        let endpoints = plan.endpoints.len();
        let stage_duration = plan.stage_duration;
        let next = match self.stage {
            None => 0,
            Some(stage) if stage.elapsed >= stage_duration => stage.index + 1,
            Some(stage) => {
                self.continue_stage(now, stage);
                return RolloutStep::Continue;
            }
        };
        if next < stages {
            self.stage = Some(ActiveStage {
                index: next,
                elapsed: Duration::ZERO,
            });
            return RolloutStep::StartStage {
                stage: next,
                endpoints: endpoints * next / stages..endpoints * (next + 1) / stages,
            };
        }
        self.stage = None;
        self.outcome.released = Some(now - START);
        RolloutStep::Release {
            last_stage: next.saturating_sub(1),
        }
    }

    fn continue_stage(&mut self, now: Duration, stage: ActiveStage) {
        let held = self.held_until.iter().flatten().any(|until| now < *until);
        if held {
            self.outcome.time_held += TICK;
        } else {
            let elapsed = stage.elapsed + TICK;
            self.stage = Some(ActiveStage { elapsed, ..stage });
        }
    }
}
