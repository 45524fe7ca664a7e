//! Loads on an agent, or straight on an endpoint.

use crate::fleet::installation::{classes, tenant};
use crate::fleet::plan::{Size, LOAD_CONNECTIONS};
use std::net::SocketAddr;
use std::time::Duration;
use tulipwall_testkit::{ConnectionUse, Load, LoadReport};

/// How long clients wait.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Most classes of a load.
const MAX_CLASSES: usize = 8;
/// Seed of the load before a measured one, and of a measured one.
pub(super) const WARM_UP_SEED: u64 = 7;
pub(super) const SEED: u64 = 8;

/// Plays a load over classes and tenants from all parts of the settings, to its end.
pub fn load(size: &Size, at: SocketAddr, rate: f64, duration: Duration, seed: u64) -> LoadReport {
    load_on(ConnectionUse::Reused, size, at, rate, duration, seed)
}

/// The same on connections that are used so.
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
        // A load writes the class's name into the comment, so that a further field can follow it.
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
