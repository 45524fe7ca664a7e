//! The shutdown after SIGTERM: the agent first serves all requests as before, then finishes those
//! in progress.

use super::phase::Phase;
use crate::agent::Agent;
use std::time::Duration;

/// New clients are accepted for this long after SIGTERM.
const DRAIN_TIME: Duration = Duration::from_millis(550);
/// Lower bound of the time for requests in progress. SIGKILL comes no sooner than the longest
/// request timeout, taken as at least this, plus some margin.
const MIN_TERMINATION_TIME: Duration = Duration::from_secs(3);
/// Additional time for responses that are sent at the deadline itself. Including it, the program
/// ends before SIGKILL: within 0.7 s plus the longest request timeout after SIGTERM.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(100);

/// A shutdown in progress.
pub struct Shutdown {
    requested_at: Duration,
}

impl Shutdown {
    /// Begins the shutdown and enters [`Phase::Draining`].
    pub fn begin(agent: &Agent, now: Duration) -> Shutdown {
        agent.lifecycle.advance_to(Phase::Draining);
        Shutdown { requested_at: now }
    }

    /// Advances to the phase that is due. Returns whether [`Phase::Stopped`] was reached.
    pub fn advance(&self, agent: &Agent, now: Duration) -> bool {
        let terminates_at = self.requested_at + DRAIN_TIME;
        if now < terminates_at {
            return false;
        }
        let longest_timeout = agent.service_config().longest_timeout;
        let last_request_ends = (terminates_at + longest_timeout.max(MIN_TERMINATION_TIME))
            .max(agent.config.earlier_requests_end());
        agent.lifecycle.begin_termination(last_request_ends);
        let all_clients_gone =
            agent.lifecycle.is_listener_closed() && agent.limits.connections.is_without_clients();
        if !all_clients_gone && now < last_request_ends + FINAL_RESPONSE_TIME {
            return false;
        }
        agent.lifecycle.advance_to(Phase::Stopped);
        true
    }
}
