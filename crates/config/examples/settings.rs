//! What reading settings, looking a tenant up, and numbering settings after those in force take, by
//! number of tenants.
//!
//!     cargo run --release -p tulipwall-config --example settings

use serde_json::{json, Value};
use std::hint::black_box;
use std::time::Instant;
use tulipwall::IndicesInUse;
use tulipwall_config::{Fields, ServiceConfig};

fn settings(least: usize, tenants: usize) -> String {
    let share = 1.0 / tenants as f64;
    let tenant = |n: usize| json!({"name": format!("tenant-{n}"), "share": share});
    let class = |n: usize| json!({"name": format!("class-{n}"), "aim-ms": 400.0, "idempotency": "repeatable"});
    json!({"zones": ["a", "b"], "zone": "a", "classes": (0..6).map(class).collect::<Vec<_>>(),
        "tenants": (least..least + tenants).map(tenant).collect::<Vec<_>>(),
        "discovery": "push", "instances": 4, "rules": {}, "prices": {}, "limits": {"try-limit": 5},
        "domain": {"most-shares": [1.0], "cap-scope": "all", "decided-by": "timer", "swap": "beside",
            "vote-ttl-ms": 1.0, "vote-wait-ms": 1.0}})
    .to_string()
}

fn read(text: &str) -> Result<ServiceConfig, String> {
    let value: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    ServiceConfig::read(&Fields::new(&value, "settings")?, 1).map_err(|f| f.to_string())
}

/// The least of several times, in microseconds.
fn least<T>(mut work: impl FnMut() -> T) -> f64 {
    let once = |_| {
        let begun = Instant::now();
        black_box(work());
        begun.elapsed().as_secs_f64() * 1e6
    };
    (0..7).map(once).fold(f64::INFINITY, f64::min)
}

fn main() -> Result<(), String> {
    for tenants in [400, 5_600, 28_000, 56_000] {
        let (text, next) = (settings(0, tenants), settings(1, tenants));
        let (site, new) = (read(&text)?, read(&next)?);
        let names: Vec<String> = (0..200)
            .map(|n| format!("tenant-{}", n * 7919 % tenants))
            .collect();
        let found = least(|| {
            names
                .iter()
                .filter(|n| site.tenant_index(black_box(n)).is_some())
                .count()
        });
        print!(
            "tenants {tenants}: read {:.0} us, look-up {:.3} us",
            least(|| read(&text)),
            found / 200.0
        );
        let mut copies: Vec<ServiceConfig> = (0..7).map(|_| new.clone()).collect();
        let after = least(|| {
            copies
                .pop()
                .map(|c| c.renumbered_after(&site, &IndicesInUse::default()))
        });
        println!(
            ", numbered after those in force {after:.0} us; {} bytes",
            text.len()
        );
    }
    Ok(())
}
