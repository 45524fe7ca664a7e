//! Handles the signals with which operators request counters, a configuration reload or the
//! shutdown.

use super::shutdown::Shutdown;
use super::start::ConfigPaths;
use crate::agent::Agent;
use crate::control::reload::PendingReload;
use crate::runtime::signals::Signals;
use crate::runtime::timer::Timer;
use std::time::Duration;

/// Interval between checks for signals.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between checks for signals during the shutdown.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Handles signals until the program has stopped. SIGUSR1 logs the counters, SIGHUP reloads the
/// configuration, also during the shutdown, and SIGTERM or SIGINT begins the shutdown.
pub async fn run(agent: &Agent, signals: Signals, paths: &ConfigPaths) {
    let mut pending_reload = None;
    let mut shutdown = None;
    loop {
        if signals.take_counters_request() {
            log::info!("{}; {}", agent.counters, agent.retained_summary());
        }
        if pending_reload.is_none() && signals.take_reload_request() {
            pending_reload = Some(PendingReload::begin(paths));
        }
        if let Some(reload) = pending_reload.take_if(|reload| reload.is_finished()) {
            reload.apply(agent);
        }
        let now = agent.clock.now();
        if shutdown.is_none() && signals.is_termination_requested() {
            shutdown = Some(Shutdown::begin(agent, now));
        }
        let poll_interval = match &shutdown {
            Some(shutdown) if shutdown.advance(agent, now) => return,
            Some(_) => SHUTDOWN_POLL_INTERVAL,
            None => POLL_INTERVAL,
        };
        Timer::after(poll_interval).await;
    }
}
