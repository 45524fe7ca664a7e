//! What one request costs in decisions: taken, placed, its outcome told, without zones and with
//! them, and with other settings watched.
//!
//!     cargo bench -p tulipwall-zones

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
mod agent;

use agent::Agent;
/// Requests in one sample: as many as an agent takes in a tenth of a second, so that what is done
/// ten times a second is a part of it.
const EACH: u64 = 300;

fn decisions(c: &mut Criterion) {
    for (zones, classes, endpoints) in [(2, 3, 40), (8, 20, 500)] {
        let mut group = c.benchmark_group(format!(
            "{zones} zones, {classes} lanes, {endpoints} appliances"
        ));
        group.throughput(Throughput::Elements(EACH));
        for (name, zoned, told) in [
            ("without", false, false),
            ("told of crossing", false, true),
            ("with the account", true, false),
        ] {
            let mut agent = match told {
                true => Agent::told(zones, classes, endpoints),
                false => Agent::new(zones, classes, endpoints, zoned),
            };
            (0..6000).for_each(|_| agent.command());
            group.bench_function(name, |b| b.iter(|| (0..EACH).for_each(|_| agent.command())));
        }
        let mut agent = Agent::watched(zones, classes, endpoints);
        (0..6000).for_each(|_| agent.command());
        group.bench_function("with a watch", |b| {
            b.iter(|| (0..EACH).for_each(|_| agent.command()))
        });
        group.finish();
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
