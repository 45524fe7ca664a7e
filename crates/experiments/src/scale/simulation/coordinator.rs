//! Coordinates a simulation: advances time, runs the servers, and exchanges messages with the
//! worker threads that simulate the agents.

use super::workers::{Command, Outputs, WorkerLink};
use super::{InstallationEvent, Simulation, START_MS};
use crate::scale::agent::{ActualState, AgentInput};
use crate::scale::error::ScaleError;
use crate::scale::servers::{PendingInput, Servers, DELAY};
use crate::scale::size::Size;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tulipwall_discovery::clock::START_OFFSET;
use tulipwall_testkit::{Entry, RolloutStatus};

/// Interval between the pings of a platform.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// The region that has neither discovery nor the platform.
const SECOND_REGION: usize = 1;

/// Advances simulated time step by step, and with it the servers and the events of the
/// installation.
pub(super) struct Coordinator<'a> {
    size: Size,
    /// Simulated time at which counting begins.
    count_from: Duration,
    /// Simulated time at which the simulation ends.
    end: Duration,
    /// Discovery and the platform, by service.
    servers: &'a mut [Servers],
    workers: &'a [WorkerLink],
    /// The actual state of machines and network, by service.
    actual: Arc<Vec<ActualState>>,
    /// Messages in transit to agents.
    inputs: Vec<PendingInput>,
    /// Future events in reverse order of time, so that the next one is last.
    events: Vec<(Duration, InstallationEvent)>,
    is_counting: bool,
    /// Time of the last ping.
    pinged_at: Duration,
}

impl<'a> Coordinator<'a> {
    pub(super) fn new(
        simulation: &Simulation,
        servers: &'a mut [Servers],
        workers: &'a [WorkerLink],
    ) -> Coordinator<'a> {
        let size = simulation.size;
        let count_from = START_OFFSET + simulation.warm_up;
        let nothing_down = ActualState {
            down: vec![false; size.endpoints],
            is_partitioned: false,
        };
        let mut events: Vec<_> = simulation
            .events
            .iter()
            .map(|(at, event)| (count_from + *at, event.clone()))
            .collect();
        events.sort_by_key(|(at, _)| *at);
        events.reverse();
        Coordinator {
            size,
            count_from,
            end: count_from + simulation.duration,
            servers,
            workers,
            actual: Arc::new(vec![nothing_down; size.services]),
            inputs: Vec::new(),
            events,
            is_counting: false,
            pinged_at: START_OFFSET,
        }
    }

    /// Runs the simulation to its end.
    pub(super) fn run(mut self) -> Result<(), ScaleError> {
        let mut now = START_OFFSET;
        while now < self.end {
            let until = now + DELAY;
            self.begin_counting(now);
            let outputs = self.step_agents(until)?;
            self.forward_outputs(outputs);
            now = until;
            self.advance_servers(now);
            self.apply_events(now);
        }
        Ok(())
    }

    /// Resets the counts of all agents and servers once the warm-up is over.
    fn begin_counting(&mut self, now: Duration) {
        if self.is_counting || now < self.count_from {
            return;
        }
        self.is_counting = true;
        for worker in self.workers {
            // The next step detects a thread that has ended.
            let _ = worker.send(Command::CountFrom(self.count_from));
        }
        for servers in self.servers.iter_mut() {
            servers.count_from(self.count_from);
        }
    }

    /// Advances all agents to a time and returns the messages that they sent, ordered by time and
    /// agent number.
    fn step_agents(&mut self, until: Duration) -> Result<Outputs, ScaleError> {
        let inputs = self.inputs_before(until);
        for (worker, inputs) in self.workers.iter().zip(inputs) {
            worker.send(Command::Step {
                until,
                actual: self.actual.clone(),
                inputs,
            })?;
        }
        let mut outputs = Vec::new();
        for worker in self.workers {
            outputs.extend(worker.receive()?);
        }
        outputs.sort_by_key(|(at, agent, _)| (*at, *agent));
        Ok(outputs)
    }

    /// Removes the inputs that arrive before a time, and groups them by worker.
    fn inputs_before(&mut self, until: Duration) -> Vec<Vec<PendingInput>> {
        self.inputs
            .sort_by_key(|pending| (pending.at, pending.agent));
        let count = self.inputs.partition_point(|pending| pending.at < until);
        let workers = self.workers.len();
        let mut by_worker: Vec<Vec<PendingInput>> = vec![Vec::new(); workers];
        for pending in self.inputs.drain(..count) {
            by_worker[pending.agent % workers].push(pending);
        }
        by_worker
    }

    /// Forwards the messages of agents to the servers. Messages of agents that a partition cuts off
    /// are lost.
    fn forward_outputs(&mut self, outputs: Outputs) {
        let is_partitioned = self.actual[0].is_partitioned;
        for (at, agent, output) in outputs {
            if is_partitioned && is_in_second_region(&self.size, agent) {
                continue;
            }
            let service = self.size.service_of(agent);
            self.servers[service].handle(at, agent, output, &mut self.inputs);
        }
    }

    /// Ends the watches and sends the pings that are due.
    fn advance_servers(&mut self, now: Duration) {
        for servers in self.servers.iter_mut() {
            servers.discovery.expire(now, &mut self.inputs);
        }
        if now >= self.pinged_at + PING_INTERVAL {
            self.pinged_at = now;
            for servers in self.servers.iter_mut() {
                servers.platform.ping(now, &mut self.inputs);
            }
        }
    }

    /// Applies the events that are due.
    fn apply_events(&mut self, now: Duration) {
        while self.events.last().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, event)) = self.events.pop() {
                self.apply(now, event);
            }
        }
    }

    fn apply(&mut self, now: Duration, event: InstallationEvent) {
        match event {
            InstallationEvent::Reload(agents) => {
                self.send_to_agents(now, &agents, |_| AgentInput::Reload);
            }
            InstallationEvent::Restart(agents) => self.restart(now, &agents),
            InstallationEvent::Down(endpoints, is_down) => {
                for actual in Arc::make_mut(&mut self.actual) {
                    for endpoint in &endpoints {
                        actual.down[*endpoint] = is_down;
                    }
                }
            }
            InstallationEvent::List {
                endpoints,
                state,
                build,
                started,
            } => self.change_entries(now, &endpoints, |entry| {
                entry.state = state.to_owned();
                entry.build = build.unwrap_or(entry.build);
                if started {
                    entry.started_ms = START_MS + (now - START_OFFSET).as_millis() as u64;
                }
            }),
            InstallationEvent::RolloutStatus {
                build,
                stage,
                phase,
                cap,
            } => {
                let status = RolloutStatus::now(build, stage, phase, cap);
                for servers in self.servers.iter_mut() {
                    let platform = &mut servers.platform;
                    platform.set_rollout_status(now, status.clone(), &mut self.inputs);
                }
            }
            InstallationEvent::Partition(is_partitioned) => self.partition(is_partitioned),
        }
    }

    /// Sends each agent an input, which may depend on the agent's service.
    fn send_to_agents(
        &mut self,
        now: Duration,
        agents: &[usize],
        input: impl Fn(usize) -> AgentInput,
    ) {
        for agent in agents.iter().copied() {
            self.inputs.push(PendingInput {
                at: now,
                agent,
                input: input(self.size.service_of(agent)),
            });
        }
    }

    /// Restarts agents with the current endpoint list of their service in the configuration.
    fn restart(&mut self, now: Duration, agents: &[usize]) {
        let services: BTreeSet<usize> = agents.iter().map(|a| self.size.service_of(*a)).collect();
        let known_lists: BTreeMap<usize, Arc<Vec<u8>>> = services
            .into_iter()
            .map(|service| (service, self.servers[service].discovery.known_list()))
            .collect();
        self.send_to_agents(now, agents, |service| AgentInput::Restart {
            known_list: known_lists[&service].clone(),
        });
    }

    /// Changes the entries of endpoints in the discovery of their services.
    fn change_entries(&mut self, now: Duration, endpoints: &[usize], change: impl Fn(&mut Entry)) {
        let mut by_service: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for endpoint in endpoints {
            let service = self.service_of_endpoint(*endpoint);
            by_service.entry(service).or_default().push(*endpoint);
        }
        for (service, endpoints) in by_service {
            let discovery = &mut self.servers[service].discovery;
            let changed = |endpoint: usize| {
                let entry = self.size.entry(endpoint);
                let listed = discovery.registry.get(&entry.id).cloned();
                let mut entry = listed.unwrap_or(entry);
                change(&mut entry);
                entry
            };
            let entries = endpoints.into_iter().map(changed).collect();
            discovery.change(now, entries, &mut self.inputs);
        }
    }

    /// Returns the number of the service that an endpoint belongs to.
    fn service_of_endpoint(&self, endpoint: usize) -> usize {
        let mut services = 0..self.size.services;
        let found = services.find(|s| self.size.service_endpoints(*s).contains(&endpoint));
        found.unwrap_or_default()
    }

    /// Partitions the two regions, or connects them again. Messages in transit to the second region
    /// are lost, and its connections to the servers are closed.
    fn partition(&mut self, is_partitioned: bool) {
        for actual in Arc::make_mut(&mut self.actual) {
            actual.is_partitioned = is_partitioned;
        }
        let cut_off: BTreeSet<usize> = (0..self.size.agents)
            .filter(|agent| is_in_second_region(&self.size, *agent))
            .collect();
        for servers in self.servers.iter_mut() {
            servers.discovery.disconnect(&cut_off);
            servers.platform.disconnect(&cut_off);
        }
        self.inputs
            .retain(|pending| !cut_off.contains(&pending.agent));
    }
}

/// Whether an agent is in the region that a partition cuts off from discovery and platform.
pub(super) fn is_in_second_region(size: &Size, agent: usize) -> bool {
    size.region(size.zone(agent)) == SECOND_REGION
}
