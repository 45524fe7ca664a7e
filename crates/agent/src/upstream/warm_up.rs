//! Connections that are opened ahead of the first requests.

use crate::agent::Agent;
use crate::upstream::connect::open_connection;
use std::rc::Rc;
use tulipwall_discovery::endpoint_table::AttemptTarget;

/// One in so many of the connections to endpoints is opened ahead.
const WARM_SHARE: usize = 2;

/// Opens connections to all endpoints, once some are known: all at once the first requests would
/// wait for as many handshakes. None where each is paid for, as most would close again before a
/// request came for them; there the first requests wait for their own.
pub async fn warm_up(agent: &Rc<Agent>) {
    let targets = agent.endpoints.usable_targets().await;
    if agent.service_config().handshake_price > 0.0 {
        return;
    }
    let available = agent.limits.connections.max_endpoint_connections() / WARM_SHARE;
    let connections_each = available / targets.len().max(1);
    let tasks: Vec<_> = targets
        .into_iter()
        .map(|target| {
            let opening = open_connections(agent.clone(), target, connections_each);
            agent.executors.tasks.spawn(opening)
        })
        .collect();
    for task in tasks {
        task.await;
    }
}

/// Opens connections one after the other, up to the first failure.
async fn open_connections(agent: Rc<Agent>, target: AttemptTarget, count: usize) {
    for _ in 0..count {
        match open_connection(&agent, target).await {
            Ok(connection) => agent.return_connection(target, connection),
            Err(_) => return,
        }
    }
}
