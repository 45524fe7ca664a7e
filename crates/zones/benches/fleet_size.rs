//! The cost of a decision and of an evaluation by the number of endpoints, with few and with many
//! request classes. It is measured in CPU time of the thread, on which other processes of the
//! machine have little influence. Only public functions of `tulipwall` are called, so that the
//! bench also compiles with earlier versions.
//!
//!     cargo bench -p tulipwall-zones --bench fleet_size

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;
use tulipwall::*;
use tulipwall_testkit::simulation;

/// The build that all endpoints run.
const BUILD: u32 = 41;
const ZONES: usize = 7;
/// The time between two requests: 143 per second, the peak of one agent.
const REQUEST_INTERVAL: Duration = Duration::from_millis(7);
/// The number of requests between two evaluations, which run ten times per second.
const REQUESTS_PER_EVALUATION: u64 = 14;
/// The number of evaluations before the first sample: 20 seconds.
const WARM_UP_EVALUATIONS: u64 = 200;
const LATENCY: Duration = Duration::from_millis(9);
const TIME_LEFT: Duration = Duration::from_millis(1500);
const START: Duration = Duration::from_secs(3600);

/// The number of classes of an average service.
const FEW_CLASSES: usize = 11;
/// The largest number of classes to plan for.
const MANY_CLASSES: usize = 1600;
/// The numbers of endpoints to measure with few classes.
const ENDPOINTS: [usize; 4] = [55, 550, 7700, 30_000];
/// The numbers of endpoints to measure with many classes. At 30,000 endpoints, one counter per pair
/// of endpoint and class would use 1.5 GB.
const ENDPOINTS_OF_MANY_CLASSES: [usize; 3] = [55, 550, 7700];

/// An agent whose endpoints are all running and respond with the same latency.
struct Agent {
    now: Duration,
    last_id: u64,
    classes: usize,
    balancer: Balancer,
}

impl Agent {
    fn new(endpoints: usize, classes: usize) -> Agent {
        let class = RequestClass {
            latency_objective: Duration::from_millis(400),
            priority_weight: 3.0,
            idempotency: Idempotency::Idempotent,
        };
        let settings = Settings {
            agents: 3,
            ..simulation::default_settings(vec![class; classes])
        };
        let mut balancer = Balancer::new(START, settings);
        let entries: Vec<EndpointEntry> = (0..endpoints).map(entry).collect();
        balancer.update_endpoints(START, &entries, true);
        balancer.update_rollout(RolloutStatus {
            build: BUILD,
            stage: 0,
            phase: RolloutPhase::Released,
            cap: 1.0,
            since: START,
        });
        let mut agent = Agent {
            now: START,
            last_id: 0,
            classes,
            balancer,
        };
        for _ in 0..WARM_UP_EVALUATIONS {
            agent.handle_requests(REQUESTS_PER_EVALUATION);
            agent.evaluate();
        }
        agent
    }

    fn handle_requests(&mut self, count: u64) {
        for _ in 0..count {
            self.handle_request();
        }
    }

    /// Routes one request and completes its attempt.
    fn handle_request(&mut self) {
        self.last_id += 1;
        self.now += REQUEST_INTERVAL;
        let id = self.last_id;
        let request = Request {
            class: id as usize % self.classes,
            tenant: None,
            key: Some(id),
            time_left: TIME_LEFT,
            estimated_work: None,
            is_retry: false,
        };
        self.balancer.on_request(self.now, id, request);
        let decision = self.balancer.route(self.now, id);
        assert!(matches!(decision, Decision::Forward { .. }), "{decision:?}");
        let end = AttemptEnd {
            outcome: Outcome::Succeeded,
            latency: LATENCY,
            request_closed: true,
            reported_load: None,
        };
        self.balancer.on_attempt_end(self.now, id, 0, end);
    }

    fn evaluate(&mut self) {
        self.now += REQUEST_INTERVAL;
        self.balancer.poll(self.now);
    }

    /// The CPU time of `count` decisions, without that of the evaluations between them.
    fn time_decisions(&mut self, count: u64) -> Duration {
        let mut left = count;
        let mut spent = Duration::ZERO;
        while left > 0 {
            let batch = left.min(REQUESTS_PER_EVALUATION);
            let started = thread_time();
            self.handle_requests(batch);
            spent += thread_time() - started;
            self.evaluate();
            left -= batch;
        }
        spent
    }

    /// The CPU time of `count` evaluations, without that of the requests between them.
    fn time_evaluations(&mut self, count: u64) -> Duration {
        let mut spent = Duration::ZERO;
        for _ in 0..count {
            self.handle_requests(REQUESTS_PER_EVALUATION);
            let started = thread_time();
            self.evaluate();
            spent += thread_time() - started;
        }
        spent
    }
}

/// The CPU time of this thread so far.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn entry(endpoint: usize) -> EndpointEntry {
    EndpointEntry {
        endpoint,
        zone: endpoint % ZONES,
        cell: endpoint as u64 / 8,
        identity: endpoint as u64,
        endpoint_type: 0,
        build: BUILD,
        state: EndpointState::Running,
        started: None,
    }
}

fn bench_sizes(criterion: &mut Criterion, classes: usize, sizes: &[usize]) {
    for &endpoints in sizes {
        let mut agent = Agent::new(endpoints, classes);
        let mut group = criterion.benchmark_group(format!("{classes} classes"));
        group.bench_function(BenchmarkId::new("decision", endpoints), |bencher| {
            bencher.iter_custom(|count| agent.time_decisions(count));
        });
        group.bench_function(BenchmarkId::new("evaluation", endpoints), |bencher| {
            bencher.iter_custom(|count| agent.time_evaluations(count));
        });
        group.finish();
    }
}

fn fleet_size(criterion: &mut Criterion) {
    bench_sizes(criterion, FEW_CLASSES, &ENDPOINTS);
    bench_sizes(criterion, MANY_CLASSES, &ENDPOINTS_OF_MANY_CLASSES);
}

criterion_group! {
    name = benches;
    // Few, long samples: a single call takes too little time compared with reading the clock.
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_secs(1));
    targets = fleet_size
}
criterion_main!(benches);
