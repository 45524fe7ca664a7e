//! Discovery and the platform of one service in simulated time, by the logic of the test kit's
//! fakes, and what they are asked.

mod discovery;
mod platform;

pub use discovery::SimulatedDiscovery;
pub use platform::SimulatedPlatform;

use super::agent::{AgentInput, AgentOutput};
use std::time::{Duration, Instant};
use tulipwall_testkit::RolloutStatus;

/// Network delay of everything that comes to an agent. It is as long as a step of the simulation,
/// so that agents are simulated independently of each other within a step.
pub const DELAY: Duration = Duration::from_millis(25);

/// An input on its way to an agent.
#[derive(Clone, Debug)]
pub struct PendingInput {
    /// When it arrives.
    pub at: Duration,
    /// Number of the agent.
    pub agent: usize,
    /// What it is.
    pub input: AgentInput,
}

/// What a server has answered, by second.
#[derive(Clone, Debug, Default)]
pub struct ServerCounts {
    /// Calls answered.
    pub calls: Vec<u64>,
    /// Calls refused.
    pub refused: u64,
    /// Bytes sent.
    pub bytes: Vec<u64>,
    /// Processor time of the fake, in nanoseconds.
    pub ns: u64,
    /// Nothing counts before.
    counted_from: Duration,
}

impl ServerCounts {
    /// Counts that begin now.
    pub fn starting_at(counted_from: Duration) -> ServerCounts {
        ServerCounts {
            counted_from,
            ..ServerCounts::default()
        }
    }

    fn count_call(&mut self, now: Duration) {
        add_at(&mut self.calls, now.checked_sub(self.counted_from), 1);
    }

    fn count_bytes(&mut self, now: Duration, bytes: usize) {
        add_at(
            &mut self.bytes,
            now.checked_sub(self.counted_from),
            bytes as u64,
        );
    }

    fn count_refusal(&mut self, now: Duration) {
        if now >= self.counted_from {
            self.refused += 1;
        }
    }
}

/// Adds to the count of a second; `since` is the time since counting began.
fn add_at(series: &mut Vec<u64>, since: Option<Duration>, amount: u64) {
    let Some(since) = since else {
        return;
    };
    let second = since.as_secs() as usize;
    if series.len() <= second {
        series.resize(second + 1, 0);
    }
    series[second] += amount;
}

/// The servers of one service.
pub struct Servers {
    /// Its discovery.
    pub discovery: SimulatedDiscovery,
    /// Its platform.
    pub platform: SimulatedPlatform,
}

impl Servers {
    /// Servers of a service whose discovery answers `call_budget` calls a second.
    pub fn new(
        call_budget: f64,
        every_call: bool,
        time_zero: Instant,
        rollout_status: RolloutStatus,
    ) -> Servers {
        Servers {
            discovery: SimulatedDiscovery::new(call_budget, every_call),
            platform: SimulatedPlatform::new(time_zero, rollout_status),
        }
    }

    /// Discards what was counted before now.
    pub fn count_from(&mut self, now: Duration) {
        self.discovery.counts = ServerCounts::starting_at(now);
        self.platform.counts = ServerCounts::starting_at(now);
    }

    /// Handles what an agent sent.
    pub fn handle(
        &mut self,
        now: Duration,
        agent: usize,
        output: AgentOutput,
        inputs: &mut Vec<PendingInput>,
    ) {
        match output {
            AgentOutput::DiscoveryCall {
                call,
                path,
                starts_watch,
            } => {
                let caller = discovery::Caller { agent, call };
                self.discovery
                    .on_call(now, caller, &path, starts_watch, inputs);
            }
            AgentOutput::CloseDiscoveryCall { call } => {
                self.discovery.on_close(discovery::Caller { agent, call });
            }
            AgentOutput::PlatformWatch { line } | AgentOutput::Vote { line } => {
                self.platform.on_call(now, agent, &line, inputs);
            }
        }
    }
}
