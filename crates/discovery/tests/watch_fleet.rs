//! Fleets of agents before a discovery that answers a number of calls a second and refuses the
//! rest, in simulated time: balancer, watch timer and lease of each agent, without sockets.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tulipwall::{Balancer, Decision, EndpointEntry, EndpointState, Request, Settings};
use tulipwall_config::{Fields, ServiceConfig};
use tulipwall_discovery::list_lease::ListLease;
use tulipwall_discovery::watch_timer::{WatchEnd, WatchTimer};
use tulipwall_testkit::*;

const STEP: Duration = ms(10);
/// When the simulation begins; the balancer's clock does not begin at zero.
const BEGIN: Duration = ms(100_000);
/// Agents are held to a change this long after it.
const CHANGE_GRACE: Duration = ms(6000);
/// Agents are held to what a new address has this long after they learn of it.
const ADDRESS_CHANGE_GRACE: Duration = ms(4000);
/// Timeout of a request, which is rejected after half of it where it cannot be sent.
const REQUEST_TIMEOUT: Duration = ms(1000);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What happens to all agents at once.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Start,
    /// Discovery has a new address, which each agent learns within 2 s.
    AddressChange,
    /// Watches time out, right after a response to all.
    Silence,
}

struct Agent {
    balancer: Balancer,
    timer: WatchTimer,
    lease: ListLease,
    next_call: Option<Duration>,
    /// Until when the call of its watch waits.
    waits_until: Option<Duration>,
    address_changes_at: Duration,
    /// When it is held to what it missed.
    must_hear_by: Duration,
    heard_at: Option<Duration>,
    /// The last attempt before it was heard.
    last_unheard_attempt: Option<Duration>,
    /// Whether an attempt was sent since it was heard.
    sends_again: bool,
    open_requests: Vec<u64>,
    /// Requests that were not sent as they came.
    deferred: u64,
    rejected: u64,
}

/// What became of a fleet.
struct FleetOutcome {
    agents: Vec<Agent>,
    calls_by_second: Vec<usize>,
}

/// A discovery that answers `capacity` calls a second and refuses the rest; those of one second may
/// come at once.
struct Discovery {
    capacity: f64,
    tokens: f64,
}

impl Discovery {
    fn new(capacity: f64) -> Discovery {
        let tokens = Discovery::burst(capacity);
        Discovery { capacity, tokens }
    }

    fn burst(capacity: f64) -> f64 {
        capacity.max(1.0)
    }

    fn advance(&mut self, step: Duration) {
        let tokens = self.tokens + self.capacity * step.as_secs_f64();
        self.tokens = tokens.min(Discovery::burst(self.capacity));
    }

    fn accepts_call(&mut self) -> bool {
        let accepts = self.tokens >= 1.0;
        if accepts {
            self.tokens -= 1.0;
        }
        accepts
    }
}

fn settings(agents: u32, rate: f64, seed: u64) -> Settings {
    let value = agent_process::settings(&["a"], "a", agents, &agent_process::classes());
    let mut settings = ServiceConfig::read(&Fields::new(&value, "settings").unwrap(), seed)
        .unwrap()
        .settings;
    settings.list_polled = true;
    settings.shared_discovery = true;
    settings.max_poll_interval = ms(10_000);
    settings.rollout.votes_per_second = rate;
    settings
}

fn endpoint(n: usize) -> EndpointEntry {
    EndpointEntry {
        endpoint: n,
        zone: 0,
        cell: 0,
        identity: n as u64,
        endpoint_type: 0,
        build: 41,
        state: EndpointState::Running,
        started: None,
    }
}

impl Agent {
    fn new(event: Event, settings: Settings, rng: &mut Pcg64Mcg) -> Agent {
        let mut balancer = Balancer::new(BEGIN, settings.clone());
        balancer.update_endpoints(BEGIN, &[endpoint(0), endpoint(1), endpoint(2)], true);
        let mut agent = Agent {
            balancer,
            timer: WatchTimer::new(&settings),
            lease: ListLease::new(&settings, BEGIN),
            next_call: None,
            waits_until: None,
            address_changes_at: BEGIN,
            must_hear_by: BEGIN + CHANGE_GRACE,
            heard_at: None,
            last_unheard_attempt: None,
            sends_again: false,
            open_requests: Vec::new(),
            deferred: 0,
            rejected: 0,
        };
        if event != Event::Start {
            agent.begin_with_a_watch();
        }
        if event == Event::AddressChange {
            agent.address_changes_at = BEGIN + ms(rng.gen_range(0..2000));
            agent.must_hear_by = agent.address_changes_at + ADDRESS_CHANGE_GRACE;
        }
        let startup_delay = agent.timer.startup_delay();
        if event == Event::Start {
            agent.next_call = startup_delay.map(|delay| BEGIN + delay);
        }
        agent
    }

    fn begin_with_a_watch(&mut self) {
        self.balancer.poll(BEGIN + ms(20_000)); // its first call is behind it
        self.timer.on_response();
        let wait = self.timer.next_wait();
        self.lease.on_response(BEGIN, wait);
        self.waits_until = Some(BEGIN + wait);
        self.must_hear_by = BEGIN + CHANGE_GRACE.max(wait + ms(2000));
    }

    /// Calls discovery if it is time to; whether it did.
    fn poll(&mut self, event: Event, now: Duration, discovery: &mut Discovery) -> bool {
        let is_due = self.balancer.poll(now).open_watch;
        self.end_watch(event, now);
        let calls = self.waits_until.is_none()
            && match self.next_call {
                Some(at) => now >= at,
                None => is_due,
            };
        if calls {
            self.call(now, discovery);
        }
        self.balancer.set_list_valid_until(self.lease.valid_until());
        calls
    }

    fn end_watch(&mut self, event: Event, now: Duration) {
        let Some(waits_until) = self.waits_until else {
            return;
        };
        match event {
            Event::Start => {}
            Event::AddressChange if now >= self.address_changes_at => {
                self.waits_until = None;
                // The old watch stood until then.
                self.lease.on_response(now, ms(0));
                self.lease.on_address_change(now);
                self.next_call = Some(now + self.timer.on_address_change());
            }
            Event::Silence if now >= waits_until + self.timer.response_grace() => {
                self.waits_until = None;
                self.lease.on_watch_end(now, WatchEnd::TimedOut);
                let delay = self.timer.on_watch_end(WatchEnd::TimedOut);
                self.next_call = delay.map(|delay| now + delay);
            }
            Event::AddressChange | Event::Silence => {}
        }
    }

    fn call(&mut self, now: Duration, discovery: &mut Discovery) {
        self.next_call = None;
        self.lease.on_watch_begin(now);
        if discovery.accepts_call() {
            self.heard_at = Some(now);
            self.timer.on_response();
            let wait = self.timer.next_wait();
            self.lease.on_response(now, wait);
            self.balancer.update_endpoints(now, &[], false);
            return;
        }
        self.lease.on_watch_end(now, WatchEnd::Refused);
        let delay = self.timer.on_watch_end(WatchEnd::Refused);
        self.next_call = delay.map(|delay| now + delay);
        if self.next_call.is_none() {
            self.balancer.on_list_failure(now);
        }
    }

    fn take_request(&mut self, now: Duration, id: u64) {
        let request = Request {
            class: 0,
            tenant: None,
            key: None,
            time_left: REQUEST_TIMEOUT,
            estimated_work: None,
            is_retry: false,
        };
        self.balancer.on_request(now, id, request);
        self.open_requests.push(id);
        self.route_requests(now);
        self.deferred += u64::from(self.open_requests.contains(&id));
    }

    /// Asks what becomes of the requests that are open.
    fn route_requests(&mut self, now: Duration) {
        for id in std::mem::take(&mut self.open_requests) {
            match self.balancer.route(now, id) {
                Decision::Forward { .. } if self.heard_at.is_some() => self.sends_again = true,
                Decision::Forward { .. } => self.last_unheard_attempt = Some(now),
                Decision::Defer { .. } => {
                    self.open_requests.push(id);
                    continue;
                }
                _ => self.rejected += 1,
            }
            self.balancer.close_request(id);
        }
    }
}

/// Runs `agents` before a discovery that bears `capacity` calls a second, under settings that name
/// `rate` for it.
fn simulate(event: Event, agents: u32, capacity: f64, rate: f64, seed: u64) -> FleetOutcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = Vec::new();
    for i in 0..agents {
        let settings = settings(agents, rate, seed * 10_000 + u64::from(i));
        fleet.push(Agent::new(event, settings, &mut rng));
    }
    let mut discovery = Discovery::new(capacity);
    let mut calls_by_second = vec![0; 120];
    for step in 0..12_000 {
        let now = BEGIN + STEP * step;
        discovery.advance(STEP);
        for (i, agent) in fleet.iter_mut().enumerate() {
            if agent.heard_at.is_none() && agent.poll(event, now, &mut discovery) {
                calls_by_second[step as usize / 100] += 1;
            }
            // Each gets five requests a second, at other times than its neighbors.
            let turn = step as usize + i;
            let gets_requests = agent.heard_at.is_none_or(|at| now < at + ms(500));
            if gets_requests && turn.is_multiple_of(20) {
                agent.take_request(now, u64::from(step));
            }
            // What is deferred is routed ten times a second.
            if turn.is_multiple_of(10) {
                agent.route_requests(now);
            }
        }
        if fleet.iter().all(|agent| agent.sends_again) {
            break;
        }
    }
    FleetOutcome {
        agents: fleet,
        calls_by_second,
    }
}

/// Before a discovery that bears one call of each agent in `span` seconds, which is what the
/// settings tell, or in `tight`, a tenth of that.
fn assert_heard_in_time(event: Event, span: f64, tight: f64) {
    for (agents, over) in [
        (30u32, 1.0),
        (300, 1.0),
        (770, 1.0),
        (30, 10.0),
        (300, 10.0),
    ] {
        // Where the told rate spreads nothing the tries that follow refusals have to: those are
        // closer then.
        let capacity = f64::from(agents) / if over > 1.0 { tight } else { span };
        for seed in 1..9 {
            let outcome = simulate(event, agents, capacity, capacity * over, seed);
            let late: Vec<_> = outcome
                .agents
                .iter()
                .filter(|a| a.heard_at.is_none_or(|t| t > a.must_hear_by))
                .collect();
            let worst = late
                .iter()
                .map(|a| a.heard_at.map(|t| t - a.must_hear_by))
                .max();
            let of =
                format!("{event:?}, {agents} agents, {over} times what is borne told, seed {seed}");
            assert!(late.is_empty(), "{of}: {} late, {worst:?}", late.len());
            let (most, all) = (
                *outcome.calls_by_second.iter().max().unwrap(),
                outcome.calls_by_second.iter().sum::<usize>(),
            );
            assert!(
                most as f64 <= capacity * over * 1.35 + 6.0,
                "{of}: {most} calls in a second, {capacity} borne"
            );
            assert!(
                all as f64 <= f64::from(agents) * (1.05 + 0.3 * over),
                "{of}: {all} calls"
            );
            // Where all are heard in time nobody goes without, but starts: those send nothing
            // before, and nothing waits for longer.
            let deferred = outcome
                .agents
                .iter()
                .filter(|_| event != Event::Start)
                .map(|a| a.deferred);
            assert_eq!(deferred.sum::<u64>(), 0, "{of}");
            for a in &outcome.agents {
                let waited = a
                    .heard_at
                    .unwrap()
                    .saturating_sub(BEGIN + REQUEST_TIMEOUT / 2)
                    .as_secs_f64();
                assert!(
                    a.rejected as f64 <= waited * 5.0 + 1.0,
                    "{of}: {} denied in {waited} s",
                    a.rejected
                );
            }
        }
    }
}

#[test]
fn agents_that_start_at_once_are_heard_in_time() {
    assert_heard_in_time(Event::Start, 3.0, 4.5);
}

#[test]
fn agents_whose_discovery_moves_within_two_seconds_are_heard_in_time() {
    assert_heard_in_time(Event::AddressChange, 3.0, 3.75);
}

#[test]
fn agents_whose_watches_time_out_at_once_are_heard_in_time() {
    assert_heard_in_time(Event::Silence, 8.0, 8.0);
}

/// Discovery bears far less than the settings tell: one call of each agent in 8 s, and in 30 s. Who
/// was not heard in time sends nothing until it is heard; before that, and from then on, it does.
#[test]
fn sends_nothing_after_the_lease_until_heard() {
    for (event, agents, span) in [
        (Event::Start, 30, 8.0),
        (Event::Start, 300, 30.0),
        (Event::AddressChange, 30, 8.0),
        (Event::AddressChange, 770, 30.0),
        (Event::Silence, 300, 30.0),
    ] {
        let outcome = simulate(
            event,
            agents,
            f64::from(agents) / span,
            f64::from(agents),
            7,
        );
        let bound = |a: &Agent| match event {
            // Lists that are asked for count 6 s after the move; what it heard before that is no
            // news.
            Event::AddressChange => a.address_changes_at + CHANGE_GRACE,
            // What the process before it missed binds it from its first moment.
            Event::Start => BEGIN,
            _ => a.must_hear_by,
        };
        let late = outcome
            .agents
            .iter()
            .filter(|a| a.heard_at.is_none_or(|t| t > bound(a) + ms(200)))
            .count();
        assert!(
            late > 0,
            "{event:?}: all are heard in time, so this shows nothing"
        );
        for a in &outcome.agents {
            let (bound, heard_at) = (bound(a), a.heard_at.expect("each is heard in the end"));
            // Who is heard at once has nothing to send before.
            let last_attempt = a.last_unheard_attempt.unwrap_or(BEGIN);
            // A start does not know how old its list is.
            assert!(
                event != Event::Start || a.last_unheard_attempt.is_none(),
                "{event:?}: sent {:?}",
                last_attempt - BEGIN
            );
            assert!(
                last_attempt <= bound,
                "{event:?}: sent {:?} after it counted",
                last_attempt - bound
            );
            // Nobody goes without for longer than that: its requests come 0.2 s apart.
            let last = bound.min(heard_at);
            assert!(
                last_attempt + ms(250) >= last,
                "{event:?}: the last went out {:?} before",
                last - last_attempt
            );
            assert!(a.sends_again, "{event:?}: it sends again once heard");
        }
        let most = *outcome.calls_by_second.iter().max().unwrap() as f64;
        assert!(
            most <= f64::from(agents) * 4.2,
            "{event:?}: {most} calls in a second"
        );
    }
}

/// A discovery that bears one call of each in 8 s, where the told rate spreads nothing: not all can
/// be heard in time, and tries that are far apart leave what it bears unused. Counted over many
/// fleets, as one late agent may be chance.
#[test]
fn refused_agents_retry_often_enough_to_use_the_capacity_of_discovery() {
    for agents in [30u32, 300] {
        let capacity = f64::from(agents) / 8.0;
        let (mut beyond, mut worst) = (Duration::ZERO, Duration::ZERO);
        for seed in 1..21 {
            for a in simulate(Event::Start, agents, capacity, capacity * 10.0, seed).agents {
                let late = a
                    .heard_at
                    .expect("each is heard in the end")
                    .saturating_sub(a.must_hear_by);
                (beyond, worst) = (beyond + late, worst.max(late));
            }
        }
        let mean = beyond / (agents * 20);
        assert!(
            mean < ms(350) && worst < ms(4000),
            "{agents}: {mean:?} on the mean, {worst:?} at worst"
        );
    }
}

/// Starts by a list of unknown age, which the process before may have missed any change of: 30, 300
/// and 770 at once, by rates that are told that spread their calls over 1, 3 and 5 s, before
/// discoveries that bear a tenth, once and three times the rate told.
#[test]
fn sends_nothing_after_a_start_before_discovery_was_heard() {
    for (agents, share) in [30u32, 300, 770]
        .into_iter()
        .flat_map(|n| [1.0, 3.0, 5.0].map(|s| (n, s)))
    {
        let rate = f64::from(agents) / share;
        for times in [0.1, 1.0, 3.0] {
            let capacity = rate * times;
            // Where all wait for long one fleet of this size shows enough.
            for seed in 1..if times < 1.0 { 2 } else { 4 } {
                let outcome = simulate(Event::Start, agents, capacity, rate, seed);
                let of =
                    format!("{agents} agents, share {share} s, {times} times borne, seed {seed}");
                let last_attempt = outcome
                    .agents
                    .iter()
                    .filter_map(|a| a.last_unheard_attempt)
                    .collect::<Vec<_>>();
                assert!(
                    last_attempt.is_empty(),
                    "{of}: {} send unheard, up to {:?}",
                    last_attempt.len(),
                    last_attempt.iter().max()
                );
                // What discovery bears is used: the last is heard not much later than if every call
                // had come in turn.
                let last = outcome
                    .agents
                    .iter()
                    .map(|a| a.heard_at.expect("each is heard in the end") - BEGIN)
                    .max();
                let (last, need) = (last.unwrap().as_secs_f64(), f64::from(agents) / capacity);
                assert!(
                    last <= if times < 1.0 { need * 1.35 } else { 6.0 },
                    "{of}: the last after {last} s"
                );
                // A third more than are told at first, and chance; refused ones try again, a
                // quarter of the share later at least.
                let (most, all) = (
                    *outcome.calls_by_second.iter().max().unwrap() as f64,
                    outcome.calls_by_second.iter().sum::<usize>(),
                );
                let (second, each) = if times < 1.0 {
                    (rate * 3.5, 9.0)
                } else {
                    (rate * 4.0 / 3.0, 1.3)
                };
                assert!(
                    most <= second + 3.0 * second.sqrt() + 1.0,
                    "{of}: {most} calls in a second"
                );
                assert!(all as f64 <= f64::from(agents) * each, "{of}: {all} calls");
                // At most one in ten goes without for 4 s, where discovery bears those calls.
                let without = |a: &&Agent| a.heard_at.is_some_and(|t| t > BEGIN + ms(4000));
                let without = outcome.agents.iter().filter(without).count();
                assert!(
                    times <= 1.0 || without * 10 <= agents as usize,
                    "{of}: {without} wait for 4 s"
                );
            }
        }
    }
}

/// Guards a start from silence for good: what a discovery holds that cannot be reached does not
/// count.
#[test]
fn serves_by_the_configured_list_while_discovery_cannot_be_reached() {
    let d = settings(5, 1.0, 1);
    for ended in [WatchEnd::Disconnected, WatchEnd::TimedOut] {
        let mut lease = ListLease::new(&d, BEGIN);
        assert_eq!(
            lease.valid_until(),
            Some(BEGIN),
            "nothing before its first call"
        );
        for n in 1..20 {
            // Further apart than what one call vouches for.
            let (begun, failed) = (BEGIN + ms(10_000 * n), BEGIN + ms(10_000 * n + 100));
            lease.on_watch_begin(begun);
            lease.on_watch_end(failed, ended);
            assert_eq!(
                lease.valid_until(),
                Some(begun + CHANGE_GRACE),
                "{ended:?}, call {n}"
            );
        }
        // It was there: what it holds counts from then on.
        lease.on_watch_begin(BEGIN + ms(201_000));
        lease.on_watch_end(BEGIN + ms(201_100), WatchEnd::Refused);
        assert!(lease
            .valid_until()
            .is_some_and(|t| t <= BEGIN + ms(201_100)));
        lease.on_watch_begin(BEGIN + ms(203_000));
        lease.on_watch_end(BEGIN + ms(203_100), ended);
        assert!(
            lease
                .valid_until()
                .is_some_and(|t| t <= BEGIN + ms(201_100)),
            "{ended:?} after a refusal"
        );
        lease.on_response(BEGIN + ms(205_000), ms(1000));
        assert_eq!(lease.valid_until(), Some(BEGIN + ms(211_000)));
    }
}
