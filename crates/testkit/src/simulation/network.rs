//! The network links within and between zones: delays and message loss.

use super::random::Random;
use std::time::Duration;

/// One-way delays of all links, and the loss between zones.
pub struct Network {
    delays: Vec<Vec<Duration>>,
    loss: f64,
}

impl Network {
    /// Creates a network. `delays` holds one-way delays by source and destination zone; `loss` is
    /// the share, 0 to 1, of messages between two different zones that are lost.
    pub fn new(delays: Vec<Vec<Duration>>, loss: f64) -> Network {
        Network { delays, loss }
    }

    /// Returns the one-way delay from one zone to another.
    pub fn delay(&self, from: usize, to: usize) -> Duration {
        self.delays[from][to]
    }

    /// Returns the round-trip delay between two zones.
    pub fn round_trip(&self, from: usize, to: usize) -> Duration {
        self.delay(from, to) + self.delay(to, from)
    }

    /// Sets the one-way delay from one zone to another.
    pub fn set_delay(&mut self, from: usize, to: usize, delay: Duration) {
        self.delays[from][to] = delay;
    }

    /// Draws whether a message is lost. Makes no draw on a link that cannot lose messages.
    pub fn loses(&self, from: usize, to: usize, random: &mut Random) -> bool {
        from != to && self.loss > 0.0 && random.uniform() < self.loss
    }
}
