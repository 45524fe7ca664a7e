//! The state that the tasks of one agent share, each part in a struct of its own.

mod config_state;
mod control_state;
mod endpoint_directory;
mod executors;
mod limits;
mod reload;

pub use config_state::ConfigState;
pub use control_state::{CastVote, ControlState, PeerAddress, PendingVote, WatchRequest};
pub use endpoint_directory::{EndpointDirectory, ListUpdate};
pub use executors::Executors;
pub use limits::{has_room_for_huge_pages, MemoryLimitTooLow, ResourceLimits, MIN_BUFFERED_BYTES};

use crate::balancer_handle::BalancerHandle;
use crate::lifecycle::phase::Lifecycle;
use crate::lifecycle::start::StartupConfig;
use crate::observability::counters::Counters;
use crate::observability::logging::EVIDENCE;
use crate::protocol::platform::RolloutReport;
use crate::runtime::reactor::Timer;
use crate::upstream::pool::{ConnectionPool, PooledConnection};
use crate::upstream::zone_traffic::ZoneTraffic;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tulipwall::RolloutStatus;
use tulipwall_config::{AdminAddress, ServiceConfig};
use tulipwall_discovery::clock::Clock;
use tulipwall_discovery::endpoint_table::AttemptTarget;
use tulipwall_discovery::list_response::ListResponse;
use tulipwall_zones::DisplayNames;

/// One agent. Each field owns its state, and its comment names who writes and who reads it; this struct
/// carries what involves several of them.
pub struct Agent {
    /// Read by every task.
    pub clock: Rc<Clock>,
    /// Written by every task, printed on request and at the exit.
    pub counters: Rc<Counters>,
    /// The phase of the program: written by signals, the listener and the control tasks, read by
    /// client connections.
    pub lifecycle: Lifecycle,
    /// Where the agent itself is reached.
    pub start_addresses: StartAddresses,
    /// The configuration in force.
    pub config: ConfigState,
    /// What the control tasks are asked for.
    pub control: ControlState,
    /// The decisions.
    pub balancer: BalancerHandle,
    /// The accounting of cross-zone traffic: written by attempts, read by the admin endpoint.
    pub zone_traffic: ZoneTraffic,
    /// The endpoints that are known.
    pub endpoints: EndpointDirectory,
    /// Idle connections to endpoints: written and read by attempts.
    pub pool: ConnectionPool,
    /// Bounds on sockets and memory.
    pub limits: ResourceLimits,
    /// Where tasks are spawned.
    pub executors: Executors,
}

/// The addresses that only a restart can change. Written at the start alone, read by the listener
/// and by a reload.
pub struct StartAddresses {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators ask, if anywhere.
    pub admin: Option<AdminAddress>,
}

impl Agent {
    /// An agent with the configuration that was read, and the list and rollout status that came
    /// with it.
    pub fn start(start: StartupConfig) -> Rc<Agent> {
        let clock = Rc::new(Clock::start());
        let counters = Rc::new(Counters::default());
        let names = report_names(&start.name, &start.service);
        let zoning = start.zone_config();
        let settings = start.service.settings.clone();
        let endpoint_idle_timeout = start.service.endpoint_idle_timeout;
        let agent = Rc::new(Agent {
            balancer: BalancerHandle::new(settings, clock.clone(), counters.clone()),
            zone_traffic: ZoneTraffic::new(clock.now(), zoning, names),
            pool: ConnectionPool::new(endpoint_idle_timeout, clock.clone(), counters.clone()),
            clock,
            counters,
            lifecycle: Lifecycle::new(),
            start_addresses: StartAddresses {
                listen: start.listen,
                admin: start.admin_address,
            },
            config: ConfigState::new(
                start.service,
                start.installation,
                start.alternative_settings.clone(),
            ),
            control: ControlState::new(start.discovery, start.platform),
            endpoints: EndpointDirectory::default(),
            limits: ResourceLimits::new(start.max_sockets, start.memory_limit),
            executors: Executors::default(),
        });
        agent.balancer.evaluate_alternative(
            &agent.service_config().settings,
            start.alternative_settings.as_ref(),
        );
        agent.log_start();
        if let Some(status) = start.rollout_status {
            agent.update_rollout(status);
        }
        if let Some(known) = start.known_list {
            if let Some(what) = &known.first_error {
                log::warn!("field known: {what}; nothing goes there");
            }
            agent.update_endpoints(known);
        }
        agent
    }

    /// The settings that the evidence lines behind rest on.
    fn log_start(&self) {
        let wall = self.clock.to_unix_ms(self.clock.now());
        let config = self.service_config();
        let agents = config.settings.agents;
        let rollout = &config.settings.rollout;
        log::debug!(target: EVIDENCE, "{wall} start agents {agents} votes_to_roll_back {} votes_to_hold {}",
            rollout.votes_to_roll_back, rollout.votes_to_hold);
        let objectives: Vec<_> = config
            .settings
            .classes
            .iter()
            .map(|c| (c.latency_objective.as_millis(), c.priority_weight))
            .collect();
        log::debug!(target: EVIDENCE, "{wall} classes {objectives:?}");
    }

    /// The settings in force. The indices of active requests stay valid in each later one as well.
    pub fn service_config(&self) -> Rc<ServiceConfig> {
        self.config.service()
    }

    /// The platform reported the status of a rollout.
    pub fn update_rollout(&self, report: RolloutReport) {
        let now = self.clock.now();
        let began = now.saturating_sub(report.age);
        log::debug!(target: EVIDENCE, "{} rollout build {} stage {} {:?} since {}", self.clock.to_unix_ms(now), report.build,
            report.stage, report.phase, self.clock.to_unix_ms(began));
        self.balancer.update_rollout(RolloutStatus {
            build: report.build,
            stage: report.stage,
            phase: report.phase,
            cap: report.cap,
            since: began,
        });
        self.zone_traffic.retain_builds(|| self.known_builds());
    }

    /// The builds that are listed, and the newest that the platform reported.
    fn known_builds(&self) -> BTreeSet<u32> {
        let mut builds = self.endpoints.builds();
        builds.extend(self.balancer.newest_rollout_build());
        builds
    }

    /// Discovery reported endpoints.
    pub fn update_endpoints(&self, response: ListResponse) {
        let update = self
            .endpoints
            .update(response, &self.service_config(), &self.clock);
        for endpoint in update.stale_endpoints {
            self.pool.close_all_to(endpoint);
        }
        self.balancer.update_endpoints(&update.changes);
        self.zone_traffic.retain_builds(|| self.known_builds());
        if update.became_unusable {
            let known = self.endpoints.len();
            log::warn!(known; "discovery: no endpoint runs, of {known}; requests are rejected");
        }
        self.endpoints.announce_usable();
    }

    /// Recomputes the cross-zone policy, about every 100 ms.
    pub fn update_zone_traffic(&self) {
        if self.zone_traffic.is_enabled() {
            self.zone_traffic.update(self.clock.now(), |zones| {
                self.balancer.zone_capacities(zones)
            });
            self.apply_cross_zone_policy();
        }
    }

    /// Tells the balancer the cross-zone policy, where that has changed.
    pub fn apply_cross_zone_policy(&self) {
        if let Some(policy) = self.zone_traffic.changed_policy() {
            self.balancer.set_cross_zone_policy(policy);
        }
    }

    /// Keeps a connection for the next request, while its endpoint still runs the same build there.
    pub fn return_connection(&self, target: AttemptTarget, connection: PooledConnection) {
        if self.endpoints.is_current(target) {
            self.pool.put(target.endpoint, connection);
        }
    }

    /// What is kept, for the counters: it should follow what is alive.
    pub fn retained_summary(&self) -> String {
        let [requests, endpoints, builds, keys] = self.balancer.retained_counts();
        let listed = self.endpoints.len();
        let clients = self.limits.connections.client_count();
        let divergences = match self.balancer.divergences() {
            Some(divergences) => format!("; watched: {divergences}"),
            None => String::new(),
        };
        format!("kept: clients {clients} listed {listed} requests {requests} endpoints {endpoints} builds {builds} keys {keys}{divergences}")
    }

    /// Logs a limit on memory that does not bear the process.
    pub fn report_memory_limit(&self) {
        if let Err(error) = self.limits.check_memory() {
            log::warn!("{error}");
        }
    }

    /// Sleeps until a time on the agent's clock.
    pub async fn sleep_until(&self, at: Duration) {
        Timer::at(self.clock.to_instant(at)).await;
    }
}

/// The names that reports give to zones and classes.
fn report_names(agent: &str, config: &ServiceConfig) -> DisplayNames {
    DisplayNames {
        agent: agent.to_owned(),
        zones: config.zones.clone(),
        classes: config.classes.clone(),
    }
}
