//! Polls the balancer at the times that it sets and performs the actions that it returns.

use crate::agent::Agent;
use crate::observability::logging::log_evidence;
use crate::observability::memory_watch::MemoryWatch;
use futures_lite::future;
use std::time::Duration;

/// Interval between removals of stale connections and retired request classes, and between looks at
/// the size of the process.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between log lines with the divergences of alternative settings.
const DIVERGENCE_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Polls the balancer until the program ends.
pub async fn run(agent: &Agent) {
    let mut last_cleanup = Duration::ZERO;
    let memory_watch = MemoryWatch::default();
    let mut last_divergence_log = agent.clock.now();
    loop {
        // Input that arrived while this agent was stalled is handled first, in its order.
        future::yield_now().await;
        let outcome = agent.balancer.poll();
        if outcome.open_watch {
            agent.control.watch_request.raise();
        }
        let now = agent.clock.now();
        if let Some(vote) = outcome.vote {
            agent.control.pending_vote.cast(vote, now);
        }
        agent.update_zone_traffic();
        log_decisions(agent, &outcome.log_lines);
        if now >= last_cleanup + CLEANUP_INTERVAL {
            agent.pool.close_stale();
            agent.drop_retired_classes();
            memory_watch.check(agent);
            last_cleanup = now;
        }
        if now >= last_divergence_log + DIVERGENCE_LOG_INTERVAL {
            log_divergences(agent);
            last_divergence_log = now;
        }
        agent.sleep_until(outcome.next_poll).await;
    }
}

fn log_decisions(agent: &Agent, lines: &[String]) {
    for line in lines {
        log::info!("{line}");
    }
    for line in lines {
        log_evidence!(agent.clock, "note {line}");
    }
}

fn log_divergences(agent: &Agent) {
    if let Some(divergences) = agent.balancer.divergences() {
        log::info!("watched settings would have decided otherwise: {divergences}");
    }
}
