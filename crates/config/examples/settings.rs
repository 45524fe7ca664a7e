//! Measures how long it takes to read settings, to look up a tenant, and to renumber settings after
//! those in force, for several numbers of tenants.
//!
//!     cargo run --release -p tulipwall-config --example settings

use serde_json::{json, Value};
use std::error::Error;
use std::hint::black_box;
use std::time::Instant;
use tulipwall::IndicesInUse;
use tulipwall_config::{Fields, ServiceConfig};

fn settings(first_tenant: usize, tenants: usize) -> String {
    let share = 1.0 / tenants as f64;
    let tenant = |n: usize| json!({"name": format!("tenant-{n}"), "share": share});
    let class = |n: usize| json!({"name": format!("class-{n}"), "aim-ms": 400.0, "idempotency": "repeatable"});
    json!({"zones": ["a", "b"], "zone": "a", "classes": (0..6).map(class).collect::<Vec<_>>(),
        "tenants": (first_tenant..first_tenant + tenants).map(tenant).collect::<Vec<_>>(),
        "discovery": "push", "instances": 4, "rules": {}, "prices": {}, "limits": {"try-limit": 5},
        "domain": {"most-shares": [1.0], "cap-scope": "all", "decided-by": "timer", "swap": "beside",
            "vote-ttl-ms": 1.0, "vote-wait-ms": 1.0}})
    .to_string()
}

fn read(text: &str) -> Result<ServiceConfig, Box<dyn Error>> {
    let value: Value = serde_json::from_str(text)?;
    let fields = Fields::new(&value, "settings")?;
    Ok(ServiceConfig::read(&fields, 1)?)
}

/// The number of runs of each measurement, of which the shortest is reported.
const RUNS: usize = 7;
/// The number of tenants that are looked up in each run.
const LOOKUPS: usize = 200;

/// Runs `operation` several times and returns the shortest duration, in microseconds.
fn shortest_us<T>(mut operation: impl FnMut() -> T) -> f64 {
    let measure_run = |_| {
        let started = Instant::now();
        black_box(operation());
        started.elapsed().as_secs_f64() * 1e6
    };
    (0..RUNS).map(measure_run).fold(f64::INFINITY, f64::min)
}

fn main() -> Result<(), Box<dyn Error>> {
    for tenants in [400, 5_600, 28_000, 56_000] {
        let text = settings(0, tenants);
        let in_force = read(&text)?;
        let new = read(&settings(1, tenants))?;
        let read_us = shortest_us(|| read(&text));
        let lookup_us = measure_lookup(&in_force, tenants);
        let renumber_us = measure_renumbering(&in_force, &new);
        println!(
            "tenants {tenants}: read {read_us:.0} us, look-up {lookup_us:.3} us, \
             renumbered {renumber_us:.0} us; {} bytes",
            text.len()
        );
    }
    Ok(())
}

/// The duration of one look-up, in microseconds.
fn measure_lookup(service: &ServiceConfig, tenants: usize) -> f64 {
    // With a prime stride the order of the tenants does not favor a cache.
    let names: Vec<String> = (0..LOOKUPS)
        .map(|n| format!("tenant-{}", n * 7919 % tenants))
        .collect();
    let all_us = shortest_us(|| {
        names
            .iter()
            .filter(|name| service.tenant_index(black_box(name)).is_some())
            .count()
    });
    all_us / LOOKUPS as f64
}

fn measure_renumbering(in_force: &ServiceConfig, new: &ServiceConfig) -> f64 {
    let mut copies: Vec<ServiceConfig> = (0..RUNS).map(|_| new.clone()).collect();
    shortest_us(|| {
        copies
            .pop()
            .map(|copy| copy.renumbered_after(in_force, &IndicesInUse::default()))
    })
}
