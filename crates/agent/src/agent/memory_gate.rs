//! Waiting for memory: whose buffer is to grow waits until enough was freed, in turn.

use crate::runtime::timer::Timer;
use async_lock::Mutex;
use std::time::Duration;

/// The interval at which the first waiter checks whether memory was freed.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A queue for memory. Only the first waiter checks for it, so that hundreds of waiters cost little
/// and a large message is not passed over for ever by small ones.
#[derive(Default)]
pub struct MemoryGate(Mutex<()>);

impl MemoryGate {
    /// Waits for this caller's turn, and then until `is_allowed`. No other task runs between that
    /// and the caller's next step.
    pub async fn wait(&self, is_allowed: impl Fn() -> bool) {
        if !self.has_waiters() && is_allowed() {
            return;
        }
        let _turn = self.0.lock().await;
        while !is_allowed() {
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    /// Returns whether anyone waits for memory.
    pub fn has_waiters(&self) -> bool {
        self.0.try_lock().is_none()
    }
}
