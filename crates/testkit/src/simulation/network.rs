//! The links between zones: how long they take and what they lose.

use super::random::Random;
use std::time::Duration;

/// Delays and loss between zones.
pub struct Network {
    delays: Vec<Vec<Duration>>,
    loss: f64,
}

impl Network {
    /// `delays` from zone to zone, one way; `loss` is the share, 0 to 1, of what goes over a link
    /// between two zones and is lost.
    pub fn new(delays: Vec<Vec<Duration>>, loss: f64) -> Network {
        Network { delays, loss }
    }

    /// The delay of one way.
    pub fn delay(&self, from: usize, to: usize) -> Duration {
        self.delays[from][to]
    }

    /// The delay of the way there and back.
    pub fn round_trip(&self, from: usize, to: usize) -> Duration {
        self.delay(from, to) + self.delay(to, from)
    }

    /// Changes one direction of a link.
    pub fn set_delay(&mut self, from: usize, to: usize, delay: Duration) {
        self.delays[from][to] = delay;
    }

    /// Draws whether a message is lost. Nothing is drawn where nothing can be.
    pub fn loses(&self, from: usize, to: usize, random: &mut Random) -> bool {
        from != to && self.loss > 0.0 && random.uniform() < self.loss
    }
}
