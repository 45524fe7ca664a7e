//! Whose turn comes first in the agent's one thread.

use std::time::Duration;
use tulipwall_agent::runtime::reactor::{self, Timer};

/// Guards against a list that waits, unread, behind a burst of requests.
#[test]
fn runs_urgent_tasks_after_a_bounded_number_of_others() {
    let ran = std::cell::Cell::new(0);
    let (tasks, first) = (
        async_executor::LocalExecutor::new(),
        async_executor::LocalExecutor::new(),
    );
    for _ in 0..2000 {
        tasks
            .spawn(async {
                ran.set(ran.get() + 1);
                std::thread::sleep(Duration::from_micros(200));
            })
            .detach();
    }
    let heard = first.spawn(async {
        Timer::after(Duration::from_millis(1)).await;
        ran.get()
    });
    let before = reactor::run(&tasks, &first, heard).unwrap();
    assert!(before < 100, "{before} tasks before it");
}
