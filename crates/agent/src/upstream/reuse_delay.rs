//! How long a connection rests after a response before it serves another request.
//!
//! An endpoint may send a second response behind a complete one. Nothing in the protocol says to
//! which request a response belongs, so a connection that serves another request by then would take
//! it for the response to that one. While the connection rests, the second response shows up as
//! data that nothing asked for, and the connection is closed.

use std::collections::HashMap;
use std::time::Duration;

/// How long a connection rests after a response. Unsolicited responses follow within some
/// milliseconds. Costs another connection where requests follow each other faster.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// How long a connection to a suspect endpoint rests.
const SUSPECT_REUSE_DELAY: Duration = Duration::from_secs(1);
/// How long an endpoint is suspect after it has sent data that nothing asked for.
const SUSPECT_PERIOD: Duration = Duration::from_secs(300);

/// The times for which connections rest, by endpoint. All times are on the agent's clock.
///
/// Endpoints that have sent data outside of their responses are suspect for a while: the next
/// unsolicited response may come later than usual. Does harm where an endpoint has broken the
/// protocol once and is busy: until it is trusted again, it gets more connections.
#[derive(Default)]
pub struct ReuseDelays {
    suspect_until: HashMap<usize, Duration>,
}

impl ReuseDelays {
    /// Returns how long a connection to this endpoint rests after a response.
    pub fn delay(&self, endpoint: usize, now: Duration) -> Duration {
        match self.suspect_until.get(&endpoint) {
            Some(until) if now < *until => SUSPECT_REUSE_DELAY,
            _ => REUSE_DELAY,
        }
    }

    /// Records that the endpoint has sent data that nothing asked for, or an invalid response.
    pub fn suspect(&mut self, endpoint: usize, now: Duration) {
        self.suspect_until.insert(endpoint, now + SUSPECT_PERIOD);
    }

    /// Trusts an endpoint again, whose index may belong to another one from now on.
    pub fn forget(&mut self, endpoint: usize) {
        self.suspect_until.remove(&endpoint);
    }

    /// Removes what no longer has an effect.
    pub fn remove_expired(&mut self, now: Duration) {
        self.suspect_until.retain(|_, until| now < *until);
    }
}
