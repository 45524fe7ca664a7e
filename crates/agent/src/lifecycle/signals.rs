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
    let mut reload_requested_at = None;
    let mut pending_reload = None;
    let mut shutdown = None;
    loop {
        if signals.take_counters_request() {
            log::info!("{}; {}", agent.counters, agent.retained_summary());
        }
        let now = agent.clock.now();
        if signals.take_reload_request() {
            reload_requested_at.get_or_insert(now);
        }
        if pending_reload.is_none() {
            let requested_at = reload_requested_at.take();
            pending_reload = requested_at.map(|at| PendingReload::begin(paths, at));
        }
        if let Some(reload) = pending_reload.take_if(|reload| reload.is_finished()) {
            reload.apply(agent);
        }
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
