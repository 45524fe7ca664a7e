//! One monotonic clock for the module; wall times are mapped to it once, at the door.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock's zero lies this long before the start, so that what began earlier has a time, too.
pub const BEFORE: Duration = Duration::from_secs(3600);

pub struct Clock {
    start: Instant,
    start_ms: u64, // in Unix time
}

impl Clock {
    pub fn start() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            start_ms: wall.as_millis() as u64,
        }
    }

    /// A clock whose zero for wall times is told: for simulated time, which runs from
    /// [`Clock::now`]'s first moment.
    pub fn of_start(start_ms: u64) -> Clock {
        Clock {
            start: Instant::now(),
            start_ms,
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed() + BEFORE
    }

    pub fn at(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start) + BEFORE
    }

    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at.saturating_sub(BEFORE)
    }

    /// Its Unix time in milliseconds.
    pub fn wall(&self, at: Duration) -> u64 {
        (at + Duration::from_millis(self.start_ms))
            .saturating_sub(BEFORE)
            .as_millis() as u64
    }

    /// A Unix time in milliseconds; `None` when it lies before the clock's zero.
    pub fn of_wall(&self, ms: u64) -> Option<Duration> {
        (BEFORE + Duration::from_millis(ms)).checked_sub(Duration::from_millis(self.start_ms))
    }
}
