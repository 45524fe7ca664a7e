//! The monotonic clock of an agent and its mapping to Unix time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock's reading when it is created. Greater than zero, so that what happened up to an hour
/// earlier has a reading too.
pub const START_OFFSET: Duration = Duration::from_secs(3600);

/// A monotonic clock. It is mapped to Unix time once, when it is created, so later changes of the
/// wall clock do not move it.
pub struct Clock {
    start: Instant,
    /// Unix time of `start`, in milliseconds.
    start_unix_ms: u64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock::starting_at_unix_ms(since_epoch.as_millis() as u64)
    }

    /// A clock that starts now and takes this moment for the given Unix time, in milliseconds. For
    /// simulated time.
    pub fn starting_at_unix_ms(start_unix_ms: u64) -> Clock {
        Clock {
            start: Instant::now(),
            start_unix_ms,
        }
    }

    /// The reading now.
    pub fn now(&self) -> Duration {
        self.start.elapsed() + START_OFFSET
    }

    /// The reading at `instant`; that of the start for an earlier one.
    pub fn reading_at(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start) + START_OFFSET
    }

    /// The instant of a reading; the start for an earlier one.
    pub fn to_instant(&self, reading: Duration) -> Instant {
        self.start + reading.saturating_sub(START_OFFSET)
    }

    /// The Unix time of a reading, in milliseconds.
    pub fn to_unix_ms(&self, reading: Duration) -> u64 {
        (reading + Duration::from_millis(self.start_unix_ms))
            .saturating_sub(START_OFFSET)
            .as_millis() as u64
    }

    /// The reading at a Unix time in milliseconds; `None` when it lies before the clock's zero.
    pub fn from_unix_ms(&self, unix_ms: u64) -> Option<Duration> {
        let reading_from_epoch = START_OFFSET + Duration::from_millis(unix_ms);
        reading_from_epoch.checked_sub(Duration::from_millis(self.start_unix_ms))
    }
}
