//! Scripted events, and the notifications that the agents get about them.

use super::super::event::{Event, Notification};
use super::super::ScenarioEvent;
use super::Runner;
use tulipwall::{EndpointEntry, EndpointState, IndexOrigin, Outcome, RolloutStatus};
use tulipwall_zones::ZoneConfig;

impl Runner {
    /// Applies a scripted event.
    pub(super) fn apply(&mut self, event: ScenarioEvent) {
        match event {
            ScenarioEvent::SetState(endpoint, state) => self.set_state(endpoint, state),
            ScenarioEvent::Restart(endpoint) => self.restart(endpoint),
            ScenarioEvent::MoveToZone(endpoint, zone) => self.move_to_zone(endpoint, zone),
            ScenarioEvent::SetWorkFactor(endpoint, factor) => {
                self.endpoints[endpoint].spec.work_factor = factor;
            }
            ScenarioEvent::SetFailureRate(endpoint, rate) => {
                self.endpoints[endpoint].spec.failure_rate = rate;
            }
            ScenarioEvent::SetUnresponsive(endpoint, unresponsive) => {
                self.endpoints[endpoint].spec.unresponsive = unresponsive;
            }
            ScenarioEvent::RolloutStatus(status) => self.publish_rollout(status),
            ScenarioEvent::SetRequestRate(rate) => self.simulation.request_rate = rate,
            ScenarioEvent::StallAgent(agent, duration) => {
                self.agents[agent].stalled_until = self.queue.now() + duration;
            }
            ScenarioEvent::SetZoning(agent, zoning) => self.set_zoning(agent, zoning),
            ScenarioEvent::SetLinkDelay(from, to, delay) => {
                self.network.set_delay(from, to, delay);
            }
        }
    }

    fn set_state(&mut self, endpoint: usize, state: EndpointState) {
        self.endpoints[endpoint].spec.state = state;
        if state == EndpointState::Gone {
            self.crash(endpoint);
        }
        self.publish_endpoint(endpoint);
    }

    fn restart(&mut self, endpoint: usize) {
        self.crash(endpoint);
        let spec = &mut self.endpoints[endpoint].spec;
        spec.state = EndpointState::Running;
        spec.started = Some(self.queue.now());
        spec.unresponsive = false;
        self.publish_endpoint(endpoint);
    }

    fn move_to_zone(&mut self, endpoint: usize, zone: usize) {
        self.crash(endpoint);
        self.endpoints[endpoint].spec.zone = zone;
        self.publish_endpoint(endpoint);
    }

    /// Crashes an endpoint: its running and queued attempts lose their connections, and agents must
    /// reconnect.
    fn crash(&mut self, endpoint: usize) {
        for attempt in self.endpoints[endpoint].crash() {
            self.end_if_in_flight(attempt, Outcome::ConnectionLost);
        }
        for agent in &mut self.agents {
            agent.connected[endpoint] = false;
        }
    }

    fn set_zoning(&mut self, agent: usize, zoning: ZoneConfig) {
        let now = self.queue.now();
        let agent = &mut self.agents[agent];
        let Some(zones) = &mut agent.zones else {
            return;
        };
        // Zones and classes stay the same, and `reload` refuses no other change.
        let classes = vec![IndexOrigin::Same; zoning.classes.len()];
        zones.reload(now, zoning, &classes);
        agent.apply_cross_zone_policy();
    }

    fn publish_rollout(&mut self, status: RolloutStatus) {
        let status = RolloutStatus {
            since: self.queue.now(),
            ..status
        };
        self.rollout_status = Some(status.clone());
        self.notify(Notification::Rollout(status));
    }

    fn publish_endpoint(&mut self, endpoint: usize) {
        let entry = self.endpoints[endpoint].entry(endpoint);
        self.notify(Notification::Endpoint(entry));
    }

    /// Notifies the agents, at once or after the notification delay.
    fn notify(&mut self, notification: Notification) {
        let delay = self.simulation.notification_delay;
        if delay.is_zero() {
            self.on_notification(notification);
        } else {
            let at = self.queue.now() + delay;
            self.queue.schedule(at, Event::Notify(notification));
        }
    }

    /// Delivers a notification to all agents.
    pub(super) fn on_notification(&mut self, notification: Notification) {
        match notification {
            Notification::Endpoint(entry) => self.notify_endpoint(entry),
            Notification::Rollout(status) => self.notify_rollout(status),
        }
    }

    fn notify_rollout(&mut self, status: RolloutStatus) {
        self.notified_status = Some(status.clone());
        self.apply_cap();
        let cap = self.simulation.injected_faults.reported_cap;
        let reported = RolloutStatus {
            cap: cap.unwrap_or(status.cap),
            ..status
        };
        for agent in &mut self.agents {
            agent.balancer.update_rollout(reported.clone());
        }
    }

    fn notify_endpoint(&mut self, mut entry: EndpointEntry) {
        let now = self.queue.now();
        let faults = &self.simulation.injected_faults;
        if faults.hide_cold_starts {
            entry.started = None;
        }
        let hidden = faults.hide_drains && entry.state != EndpointState::Running;
        for agent in &mut self.agents {
            if !hidden {
                let changed = std::slice::from_ref(&entry);
                agent.balancer.update_endpoints(now, changed, false);
            }
            agent.drains.on_notice(now, entry.endpoint, entry.state);
        }
    }
}
