//! The order in which the event queue returns events, and its simulated clock.

use std::time::Duration;
use tulipwall_testkit::simulation::event_queue::EventQueue;

const START: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(100);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn pops_events_by_time_and_then_in_scheduling_order() {
    let mut queue = EventQueue::new(START);
    for (seconds, event) in [(30, "c"), (20, "a"), (30, "d"), (20, "b")] {
        queue.schedule(at(seconds), event);
    }
    let order: Vec<&str> = std::iter::from_fn(|| queue.pop_until(END)).collect();
    assert_eq!(order, ["a", "b", "c", "d"]);
    assert_eq!(queue.now(), at(30));
}

#[test]
fn reschedules_an_event_in_the_past_to_now_behind_those_already_due() {
    let mut queue = EventQueue::new(START);
    queue.schedule(at(20), "first");
    queue.schedule(at(20), "second");
    assert_eq!(queue.pop_until(END), Some("first"));
    queue.schedule(at(15), "late");
    assert_eq!(queue.pop_until(END), Some("second"));
    assert_eq!(queue.pop_until(END), Some("late"));
    assert_eq!(queue.now(), at(20), "the clock never goes back");
}

#[test]
fn does_not_pop_events_after_the_end() {
    let mut queue = EventQueue::new(START);
    queue.schedule(at(40), "last");
    queue.schedule(at(41), "after");
    assert_eq!(queue.pop_until(at(40)), Some("last"));
    assert_eq!(queue.pop_until(at(40)), None);
    assert_eq!(queue.now(), at(40));
}
