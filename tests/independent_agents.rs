//! A hundred agents that share no state: what is harmless when one agent does it must stay harmless
//! when all of them do it.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tulipwall::*;

mod harness;
use harness::{canary_status, default_settings, endpoint_entry, ms};

/// The balancers of `n` agents with different seeds; `change` adapts their settings.
fn fleet(n: u32, change: fn(&mut Settings)) -> Vec<Balancer> {
    let requests_per_step = |i: u32| {
        let mut settings = Settings {
            agents: n,
            ..default_settings(u64::from(i) + 1)
        };
        change(&mut settings);
        Balancer::new(ms(1000), settings)
    };
    (0..n).map(requests_per_step).collect()
}

/// Simulates half a minute of a discovery service that sustains `calls_per_second`, with a burst of
/// two seconds; a call that it refuses costs it as much as one that it serves. Returns when the
/// last agent's watch began, or `None` if some agents have no watch, and the most calls in a
/// second.
fn discovery(
    agents: u32,
    calls_per_second: f64,
    change: fn(&mut Settings),
) -> (Option<Duration>, usize) {
    let mut fleet = fleet(agents, change);
    let (mut watching_since_by_agent, mut budget) =
        (vec![None; fleet.len()], calls_per_second * 2.0);
    let mut calls = vec![0; 31];
    for step in 0..3000 {
        let now = ms(1000 + step * 10);
        budget = (budget + calls_per_second / 100.0).min(calls_per_second * 2.0);
        for (balancer, watching_since) in fleet.iter_mut().zip(&mut watching_since_by_agent) {
            if watching_since.is_some() || !balancer.poll(now).open_watch {
                continue;
            }
            calls[step as usize / 100] += 1;
            budget = (budget - 1.0).max(-calls_per_second * 2.0);
            match budget >= 0.0 {
                true => *watching_since = Some(now - ms(1000)),
                false => balancer.on_list_failure(now),
            }
        }
    }
    let all = watching_since_by_agent.iter().all(Option::is_some);
    (
        watching_since_by_agent
            .into_iter()
            .flatten()
            .max()
            .filter(|_| all),
        calls.into_iter().max().unwrap_or(0),
    )
}

fn polled_shared_list(settings: &mut Settings) {
    (settings.list_polled, settings.shared_discovery) = (true, true);
    settings.rollout.votes_per_second = 16.0;
}

#[test]
fn a_hundred_agents_starting_at_once_do_not_overload_discovery() {
    let (last, peak_calls) = discovery(100, 16.0, polled_shared_list);
    assert!(
        last.is_some_and(|t| t < ms(20_000)),
        "some agents never get the list: {last:?}"
    );
    assert!(peak_calls <= 35, "{peak_calls} calls in a second");
    // A few agents do not have to wait.
    let (last, _) = discovery(3, 16.0, polled_shared_list);
    assert!(last.is_some_and(|t| t < ms(300)), "{last:?}");
}

#[test]
fn a_hundred_agents_recover_from_a_discovery_that_refuses_two_calls_in_three() {
    let mut fleet = fleet(100, polled_shared_list);
    let (mut watching, mut calls) = (vec![false; 100], 0u32);
    for step in 0..12_000 {
        for (balancer, watching) in fleet.iter_mut().zip(&mut watching) {
            if *watching || !balancer.poll(ms(1000 + step * 10)).open_watch {
                continue;
            }
            calls += 1;
            *watching = calls.is_multiple_of(3);
            if !*watching {
                balancer.on_list_failure(ms(1000 + step * 10));
            }
        }
    }
    assert_eq!(
        watching.iter().filter(|w| **w).count(),
        100,
        "agents without a watch after two minutes"
    );
}

#[test]
fn calls_for_the_list_at_once_where_discovery_is_not_shared() {
    // What discovery publishes counts as published from the start and may be a drain, so the first
    // call does not wait.
    let mut settings = Settings {
        agents: 100,
        list_polled: true,
        ..default_settings(7)
    };
    settings.rollout.votes_per_second = 16.0;
    assert!(Balancer::new(ms(1000), settings).poll(ms(1000)).open_watch);
}

#[test]
fn keeps_a_bounded_interval_between_calls_without_a_valid_rate() {
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e-300] {
        let mut settings = Settings {
            agents: 100,
            list_polled: true,
            shared_discovery: true,
            ..default_settings(7)
        };
        settings.rollout.votes_per_second = rate;
        let mut balancer = Balancer::new(ms(1000), settings);
        let mut calls = Vec::new();
        for step in 0..6000 {
            let now = ms(1000 + step * 10);
            if balancer.poll(now).open_watch {
                calls.push(now);
                balancer.on_list_failure(now);
            }
        }
        assert!(
            (4..60).contains(&calls.len()),
            "rate {rate}: {} calls in a minute",
            calls.len()
        );
        assert!(
            calls[0] <= ms(6000),
            "rate {rate}: first call at {:?}",
            calls[0]
        );
    }
}

/// How an endpoint of this index and build responds to an attempt at this time: the outcome and the
/// latency.
type Behavior<'a> = &'a dyn Fn(&mut Pcg64Mcg, Duration, usize, u32) -> (Outcome, Duration);

/// Simulates a rollout: build 1 runs on endpoints 0 to 59; build 2 follows from 6 s on with
/// endpoints 60 to 64, and from 10 s on with all up to 95. Each of a hundred agents gets nine
/// requests a second, for 18 s. Returns the agents that voted.
fn rollout(seed: u64, behavior: Behavior) -> Votes {
    surge(seed, 1.0, 0.0, behavior)
}

/// The agents that voted, by verdict, with the time of their first vote.
type Votes = BTreeMap<&'static str, BTreeMap<usize, Duration>>;

/// Simulates the same rollout with the request rate multiplied by `load_factor` from 9 s on, and
/// with the share `wrong_share` of the responses of build 2 reported as wrong two seconds later.
fn surge(seed: u64, load_factor: f64, wrong_share: f64, behavior: Behavior) -> Votes {
    let agents = fleet(100, |settings| {
        (settings.seed, settings.hedging) = (settings.seed * 977, true);
        settings
            .classes
            .iter_mut()
            .for_each(|l| l.latency_objective = ms(900));
        settings.rollout.votes_per_second = 16.0;
        settings.rollout.votes_to_roll_back = 5;
    });
    simulate(
        Scenario {
            agents,
            requests_per_step: 0.045,
            time_left: ms(3400),
            leave: None,
            seed,
            load_factor,
            wrong_share,
        },
        behavior,
    )
}

/// A rollout as above. If `leave` is set, a third of the clients cancel their request after that
/// time unless it has its response by then.
struct Scenario {
    agents: Vec<Balancer>,
    /// Requests of an agent per step of 5 ms.
    requests_per_step: f64,
    time_left: Duration,
    leave: Option<Duration>,
    seed: u64,
    load_factor: f64,
    wrong_share: f64,
}

/// What happens to a request after it was received.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The attempt of this number ends.
    AttemptEnd(usize),
    /// The client cancels the request.
    Leave,
    /// The balancer is called again, as it asked.
    Recheck,
}

struct AttemptInFlight {
    latency: Duration,
    outcome: Outcome,
    sent_at: Duration,
}

struct ReportedError {
    at: Duration,
    agent: usize,
    endpoint: usize,
}

struct Simulation<'a> {
    scenario: Scenario,
    behavior: Behavior<'a>,
    now: Duration,
    random: Pcg64Mcg,
    /// Events to come, by time, agent and request.
    pending: BTreeSet<(Duration, usize, u64, Event)>,
    /// By agent, request and attempt number.
    in_flight: BTreeMap<(usize, u64, usize), AttemptInFlight>,
    /// Number of attempts by agent and request.
    attempts_sent: BTreeMap<(usize, u64), usize>,
    /// Endpoint of the latest attempt, by agent and request.
    last_endpoint: BTreeMap<(usize, u64), usize>,
    reported_errors: Vec<ReportedError>,
    votes: Votes,
}

fn simulate(scenario: Scenario, behavior: Behavior) -> Votes {
    let mut simulation = Simulation {
        random: Pcg64Mcg::seed_from_u64(scenario.seed),
        scenario,
        behavior,
        now: Duration::ZERO,
        pending: BTreeSet::new(),
        in_flight: BTreeMap::new(),
        attempts_sent: BTreeMap::new(),
        last_endpoint: BTreeMap::new(),
        reported_errors: Vec::new(),
        votes: BTreeMap::new(),
    };
    for step in 0..3600 {
        simulation.now = ms(1000 + step * 5);
        for agent in 0..simulation.scenario.agents.len() {
            simulation.step(step, agent);
        }
    }
    simulation.votes
}

fn endpoints(
    range: std::ops::Range<usize>,
    build: u32,
    started: Option<u64>,
) -> Vec<EndpointEntry> {
    range.map(|i| endpoint_entry(i, build, started)).collect()
}

impl Simulation<'_> {
    fn step(&mut self, step: u64, agent: usize) {
        self.publish(step, agent);
        self.report_errors(agent);
        self.poll(agent);
        let mut decisions = self.handle_events(agent);
        decisions.extend(self.send_request(step, agent));
        while let Some((id, decision)) = decisions.pop() {
            decisions.extend(self.apply(agent, id, decision));
        }
    }

    /// Publishes the endpoint list and the rollout status that are due at this step.
    fn publish(&mut self, step: u64, agent: usize) {
        let now = self.now;
        let balancer = &mut self.scenario.agents[agent];
        match step {
            0 => {
                balancer.update_rollout(RolloutStatus {
                    phase: RolloutPhase::Released,
                    since: Duration::ZERO,
                    ..canary_status(1, 2, 1.0)
                });
                balancer.update_endpoints(now, &endpoints(0..60, 1, None), true);
            }
            1000 => balancer.update_rollout(RolloutStatus {
                since: now,
                ..canary_status(2, 0, 0.16)
            }),
            1200 => balancer.update_endpoints(now, &endpoints(60..65, 2, Some(6900)), false),
            1800 => balancer.update_rollout(RolloutStatus {
                since: now,
                ..canary_status(2, 1, 1.0)
            }),
            2000 => balancer.update_endpoints(now, &endpoints(65..96, 2, Some(10_900)), false),
            _ => {}
        }
    }

    fn report_errors(&mut self, agent: usize) {
        let now = self.now;
        let balancer = &mut self.scenario.agents[agent];
        self.reported_errors.retain(|error| {
            let is_due = error.agent == agent && error.at <= now;
            if is_due {
                balancer.on_client_reported_error(now, error.endpoint, 0, ms(2000));
            }
            !is_due
        });
    }

    fn poll(&mut self, agent: usize) {
        let balancer = &mut self.scenario.agents[agent];
        let Some(vote) = balancer.poll(self.now).vote else {
            return;
        };
        let verdict = match vote.verdict {
            Verdict::Hold => "hold",
            Verdict::RollBack => "back",
            Verdict::Withdraw => "none",
        };
        let voters = self.votes.entry(verdict).or_default();
        voters.entry(agent).or_insert(self.now);
        balancer.on_vote_reply(self.now, VoteReply::Counted);
    }

    fn handle_events(&mut self, agent: usize) -> Vec<(u64, Decision)> {
        let due: Vec<_> = self
            .pending
            .iter()
            .take_while(|(at, ..)| *at <= self.now)
            .filter(|(_, of_agent, ..)| *of_agent == agent)
            .copied()
            .collect();
        let mut decisions = Vec::new();
        for event in due {
            self.pending.remove(&event);
            let (_, _, id, event) = event;
            let decision = match event {
                Event::AttemptEnd(number) => self.end_attempt(agent, id, number),
                Event::Leave => {
                    self.leave(agent, id);
                    None
                }
                Event::Recheck => Some(self.scenario.agents[agent].route(self.now, id)),
            };
            decisions.extend(decision.map(|decision| (id, decision)));
        }
        decisions
    }

    fn end_attempt(&mut self, agent: usize, id: u64, number: usize) -> Option<Decision> {
        let attempt = self.in_flight.remove(&(agent, id, number))?;
        if let Some(endpoint) = self.last_endpoint.remove(&(agent, id)) {
            if endpoint >= 60 && self.random.gen_bool(self.scenario.wrong_share) {
                self.reported_errors.push(ReportedError {
                    at: self.now + ms(2000),
                    agent,
                    endpoint,
                });
            }
        }
        let end = AttemptEnd {
            outcome: attempt.outcome,
            latency: attempt.latency,
            request_closed: attempt.outcome == Outcome::Succeeded,
            reported_load: None,
        };
        Some(self.scenario.agents[agent].on_attempt_end(self.now, id, number, end))
    }

    /// Closes the request of a client that left and cancels its attempts in flight.
    fn leave(&mut self, agent: usize, id: u64) {
        let numbers: Vec<usize> = self
            .in_flight
            .range((agent, id, 0)..=(agent, id, usize::MAX))
            .map(|((_, _, number), _)| *number)
            .collect();
        if numbers.is_empty() {
            return;
        }
        self.scenario.agents[agent].close_request(id);
        for number in numbers {
            let attempt = self.in_flight.remove(&(agent, id, number)).unwrap();
            self.cancelled(agent, id, number, self.now - attempt.sent_at);
        }
    }

    fn cancelled(&mut self, agent: usize, id: u64, number: usize, latency: Duration) -> Decision {
        let end = AttemptEnd {
            outcome: Outcome::Cancelled,
            latency,
            request_closed: true,
            reported_load: None,
        };
        self.scenario.agents[agent].on_attempt_end(self.now, id, number, end)
    }

    fn send_request(&mut self, step: u64, agent: usize) -> Option<(u64, Decision)> {
        let load_factor = if step > 1600 {
            self.scenario.load_factor
        } else {
            1.0
        };
        let probability = self.scenario.requests_per_step * load_factor;
        if !self.random.gen_bool(probability) {
            return None;
        }
        let request = Request {
            class: [0, 0, 0, 0, 1, 1, 1, 1, 2][self.random.gen_range(0..9)],
            tenant: Some(0),
            key: None,
            time_left: self.scenario.time_left,
            estimated_work: None,
            is_retry: false,
        };
        let id = step * 100 + agent as u64;
        self.scenario.agents[agent].on_request(self.now, id, request);
        if let Some(after) = self.scenario.leave {
            if self.random.gen_bool(1.0 / 3.0) {
                let leave = (self.now + after, agent, id, Event::Leave);
                self.pending.insert(leave);
            }
        }
        Some((id, self.scenario.agents[agent].route(self.now, id)))
    }

    fn apply(&mut self, agent: usize, id: u64, decision: Decision) -> Option<(u64, Decision)> {
        match decision {
            Decision::Forward {
                endpoint,
                recheck_at,
                ..
            } => {
                self.forward(agent, id, endpoint);
                let recheck = recheck_at.map(|at| (at, agent, id, Event::Recheck));
                self.pending.extend(recheck);
                None
            }
            Decision::Defer { until } => {
                self.pending.insert((until, agent, id, Event::Recheck));
                None
            }
            Decision::Cancel { attempt } => {
                let cancelled = self.in_flight.remove(&(agent, id, attempt))?;
                Some((id, self.cancelled(agent, id, attempt, cancelled.latency)))
            }
            _ => None,
        }
    }

    fn forward(&mut self, agent: usize, id: u64, endpoint: usize) {
        let number = self.attempts_sent.entry((agent, id)).or_default();
        let build = if endpoint < 60 { 1 } else { 2 };
        let (outcome, latency) = (self.behavior)(&mut self.random, self.now, endpoint, build);
        let ends_at = self.now + latency;
        self.pending
            .insert((ends_at, agent, id, Event::AttemptEnd(*number)));
        self.in_flight.insert(
            (agent, id, *number),
            AttemptInFlight {
                latency,
                outcome,
                sent_at: self.now,
            },
        );
        *number += 1;
        self.last_endpoint.insert((agent, id), endpoint);
    }
}

/// Simulates six agents that get eight requests a second each. A request takes 2.3 s on average. On
/// one endpoint in five, slower hardware makes it take six times as long. After 11 s, all requests
/// take `slows` times as long. A third of the clients leave after five seconds.
fn few_busy_agents(seed: u64, slows: f64) -> Votes {
    let agents = fleet(6, |settings| {
        (settings.seed, settings.hedging, settings.cross_zone_price) =
            (settings.seed * 977, true, 0.04);
        settings
            .classes
            .iter_mut()
            .for_each(|l| l.latency_objective = ms(14_000));
    });
    let behavior = |rng: &mut Pcg64Mcg, now: Duration, endpoint: usize, _: u32| {
        let hardware = if endpoint % 5 == 3 { 6.0 } else { 1.0 };
        let slowdown = if now > ms(11_000) { slows } else { 1.0 };
        (
            Outcome::Succeeded,
            exponential(rng, 2.3 * hardware * slowdown),
        )
    };
    let leave = Some(ms(5000));
    simulate(
        Scenario {
            agents,
            requests_per_step: 0.04,
            time_left: ms(23_000),
            leave,
            seed,
            load_factor: 1.0,
            wrong_share: 0.0,
        },
        &behavior,
    )
}

#[test]
fn holds_only_a_build_that_slows_all_endpoints_when_requests_take_seconds() {
    let voters = |seed, slows| {
        few_busy_agents(seed, slows)
            .values()
            .flat_map(|v| v.keys())
            .collect::<BTreeSet<_>>()
            .len()
    };
    let bad: Vec<usize> = (1..9).map(|seed| voters(seed, 4.0)).collect();
    let good: Vec<usize> = (1..9).map(|seed| voters(seed, 1.0)).collect();
    assert!(
        bad.iter().all(|n| *n > 0) && bad.iter().sum::<usize>() >= 16,
        "voters against each bad build: {bad:?}"
    );
    assert!(
        good.iter().sum::<usize>() <= 1,
        "voters against each good build: {good:?}"
    );
}

fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> Duration {
    Duration::from_secs_f64(-mean * rng.gen_range(1e-6..1.0f64).ln())
}

#[test]
fn almost_never_holds_a_good_build_while_endpoints_of_both_builds_are_faulty() {
    // One endpoint in six fails four of five attempts while the canary gets its traffic.
    let behavior = |rng: &mut Pcg64Mcg, now: Duration, endpoint: usize, _: u32| {
        let is_faulty = endpoint % 6 == 3 && now > ms(10_000) && rng.gen_bool(0.8);
        (
            if is_faulty {
                Outcome::Failed
            } else {
                Outcome::Succeeded
            },
            exponential(rng, 0.15),
        )
    };
    // On average at most two agents of a rollout vote, and never enough of them to roll back.
    let rollouts = 12;
    let mut voters = 0;
    for seed in 1..=rollouts {
        let votes = rollout(seed, &behavior);
        let count = |verdict: &str| votes.get(verdict).map_or(0, BTreeMap::len);
        assert!(count("back") < 5, "{votes:?}");
        voters += count("hold") + count("back");
    }
    assert!(
        voters <= 2 * rollouts as usize,
        "{voters} voters in {rollouts} rollouts of a good build"
    );
}

#[test]
fn holds_or_rolls_back_a_failing_build_that_gets_little_traffic_per_agent() {
    let behavior = |rng: &mut Pcg64Mcg, _: Duration, _: usize, build: u32| {
        let fails = build == 2 && rng.gen_bool(0.3);
        (
            if fails {
                Outcome::Failed
            } else {
                Outcome::Succeeded
            },
            exponential(rng, 0.15),
        )
    };
    for seed in 1..4 {
        let votes = rollout(seed, &behavior);
        let first = votes
            .iter()
            .filter(|v| *v.0 != "none")
            .flat_map(|v| v.1.values())
            .min();
        assert!(first.is_some_and(|t| *t < ms(14_500)), "{votes:?}");
        assert!(votes.get("back").map_or(0, BTreeMap::len) >= 5, "{votes:?}");
    }
}

#[test]
fn several_agents_roll_back_a_build_that_slows_all_endpoints_but_not_a_good_one() {
    for (seed, slows) in [(1, true), (2, true), (3, false), (4, false), (5, false)] {
        let behavior = |rng: &mut Pcg64Mcg, now: Duration, _: usize, _: u32| {
            let mean = if slows && now > ms(11_000) { 0.5 } else { 0.15 };
            (Outcome::Succeeded, exponential(rng, mean))
        };
        let votes = rollout(seed, &behavior);
        let back = votes.get("back").map_or(0, BTreeMap::len);
        assert!(
            if slows { back >= 5 } else { back < 3 },
            "build slows all endpoints: {slows}, votes: {votes:?}"
        );
    }
}

#[test]
fn does_not_roll_back_a_build_for_a_surge_that_slows_all_endpoints() {
    for seed in 1..3 {
        let behavior = |rng: &mut Pcg64Mcg, now: Duration, _: usize, _: u32| {
            (
                Outcome::Succeeded,
                exponential(rng, if now > ms(9500) { 0.5 } else { 0.15 }),
            )
        };
        let votes = surge(seed, 2.0, 0.0, &behavior);
        assert!(votes.get("back").map_or(0, BTreeMap::len) < 5, "{votes:?}");
    }
}

#[test]
fn rolls_back_for_few_reported_errors_at_each_agent_but_not_for_single_ones() {
    let behavior = |rng: &mut Pcg64Mcg, _: Duration, _: usize, _: u32| {
        (Outcome::Succeeded, exponential(rng, 0.15))
    };
    for (seed, reported_share) in [(1, 0.045), (2, 0.045), (3, 0.002), (4, 0.002)] {
        let votes = surge(seed, 1.0, reported_share, &behavior);
        let back = votes.get("back").map_or(0, BTreeMap::len);
        assert!(
            if reported_share > 0.01 {
                back >= 5
            } else {
                back < 5
            },
            "reported share {reported_share}: {votes:?}"
        );
    }
}

/// Guards large fleets before the platform's first status: each decision scanned all endpoints once
/// per endpoint, which took 5.2 ms with 1,024 endpoints instead of 0.04 ms.
#[test]
fn decides_fast_among_a_thousand_endpoints_without_a_rollout_status() {
    let mut balancer = fleet(1, |settings| settings.agents = 1024).remove(0);
    let list: Vec<EndpointEntry> = (0..1024).map(|i| endpoint_entry(i, 41, None)).collect();
    balancer.update_endpoints(ms(1000), &list, true);
    let begun = std::time::Instant::now();
    for id in 0..200 {
        let request = Request {
            class: 0,
            tenant: None,
            key: None,
            time_left: ms(1000),
            estimated_work: None,
            is_retry: false,
        };
        balancer.on_request(ms(1000), id, request);
        assert!(matches!(
            balancer.route(ms(1000), id),
            Decision::Forward { .. }
        ));
        let end = AttemptEnd {
            outcome: Outcome::Succeeded,
            latency: ms(15),
            request_closed: true,
            reported_load: None,
        };
        balancer.on_attempt_end(ms(1015), id, 0, end);
    }
    assert!(
        begun.elapsed() < ms(2000),
        "{:?} for 200 decisions",
        begun.elapsed()
    );
}
