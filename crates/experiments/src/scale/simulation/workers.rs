//! The worker threads, which simulate the agents.

use super::{Simulation, START_MS};
use crate::scale::agent::{ActualState, AgentCounts, AgentInput, AgentOutput, SimulatedAgent};
use crate::scale::error::ScaleError;
use crate::scale::meter::{clock_cost_ns, Meter};
use crate::scale::servers::PendingInput;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;
use tulipwall_discovery::clock::{Clock, START_OFFSET};

/// Messages that agents sent in a step: the time, the agent's number and the message.
pub(super) type Outputs = Vec<(Duration, usize, AgentOutput)>;

/// A command of the coordinator to a worker.
pub(super) enum Command {
    /// Advance all agents to a time, and reply with the messages that they sent.
    Step {
        until: Duration,
        /// The actual state of machines and network, by service.
        actual: Arc<Vec<ActualState>>,
        inputs: Vec<PendingInput>,
    },
    /// Reset all counts, so that counting starts at this time.
    CountFrom(Duration),
}

/// The coordinator's ends of the channels to and from a worker.
pub(super) struct WorkerLink {
    commands: Sender<Command>,
    outputs: Receiver<Outputs>,
}

/// A worker's ends of the channels to and from the coordinator.
pub(super) struct WorkerChannels {
    commands: Receiver<Command>,
    outputs: Sender<Outputs>,
}

impl WorkerLink {
    /// Creates the channels and returns the coordinator's and the worker's ends.
    pub(super) fn channel() -> (WorkerLink, WorkerChannels) {
        let (command_sender, command_receiver) = channel();
        let (output_sender, output_receiver) = channel();
        let link = WorkerLink {
            commands: command_sender,
            outputs: output_receiver,
        };
        let channels = WorkerChannels {
            commands: command_receiver,
            outputs: output_sender,
        };
        (link, channels)
    }

    /// Sends a command; fails if the worker has ended.
    pub(super) fn send(&self, command: Command) -> Result<(), ScaleError> {
        let sent = self.commands.send(command);
        sent.map_err(|_| ScaleError::ThreadEnded)
    }

    /// Waits for the reply to a step; fails if the worker has ended.
    pub(super) fn receive(&self) -> Result<Outputs, ScaleError> {
        self.outputs.recv().map_err(|_| ScaleError::ThreadEnded)
    }
}

/// The measurements of one agent.
pub(super) struct AgentReport {
    pub(super) number: usize,
    pub(super) meter: Meter,
    pub(super) counts: AgentCounts,
}

/// Simulates the agents of one thread.
pub(super) struct Worker<'a> {
    simulation: &'a Simulation,
    /// Numbers of the agents.
    agents: Vec<usize>,
    /// Endpoint lists for the agents' configurations, by service.
    known_lists: &'a [Arc<Vec<u8>>],
    channels: WorkerChannels,
}

impl<'a> Worker<'a> {
    pub(super) fn new(
        simulation: &'a Simulation,
        agents: Vec<usize>,
        known_lists: &'a [Arc<Vec<u8>>],
        channels: WorkerChannels,
    ) -> Worker<'a> {
        Worker {
            simulation,
            agents,
            known_lists,
            channels,
        }
    }

    /// Executes commands until the coordinator closes the channel, then returns the agents'
    /// reports.
    pub(super) fn run(self) -> Result<Vec<AgentReport>, ScaleError> {
        let mut agents = self.start_agents()?;
        let mut first_outputs: Outputs = agents
            .values_mut()
            .flat_map(|agent| std::mem::take(&mut agent.outputs))
            .collect();
        while let Ok(command) = self.channels.commands.recv() {
            match command {
                Command::CountFrom(now) => {
                    for agent in agents.values_mut() {
                        agent.count_from(now);
                    }
                }
                Command::Step {
                    until,
                    actual,
                    inputs,
                } => {
                    let mut outputs = std::mem::take(&mut first_outputs);
                    self.step(&mut agents, until, &actual, inputs, &mut outputs);
                    if self.channels.outputs.send(outputs).is_err() {
                        break;
                    }
                }
            }
        }
        Ok(agents.into_values().map(report).collect())
    }

    /// Starts the agents, each with its service's endpoint list in the configuration.
    fn start_agents(&self) -> Result<BTreeMap<usize, SimulatedAgent>, ScaleError> {
        let size = self.simulation.size;
        let clock = Rc::new(Clock::starting_at_unix_ms(START_MS));
        let clock_cost = clock_cost_ns();
        let shared_config = Rc::new(size.service_config()?);
        let mut agents = BTreeMap::new();
        for number in self.agents.iter().copied() {
            let config = if self.simulation.own_settings {
                Rc::new(size.service_config()?)
            } else {
                shared_config.clone()
            };
            let seed = self.simulation.seed;
            let mut agent =
                SimulatedAgent::start(number, size, config, clock.clone(), seed, START_OFFSET);
            agent.meter.clock_cost_ns = clock_cost;
            agent.restart(START_OFFSET, &self.known_lists[size.service_of(number)]);
            agents.insert(number, agent);
        }
        Ok(agents)
    }

    /// Advances all agents to a time and appends the messages that they sent to `outputs`.
    fn step(
        &self,
        agents: &mut BTreeMap<usize, SimulatedAgent>,
        until: Duration,
        actual: &[ActualState],
        inputs: Vec<PendingInput>,
        outputs: &mut Outputs,
    ) {
        let mut inputs_by_agent: BTreeMap<usize, Vec<(Duration, AgentInput)>> = BTreeMap::new();
        for pending in inputs {
            let agent_inputs = inputs_by_agent.entry(pending.agent).or_default();
            agent_inputs.push((pending.at, pending.input));
        }
        for (number, agent) in agents {
            let inputs = inputs_by_agent.remove(number).unwrap_or_default();
            let service = self.simulation.size.service_of(*number);
            agent.step(until, &actual[service], inputs);
            outputs.append(&mut agent.outputs);
        }
    }
}

/// Returns the measurements of an agent at the end of the simulation.
fn report(mut agent: SimulatedAgent) -> AgentReport {
    agent.finish();
    AgentReport {
        number: agent.number,
        meter: agent.meter,
        counts: agent.counts,
    }
}
