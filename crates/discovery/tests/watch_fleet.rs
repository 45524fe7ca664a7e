//! Simulates fleets of agents that call a discovery service of limited capacity, which answers a
//! number of calls per second and refuses the rest. Each agent has a balancer, a watch timer and a
//! lease; there are no sockets, and time is simulated.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tulipwall::{Balancer, Decision, EndpointEntry, EndpointState, Request, Settings};
use tulipwall_config::{Fields, ServiceConfig};
use tulipwall_discovery::list_lease::{LeaseEndReason, ListLease};
use tulipwall_discovery::watch_timer::{WatchEnd, WatchTimer};
use tulipwall_testkit::*;

/// The time between two steps of the simulation.
const STEP: Duration = ms(10);
/// The balancer's time at which the simulation begins. It is greater than zero, as in an agent.
const BEGIN: Duration = ms(100_000);
/// An agent must comply with a change from this long after it.
const CHANGE_GRACE: Duration = ms(6000);
/// An agent must comply with the list at a new address from this long after it learns of the
/// address.
const ADDRESS_CHANGE_GRACE: Duration = ms(4000);
/// Timeout of a request. A request that cannot be sent is rejected after half of it.
const REQUEST_TIMEOUT: Duration = ms(1000);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// How long discovery is unreachable from the start of the agents on.
const OUTAGE: Duration = ms(8000);

/// An event that affects all agents at once.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// All agents start.
    Start,
    /// Discovery moves to a new address, of which each agent learns within 2 s.
    AddressChange,
    /// All watches time out, right after a response to all agents.
    Silence,
    /// All agents start while discovery's process is gone, which returns after [`OUTAGE`].
    StartInOutage,
}

/// One agent, with what the tests record about it.
struct Agent {
    balancer: Balancer,
    timer: WatchTimer,
    lease: ListLease,
    next_call: Option<Duration>,
    /// When the wait of the current long poll ends; `None` without a watch.
    waits_until: Option<Duration>,
    address_changes_at: Duration,
    /// From when the agent must comply with the changes that it missed.
    must_be_answered_by: Duration,
    /// When discovery answered the first call after the event; `None` before.
    answered_at: Option<Duration>,
    /// When the last attempt was sent before discovery answered.
    last_attempt_before_answer: Option<Duration>,
    /// Whether an attempt was sent since discovery answered.
    sends_again: bool,
    open_requests: Vec<u64>,
    /// The number of requests that were not sent on arrival.
    deferred: u64,
    /// The number of requests that were rejected.
    rejected: u64,
}

/// The agents of a fleet after a simulation, and the calls to discovery in each second.
struct FleetOutcome {
    agents: Vec<Agent>,
    calls_by_second: Vec<usize>,
}

/// A discovery service that answers `capacity` calls per second and refuses the rest. Up to the
/// calls of one second may arrive at once.
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
            must_be_answered_by: BEGIN + CHANGE_GRACE,
            answered_at: None,
            last_attempt_before_answer: None,
            sends_again: false,
            open_requests: Vec::new(),
            deferred: 0,
            rejected: 0,
        };
        let starts = matches!(event, Event::Start | Event::StartInOutage);
        if !starts {
            agent.start_with_open_watch();
        }
        if event == Event::AddressChange {
            agent.address_changes_at = BEGIN + ms(rng.gen_range(0..2000));
            agent.must_be_answered_by = agent.address_changes_at + ADDRESS_CHANGE_GRACE;
        }
        let startup_delay = agent.timer.startup_delay();
        if starts {
            agent.next_call = startup_delay.map(|delay| BEGIN + delay);
        }
        agent
    }

    fn start_with_open_watch(&mut self) {
        self.balancer.poll(BEGIN + ms(20_000)); // the balancer's first call is no longer due
        self.timer.on_response();
        let wait = self.timer.next_wait();
        self.lease.on_response(BEGIN, wait);
        self.waits_until = Some(BEGIN + wait);
        self.must_be_answered_by = BEGIN + CHANGE_GRACE.max(wait + ms(2000));
    }

    /// Calls discovery if a call is due, and returns whether it did.
    fn poll(&mut self, event: Event, now: Duration, discovery: &mut Discovery) -> bool {
        let is_due = self.balancer.poll(now).open_watch;
        self.end_watch_if_due(event, now);
        let calls = self.waits_until.is_none()
            && match self.next_call {
                Some(at) => now >= at,
                None => is_due,
            };
        if calls && event == Event::StartInOutage && now < BEGIN + OUTAGE {
            self.fail_call(now, WatchEnd::Disconnected);
        } else if calls {
            self.call(now, discovery);
        }
        self.balancer.set_list_valid_until(self.lease.valid_until());
        calls
    }

    fn end_watch_if_due(&mut self, event: Event, now: Duration) {
        let Some(waits_until) = self.waits_until else {
            return;
        };
        match event {
            Event::Start | Event::StartInOutage => {}
            Event::AddressChange if now >= self.address_changes_at => {
                self.waits_until = None;
                // The watch at the old address was still open until now.
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
        if discovery.accepts_call() {
            self.next_call = None;
            self.lease.on_watch_begin(now);
            self.answered_at = Some(now);
            self.timer.on_response();
            let wait = self.timer.next_wait();
            self.lease.on_response(now, wait);
            self.balancer.update_endpoints(now, &[], false);
            return;
        }
        self.fail_call(now, WatchEnd::Refused);
    }

    fn fail_call(&mut self, now: Duration, end: WatchEnd) {
        self.lease.on_watch_begin(now);
        self.lease.on_watch_end(now, end);
        let delay = self.timer.on_watch_end(end);
        self.next_call = delay.map(|delay| now + delay);
        if self.next_call.is_none() {
            self.balancer.on_list_failure(now);
        }
    }

    fn receive_request(&mut self, now: Duration, id: u64) {
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

    /// Asks the balancer for its decisions on the open requests.
    fn route_requests(&mut self, now: Duration) {
        for id in std::mem::take(&mut self.open_requests) {
            match self.balancer.route(now, id) {
                Decision::Forward { .. } if self.answered_at.is_some() => self.sends_again = true,
                Decision::Forward { .. } => self.last_attempt_before_answer = Some(now),
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

/// Simulates `agents` agents and a discovery service that can answer `capacity` calls per second.
/// The settings state its rate as `rate`.
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
            if agent.answered_at.is_none() && agent.poll(event, now, &mut discovery) {
                calls_by_second[step as usize / 100] += 1;
            }
            // Each agent gets five requests per second, at different times than its neighbors.
            let turn = step as usize + i;
            let gets_requests = agent.answered_at.is_none_or(|at| now < at + ms(500));
            if gets_requests && turn.is_multiple_of(20) {
                agent.receive_request(now, u64::from(step));
            }
            // Deferred requests are routed again ten times per second.
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

/// Checks that discovery answers all agents in time. It can answer one call from each agent within
/// `round_seconds`, as the settings state. If the settings overstate its rate tenfold, it can do so
/// within `overstated_round_seconds`.
fn assert_answered_in_time(event: Event, round_seconds: f64, overstated_round_seconds: f64) {
    for (agents, rate_factor) in [
        (30u32, 1.0),
        (300, 1.0),
        (770, 1.0),
        (30, 10.0),
        (300, 10.0),
    ] {
        // If the overstated rate does not spread the first calls, the calls that follow refusals
        // must do so. These are closer together, so the capacity differs.
        let capacity = f64::from(agents)
            / if rate_factor > 1.0 {
                overstated_round_seconds
            } else {
                round_seconds
            };
        for seed in 1..9 {
            let outcome = simulate(event, agents, capacity, capacity * rate_factor, seed);
            let late: Vec<_> = outcome
                .agents
                .iter()
                .filter(|a| a.answered_at.is_none_or(|t| t > a.must_be_answered_by))
                .collect();
            let max_lateness = late
                .iter()
                .map(|a| a.answered_at.map(|t| t - a.must_be_answered_by))
                .max();
            let context = format!(
                "{event:?}, {agents} agents, rate is {rate_factor} times the capacity, seed {seed}"
            );
            assert!(
                late.is_empty(),
                "{context}: {} late, {max_lateness:?}",
                late.len()
            );
            let (max_calls_per_second, all) = (
                *outcome.calls_by_second.iter().max().unwrap(),
                outcome.calls_by_second.iter().sum::<usize>(),
            );
            assert!(
                max_calls_per_second as f64 <= capacity * rate_factor * 1.35 + 6.0,
                "{context}: {max_calls_per_second} calls in a second, capacity {capacity}"
            );
            assert!(
                all as f64 <= f64::from(agents) * (1.05 + 0.3 * rate_factor),
                "{context}: {all} calls"
            );
            // If all agents are answered in time, no request is deferred, except after a start:
            // then agents send nothing before their answer, and no request waits for longer than
            // that.
            let deferred = outcome
                .agents
                .iter()
                .filter(|_| event != Event::Start)
                .map(|a| a.deferred);
            assert_eq!(deferred.sum::<u64>(), 0, "{context}");
            for a in &outcome.agents {
                let waited = a
                    .answered_at
                    .unwrap()
                    .saturating_sub(BEGIN + REQUEST_TIMEOUT / 2)
                    .as_secs_f64();
                assert!(
                    a.rejected as f64 <= waited * 5.0 + 1.0,
                    "{context}: {} requests rejected in {waited} s",
                    a.rejected
                );
            }
        }
    }
}

#[test]
fn agents_that_start_at_once_are_answered_in_time() {
    assert_answered_in_time(Event::Start, 3.0, 4.5);
}

#[test]
fn agents_whose_discovery_moves_within_two_seconds_are_answered_in_time() {
    assert_answered_in_time(Event::AddressChange, 3.0, 3.75);
}

#[test]
fn agents_whose_watches_time_out_at_once_are_answered_in_time() {
    assert_answered_in_time(Event::Silence, 8.0, 8.0);
}

/// Discovery can handle far fewer calls than the settings state: one call from each agent in 8 s or
/// in 30 s. An agent that is not answered in time must send nothing from then on until it is
/// answered, and must send attempts before and after that period.
#[test]
fn sends_nothing_after_the_lease_until_answered() {
    for (event, agents, round_seconds) in [
        (Event::Start, 30, 8.0),
        (Event::Start, 300, 30.0),
        (Event::AddressChange, 30, 8.0),
        (Event::AddressChange, 770, 30.0),
        (Event::Silence, 300, 30.0),
    ] {
        let outcome = simulate(
            event,
            agents,
            f64::from(agents) / round_seconds,
            f64::from(agents),
            7,
        );
        let bound = |a: &Agent| match event {
            // Where lists are polled, an agent must comply 6 s after the move. What it received
            // before the move does not include the list at the new address.
            Event::AddressChange => a.address_changes_at + CHANGE_GRACE,
            // From its start, the agent must comply with what the previous process missed.
            Event::Start => BEGIN,
            _ => a.must_be_answered_by,
        };
        let late = outcome
            .agents
            .iter()
            .filter(|a| a.answered_at.is_none_or(|t| t > bound(a) + ms(200)))
            .count();
        assert!(
            late > 0,
            "{event:?}: all agents are answered in time, so the test checks nothing"
        );
        for a in &outcome.agents {
            let (bound, answered_at) = (
                bound(a),
                a.answered_at.expect("every agent is answered in the end"),
            );
            // An agent that is answered at once sends nothing before that.
            let last_attempt = a.last_attempt_before_answer.unwrap_or(BEGIN);
            // After a start, the age of the list is unknown.
            assert!(
                event != Event::Start || a.last_attempt_before_answer.is_none(),
                "{event:?}: sent {:?}",
                last_attempt - BEGIN
            );
            assert!(
                last_attempt <= bound,
                "{event:?}: sent {:?} after it had to comply",
                last_attempt - bound
            );
            // An agent goes on sending until then: its requests arrive 0.2 s apart.
            let last = bound.min(answered_at);
            assert!(
                last_attempt + ms(250) >= last,
                "{event:?}: the last attempt was sent {:?} before it had to stop or was answered",
                last - last_attempt
            );
            assert!(
                a.sends_again,
                "{event:?}: the agent must send again once answered"
            );
        }
        let max_calls_per_second = *outcome.calls_by_second.iter().max().unwrap() as f64;
        assert!(
            max_calls_per_second <= f64::from(agents) * 4.2,
            "{event:?}: {max_calls_per_second} calls in a second"
        );
    }
}

/// Discovery can handle one call from each agent in 8 s, and the rate in the settings does not
/// spread the calls. Not all agents can be answered in time, and retries that are far apart leave
/// capacity unused. The lateness is summed over many fleets, since a single late agent may be due
/// to chance.
#[test]
fn refused_agents_retry_often_enough_to_use_the_capacity_of_discovery() {
    for agents in [30u32, 300] {
        let capacity = f64::from(agents) / 8.0;
        let (mut total_lateness, mut max_lateness) = (Duration::ZERO, Duration::ZERO);
        for seed in 1..21 {
            for a in simulate(Event::Start, agents, capacity, capacity * 10.0, seed).agents {
                let late = a
                    .answered_at
                    .expect("every agent is answered in the end")
                    .saturating_sub(a.must_be_answered_by);
                (total_lateness, max_lateness) = (total_lateness + late, max_lateness.max(late));
            }
        }
        let mean = total_lateness / (agents * 20);
        assert!(
            mean < ms(350) && max_lateness < ms(4000),
            "{agents} agents: mean lateness {mean:?}, worst {max_lateness:?}"
        );
    }
}

/// Agents start with a list of unknown age: the previous process may have missed any change to it.
/// Covers 30, 300 and 770 agents that start at once, rates in the settings that spread their calls
/// over 1, 3 and 5 s, and discovery services with a tenth of that rate, the rate itself and three
/// times the rate.
#[test]
fn sends_nothing_after_a_start_before_discovery_answered() {
    for (agents, interval_seconds) in [30u32, 300, 770]
        .into_iter()
        .flat_map(|n| [1.0, 3.0, 5.0].map(|s| (n, s)))
    {
        let rate = f64::from(agents) / interval_seconds;
        for capacity_factor in [0.1, 1.0, 3.0] {
            let capacity = rate * capacity_factor;
            // With a tenth of the rate, agents wait so long that one fleet of each size is enough.
            for seed in 1..if capacity_factor < 1.0 { 2 } else { 4 } {
                let outcome = simulate(Event::Start, agents, capacity, rate, seed);
                let context = format!(
                    "{agents} agents, interval {interval_seconds} s, capacity {capacity_factor} times rate, seed {seed}"
                );
                let last_attempt = outcome
                    .agents
                    .iter()
                    .filter_map(|a| a.last_attempt_before_answer)
                    .collect::<Vec<_>>();
                assert!(
                    last_attempt.is_empty(),
                    "{context}: {} agents send before an answer, up to {:?}",
                    last_attempt.len(),
                    last_attempt.iter().max()
                );
                // The capacity of discovery is used: the last agent is answered not much later than
                // if all calls had arrived one after another.
                let last = outcome
                    .agents
                    .iter()
                    .map(|a| a.answered_at.expect("every agent is answered in the end") - BEGIN)
                    .max();
                let (last, required) = (last.unwrap().as_secs_f64(), f64::from(agents) / capacity);
                assert!(
                    last <= if capacity_factor < 1.0 {
                        required * 1.35
                    } else {
                        6.0
                    },
                    "{context}: the last agent is answered after {last} s"
                );
                // The first calls may exceed the rate in the settings by a third, and by chance.
                // Refused agents call again, at least a quarter of the call interval later.
                let (max_calls_per_second, all) = (
                    *outcome.calls_by_second.iter().max().unwrap() as f64,
                    outcome.calls_by_second.iter().sum::<usize>(),
                );
                let (calls_per_second_bound, calls_per_agent_bound) = if capacity_factor < 1.0 {
                    (rate * 3.5, 9.0)
                } else {
                    (rate * 4.0 / 3.0, 1.3)
                };
                assert!(
                    max_calls_per_second
                        <= calls_per_second_bound + 3.0 * calls_per_second_bound.sqrt() + 1.0,
                    "{context}: {max_calls_per_second} calls in a second"
                );
                assert!(
                    all as f64 <= f64::from(agents) * calls_per_agent_bound,
                    "{context}: {all} calls"
                );
                // If discovery has the capacity for these calls, at most one agent in ten waits for
                // 4 s.
                let delayed_agents =
                    |a: &&Agent| a.answered_at.is_some_and(|t| t > BEGIN + ms(4000));
                let delayed_agents = outcome.agents.iter().filter(delayed_agents).count();
                assert!(
                    capacity_factor <= 1.0 || delayed_agents * 10 <= agents as usize,
                    "{context}: {delayed_agents} agents wait for 4 s"
                );
            }
        }
    }
}

/// Guards against a start by the configured list while discovery is unreachable: what the previous
/// process missed counts as announced to this one. Once a list was received, the lease outlasts an
/// outage.
#[test]
fn a_start_has_no_valid_list_before_a_response_and_outlasts_outages_after_it() {
    let agent_settings = settings(5, 1.0, 1);
    for ended in [WatchEnd::Disconnected, WatchEnd::TimedOut] {
        let mut lease = ListLease::new(&agent_settings, BEGIN);
        for n in 0..20 {
            assert_eq!(lease.valid_until(), Some(BEGIN), "{ended:?}, call {n}");
            let reason = lease.end().map(|end| end.reason);
            assert_eq!(reason, Some(LeaseEndReason::NoListSinceStart));
            lease.on_watch_begin(BEGIN + ms(10_000 * n));
            lease.on_watch_end(BEGIN + ms(10_000 * n + 100), ended);
        }
        // Nor does an outage after a refusal renew the lease.
        for end in [WatchEnd::Refused, ended, WatchEnd::Malformed, ended] {
            lease.on_watch_begin(BEGIN + ms(201_000));
            lease.on_watch_end(BEGIN + ms(201_100), end);
            assert_eq!(lease.valid_until(), Some(BEGIN), "{end:?}");
        }
        lease.on_response(BEGIN + ms(205_000), ms(1000));
        assert_eq!(lease.valid_until(), Some(BEGIN + ms(211_000)));
        lease.on_watch_end(BEGIN + ms(206_000), ended);
        for n in 0..20 {
            // The calls are further apart than one call extends the lease.
            let begun = BEGIN + ms(210_000 + 10_000 * n);
            lease.on_watch_begin(begun);
            lease.on_watch_end(begun + ms(100), ended);
            let extended_until = (begun + CHANGE_GRACE).max(BEGIN + ms(212_000));
            assert_eq!(
                lease.valid_until(),
                Some(extended_until),
                "{ended:?}, call {n}"
            );
        }
    }
}

/// Agents that start while discovery is unreachable send nothing, and are answered within 0.5 s of its
/// return where it has the capacity. Where it can answer one call from each agent in 1 or 3 s, the
/// last is answered within twice that time and a second, and agents make at most four calls each.
#[test]
fn agents_that_start_in_an_outage_are_answered_soon_after_it() {
    // The shortest delay between two calls is 0.2 s.
    let max_calls_in_outage = |agents: u32| OUTAGE.as_secs_f64() / 0.2 * f64::from(agents);
    for (agents, round_seconds) in [(30u32, 0.0), (300, 0.0), (300, 1.0), (300, 3.0), (770, 3.0)] {
        let capacity = f64::from(agents) / f64::max(round_seconds, 0.01);
        let rate = f64::from(agents) / f64::max(round_seconds, 1.0);
        for seed in 1..5 {
            let outcome = simulate(Event::StartInOutage, agents, capacity, rate, seed);
            let context = format!("{agents} agents, a round in {round_seconds} s, seed {seed}");
            let early = |a: &&Agent| a.last_attempt_before_answer.is_some();
            assert_eq!(outcome.agents.iter().filter(early).count(), 0, "{context}");
            let answered = outcome.agents.iter().map(|a| a.answered_at.unwrap());
            let last = answered.max().unwrap() - BEGIN - OUTAGE;
            let bound = if round_seconds > 0.0 {
                1.0 + 2.0 * round_seconds
            } else {
                0.5
            };
            assert!(
                last.as_secs_f64() <= bound,
                "{context}: the last is answered after {last:?}"
            );
            let (before, after) = outcome.calls_by_second.split_at(OUTAGE.as_secs() as usize);
            let before: usize = before.iter().sum();
            assert!(
                before as f64 <= max_calls_in_outage(agents),
                "{context}: {before} calls in the outage"
            );
            let after: usize = after.iter().sum();
            assert!(
                after as f64 <= f64::from(agents) * 4.0,
                "{context}: {after} calls after it"
            );
            println!("{context}: last {last:?}, calls in the outage {before}, after it {after}, in the first second {}", outcome.calls_by_second[8]);
        }
    }
}

/// The delay of the next call after a start could not reach discovery must let it serve within 0.5 s
/// of discovery's return. Refused calls use shared capacity, so those are spread by the balancer, and
/// so are the calls of an agent that has a list.
#[test]
fn an_agent_without_a_list_calls_an_unreachable_discovery_again_soon() {
    for seed in 0..100 {
        let mut timer = WatchTimer::new(&settings(300, 40.0, seed));
        for end in [WatchEnd::Disconnected, WatchEnd::TimedOut] {
            let delay = timer.on_watch_end(end).unwrap();
            assert!((ms(200)..ms(400)).contains(&delay), "{end:?}: {delay:?}");
        }
        assert_eq!(timer.on_watch_end(WatchEnd::Refused), None);
        timer.on_response();
        timer.on_watch_end(WatchEnd::Disconnected);
        assert_eq!(timer.on_watch_end(WatchEnd::Disconnected), None);
    }
}
