//! The task executors of the agent's single thread.

use async_executor::LocalExecutor;

/// The executors on which tasks are spawned; the reactor runs both.
#[derive(Default)]
pub struct Executors {
    /// Runs all tasks that are not urgent.
    pub tasks: LocalExecutor<'static>,
    /// Runs the tasks that take precedence over all others.
    pub urgent: LocalExecutor<'static>,
}
