//! Tells operators when and why nothing is sent to endpoints for lack of a valid endpoint list.

use crate::agent::Agent;
use futures_lite::FutureExt;
use std::time::Duration;
use tulipwall_discovery::list_lease::LeaseEnd;

/// A list that is missing for a shorter time is neither logged nor counted. Each start is without a
/// list until discovery's first response.
const MIN_LOGGED_TIME: Duration = Duration::from_millis(500);

/// Logs and counts each time without a valid list, until the program ends.
pub async fn run(agent: &Agent) {
    loop {
        let end = agent.list_has_expired().await;
        if stays_expired(agent).await {
            on_expired(agent, end);
            agent.list_is_valid().await;
            on_valid_again(agent, end);
        }
    }
}

/// Returns whether the list remains expired for [`MIN_LOGGED_TIME`].
async fn stays_expired(agent: &Agent) -> bool {
    let logged_from = agent.clock.now() + MIN_LOGGED_TIME;
    let valid_again = async {
        agent.list_is_valid().await;
        false
    };
    let still_expired = async {
        agent.sleep_until(logged_from).await;
        true
    };
    valid_again.or(still_expired).await
}

fn on_expired(agent: &Agent, end: LeaseEnd) {
    agent.counters.list_expirations.increment();
    log::warn!(
        "discovery: {}; the endpoint list has expired, no requests are sent until discovery responds",
        end.reason
    );
}

fn on_valid_again(agent: &Agent, end: LeaseEnd) {
    let expired = agent.clock.now().saturating_sub(end.at);
    log::info!(expired_ms = expired.as_millis() as u64;
        "discovery: the endpoint list is valid again after {expired:.1?}; requests are sent");
}
