//! The cost of the decisions for one request (received, routed, completed): without and with an
//! account of cross-zone traffic, and with alternative settings evaluated in parallel.
//!
//!     cargo bench -p tulipwall-zones

mod agent;

use agent::Agent;
use criterion::measurement::WallTime;
use criterion::{criterion_group, criterion_main, BenchmarkGroup, Criterion, Throughput};

/// The number of requests in one sample: as many as an agent receives in 100 ms, so that each
/// sample includes the work that is done ten times per second.
const REQUESTS_PER_SAMPLE: u64 = 300;
/// The number of requests before the first sample.
const WARM_UP_REQUESTS: u64 = 6000;

fn handle_requests(agent: &mut Agent, count: u64) {
    for _ in 0..count {
        agent.handle_request();
    }
}

fn bench_agent(group: &mut BenchmarkGroup<'_, WallTime>, name: &str, mut agent: Agent) {
    handle_requests(&mut agent, WARM_UP_REQUESTS);
    group.bench_function(name, |bencher| {
        bencher.iter(|| handle_requests(&mut agent, REQUESTS_PER_SAMPLE));
    });
}

fn decisions(criterion: &mut Criterion) {
    for (zones, classes, endpoints) in [(2, 3, 40), (8, 20, 500)] {
        let size = format!("{zones} zones, {classes} classes, {endpoints} endpoints");
        let mut group = criterion.benchmark_group(size);
        group.throughput(Throughput::Elements(REQUESTS_PER_SAMPLE));
        let without_account = Agent::new(zones, classes, endpoints, false);
        bench_agent(&mut group, "without account", without_account);
        let fixed_policy = Agent::with_fixed_policy(zones, classes, endpoints);
        bench_agent(&mut group, "with a fixed policy", fixed_policy);
        let with_account = Agent::new(zones, classes, endpoints, true);
        bench_agent(&mut group, "with account", with_account);
        let shadowed = Agent::with_shadow(zones, classes, endpoints);
        bench_agent(&mut group, "with a shadow evaluator", shadowed);
        group.finish();
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
