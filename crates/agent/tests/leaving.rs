//! Appliances that leave: nothing goes to them after the announcement counts as told and its grace is over,
//! judged by what the stand-in appliances received.

use std::time::{Duration, Instant};
use tulipwall_standins::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");
/// What a silent watch misses counts as told so long after it fell silent; then there is the grace.
const TOLD_AFTER: Duration = Duration::from_secs(6);
const GRACE: Duration = Duration::from_millis(250);

fn world() -> World {
    let world = World::new(&["a"], program::lanes()).unwrap();
    for n in 0..2 {
        world.appliance(0, &format!("s-{n}"), 41, Ways::default()).unwrap();
    }
    world
}

/// Asks until `until`, and says when `s-0` was last sent anything.
fn last_sent(world: &World, agent: &Program, until: Instant) -> Instant {
    let mut client = Caller::connect(agent.address().unwrap()).unwrap();
    let s0 = world.get("s-0").unwrap();
    let (mut last, mut seen) = (Instant::now(), s0.seen_count());
    while Instant::now() < until {
        client.ask("view", 1000);
        assert!(client.told().unwrap().code().is_none());
        if s0.seen_count() > seen {
            (last, seen) = (Instant::now(), s0.seen_count());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    last
}

/// The watch falls silent, its next connections are met like this, and one appliance is to leave.
fn silence(next: &[Meets]) {
    let world = world();
    let agent = Program::start(BINARY, world.configuration("n1", 0).unwrap(), &[]).unwrap();
    // Past its first call, which waits for less.
    last_sent(&world, &agent, Instant::now() + Duration::from_millis(1300));
    let silent = Instant::now();
    world.discovery.hush(next.iter().cloned());
    world.discovery.change("s-0", |e| e.state = "terminating".into());
    let told = silent + TOLD_AFTER + GRACE;
    let last = last_sent(&world, &agent, told + GRACE);
    assert!(last > silent && last < told, "sent {:?} after the silence began", last - silent);
    assert!(ground::until(|| agent.log().contains("discovery: heard again")));
}

#[test]
fn a_watch_that_falls_silent_is_begun_anew_before_what_it_misses_counts_as_told() {
    silence(&[]);
}

#[test]
fn so_it_is_where_the_next_connections_are_late_refused_and_silent() {
    let late = || Meets::Late(Duration::from_secs(1));
    silence(&[late(), Meets::Refuses, Meets::Mute, late(), late(), Meets::Refuses, Meets::Mute, late()]);
}
