//! Simulated rollout platform of one service.

use super::{PendingInput, ServerCounts, DELAY};
use crate::scale::agent::AgentInput;
use crate::scale::meter::{MessageKind, ProcessorTimer};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipwall_testkit::platform::{notification, RolloutService};
use tulipwall_testkit::RolloutStatus;

/// The platform of one service in simulated time.
pub struct SimulatedPlatform {
    service: RolloutService,
    /// Numbers of the agents that watch the rollout status.
    watching: BTreeSet<usize>,
    /// The instant that corresponds to simulated time zero.
    time_zero: Instant,
    /// Calls and bytes that it has answered.
    pub counts: ServerCounts,
}

impl SimulatedPlatform {
    /// Creates a platform that reports this rollout status.
    pub fn new(time_zero: Instant, rollout_status: RolloutStatus) -> SimulatedPlatform {
        SimulatedPlatform {
            service: RolloutService::new(rollout_status),
            watching: BTreeSet::new(),
            time_zero,
            counts: ServerCounts::default(),
        }
    }

    /// Sends a line to one agent.
    fn send(
        &mut self,
        now: Duration,
        agent: usize,
        kind: MessageKind,
        line: &Arc<Vec<u8>>,
        inputs: &mut Vec<PendingInput>,
    ) {
        self.counts.count_bytes(now, line.len());
        inputs.push(PendingInput {
            at: now + DELAY,
            agent,
            input: AgentInput::PlatformLine {
                kind,
                bytes: line.clone(),
            },
        });
    }

    /// Sends a line to all agents that watch the rollout status.
    fn broadcast(
        &mut self,
        now: Duration,
        kind: MessageKind,
        line: &Value,
        inputs: &mut Vec<PendingInput>,
    ) {
        let line = encode(line);
        let agents = std::mem::take(&mut self.watching);
        for agent in &agents {
            self.send(now, *agent, kind, &line, inputs);
        }
        self.watching = agents;
    }

    /// Handles a call of an agent, a line of JSON: replies to it and, if it subscribes, sends the
    /// rollout status.
    pub fn on_call(
        &mut self,
        now: Duration,
        agent: usize,
        line: &str,
        inputs: &mut Vec<PendingInput>,
    ) {
        let timer = ProcessorTimer::start();
        self.counts.count_call(now);
        let call: Value = serde_json::from_str(line).unwrap_or_default();
        let handled = self.service.handle_call(self.time_zero + now, &call);
        let reply = encode(&handled.reply);
        self.send(now, agent, MessageKind::PlatformReply, &reply, inputs);
        if handled.subscribes {
            self.watching.insert(agent);
            let status = encode(
                &self
                    .service
                    .rollout_status
                    .notification(self.time_zero + now),
            );
            self.send(now, agent, MessageKind::RolloutStatus, &status, inputs);
        }
        if let Some(status) = handled.rollout_status {
            self.set_rollout_status(now, status, inputs);
        }
        self.counts.ns += timer.elapsed_ns();
    }

    /// Sets the rollout status as of now, and sends it to all agents that watch it.
    pub fn set_rollout_status(
        &mut self,
        now: Duration,
        status: RolloutStatus,
        inputs: &mut Vec<PendingInput>,
    ) {
        self.service.rollout_status = RolloutStatus {
            since: self.time_zero + now,
            ..status
        };
        let line = self
            .service
            .rollout_status
            .notification(self.time_zero + now);
        self.broadcast(now, MessageKind::RolloutStatus, &line, inputs);
    }

    /// Sends a ping to all agents that watch the rollout status.
    pub fn ping(&mut self, now: Duration, inputs: &mut Vec<PendingInput>) {
        let line = notification("ping", json!({}));
        self.broadcast(now, MessageKind::Ping, &line, inputs);
    }

    /// Closes the connections of agents that can no longer be reached, which ends their watches.
    pub fn disconnect(&mut self, agents: &BTreeSet<usize>) {
        self.watching.retain(|agent| !agents.contains(agent));
    }
}

/// Encodes a message as a line of JSON.
fn encode(line: &Value) -> Arc<Vec<u8>> {
    Arc::new(format!("{line}\n").into_bytes())
}
