//! The lease of the endpoint list: no order of responses, failures and address changes lets an agent
//! use a list that may lack a change which it must comply with.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tulipwall::Settings;
use tulipwall_config::{Fields, ServiceConfig};
use tulipwall_discovery::list_lease::{LeaseEndReason, ListLease};
use tulipwall_discovery::watch_timer::WatchEnd;
use tulipwall_testkit::agent_process;

const START: Duration = ms(100_000);
const CHANGE_GRACE: Duration = ms(6000);
const PUSHED_ADDRESS_CHANGE_GRACE: Duration = ms(4000);
const WAIT: Duration = ms(1000);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn settings(is_polled: bool) -> Settings {
    let value = agent_process::settings(&["a"], "a", 1, &agent_process::classes());
    let fields = Fields::new(&value, "settings").unwrap();
    let mut settings = ServiceConfig::read(&fields, 1).unwrap().settings;
    settings.list_polled = true;
    settings.shared_discovery = is_polled;
    settings
}

/// A lease that was renewed by a response at [`START`].
fn renewed(is_polled: bool) -> ListLease {
    let mut lease = ListLease::new(&settings(is_polled), START);
    lease.on_watch_begin(START);
    lease.on_response(START, WAIT);
    lease
}

fn fail_first_call(lease: &mut ListLease, at: Duration, end: WatchEnd) {
    lease.on_watch_begin(at);
    lease.on_watch_end(at, end);
}

/// Guards against a pushed list that counts as valid without an end while discovery answers, but not
/// with a list.
#[test]
fn ends_a_pushed_list_after_responses_without_a_list() {
    for (end, reason) in [
        (WatchEnd::Refused, LeaseEndReason::Refused),
        (WatchEnd::Malformed, LeaseEndReason::Malformed),
    ] {
        let mut lease = renewed(false);
        assert_eq!(lease.valid_until(), None);
        lease.on_watch_end(START + ms(500), end);
        let expected = START + ms(500) + CHANGE_GRACE;
        assert_eq!(lease.valid_until(), Some(expected));
        assert_eq!(lease.end().unwrap().reason, reason);
        // Neither a later refusal nor an outage renews it.
        for (n, end) in [end, WatchEnd::TimedOut, WatchEnd::Disconnected, end]
            .into_iter()
            .enumerate()
        {
            fail_first_call(&mut lease, START + ms(1000 * (n as u64 + 1)), end);
            assert_eq!(lease.valid_until(), Some(expected));
        }
        lease.on_response(START + ms(20_000), WAIT);
        assert_eq!(lease.valid_until(), None);
    }
}

/// Guards against a refusal at the return from an outage that lets an agent go on: what discovery has
/// at its return counts as announced at once.
#[test]
fn ends_a_pushed_list_at_once_when_discovery_refuses_after_an_outage() {
    let mut lease = renewed(false);
    lease.on_watch_end(START + ms(1250), WatchEnd::TimedOut);
    for n in 2..30 {
        fail_first_call(&mut lease, START + ms(1000 * n), WatchEnd::TimedOut);
        assert_eq!(
            lease.valid_until(),
            None,
            "an outage does not end the lease"
        );
    }
    fail_first_call(&mut lease, START + ms(30_000), WatchEnd::Refused);
    assert!(lease.valid_until().unwrap() <= START + ms(30_000));
}

/// Guards against a polled list whose lease is renewed by an outage after discovery was reached and
/// refused the calls that would have brought changes.
#[test]
fn an_outage_after_a_refusal_does_not_renew_a_polled_list() {
    for outage in [WatchEnd::TimedOut, WatchEnd::Disconnected] {
        for refusal in [WatchEnd::Refused, WatchEnd::Malformed] {
            let mut lease = renewed(true);
            lease.on_watch_end(START + ms(500), WatchEnd::Disconnected);
            fail_first_call(&mut lease, START + ms(1000), refusal);
            for n in 2..20 {
                fail_first_call(&mut lease, START + ms(1000 * n), outage);
            }
            let expected = START + ms(500) + CHANGE_GRACE;
            assert_eq!(
                lease.valid_until(),
                Some(expected),
                "{refusal:?}, {outage:?}"
            );
        }
    }
}

/// A list of which some entries could not be read is a list: the others were applied.
#[test]
fn a_list_with_unreadable_entries_renews_the_lease() {
    for is_polled in [false, true] {
        let mut lease = ListLease::new(&settings(is_polled), START);
        lease.on_watch_begin(START);
        lease.on_response(START + ms(10), WAIT);
        lease.on_watch_end(START + ms(10), WatchEnd::PartlyMalformed);
        let expected = is_polled.then_some(START + ms(10) + CHANGE_GRACE);
        assert_eq!(lease.valid_until(), expected);
    }
}

/// The state of the reference: what is certain about the list, told by the events alone.
struct Reference {
    /// When the last list arrived from the current address; `None` before.
    last_list: Option<Duration>,
    /// When the process started or the address changed first, since the last list.
    first_move: Duration,
    /// When discovery was first reached without a list since the last one.
    reached: Option<Duration>,
    is_started: bool,
}

/// Plays orders of responses, failures and address changes at random. Until a list arrives after a
/// start, none is valid; after an address change, or once discovery was reached without sending a
/// list, none is valid for longer than the rules allow; in an outage alone, a list stays valid.
#[test]
fn keeps_to_the_rules_in_random_orders_of_events() {
    let ends = [
        WatchEnd::TimedOut,
        WatchEnd::Disconnected,
        WatchEnd::Refused,
        WatchEnd::Malformed,
    ];
    let (mut bounded, mut outlasting) = (0, 0);
    for seed in 0..10_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let is_polled = rng.gen_bool(0.5);
        let mut lease = ListLease::new(&settings(is_polled), START);
        let mut reference = Reference {
            last_list: None,
            first_move: START,
            reached: None,
            is_started: false,
        };
        let move_grace = if is_polled {
            CHANGE_GRACE
        } else {
            PUSHED_ADDRESS_CHANGE_GRACE
        };
        let mut now = START;
        for _ in 0..12 {
            now += ms(rng.gen_range(10..2500));
            match rng.gen_range(0..10) {
                0 | 1 => {
                    lease.on_watch_begin(now);
                    lease.on_response(now, WAIT);
                    reference.last_list = Some(now);
                    reference.reached = None;
                    reference.is_started = true;
                }
                2 => {
                    lease.on_address_change(now);
                    if reference.last_list.take().is_some() {
                        reference.first_move = now;
                    }
                }
                _ => {
                    let end = ends[rng.gen_range(0..ends.len())];
                    if rng.gen_bool(0.7) {
                        lease.on_watch_begin(now);
                    }
                    lease.on_watch_end(now, end);
                    if matches!(end, WatchEnd::Refused | WatchEnd::Malformed) {
                        reference.reached.get_or_insert(now);
                    }
                }
            }
            let is_valid = |at: Duration| lease.valid_until().is_none_or(|until| at < until);
            if !reference.is_started {
                assert!(!is_valid(now), "seed {seed}: valid before the first list");
                continue;
            }
            let move_bound = reference.first_move + move_grace;
            let reached_bound = reference.reached.map(|at| at + CHANGE_GRACE);
            if reference.last_list.is_none() {
                assert!(!is_valid(move_bound), "seed {seed}: valid after a move");
                bounded += 1;
            }
            if let Some(bound) = reached_bound {
                assert!(!is_valid(bound), "seed {seed}: valid after refusals");
                bounded += 1;
            }
            if reference.last_list.is_some() && reached_bound.is_none() && !is_polled {
                assert!(is_valid(now + ms(1_000_000)), "seed {seed}: an outage");
                outlasting += 1;
            }
        }
    }
    assert!(
        bounded > 10_000 && outlasting > 10_000,
        "{bounded}, {outlasting}"
    );
}
