//! The state that the tasks of one agent share, with a separate struct for each part.

mod config_state;
mod control_state;
mod endpoint_directory;
mod executors;
mod limits;
mod memory_gate;
mod open_requests;
mod published_lease;
mod reload;

pub use config_state::ConfigState;
pub use control_state::{CastVote, ControlState, PeerAddress, PendingVote, WatchRequest};
pub use endpoint_directory::{EndpointDirectory, ListUpdate};
pub use executors::Executors;
pub use limits::{has_room_for_huge_pages, MemoryLimitTooLow, ResourceLimits, MIN_BUFFERED_BYTES};
pub use memory_gate::MemoryGate;
pub use open_requests::{ClientGuard, OpenError, OpenRequest, OpenRequests};
pub use published_lease::PublishedLease;

use crate::balancer_handle::BalancerHandle;
use crate::lifecycle::phase::Lifecycle;
use crate::lifecycle::start::StartupConfig;
use crate::observability::counters::Counters;
use crate::observability::logging::EVIDENCE;
use crate::protocol::platform::RolloutReport;
use crate::runtime::reactor::Timer;
use crate::upstream::pool::{ConnectionPool, PooledConnection};
use crate::upstream::zone_traffic::ZoneTraffic;
use futures_lite::FutureExt;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tulipwall::RolloutStatus;
use tulipwall_config::{AdminAddress, ServiceConfig};
use tulipwall_discovery::clock::Clock;
use tulipwall_discovery::endpoint_table::AttemptTarget;
use tulipwall_discovery::list_lease::LeaseEnd;
use tulipwall_discovery::list_response::ListResponse;
use tulipwall_zones::DisplayNames;

/// The shared state of one agent. Each field owns its state and documents, here or on its type,
/// which tasks write and read it. The methods of this struct are the operations that involve
/// several fields.
pub struct Agent {
    /// The clock to which all times of the agent refer. Every task reads it.
    pub clock: Rc<Clock>,
    /// The event counters. Every task writes them; they are printed on request and at exit.
    pub counters: Rc<Counters>,
    /// The phase of the program. Signals, the listener and the control tasks write it; client
    /// connections read it.
    pub lifecycle: Lifecycle,
    /// The addresses at which the agent itself listens.
    pub start_addresses: StartAddresses,
    /// The configuration in force.
    pub config: ConfigState,
    /// The addresses and pending requests of the control tasks.
    pub control: ControlState,
    /// The balancer, which makes the routing decisions.
    pub balancer: BalancerHandle,
    /// The accounting of cross-zone traffic. Attempts write it; the admin endpoint reads it.
    pub zone_traffic: ZoneTraffic,
    /// The known endpoints.
    pub endpoints: EndpointDirectory,
    /// Until when requests may be sent by the known endpoints.
    pub list_lease: PublishedLease,
    /// The idle connections to endpoints. Attempts write and read it.
    pub pool: ConnectionPool,
    /// The limits on sockets and memory.
    pub limits: ResourceLimits,
    /// The ids of open requests, and of those that must not run again. Client connections write
    /// and read it.
    pub open_requests: OpenRequests,
    /// The executors on which tasks are spawned.
    pub executors: Executors,
}

/// The addresses that only a restart can change. They are written at startup only; the listener and
/// a reload read them.
pub struct StartAddresses {
    /// The address on which the agent accepts clients.
    pub listen: SocketAddr,
    /// The address of the admin endpoint; `None` if there is none.
    pub admin: Option<AdminAddress>,
}

impl Agent {
    /// Creates an agent from its configuration, with the endpoint list and the rollout status that
    /// the configuration file holds, if any.
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
            list_lease: PublishedLease::new(clock.now()),
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
            open_requests: OpenRequests::default(),
            executors: Executors::default(),
        });
        agent.balancer.evaluate_alternative(
            &agent.service_config().settings,
            start.alternative_settings.as_ref(),
        );
        agent.publish_list_lease(agent.list_lease.end());
        agent.log_start();
        if let Some(status) = start.rollout_status {
            agent.update_rollout(status);
        }
        if let Some(known) = start.known_list {
            if let Some(entry_error) = &known.first_error {
                log::warn!("field known: {entry_error}; nothing goes there");
            }
            agent.update_endpoints(known);
        }
        agent
    }

    /// Logs the settings on which all later lines of the evidence log depend.
    fn log_start(&self) {
        let unix_time_ms = self.clock.to_unix_ms(self.clock.now());
        let config = self.service_config();
        let agents = config.settings.agents;
        let rollout = &config.settings.rollout;
        log::debug!(target: EVIDENCE, "{unix_time_ms} start agents {agents} votes_to_roll_back {} votes_to_hold {}",
            rollout.votes_to_roll_back, rollout.votes_to_hold);
        let objectives: Vec<_> = config
            .settings
            .classes
            .iter()
            .map(|c| (c.latency_objective.as_millis(), c.priority_weight))
            .collect();
        log::debug!(target: EVIDENCE, "{unix_time_ms} classes {objectives:?}");
    }

    /// Returns the service configuration in force. The indices of active requests stay valid in
    /// every later configuration.
    pub fn service_config(&self) -> Rc<ServiceConfig> {
        self.config.service()
    }

    /// Applies a rollout status that the platform reported, and writes it to the evidence log.
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

    /// Returns the builds of all known endpoints and the newest build that the platform reported.
    fn known_builds(&self) -> BTreeSet<u32> {
        let mut builds = self.endpoints.builds();
        builds.extend(self.balancer.newest_rollout_build());
        builds
    }

    /// Applies a response of discovery: closes connections that can no longer be used, and updates
    /// the balancer and the cross-zone accounting.
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

    /// Sets when the lease of the endpoint list ends; `None` if it has no end. Nothing is sent to
    /// endpoints after that.
    pub fn publish_list_lease(&self, end: Option<LeaseEnd>) {
        self.balancer.set_list_valid_until(end.map(|end| end.at));
        self.list_lease.set(end);
    }

    /// Waits until the endpoint list is valid.
    pub async fn list_is_valid(&self) {
        while self.list_lease.expired(self.clock.now()).is_some() {
            self.list_lease.changed().await;
        }
    }

    /// Waits until the lease of the endpoint list has ended, and returns its end.
    pub async fn list_has_expired(&self) -> LeaseEnd {
        loop {
            if let Some(end) = self.list_lease.expired(self.clock.now()) {
                return end;
            }
            let changed = self.list_lease.changed();
            match self.list_lease.end() {
                Some(end) => changed.or(self.sleep_until(end.at)).await,
                None => changed.await,
            }
        }
    }

    /// Recomputes the cross-zone policy. Called about every 100 ms.
    pub fn update_zone_traffic(&self) {
        if self.zone_traffic.is_enabled() {
            self.zone_traffic.update(self.clock.now(), |zones| {
                self.balancer.zone_capacities(zones)
            });
            self.apply_cross_zone_policy();
        }
    }

    /// Passes the cross-zone policy to the balancer if it has changed.
    pub fn apply_cross_zone_policy(&self) {
        if let Some(policy) = self.zone_traffic.changed_policy() {
            self.balancer.set_cross_zone_policy(policy);
        }
    }

    /// Returns a connection to the pool for the next request if its endpoint still runs the same
    /// build at the same address, and closes it otherwise.
    pub fn return_connection(&self, target: AttemptTarget, connection: PooledConnection) {
        if self.endpoints.is_current(target) {
            self.pool.put(target.endpoint, connection);
        }
    }

    /// Lets connections to an endpoint rest for longer after a response, as it has broken the
    /// protocol. Ignored if the endpoint has changed meanwhile.
    pub fn suspect_endpoint(&self, target: AttemptTarget) {
        if self.endpoints.is_current(target) {
            self.pool.suspect(target.endpoint);
        }
    }

    /// Returns the sizes of the retained state, for the lines of counters. They should follow the
    /// numbers of active clients, requests and endpoints; growth beyond these indicates a leak.
    pub fn retained_summary(&self) -> String {
        let [requests, endpoints, builds, keys] = self.balancer.retained_counts();
        let listed = self.endpoints.len();
        let [open, remembered] = self.open_requests.counts();
        let clients = self.limits.connections.client_count();
        let divergences = match self.balancer.divergences() {
            Some(divergences) => format!("; watched: {divergences}"),
            None => String::new(),
        };
        let memory = self.limits.memory_summary();
        let list = self.list_lease.summary(self.clock.now());
        format!("{list}; kept: clients {clients} listed {listed} requests {requests} endpoints {endpoints} builds {builds} keys {keys} open_ids {open} remembered_ids {remembered}; {memory}{divergences}")
    }

    /// Logs a warning if the memory limit is too low for the process.
    pub fn report_memory_limit(&self) {
        if let Err(error) = self.limits.check_memory() {
            log::warn!("{error}");
        }
    }

    /// Sleeps until the time `at` on the agent's clock.
    pub async fn sleep_until(&self, at: Duration) {
        Timer::at(self.clock.to_instant(at)).await;
    }
}

/// Returns the names of the agent, the zones and the classes that reports display.
fn report_names(agent: &str, config: &ServiceConfig) -> DisplayNames {
    DisplayNames {
        agent: agent.to_owned(),
        zones: config.zones.clone(),
        classes: config.classes.clone(),
    }
}
