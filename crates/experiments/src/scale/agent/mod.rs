//! A simulated agent, which runs the real agent's balancer, endpoint list, parsers and watch timing
//! in simulated time and without sockets.
//!
//! The simulation makes no routing decisions itself. Random outcomes, such as the processing time
//! at an endpoint, are drawn from a generator that is initialized from the simulation's seed.

mod discovery;
mod events;
mod messages;
mod platform;
mod requests;

pub use messages::{ActualState, AgentInput, AgentOutput};

use super::meter::{Meter, Operation, ProcessorTimer};
use super::size::Size;
use discovery::DiscoveryState;
use events::{EventKind, EventQueue};
use platform::PlatformState;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use requests::Requests;
use std::rc::Rc;
use std::time::Duration;
use tulipwall::Balancer;
use tulipwall_config::ServiceConfig;
use tulipwall_discovery::clock::Clock;

/// Minimum time between two polls of the balancer.
const MIN_POLL_GAP: Duration = Duration::from_millis(1);
/// Spreads the seeds, so that agents with adjacent numbers draw different random sequences (golden
/// ratio, 64 bits).
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Combined with an agent's seed, so that the load and the balancer draw from different sequences.
const LOAD_SEED: u64 = 0xa11c;
/// Added to an agent's seed at each restart, so that every process draws a sequence of its own.
const RESTART_SEED: u64 = 0x51_7c_c1;

/// Counts of an agent in addition to those of its [`Meter`].
#[derive(Clone, Debug, Default)]
pub struct AgentCounts {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Endpoints that the balancer scanned.
    pub endpoints_scanned: u64,
    /// Polls of the balancer.
    pub polls: u64,
    /// Versions of the endpoint list that the agent learnt, in the order in which they came.
    pub versions: Vec<LearntVersion>,
    /// For each completed reload, the time until both discovery and the platform had responded.
    pub reloads: Vec<Duration>,
    /// Entries retained at the end: requests, endpoints, builds and keys in the balancer, and
    /// endpoints in the list.
    pub retained: [usize; 5],
}

/// A version of the endpoint list that an agent learnt.
#[derive(Clone, Copy, Debug)]
pub struct LearntVersion {
    /// Simulated time at which the agent learnt it.
    pub at: Duration,
    /// Version number, as discovery assigns it.
    pub version: u64,
}

/// The progress of the last reload.
#[derive(Default)]
struct Reload {
    started_at: Duration,
    awaits_discovery: bool,
    awaits_platform: bool,
}

/// An agent that runs in simulated time.
pub struct SimulatedAgent {
    /// Number of the agent in the installation, from 0.
    pub number: usize,
    size: Size,
    config: Rc<ServiceConfig>,
    clock: Rc<Clock>,
    balancer: Balancer,
    discovery: DiscoveryState,
    platform: PlatformState,
    requests: Requests,
    rng: Pcg64Mcg,
    events: EventQueue,
    last_call: u64,
    reload: Reload,
    process_seed: u64,
    /// Messages sent that the simulation has not collected yet: the time, the agent's number and
    /// the message.
    pub outputs: Vec<(Duration, usize, AgentOutput)>,
    /// Processor time and traffic of this agent.
    pub meter: Meter,
    /// Counts of requests, polls and list versions.
    pub counts: AgentCounts,
    /// Endpoints that the current balancer had scanned before counting began.
    scanned_before: u64,
}

impl SimulatedAgent {
    /// Starts an agent whose endpoint list is still empty.
    pub fn start(
        number: usize,
        size: Size,
        config: Rc<ServiceConfig>,
        clock: Rc<Clock>,
        seed: u64,
        now: Duration,
    ) -> SimulatedAgent {
        let seed = seed.wrapping_mul(SEED_MULTIPLIER) ^ number as u64;
        let process = Process::start(&config, &size, number, seed, now);
        let mut agent = SimulatedAgent {
            number,
            size,
            config,
            clock,
            balancer: process.balancer,
            discovery: process.discovery,
            platform: PlatformState {
                silence_deadline: now,
            },
            requests: Requests::default(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ LOAD_SEED),
            events: EventQueue::default(),
            last_call: 0,
            reload: Reload {
                started_at: now,
                ..Reload::default()
            },
            process_seed: seed,
            outputs: Vec::new(),
            meter: Meter::default(),
            counts: AgentCounts::default(),
            scanned_before: 0,
        };
        agent.start_discovery(now);
        agent.events.push(now, EventKind::Poll);
        agent.events.push(now, EventKind::PlatformTimeout);
        agent.schedule_arrival(now);
        agent
    }

    /// Advances the simulation to `until`: handles the agent's own events and `inputs` in order of
    /// time. At equal times the input comes first.
    pub fn step(
        &mut self,
        until: Duration,
        actual: &ActualState,
        inputs: Vec<(Duration, AgentInput)>,
    ) {
        let mut inputs = inputs.into_iter().peekable();
        loop {
            let event_at = self.events.next_at().filter(|at| *at < until);
            let input_at = inputs.peek().map(|input| input.0);
            let is_event_next = match (event_at, input_at) {
                (Some(event), Some(input)) => event < input,
                (Some(_), None) => true,
                (None, Some(_)) => false,
                (None, None) => return,
            };
            if is_event_next {
                self.handle_event(actual);
            } else if let Some((at, input)) = inputs.next() {
                self.handle_input(at, input);
            }
        }
    }

    /// Resets all counts, so that counting starts now.
    pub fn count_from(&mut self, now: Duration) {
        self.meter = Meter {
            counted_from: now,
            clock_cost_ns: self.meter.clock_cost_ns,
            ..Meter::default()
        };
        let versions = std::mem::take(&mut self.counts.versions);
        self.counts = AgentCounts {
            versions,
            ..AgentCounts::default()
        };
        self.scanned_before = self.balancer.endpoints_scanned();
    }

    /// Completes the counts at the end of the simulation.
    pub fn finish(&mut self) {
        self.count_scanned();
        let [requests, endpoints, builds, keys] = self.balancer.retained_counts();
        let listed = self.discovery.list.len();
        self.counts.retained = [requests, endpoints, builds, keys, listed];
    }

    /// Adds the endpoints that the current balancer has scanned since counting began.
    fn count_scanned(&mut self) {
        let scanned = self.balancer.endpoints_scanned() - self.scanned_before;
        self.counts.endpoints_scanned += scanned;
    }

    fn handle_event(&mut self, actual: &ActualState) {
        let Some((now, kind)) = self.events.pop() else {
            return;
        };
        match kind {
            EventKind::Arrival => self.on_arrival(now, actual),
            EventKind::AttemptEnd {
                request,
                attempt,
                outcome,
            } => self.on_attempt_end(now, request, attempt, outcome, actual),
            EventKind::Recheck { request } => self.on_recheck(now, request, actual),
            EventKind::Deadline { request } => self.on_deadline(request),
            EventKind::Poll => self.on_poll(now),
            EventKind::StartWatch { number } => self.on_start_watch(now, number),
            EventKind::CallTimeout { call } => self.on_call_timeout(now, call),
            EventKind::PlatformTimeout => self.on_platform_timeout(now),
        }
    }

    fn handle_input(&mut self, now: Duration, input: AgentInput) {
        match input {
            AgentInput::DiscoveryResponse {
                call,
                status,
                bytes,
            } => self.on_discovery_response(now, call, status, &bytes),
            AgentInput::PlatformLine { kind, bytes } => self.on_platform_line(now, kind, &bytes),
            AgentInput::Reload => self.reload(now),
            AgentInput::Restart { known_list } => self.restart(now, &known_list),
        }
    }

    /// Polls the balancer, starts the watch and sends the vote that it asks for, and schedules the
    /// next poll.
    fn on_poll(&mut self, now: Duration) {
        let timer = ProcessorTimer::start();
        let result = self.balancer.poll(now);
        self.meter
            .record_processor_time(now, Operation::Poll, timer);
        self.counts.polls += 1;
        self.discovery.is_watch_requested |= result.open_watch;
        if let Some(vote) = result.vote {
            self.send_vote(now, &vote);
        }
        self.start_requested_watch(now);
        let next = result.next_poll.max(now + MIN_POLL_GAP);
        self.events.push(next, EventKind::Poll);
    }

    /// Handles SIGHUP: starts new watches of discovery and the platform.
    fn reload(&mut self, now: Duration) {
        self.reload = Reload {
            started_at: now,
            awaits_discovery: true,
            awaits_platform: true,
        };
        self.restart_watch_after_reload(now);
        self.open_platform_watch(now);
    }

    /// Records the duration of the reload once both discovery and the platform have responded.
    fn count_reload(&mut self, now: Duration) {
        if !self.reload.awaits_discovery && !self.reload.awaits_platform {
            self.counts.reloads.push(now - self.reload.started_at);
        }
    }

    /// Replaces the agent's process by a new one: open requests are lost, and the endpoint list
    /// starts out as the one in the configuration.
    pub fn restart(&mut self, now: Duration, known_list: &[u8]) {
        self.close_watch(now);
        self.process_seed = self.process_seed.wrapping_add(RESTART_SEED);
        self.count_scanned();
        self.scanned_before = 0;
        let seed = self.process_seed;
        let process = Process::start(&self.config, &self.size, self.number, seed, now);
        self.balancer = process.balancer;
        let watch_starts = self.discovery.watch_starts;
        self.discovery = process.discovery;
        // The count continues, because the queue may still hold starts that the earlier process
        // scheduled; they must not be taken for those of the new one.
        self.discovery.watch_starts = watch_starts;
        self.requests.open.clear();
        self.reload.awaits_discovery = false;
        self.reload.awaits_platform = false;
        self.start_discovery(now);
        self.apply_known_list(now, known_list);
        self.open_platform_watch(now);
    }
}

/// The state that an agent's process creates when it starts.
struct Process {
    balancer: Balancer,
    discovery: DiscoveryState,
}

impl Process {
    fn start(
        config: &ServiceConfig,
        size: &Size,
        number: usize,
        seed: u64,
        now: Duration,
    ) -> Process {
        let mut settings = config.settings.clone();
        settings.seed = seed;
        settings.zone = size.zone(number);
        let discovery = DiscoveryState::new(&settings, now);
        Process {
            balancer: Balancer::new(now, settings),
            discovery,
        }
    }
}
