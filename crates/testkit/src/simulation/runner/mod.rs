//! The event loop: takes events in order of time and dispatches them to their handlers.

mod attempts;
mod endpoints;
mod platform;
mod requests;
mod scenario;

use super::agent::Agent;
use super::checks::RepeatCheck;
use super::client::PendingRetries;
use super::endpoint::EndpointRuntime;
use super::event::Event;
use super::event_queue::EventQueue;
use super::network::Network;
use super::random::Random;
use super::rollout::RolloutController;
use super::{Simulation, SimulationReport, Violation, START};
use std::time::Duration;
use tulipwall::{EndpointEntry, RolloutPhase, RolloutStatus, VoteReply};

/// Time after the last arrival in which open requests can still be answered.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Interval between the first polls of successive agents.
const POLL_STAGGER: Duration = Duration::from_micros(137);
/// Lower limit on the interval between two polls of an agent.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A running simulation.
pub(super) struct Runner {
    simulation: Simulation,
    queue: EventQueue<Event>,
    random: Random,
    network: Network,
    agents: Vec<Agent>,
    endpoints: Vec<EndpointRuntime>,
    repeats: RepeatCheck,
    retries: PendingRetries,
    rollout: RolloutController,
    /// The rollout status that the platform publishes.
    rollout_status: Option<RolloutStatus>,
    /// The rollout status that the agents have been notified of, before injected faults.
    notified_status: Option<RolloutStatus>,
    report: SimulationReport,
}

impl Runner {
    pub fn new(mut simulation: Simulation) -> Runner {
        let endpoints = start_endpoints(&mut simulation);
        let entries: Vec<EndpointEntry> = endpoints
            .iter()
            .enumerate()
            .map(|(index, endpoint)| endpoint.entry(index))
            .collect();
        let agents: Vec<Agent> = simulation
            .agents
            .iter()
            .enumerate()
            .map(|(index, spec)| Agent::new(&simulation, index, spec, &entries))
            .collect();
        let seconds = simulation.duration.as_secs() as usize + 1;
        let link_delays = std::mem::take(&mut simulation.link_delays);
        Runner {
            queue: EventQueue::new(START),
            random: Random::new(simulation.seed),
            network: Network::new(link_delays, simulation.link_loss),
            repeats: RepeatCheck::default(),
            retries: PendingRetries::default(),
            rollout: RolloutController::new(simulation.rollout_plan.take(), agents.len()),
            rollout_status: simulation.rollout_status.clone(),
            notified_status: simulation.rollout_status.clone(),
            report: SimulationReport::new(seconds, agents.len(), endpoints.len()),
            agents,
            endpoints,
            simulation,
        }
    }

    /// Runs the event loop until the end of the simulation and returns the report.
    pub fn run(mut self) -> SimulationReport {
        self.schedule_first_events();
        let end = START + self.simulation.duration + DRAIN_TIME;
        while let Some(event) = self.queue.pop_until(end) {
            self.report.events += 1;
            match self.stalled_until(&event) {
                // A stalled agent handles its events in order once it resumes.
                Some(until) => self.queue.schedule(until, event),
                None => self.handle(event),
            }
        }
        self.finish()
    }

    fn schedule_first_events(&mut self) {
        for (index, (at, _)) in self.simulation.events.iter().enumerate() {
            self.queue.schedule(START + *at, Event::Scenario(index));
        }
        self.apply_cap();
        if let Some(plan) = &self.rollout.plan {
            let at = START + plan.starts_at;
            self.queue.schedule(at, Event::RolloutTick);
        }
        for agent in 0..self.agents.len() {
            let first_poll = START + POLL_STAGGER * agent as u32;
            self.queue.schedule(first_poll, Event::Poll { agent });
            self.schedule_arrival(agent);
        }
    }

    /// Returns when the agent that handles this event resumes; `None` if it is not stalled or no
    /// agent handles the event.
    fn stalled_until(&self, event: &Event) -> Option<Duration> {
        let until = self.agents[event.agent()?].stalled_until;
        (until > self.queue.now()).then_some(until)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Scenario(index) => {
                let scenario_event = self.simulation.events[index].1.clone();
                self.apply(scenario_event);
            }
            Event::Arrival { agent } => {
                self.on_arrival(agent);
                self.schedule_arrival(agent);
            }
            Event::Retry { agent, slot } => {
                let request = self.retries.take(slot);
                self.receive(agent, request);
            }
            Event::RolloutTick => self.on_rollout_tick(),
            Event::Notify(notification) => self.on_notification(notification),
            Event::Poll { agent } => self.on_poll(agent),
            Event::AttemptArrival {
                attempt,
                endpoint,
                incarnation,
            } => self.on_attempt_arrival(attempt, endpoint, incarnation),
            Event::WorkDone {
                endpoint,
                incarnation,
                slot,
            } => self.on_work_done(endpoint, incarnation, slot),
            Event::Reply { attempt, reply } => self.end_if_in_flight(attempt, reply.outcome()),
            Event::Recheck { agent, request, at } => self.on_recheck(agent, request, at),
            Event::Timeout { attempt } => {
                self.end_if_in_flight(attempt, tulipwall::Outcome::TimedOut);
            }
        }
    }

    fn on_poll(&mut self, agent: usize) {
        let now = self.queue.now();
        let due = self.agents[agent].balancer.poll(now);
        if let Some(vote) = due.vote {
            let balancer = &mut self.agents[agent].balancer;
            balancer.on_vote_reply(now, VoteReply::Counted);
            self.on_vote(agent, vote);
        }
        self.poll_zones(agent);
        let next_poll = due.next_poll.max(now + MIN_POLL_INTERVAL);
        self.queue.schedule(next_poll, Event::Poll { agent });
    }

    fn poll_zones(&mut self, agent: usize) {
        let now = self.queue.now();
        let agent = &mut self.agents[agent];
        if let Some(zones) = &mut agent.zones {
            let capacities = agent
                .balancer
                .zone_capacities(now, zones.config().zone_count_with_unnamed());
            zones.tick(now, &capacities);
        }
        agent.apply_cross_zone_policy();
    }

    fn finish(mut self) -> SimulationReport {
        self.report.rollout = self.rollout.outcome;
        for agent in &mut self.agents {
            let unanswered = agent.open.values().filter_map(|open| open.answer.at_end());
            for violation in unanswered {
                self.report.unanswered += 1;
                self.report.violations.push(violation);
            }
            self.report.zones.push(agent.zones.take());
        }
        self.report
    }

    fn report_violations(&mut self, violations: impl IntoIterator<Item = Violation>) {
        self.report.violations.extend(violations);
    }

    /// Returns the time since the beginning of the simulation.
    fn elapsed(&self) -> Duration {
        self.queue.now() - START
    }

    /// Adds a line to the report's trace if the request is the traced one.
    fn trace(&mut self, agent: usize, request: u64, message: impl FnOnce() -> String) {
        if self.simulation.traced_request == Some((agent, request)) {
            let at = self.elapsed().as_secs_f64();
            self.report
                .trace
                .push(format!("{at:12.6} s  {}", message()));
        }
    }

    /// Sets the cap of the exposure checks from the status that the agents have been notified of.
    fn apply_cap(&mut self) {
        let cap = match &self.notified_status {
            Some(status) if status.phase == RolloutPhase::Released => 1.0,
            Some(status) => status.cap,
            None => 0.0,
        };
        for agent in &mut self.agents {
            agent.exposure.set_cap(cap);
        }
    }
}

fn start_endpoints(simulation: &mut Simulation) -> Vec<EndpointRuntime> {
    let specs = std::mem::take(&mut simulation.endpoints);
    specs
        .into_iter()
        .enumerate()
        .map(|(index, spec)| EndpointRuntime::new(index, spec, &simulation.settings))
        .collect()
}
