//! The shutdown after SIGTERM: first all is served as before, then what is in progress is finished.

use super::phase::Phase;
use crate::agent::Agent;
use std::time::Duration;

/// New clients are still accepted for this long after SIGTERM.
const DRAIN_TIME: Duration = Duration::from_millis(550);
/// SIGKILL comes no sooner than the longest request timeout, of this at least, and somewhat more.
const MIN_TERMINATION_TIME: Duration = Duration::from_secs(3);
/// For responses that are given at the deadline itself. With it the program ends before SIGKILL:
/// 0.7 s and the longest request timeout after SIGTERM.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(100);

/// A shutdown in progress.
pub struct Shutdown {
    requested_at: Duration,
}

impl Shutdown {
    /// SIGTERM has come.
    pub fn begin(agent: &Agent, now: Duration) -> Shutdown {
        agent.lifecycle.advance_to(Phase::Draining);
        Shutdown { requested_at: now }
    }

    /// Goes on to the phase that is due; whether the program has stopped.
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
