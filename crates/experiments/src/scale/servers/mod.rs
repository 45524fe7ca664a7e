//! Discovery and the platform of one service in simulated time, with the logic of the test kit's
//! fakes, and counts of the calls that they answer.

mod discovery;
mod platform;

pub use discovery::SimulatedDiscovery;
pub use platform::SimulatedPlatform;

use super::agent::{AgentInput, AgentOutput};
use std::time::{Duration, Instant};
use tulipwall_testkit::RolloutStatus;

/// Network delay of all messages to an agent. It equals the step of the simulation, so that no
/// message sent within a step arrives in it and agents can be simulated independently of each
/// other.
pub const DELAY: Duration = Duration::from_millis(25);

/// An input in transit to an agent.
#[derive(Clone, Debug)]
pub struct PendingInput {
    /// Simulated time at which it arrives.
    pub at: Duration,
    /// Number of the receiving agent.
    pub agent: usize,
    /// The input itself.
    pub input: AgentInput,
}

/// Counts of the calls that a server answered and the bytes that it sent.
#[derive(Clone, Debug, Default)]
pub struct ServerCounts {
    /// Calls answered, by second since counting began.
    pub calls: Vec<u64>,
    /// Calls refused since counting began.
    pub refused: u64,
    /// Bytes sent, by second since counting began.
    pub bytes: Vec<u64>,
    /// Processor time that the simulated server itself used, in nanoseconds.
    pub ns: u64,
    /// Simulated time at which counting begins.
    counted_from: Duration,
}

impl ServerCounts {
    /// Creates empty counts that ignore everything before `counted_from`.
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

/// Adds to the count of a second. `since` is the time since counting began, or `None` before that.
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

/// Discovery and the platform of one service.
pub struct Servers {
    /// Discovery of the service.
    pub discovery: SimulatedDiscovery,
    /// Rollout platform of the service.
    pub platform: SimulatedPlatform,
}

impl Servers {
    /// Creates the servers of a service. Its discovery answers `call_budget` calls a second; with
    /// `every_call` that includes the calls that continue a watch.
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

    /// Resets all counts, so that counting starts now.
    pub fn count_from(&mut self, now: Duration) {
        self.discovery.counts = ServerCounts::starting_at(now);
        self.platform.counts = ServerCounts::starting_at(now);
    }

    /// Handles a message of an agent and adds the responses to `inputs`.
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
