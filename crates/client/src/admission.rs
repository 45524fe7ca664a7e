//! Admission of calls: the concurrency limit, and at most one call in flight per deduplication key.

use crate::error::{CallError, InvalidCall};
use crate::shared::Shared;

/// The permit of an admitted call. Dropping it releases the call's slot and deduplication key,
/// however the call ends.
pub struct CallPermit<'a> {
    shared: &'a Shared,
    key: Option<String>,
    completed: bool,
}

impl Shared {
    /// Admits a call of this class, or sheds it.
    pub fn admit(&self, class: usize, key: Option<String>) -> Result<CallPermit<'_>, CallError> {
        let mut state = self.state();
        // With two concurrent calls under one key, neither could tell which response is its own.
        if key.as_ref().is_some_and(|k| state.active_keys.contains(k)) {
            return Err(InvalidCall::KeyInUse.into());
        }
        if !state.concurrency.try_acquire(class) {
            return Err(CallError::Overloaded);
        }
        state.active_keys.extend(key.clone());
        Ok(CallPermit {
            shared: self,
            key,
            completed: false,
        })
    }
}

impl CallPermit<'_> {
    /// Marks the call as completed. A call that is not marked counts as cancelled by its caller.
    pub fn complete(&mut self) {
        self.completed = true;
    }
}

impl Drop for CallPermit<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.concurrency.release();
        if let Some(key) = &self.key {
            state.active_keys.remove(key);
        }
        if !self.completed {
            state.counters.cancelled += 1;
        }
        drop(state);
        self.shared.notify_released();
    }
}
