//! The order in which the agent's single thread runs urgent and other tasks.

use std::time::Duration;
use tulipwall_agent::runtime::reactor::{self, Timer};

/// Guards against an endpoint list that stays unread while a burst of requests is served.
#[test]
fn runs_urgent_tasks_after_a_bounded_number_of_others() {
    let ran = std::cell::Cell::new(0);
    let (tasks, urgent) = (
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
    let urgent_task = urgent.spawn(async {
        Timer::after(Duration::from_millis(1)).await;
        ran.get()
    });
    let before = reactor::run(&tasks, &urgent, urgent_task).unwrap();
    assert!(before < 100, "{before} tasks ran before the urgent one");
}
