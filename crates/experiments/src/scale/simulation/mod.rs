//! Simulates an installation of agents and servers.
//!
//! Each worker thread simulates a subset of the agents. All threads advance in steps no longer than
//! the network delay to an agent, so that the outcome is the same on any number of threads.

mod coordinator;
mod event;
mod outcome;
mod workers;

pub use event::InstallationEvent;
pub use outcome::Outcome;

use super::error::ScaleError;
use super::servers::Servers;
use super::size::{Size, FIRST_BUILD};
use crate::procfs::resident_memory;
use coordinator::Coordinator;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipwall_testkit::RolloutStatus;
use workers::{Worker, WorkerLink};

/// Unix time, in milliseconds, at which simulated time begins.
const START_MS: u64 = 1_790_000_000_000;

/// The parameters of one simulation.
#[derive(Clone, Debug)]
pub struct Simulation {
    /// Size of the installation.
    pub size: Size,
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of worker threads that simulate agents.
    pub cores: usize,
    /// Simulated time before counting begins.
    pub warm_up: Duration,
    /// Simulated time after the warm-up, in which everything is counted.
    pub duration: Duration,
    /// Events with their times, counted from the end of the warm-up.
    pub events: Vec<(Duration, InstallationEvent)>,
    /// Whether each agent holds its own copy of the settings, as separate processes do. Otherwise
    /// the agents of a thread share one copy.
    pub own_settings: bool,
}

impl Simulation {
    /// Runs the simulation and returns what it measured.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid, or if a thread panics or ends early.
    pub fn run(&self) -> Result<Outcome, ScaleError> {
        let mut servers = self.servers();
        let known_lists: Vec<Arc<Vec<u8>>> = servers
            .iter()
            .map(|service| service.discovery.known_list())
            .collect();
        let memory_before = resident_memory();
        let threads = self.cores.clamp(1, self.size.agents.max(1));
        std::thread::scope(|scope| {
            let mut links = Vec::new();
            let mut handles = Vec::new();
            for thread in 0..threads {
                let agents = (0..self.size.agents).filter(|a| a % threads == thread);
                let (link, channels) = WorkerLink::channel();
                let worker = Worker::new(self, agents.collect(), &known_lists, channels);
                handles.push(scope.spawn(move || worker.run()));
                links.push(link);
            }
            let coordinated = Coordinator::new(self, &mut servers, &links).run();
            let memory = resident_memory() - memory_before;
            drop(links);
            let mut reports = Vec::new();
            for handle in handles {
                reports.extend(handle.join().map_err(|_| ScaleError::ThreadFailed)??);
            }
            coordinated?;
            Ok(Outcome::of(self, &reports, &servers, memory))
        })
    }

    /// Creates the servers of all services, with all endpoints in their lists.
    fn servers(&self) -> Vec<Servers> {
        let size = self.size;
        let time_zero = Instant::now();
        let status = RolloutStatus::now(FIRST_BUILD, 0, "released", 1.0);
        let service_servers = |service| {
            let budget = size.call_budget();
            let mut servers = Servers::new(budget, size.every_call, time_zero, status.clone());
            let entries = size.service_endpoints(service).map(|e| size.entry(e));
            servers.discovery.registry.update(entries);
            servers
        };
        (0..size.services).map(service_servers).collect()
    }
}
