//! A simulated agent's connection to the rollout platform.

use super::events::EventKind;
use super::{AgentOutput, SimulatedAgent};
use crate::scale::meter::{MessageKind, Operation, ProcessorTimer};
use std::time::Duration;
use tulipwall::{RolloutStatus, Vote};
use tulipwall_agent::protocol::platform::{self, PlatformMessage};

/// The agent reconnects to the platform after this long without a line, as the real agent does.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Minimum time between two checks for silence of the platform.
const MIN_CHECK_GAP: Duration = Duration::from_millis(50);

/// State of an agent's connection to the platform.
pub(super) struct PlatformState {
    /// Time at which the agent reconnects, unless a line arrives before.
    pub(super) silence_deadline: Duration,
}

impl SimulatedAgent {
    pub(super) fn on_platform_timeout(&mut self, now: Duration) {
        if now >= self.platform.silence_deadline {
            self.open_platform_watch(now);
        }
        let next = self.platform.silence_deadline.max(now + MIN_CHECK_GAP);
        self.events.push(next, EventKind::PlatformTimeout);
    }

    /// Opens a new connection to the platform and asks for rollout status.
    pub(super) fn open_platform_watch(&mut self, now: Duration) {
        self.last_call += 1;
        let line = platform::watch_request(self.last_call);
        self.send_to_platform(now, line.len(), AgentOutput::PlatformWatch { line });
        self.platform.silence_deadline = now + SILENCE_TIMEOUT;
    }

    pub(super) fn send_vote(&mut self, now: Duration, vote: &Vote) {
        self.last_call += 1;
        let line = platform::vote_request(self.last_call, vote);
        self.send_to_platform(now, line.len(), AgentOutput::Vote { line });
    }

    fn send_to_platform(&mut self, now: Duration, length: usize, output: AgentOutput) {
        self.meter
            .record_message(now, MessageKind::PlatformCall, length);
        self.outputs.push((now, self.number, output));
    }

    pub(super) fn on_platform_line(&mut self, now: Duration, kind: MessageKind, bytes: &[u8]) {
        self.meter.record_message(now, kind, bytes.len());
        self.platform.silence_deadline = now + SILENCE_TIMEOUT;
        let timer = ProcessorTimer::start();
        match platform::parse_message(bytes) {
            Ok(PlatformMessage::RolloutStatus(status)) => self.update_rollout(now, status),
            Ok(PlatformMessage::Response { reply, .. }) => self.balancer.on_vote_reply(now, reply),
            _ => {}
        }
        self.meter
            .record_processor_time(now, Operation::PlatformLine, timer);
        if std::mem::take(&mut self.reload.awaits_platform) {
            self.count_reload(now);
        }
    }

    /// Passes a rollout status to the balancer, with its age converted to a time.
    fn update_rollout(&mut self, now: Duration, status: platform::RolloutReport) {
        self.balancer.update_rollout(RolloutStatus {
            build: status.build,
            stage: status.stage,
            phase: status.phase,
            cap: status.cap,
            since: now.saturating_sub(status.age),
        });
    }
}
