//! The executors of the one thread.

use async_executor::LocalExecutor;

/// Where tasks are spawned; the reactor runs both.
#[derive(Default)]
pub struct Executors {
    /// All tasks but the urgent ones.
    pub tasks: LocalExecutor<'static>,
    /// Tasks that are run before any others.
    pub urgent: LocalExecutor<'static>,
}
