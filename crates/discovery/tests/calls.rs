//! Fleets whose calls for lists meet a discovery that answers so many a second and refuses the
//! rest, in simulated time: the decisions and the watch of each agent, without sockets.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tulipwall::{Balancer, Decision, EndpointEntry, EndpointState, Request, Settings};
use tulipwall_config::{Fields, ServiceConfig};
use tulipwall_discovery::list_lease::ListLease;
use tulipwall_discovery::watch_timer::{WatchEnd, WatchTimer};
use tulipwall_testkit::*;

const STEP: Duration = ms(10);
/// When the day begins for the module, whose clock does not begin at nothing.
const BEGIN: Duration = ms(100_000);
/// What is missed counts as told so long after; after SIGHUP this much later.
const TOLD: Duration = ms(6000);
const MOVED_TOLD: Duration = ms(4000);
/// The time of a request; at half of it it is rejected where it cannot be sent.
const COMMAND: Duration = ms(1000);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What befalls all agents.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Start,
    /// A new address, to each within 2 s.
    Move,
    /// Their watches fall silent, right after an answer to all.
    Silence,
}

struct Agent {
    choice: Balancer,
    watchdog: WatchTimer,
    list_valid_until: ListLease,
    again: Option<Duration>,
    stands: Option<Duration>, // until when its call waits
    moved: Duration,
    bound: Duration, // when what it missed counts as told
    heard: Option<Duration>,
    sent: Option<Duration>, // the last attempt before it was heard
    sends: bool,            // since it was heard
    open: Vec<u64>,
    held: u64, // requests that were not sent as they came
    rejected: u64,
    refused: bool,
}

/// What became of a fleet.
struct Day {
    agents: Vec<Agent>,
    tries: Vec<usize>, // by second
}

fn deployment(agents: u32, rate: f64, seed: u64) -> Settings {
    let value = agent_process::settings(&["a"], "a", agents, &agent_process::classes());
    let mut d = ServiceConfig::read(&Fields::new(&value, "settings").unwrap(), seed)
        .unwrap()
        .settings;
    (d.list_polled, d.shared_discovery, d.max_poll_interval) = (true, true, ms(10_000));
    d.rollout.votes_per_second = rate;
    d
}

fn endpoint(n: usize) -> EndpointEntry {
    let (started, standing) = (None, EndpointState::Running);
    EndpointEntry {
        endpoint: n,
        zone: 0,
        cell: 0,
        identity: n as u64,
        endpoint_type: 0,
        build: 41,
        state: standing,
        started,
    }
}

/// `agents` before a discovery that answers `bears` calls a second and refuses the rest; those of
/// one second may come at once. The rate that the settings tell is `told`.
fn play(event: Event, agents: u32, bears: f64, told: f64, seed: u64) -> Day {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let each = |i: u32| {
        let d = deployment(agents, told, seed * 10_000 + u64::from(i));
        let mut choice = Balancer::new(BEGIN, d.clone());
        choice.update_endpoints(BEGIN, &[endpoint(0), endpoint(1), endpoint(2)], true);
        let (mut watchdog, mut list_valid_until) = (WatchTimer::new(&d), ListLease::new(&d, BEGIN));
        let (mut stands, mut moved, mut bound) = (None, BEGIN, BEGIN + TOLD);
        if event != Event::Start {
            choice.poll(BEGIN + ms(20_000)); // its first call is behind it
            watchdog.on_response();
            let wait = watchdog.next_wait();
            list_valid_until.on_response(BEGIN, wait);
            stands = Some(BEGIN + wait);
            bound = BEGIN + TOLD.max(wait + ms(2000));
        }
        if event == Event::Move {
            moved = BEGIN + ms(rng.gen_range(0..2000));
            bound = moved + MOVED_TOLD;
        }
        let again = watchdog
            .startup_delay()
            .filter(|_| event == Event::Start)
            .map(|gap| BEGIN + gap);
        let (heard, sent) = (None, None);
        Agent {
            choice,
            watchdog,
            list_valid_until,
            again,
            stands,
            moved,
            bound,
            heard,
            sent,
            sends: false,
            open: Vec::new(),
            held: 0,
            rejected: 0,
            refused: false,
        }
    };
    let mut agents: Vec<Agent> = (0..agents).map(each).collect();
    let most = bears.max(1.0);
    let (mut spare, mut tries) = (most, vec![0; 120]);
    for step in 0..12_000 {
        let now = BEGIN + STEP * step;
        spare = (spare + bears * STEP.as_secs_f64()).min(most);
        for (i, a) in agents.iter_mut().enumerate() {
            if a.heard.is_none() {
                let due = a.choice.poll(now).open_watch;
                if event == Event::Move && now >= a.moved && a.stands.take().is_some() {
                    // The old watch stood until then.
                    a.list_valid_until.on_response(now, ms(0));
                    a.list_valid_until.on_address_change(now);
                    a.again = Some(now + a.watchdog.on_address_change());
                } else if event == Event::Silence
                    && a.stands
                        .is_some_and(|t| now >= t + a.watchdog.response_grace())
                {
                    a.stands = None;
                    a.list_valid_until.on_watch_end(now, WatchEnd::TimedOut);
                    a.again = a
                        .watchdog
                        .on_watch_end(WatchEnd::TimedOut)
                        .map(|gap| now + gap);
                }
                if a.stands.is_none()
                    && (due && a.again.is_none() || a.again.is_some_and(|t| now >= t))
                {
                    tries[step as usize / 100] += 1;
                    a.again = None;
                    a.list_valid_until.on_watch_begin(now);
                    if spare >= 1.0 {
                        spare -= 1.0;
                        a.heard = Some(now);
                        a.watchdog.on_response();
                        let wait = a.watchdog.next_wait();
                        a.list_valid_until.on_response(now, wait);
                        a.choice.update_endpoints(now, &[], false);
                    } else {
                        a.list_valid_until.on_watch_end(now, WatchEnd::Refused);
                        a.refused = true;
                        a.again = a
                            .watchdog
                            .on_watch_end(WatchEnd::Refused)
                            .map(|gap| now + gap);
                        if a.again.is_none() {
                            a.choice.on_list_failure(now);
                        }
                    }
                }
                a.choice
                    .set_list_valid_until(a.list_valid_until.valid_until());
            }
            // Each asks five times a second, apart.
            if a.heard.is_none_or(|t| now < t + ms(500)) && (step as usize + i).is_multiple_of(20) {
                let id = u64::from(step);
                let (class, left) = (0, COMMAND);
                let command = Request {
                    class,
                    tenant: None,
                    key: None,
                    time_left: left,
                    estimated_work: None,
                    is_retry: false,
                };
                a.choice.on_request(now, id, command);
                a.open.push(id);
                place(a, now);
                a.held += u64::from(a.open.contains(&id));
            }
            // What waits is looked at ten times a second.
            if (step as usize + i).is_multiple_of(10) {
                place(a, now);
            }
        }
        if agents.iter().all(|a| a.sends) {
            break;
        }
    }
    Day { agents, tries }
}

/// Asks what becomes of the requests that are open.
fn place(a: &mut Agent, now: Duration) {
    for id in std::mem::take(&mut a.open) {
        match a.choice.route(now, id) {
            Decision::Forward { .. } if a.heard.is_some() => a.sends = true,
            Decision::Forward { .. } => a.sent = Some(now),
            Decision::Defer { .. } => {
                a.open.push(id);
                continue;
            }
            _ => a.rejected += 1,
        }
        a.choice.close_request(id);
    }
}

/// Before a discovery that bears one call of each agent in `span` seconds, which is what the
/// settings tell, or in `tight`, a tenth of that.
fn borne(event: Event, span: f64, tight: f64) {
    for (agents, over) in [
        (30u32, 1.0),
        (300, 1.0),
        (770, 1.0),
        (30, 10.0),
        (300, 10.0),
    ] {
        // Where the told rate spreads nothing the tries that follow refusals have to: those are
        // closer then.
        let bears = f64::from(agents) / if over > 1.0 { tight } else { span };
        for seed in 1..9 {
            let day = play(event, agents, bears, bears * over, seed);
            let late: Vec<_> = day
                .agents
                .iter()
                .filter(|a| a.heard.is_none_or(|t| t > a.bound))
                .collect();
            let worst = late.iter().map(|a| a.heard.map(|t| t - a.bound)).max();
            let of =
                format!("{event:?}, {agents} agents, {over} times what is borne told, seed {seed}");
            assert!(late.is_empty(), "{of}: {} late, {worst:?}", late.len());
            let (most, all) = (
                *day.tries.iter().max().unwrap(),
                day.tries.iter().sum::<usize>(),
            );
            assert!(
                most as f64 <= bears * over * 1.35 + 6.0,
                "{of}: {most} calls in a second, {bears} borne"
            );
            assert!(
                all as f64 <= f64::from(agents) * (1.05 + 0.3 * over),
                "{of}: {all} calls"
            );
            // Where all are heard in time nobody goes without, but starts: those send nothing
            // before, and nothing waits for longer.
            let held = day
                .agents
                .iter()
                .filter(|_| event != Event::Start)
                .map(|a| a.held);
            assert_eq!(held.sum::<u64>(), 0, "{of}");
            for a in &day.agents {
                let waited = a
                    .heard
                    .unwrap()
                    .saturating_sub(BEGIN + COMMAND / 2)
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
fn all_that_start_at_once_are_heard_before_what_they_missed_counts() {
    borne(Event::Start, 3.0, 4.5);
}

#[test]
fn all_that_are_told_to_move_within_two_seconds_are_heard_before_it_counts() {
    borne(Event::Move, 3.0, 3.75);
}

#[test]
fn all_whose_watches_fall_silent_at_once_are_heard_before_it_counts() {
    borne(Event::Silence, 8.0, 8.0);
}

/// Discovery bears far less than the settings tell: one call of each agent in 8 s, and in 30 s. Who
/// was not heard in time sends nothing until it is heard; before that, and from then on, it does.
#[test]
fn who_is_refused_for_longer_than_the_bound_sends_nothing_until_it_is_heard() {
    for (event, agents, span) in [
        (Event::Start, 30, 8.0),
        (Event::Start, 300, 30.0),
        (Event::Move, 30, 8.0),
        (Event::Move, 770, 30.0),
        (Event::Silence, 300, 30.0),
    ] {
        let day = play(
            event,
            agents,
            f64::from(agents) / span,
            f64::from(agents),
            7,
        );
        let bound = |a: &Agent| match event {
            // Lists that are asked for count 6 s after the move; what it heard before that is no
            // news.
            Event::Move => a.moved + TOLD,
            // What the process before it missed binds it from its first moment.
            Event::Start => BEGIN,
            _ => a.bound,
        };
        let late = day
            .agents
            .iter()
            .filter(|a| a.heard.is_none_or(|t| t > bound(a) + ms(200)))
            .count();
        assert!(
            late > 0,
            "{event:?}: all are heard in time, so this shows nothing"
        );
        for a in &day.agents {
            let (bound, heard) = (bound(a), a.heard.expect("each is heard in the end"));
            // Who is heard at once has nothing to send before.
            let sent = a.sent.unwrap_or(BEGIN);
            // A start does not know how old its list is.
            assert!(
                event != Event::Start || a.sent.is_none(),
                "{event:?}: sent {:?}",
                sent - BEGIN
            );
            assert!(
                sent <= bound,
                "{event:?}: sent {:?} after it counted",
                sent - bound
            );
            // Nobody goes without for longer than that: its requests come 0.2 s apart.
            let last = bound.min(heard);
            assert!(
                sent + ms(250) >= last,
                "{event:?}: the last went out {:?} before",
                last - sent
            );
            assert!(a.sends, "{event:?}: it sends again once heard");
        }
        let most = *day.tries.iter().max().unwrap() as f64;
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
fn refused_agents_try_often_enough_to_use_what_discovery_bears() {
    for agents in [30u32, 300] {
        let bears = f64::from(agents) / 8.0;
        let (mut beyond, mut worst) = (Duration::ZERO, Duration::ZERO);
        for seed in 1..21 {
            for a in play(Event::Start, agents, bears, bears * 10.0, seed).agents {
                let late = a
                    .heard
                    .expect("each is heard in the end")
                    .saturating_sub(a.bound);
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
fn a_start_sends_nothing_by_a_list_of_unknown_age_before_discovery_was_heard() {
    for (agents, share) in [30u32, 300, 770]
        .into_iter()
        .flat_map(|n| [1.0, 3.0, 5.0].map(|s| (n, s)))
    {
        let told = f64::from(agents) / share;
        for times in [0.1, 1.0, 3.0] {
            let bears = told * times;
            // Where all wait for long one fleet of this size shows enough.
            for seed in 1..if times < 1.0 { 2 } else { 4 } {
                let day = play(Event::Start, agents, bears, told, seed);
                let of =
                    format!("{agents} agents, share {share} s, {times} times borne, seed {seed}");
                let sent = day.agents.iter().filter_map(|a| a.sent).collect::<Vec<_>>();
                assert!(
                    sent.is_empty(),
                    "{of}: {} send unheard, up to {:?}",
                    sent.len(),
                    sent.iter().max()
                );
                // What discovery bears is used: the last is heard not much later than if every call
                // had come in turn.
                let last = day
                    .agents
                    .iter()
                    .map(|a| a.heard.expect("each is heard in the end") - BEGIN)
                    .max();
                let (last, need) = (last.unwrap().as_secs_f64(), f64::from(agents) / bears);
                assert!(
                    last <= if times < 1.0 { need * 1.35 } else { 6.0 },
                    "{of}: the last after {last} s"
                );
                // A third more than are told at first, and chance; refused ones try again, a
                // quarter of the share later at least.
                let (most, all) = (
                    *day.tries.iter().max().unwrap() as f64,
                    day.tries.iter().sum::<usize>(),
                );
                let (second, each) = if times < 1.0 {
                    (told * 3.5, 9.0)
                } else {
                    (told * 4.0 / 3.0, 1.3)
                };
                assert!(
                    most <= second + 3.0 * second.sqrt() + 1.0,
                    "{of}: {most} calls in a second"
                );
                assert!(all as f64 <= f64::from(agents) * each, "{of}: {all} calls");
                // At most one in ten goes without for 4 s, where discovery bears those calls.
                let without = |a: &&Agent| a.heard.is_some_and(|t| t > BEGIN + ms(4000));
                let without = day.agents.iter().filter(without).count();
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
fn a_start_whose_discovery_cannot_be_reached_serves_by_its_list_for_as_long() {
    let d = deployment(5, 1.0, 1);
    for ended in [WatchEnd::Disconnected, WatchEnd::TimedOut] {
        let mut list_valid_until = ListLease::new(&d, BEGIN);
        assert_eq!(
            list_valid_until.valid_until(),
            Some(BEGIN),
            "nothing before its first call"
        );
        for n in 1..20 {
            // Further apart than what one call vouches for.
            let (begun, failed) = (BEGIN + ms(10_000 * n), BEGIN + ms(10_000 * n + 100));
            list_valid_until.on_watch_begin(begun);
            list_valid_until.on_watch_end(failed, ended);
            assert_eq!(
                list_valid_until.valid_until(),
                Some(begun + TOLD),
                "{ended:?}, call {n}"
            );
        }
        // It was there: what it holds counts from then on.
        list_valid_until.on_watch_begin(BEGIN + ms(201_000));
        list_valid_until.on_watch_end(BEGIN + ms(201_100), WatchEnd::Refused);
        assert!(list_valid_until
            .valid_until()
            .is_some_and(|t| t <= BEGIN + ms(201_100)));
        list_valid_until.on_watch_begin(BEGIN + ms(203_000));
        list_valid_until.on_watch_end(BEGIN + ms(203_100), ended);
        assert!(
            list_valid_until
                .valid_until()
                .is_some_and(|t| t <= BEGIN + ms(201_100)),
            "{ended:?} after a refusal"
        );
        list_valid_until.on_response(BEGIN + ms(205_000), ms(1000));
        assert_eq!(list_valid_until.valid_until(), Some(BEGIN + ms(211_000)));
    }
}
