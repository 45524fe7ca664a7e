//! What the tasks of one agent share, each part with its owner.

use crate::balancer_handle::Hand;
use crate::lifecycle::phase::{Life, Party};
use crate::lifecycle::start::Start;
use crate::observability::counters::Counters;
use crate::observability::logging::EVIDENCE;
use crate::protocol::platform::Told;
use crate::runtime::reactor::Timer;
use crate::upstream::pool::{Held, Pools, Sockets};
use crate::upstream::zone_traffic::Border;
use async_executor::LocalExecutor;
use event_listener::Event;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tulipwall::{AlternativeSettings, CrossZonePolicy, RolloutStatus, Vote};
use tulipwall_config::{AdminAddress, ConfigDiagnostic, Installation, NameCounts, ServiceConfig};
use tulipwall_discovery::clock::Clock;
use tulipwall_discovery::endpoint_table::{AppliedList, AttemptTarget, EndpointTable, IndexGuard};
use tulipwall_discovery::list_response::ListResponse;
use tulipwall_zones::DisplayNames;

pub struct Agent {
    site: RefCell<Rc<ServiceConfig>>,
    installation: RefCell<Installation>,
    pub owed_until: Cell<Duration>, // requests taken under longer expiries end by then
    pub listen: SocketAddr,
    pub door: Option<AdminAddress>,
    pub discovery: Cell<SocketAddr>,
    pub platform: Cell<Option<SocketAddr>>,
    pub clock: Rc<Clock>,
    pub counters: Rc<Counters>,
    pub life: Life,
    pub hand: Hand,
    pub border: Border,
    pub sockets: Sockets,
    pub buffers_most: Cell<usize>,
    pub tasks: LocalExecutor<'static>,
    pub first: LocalExecutor<'static>, // tasks that are run before any others
    pub watch_due: Cell<bool>,
    pub watch: Event,
    pub vote: RefCell<Option<(Vote, Duration)>>, // cast, and not yet written
    pub voted: Event,
    watched: RefCell<Option<AlternativeSettings>>,
    pub discovery_moves: Moves,
    pub platform_moves: Moves,
    first_list: Event,
    heard: Cell<bool>, // of discovery itself, or not in time
    first_heard: Event,
    list: RefCell<EndpointTable>,
    pools: RefCell<Pools>,
}

/// How often a party's address was read anew and was another.
pub struct Moves {
    count: Cell<u64>,
    moved: Event,
}

impl Moves {
    fn none() -> Moves {
        Moves {
            count: Cell::default(),
            moved: Event::new(),
        }
    }

    fn tell(&self) {
        self.count.set(self.count.get() + 1);
        self.moved.notify(usize::MAX);
    }

    pub fn seen(&self) -> u64 {
        self.count.get()
    }

    /// Ready once it moved more often than `seen`.
    pub async fn beyond(&self, seen: u64) {
        while self.count.get() == seen {
            self.moved.listen().await;
        }
    }
}

impl Agent {
    pub fn start(start: Start) -> Rc<Agent> {
        let (clock, counters) = (Rc::new(Clock::start()), Rc::new(Counters::default()));
        let names = names(&start.name, &start.site);
        let zoning = start.zoning();
        let agent = Rc::new(Agent {
            listen: start.listen,
            door: start.door,
            discovery: Cell::new(start.discovery),
            platform: Cell::new(start.platform),
            hand: Hand::new(start.site.settings.clone(), clock.clone(), counters.clone()),
            border: Border::new(clock.now(), zoning, names),
            clock,
            counters,
            life: Life::start(),
            sockets: Sockets::new(start.sockets),
            buffers_most: Cell::new(start.memory / 4),
            tasks: LocalExecutor::new(),
            first: LocalExecutor::new(),
            watch_due: Cell::default(),
            watch: Event::new(),
            vote: RefCell::default(),
            voted: Event::new(),
            watched: RefCell::new(start.watch.clone()),
            discovery_moves: Moves::none(),
            platform_moves: Moves::none(),
            first_list: Event::new(),
            heard: Cell::default(),
            first_heard: Event::new(),
            list: RefCell::default(),
            pools: RefCell::new(Pools::new(start.site.max_idle)),
            site: RefCell::new(Rc::new(start.site)),
            installation: RefCell::new(start.installation),
            owed_until: Cell::default(),
        });
        agent
            .hand
            .watch(&agent.site().settings, start.watch.as_ref());
        let (now, site) = (agent.clock.now(), agent.site());
        let (agents, r) = (site.settings.agents, &site.settings.rollout);
        log::debug!(target: EVIDENCE, "{} start agents {agents} back {} hold {}", agent.clock.to_unix_ms(now), r.votes_to_roll_back,
            r.votes_to_hold);
        let latency_objective: Vec<_> = site
            .settings
            .classes
            .iter()
            .map(|l| (l.latency_objective.as_millis(), l.priority_weight))
            .collect();
        log::debug!(target: EVIDENCE, "{} lanes {latency_objective:?}", agent.clock.to_unix_ms(now));
        if let Some(told) = start.rollout_status {
            agent.rollout_status(told);
        }
        if let Some(known) = start.known {
            if let Some(what) = &known.first_error {
                log::warn!("field known: {what}; nothing goes there");
            }
            agent.listed(known);
        }
        agent
    }

    /// The settings in force. Numbers of requests in hand stand in each later one as well.
    pub fn site(&self) -> Rc<ServiceConfig> {
        self.site.borrow().clone()
    }

    /// Goes on under a configuration that was read anew, all of it or none, but for what only a
    /// restart can change, which is named and stays. A party whose address is another is asked anew
    /// there; its list and news in the file are no newer than what it tells.
    pub fn renew(&self, start: Start) {
        let Start {
            name,
            listen,
            discovery,
            platform,
            sockets,
            memory,
            site,
            door,
            installation,
            watch,
            ..
        } = start;
        let was = self.site();
        let named = match self.take_over(&name, site, &installation, watch.as_ref()) {
            Ok(named) => named,
            Err(mistakes) => {
                let stays = "the configuration read before stays";
                return mistakes
                    .iter()
                    .for_each(|m| log::error!("installation: {m}; {stays}"));
            }
        };
        log::info!(agent = name.as_str(), discovery:% = discovery;
            "{name}: a new configuration; discovery at {discovery}; {named}");
        if listen != self.listen {
            log::warn!("field listen: {} stays until a restart", self.listen);
        }
        if door != self.door {
            log::warn!("installation: door stays as it was until a restart");
        }
        *self.installation.borrow_mut() = installation;
        self.sockets.resize(sockets);
        self.buffers_most.set(memory / 4);
        let load_report_requests =
            |s: &ServiceConfig| (s.settings.shared_discovery, s.settings.max_poll_interval);
        if self.discovery.replace(discovery) != discovery
            || load_report_requests(&was) != load_report_requests(&self.site())
        {
            self.life.moves(Party::Discovery, false);
            self.discovery_moves.tell();
        }
        if self.platform.replace(platform) != platform {
            self.life.moves(Party::Platform, platform.is_none());
            self.platform_moves.tell();
        }
    }

    /// Takes settings and installation over, with what is known and in hand; says what changed.
    /// Nothing does if the installation names what the settings do not.
    fn take_over(
        &self,
        name: &str,
        read: ServiceConfig,
        installation: &Installation,
        watch: Option<&AlternativeSettings>,
    ) -> Result<String, Vec<ConfigDiagnostic>> {
        let (old, now) = (self.site(), self.clock.now());
        let (site, by) = read.renumbered_after(&old, &self.hand.indices_in_use());
        let zoning = installation.zone_config(&site)?;
        let same = site.is_unchanged_from(&old, &by);
        if !same {
            if site.longest_timeout < old.longest_timeout {
                self.owed_until
                    .set(self.owed_until.get().max(now + old.longest_timeout));
            }
            let zones = self.list.borrow_mut().update_zones(&site);
            self.pools.borrow_mut().renew(site.max_idle);
            *self.site.borrow_mut() = Rc::new(site);
            self.hand.renew(
                &self.site().settings,
                &by,
                &zones,
                self.watched.borrow().as_ref(),
            );
        }
        let site = self.site();
        if watch != self.watched.borrow().as_ref() {
            self.hand.watch(&site.settings, watch);
            *self.watched.borrow_mut() = watch.cloned();
        }
        if !self
            .border
            .renew(now, zoning, names(name, &site), &by.classes)
        {
            log::warn!("zones: others than before; the account of what crosses begins anew");
        }
        if !self.border.watches() {
            self.hand.crossings(CrossZonePolicy::default());
        }
        self.crossings();
        let NameCounts {
            classes,
            tenants,
            zones,
        } = site.named_counts();
        Ok(match same {
            true => "settings as before".into(),
            false => format!("new settings: {classes} lanes, {tenants} tenants, {zones} zones"),
        })
    }

    /// Classes that only requests in hand kept go once these are over.
    pub fn forget_classes(&self) {
        let old = self.site();
        if old.has_retired_indices() && old.can_free_indices(&self.hand.indices_in_use()) {
            let (installation, watch) = (
                self.installation.borrow().clone(),
                self.watched.borrow().clone(),
            );
            let names = self.border.agent();
            // The same names, so that nothing can be wrong with them.
            let _ = self.take_over(&names, (*old).clone(), &installation, watch.as_ref());
        }
    }

    pub fn rollout_status(&self, t: Told) {
        let now = self.clock.now();
        let began = now.saturating_sub(t.age);
        log::debug!(target: EVIDENCE, "{} news build {} stage {} {:?} since {}", self.clock.to_unix_ms(now), t.build, t.stage,
            t.phase, self.clock.to_unix_ms(began));
        self.hand.rollout_status(RolloutStatus {
            build: t.build,
            stage: t.stage,
            phase: t.phase,
            cap: t.cap,
            since: began,
        });
        self.border.alive(|| self.builds());
    }

    /// The builds that are listed, and the newest that was told of.
    fn builds(&self) -> std::collections::BTreeSet<u32> {
        let mut builds = self.list.borrow().builds();
        builds.extend(self.hand.newest());
        builds
    }

    /// Looks at what should cross, about every 100 ms.
    pub fn look_at_zones(&self) {
        if self.border.watches() {
            self.border
                .step(self.clock.now(), |zones| self.hand.zone_capacities(zones));
            self.crossings();
        }
    }

    /// Tells the module what crossing means, where that has changed.
    pub fn crossings(&self) {
        if let Some(told) = self.border.crossings() {
            self.hand.crossings(told);
        }
    }

    /// Discovery was heard, or a start need not wait for it any longer.
    pub fn heard(&self) {
        if !self.heard.replace(true) {
            self.first_heard.notify(usize::MAX);
        }
    }

    /// Ready once requests may go by the list that is known, as far as the module vouches for it.
    /// Guards a new process that was given an old one.
    pub async fn may_serve(&self) {
        while !self.heard.get() {
            self.first_heard.listen().await;
        }
    }

    pub fn listed(&self, told: ListResponse) {
        let (complete, served) = (told.complete, self.list.borrow().has_running());
        let AppliedList {
            entries,
            stale_endpoints,
        } = self
            .list
            .borrow_mut()
            .apply(told, &self.site(), &self.clock);
        stale_endpoints
            .into_iter()
            .for_each(|i| self.pools.borrow_mut().forget(i));
        self.hand.list(&entries, complete);
        self.border.alive(|| self.builds());
        if served && !self.list.borrow().has_running() {
            log::warn!(
                "discovery: no appliance runs, of {}; commands are denied",
                self.list.borrow().len()
            );
        }
        if self.list.borrow().has_running() {
            self.first_list.notify(usize::MAX);
        }
    }

    /// The endpoints to serve from, once some are known.
    pub async fn targets(&self) -> Vec<AttemptTarget> {
        loop {
            let listed = self.first_list.listen();
            let targets = self.list.borrow().targets();
            if !targets.is_empty() {
                return targets;
            }
            listed.await;
        }
    }

    pub fn version(&self) -> u64 {
        self.list.borrow().version
    }

    /// The version of the list that is known, where one is to serve from: who has nothing to lose
    /// asks for all of it.
    pub fn known(&self) -> Option<u64> {
        let list = self.list.borrow();
        list.has_running().then_some(list.version)
    }

    pub fn endpoint(&self, id: &str) -> Option<usize> {
        self.list.borrow().index(id)
    }

    pub fn endpoint_name(&self, endpoint: usize) -> String {
        self.list.borrow().id(endpoint).to_owned()
    }

    pub fn hold(&self, endpoint: usize) -> Option<IndexGuard> {
        self.list.borrow().hold_index(endpoint)
    }

    /// What is kept, for the counters: it should follow what is alive.
    pub fn kept(&self) -> String {
        let [commands, endpoints, builds, keys] = self.hand.kept();
        let (listed, clients) = (self.list.borrow().len(), self.sockets.clients());
        let module =
            format!("commands {commands} appliances {endpoints} builds {builds} keys {keys}");
        let otherwise = self
            .hand
            .otherwise()
            .map_or(String::new(), |o| format!("; watched: {o}"));
        format!("kept: clients {clients} listed {listed} {module}{otherwise}")
    }

    pub fn target(&self, endpoint: usize) -> Option<AttemptTarget> {
        self.list.borrow().target(endpoint)
    }

    /// A connection that waits for work, known open.
    pub fn waiting(&self, endpoint: usize) -> Option<Held> {
        let (held, closed) = self.pools.borrow_mut().take(self.clock.now(), endpoint);
        (0..closed).for_each(|_| self.counters.gone_idle.add());
        held
    }

    /// Keeps a connection for the next request, while its endpoint still runs the same build there.
    pub fn keep(&self, target: AttemptTarget, held: Held) {
        if self.target(target.endpoint) == Some(target) {
            self.pools.borrow_mut().put(target.endpoint, held);
        }
    }

    pub fn evict_idle(&self) -> bool {
        self.pools.borrow_mut().evict_idle()
    }

    pub fn sweep(&self) {
        let closed = self.pools.borrow_mut().sweep(self.clock.now());
        (0..closed).for_each(|_| self.counters.gone_idle.add());
    }

    pub async fn until(&self, at: Duration) {
        Timer::at(self.clock.to_instant(at)).await;
    }
}

fn names(agent: &str, site: &ServiceConfig) -> DisplayNames {
    DisplayNames {
        agent: agent.to_owned(),
        zones: site.zones.clone(),
        classes: site.classes.clone(),
    }
}
