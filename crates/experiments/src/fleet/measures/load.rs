//! Loads on an agent, or directly on an endpoint.

use crate::fleet::installation::{classes, tenant};
use crate::fleet::plan::{Size, LOAD_CONNECTIONS};
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall_testkit::{ConnectionUse, Load, LoadReport};

/// How long clients wait for a response.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Maximum number of classes of a load.
const MAX_CLASSES: usize = 8;
/// Seed of the load that warms up the agent before a measurement.
pub(super) const WARM_UP_SEED: u64 = 7;
/// Seed of the measured load.
pub(super) const SEED: u64 = 8;

/// Runs a load to its end, over classes and tenants from all parts of the settings.
pub fn load(size: &Size, at: SocketAddr, rate: f64, duration: Duration, seed: u64) -> LoadReport {
    load_on(ConnectionUse::Reused, size, at, rate, duration, seed)
}

/// Runs the same load as [`load`], with this use of connections.
pub(super) fn load_on(
    connection_use: ConnectionUse,
    size: &Size,
    at: SocketAddr,
    rate: f64,
    duration: Duration,
    seed: u64,
) -> LoadReport {
    let all = classes(size.classes);
    let used = all.len().min(MAX_CLASSES);
    let class = |n: usize| {
        let class = &all[n * all.len() / used];
        let tenant = tenant((n * size.tenants + size.tenants / 2) / used);
        // The load writes the name of the class into a comment of the query, so a further field of
        // the comment can be appended to the name.
        let name = format!("{},t={tenant}", class.name);
        (name, 1.0, DEADLINE, class.idempotency == "by_key")
    };
    let load = Load {
        agent: at,
        rate,
        duration,
        classes: (0..used).map(class).collect(),
        connections: LOAD_CONNECTIONS,
        seed,
    };
    load.run_with(connection_use)
}
