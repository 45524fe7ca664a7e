//! The platform's events: votes and the stages of a rollout.

use super::super::event::Event;
use super::super::rollout::{RolloutStep, TICK};
use super::super::ScenarioEvent;
use super::Runner;
use std::time::Duration;
use tulipwall::{EndpointState, RolloutPhase, RolloutStatus, Vote};

impl Runner {
    /// Handles an agent's vote. A vote on an earlier build or stage is recorded but does not count.
    pub(super) fn on_vote(&mut self, agent: usize, vote: Vote) {
        let now = self.queue.now();
        let status = self.rollout_status.as_ref();
        let current = status.is_some_and(|s| s.build == vote.build && s.stage == vote.stage);
        self.report.votes.push((self.elapsed(), vote.clone()));
        if !current {
            return;
        }
        let ttl = self.simulation.settings.rollout.vote_ttl;
        if self.rollout.on_vote(now, agent, &vote, ttl) {
            self.roll_back();
        }
    }

    fn roll_back(&mut self) {
        let Some(plan) = self.rollout.plan.clone() else {
            return;
        };
        self.rollout.roll_back(self.queue.now());
        self.set_rollout_status(plan.build, 0, RolloutPhase::RollingBack, 0.0);
        for endpoint in plan.endpoints {
            self.apply(ScenarioEvent::SetState(endpoint, EndpointState::Gone));
        }
    }

    pub(super) fn on_rollout_tick(&mut self) {
        let now = self.queue.now();
        let Some(plan) = self.rollout.plan.clone() else {
            return;
        };
        match self.rollout.tick(now) {
            RolloutStep::StartStage { stage, endpoints } => {
                for endpoint in &plan.endpoints[endpoints] {
                    self.apply(ScenarioEvent::Restart(*endpoint));
                }
                let cap = plan.caps[stage];
                self.set_rollout_status(plan.build, stage, RolloutPhase::Canary, cap);
            }
            RolloutStep::Continue => {}
            RolloutStep::Release { last_stage } => {
                let phase = RolloutPhase::Released;
                return self.set_rollout_status(plan.build, last_stage, phase, 1.0);
            }
            RolloutStep::Over => return,
        }
        self.queue.schedule(now + TICK, Event::RolloutTick);
    }

    fn set_rollout_status(&mut self, build: u32, stage: usize, phase: RolloutPhase, cap: f64) {
        let status = RolloutStatus {
            build,
            stage,
            phase,
            cap,
            since: Duration::ZERO, // set when it is applied
        };
        self.apply(ScenarioEvent::RolloutStatus(status));
    }
}
