//! The monotonic clock of an agent and its mapping to Unix time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock's reading at its creation. It is greater than zero so that events up to an hour
/// earlier have a reading too.
pub const START_OFFSET: Duration = Duration::from_secs(3600);

/// A monotonic clock. Its mapping to Unix time is fixed when it is created, so later changes of the
/// wall clock do not affect it.
pub struct Clock {
    start: Instant,
    /// Unix time of `start`, in milliseconds.
    start_unix_ms: u64,
}

impl Clock {
    /// Creates a clock that starts now and takes the current Unix time from the wall clock.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock::starting_at_unix_ms(since_epoch.as_millis() as u64)
    }

    /// Creates a clock that starts now and maps this moment to the given Unix time, in
    /// milliseconds. Used with simulated time.
    pub fn starting_at_unix_ms(start_unix_ms: u64) -> Clock {
        Clock {
            start: Instant::now(),
            start_unix_ms,
        }
    }

    /// Returns the current reading.
    pub fn now(&self) -> Duration {
        self.start.elapsed() + START_OFFSET
    }

    /// Returns the reading at `instant`. Instants before the clock's start map to the reading at
    /// the start.
    pub fn reading_at(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start) + START_OFFSET
    }

    /// Returns the instant of a reading. Readings before the clock's start map to the start.
    pub fn to_instant(&self, reading: Duration) -> Instant {
        self.start + reading.saturating_sub(START_OFFSET)
    }

    /// Converts a reading to Unix time in milliseconds.
    pub fn to_unix_ms(&self, reading: Duration) -> u64 {
        (reading + Duration::from_millis(self.start_unix_ms))
            .saturating_sub(START_OFFSET)
            .as_millis() as u64
    }

    /// Converts a Unix time in milliseconds to a reading. Returns `None` if the time lies before
    /// the clock's zero.
    pub fn from_unix_ms(&self, unix_ms: u64) -> Option<Duration> {
        let reading_from_epoch = START_OFFSET + Duration::from_millis(unix_ms);
        reading_from_epoch.checked_sub(Duration::from_millis(self.start_unix_ms))
    }
}
