//! Opening of connections before the first requests arrive.

use crate::agent::Agent;
use crate::upstream::connect::open_connection;
use std::rc::Rc;
use tulipwall_discovery::endpoint_table::AttemptTarget;

/// One in this many of the connections to endpoints is opened in advance.
const WARM_UP_DIVISOR: usize = 2;

/// Opens connections to all endpoints once some are usable. Otherwise the first requests would all
/// wait for handshakes at the same time. If handshakes have a price, no connections are opened, as
/// most would be closed before a request uses them; the first requests then wait for their own
/// handshakes.
pub async fn warm_up(agent: &Rc<Agent>) {
    let targets = agent.endpoints.usable_targets().await;
    if agent.service_config().handshake_price > 0.0 {
        return;
    }
    let available = agent.limits.connections.max_endpoint_connections() / WARM_UP_DIVISOR;
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

/// Opens `count` connections to an endpoint one after the other, and stops at the first failure.
async fn open_connections(agent: Rc<Agent>, target: AttemptTarget, count: usize) {
    for _ in 0..count {
        match open_connection(&agent, target).await {
            Ok(connection) => agent.return_connection(target, connection),
            Err(_) => return,
        }
    }
}
