//! Summaries of all request classes that decisions use, compared with loops over the classes.

use super::*;
use crate::balancer::Balancer;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn classes(count: usize, random: &mut Pcg64Mcg) -> Vec<RequestClass> {
    (0..count)
        .map(|_| class(random.gen_range(50..900), random.gen_range(0.5..9.0)))
        .collect()
}

/// Computes the stall timeout, the silence after which an endpoint is unresponsive, by a loop over
/// all classes.
fn stall_timeout(balancer: &Balancer) -> Duration {
    let latencies = balancer.classes.iter().map(|class| &class.latency);
    let highest = latencies
        .map(|latency| latency.high_quantile.max(latency.mean * 2.3))
        .fold(0.0, f64::max);
    Duration::from_secs_f64((highest * 2.0).clamp(0.1, 3.0))
}

/// Computes the highest value of a class, its priority weight per work, by a loop over all classes.
fn best_value(balancer: &Balancer) -> f64 {
    let values = balancer.classes.iter().map(|class| {
        let work = if balancer.parameters.weight_by_work {
            1.0
        } else {
            class.latency.floor.max(1e-4)
        };
        class.rules.priority_weight / work
    });
    values.fold(1e-9, f64::max)
}

fn assert_summaries_match(balancer: &Balancer) {
    assert_eq!(balancer.stall_timeout(), stall_timeout(balancer));
    assert_eq!(balancer.admission.best_value, best_value(balancer));
    let answer_rate: f64 = balancer.classes.iter().map(|c| c.answer_rate).sum();
    assert_eq!(balancer.admission.answer_rate, answer_rate);
}

fn handle_request(balancer: &mut Balancer, now: Duration, id: u64, random: &mut Pcg64Mcg) {
    let request = Request {
        class: random.gen_range(0..balancer.classes.len()),
        tenant: None,
        key: None,
        time_left: ms(2_000),
        estimated_work: None,
        is_retry: false,
    };
    balancer.on_request(now, id, request);
    if let Decision::Forward { .. } = balancer.route(now, id) {
        let end = AttemptEnd {
            outcome: Outcome::Succeeded,
            latency: ms(random.gen_range(1..700)),
            request_closed: true,
            reported_load: None,
        };
        balancer.on_attempt_end(now, id, 0, end);
    }
    balancer.close_request(id);
}

#[test]
fn class_summaries_match_loops_over_all_classes() {
    for (seed, count) in [1, 3, 11, 200].into_iter().enumerate() {
        let mut random = Pcg64Mcg::seed_from_u64(seed as u64);
        let mut settings = settings(classes(count, &mut random));
        settings.slow_start_duration = ms(0);
        let mut balancer = Balancer::new(START, settings.clone());
        assert_summaries_match(&balancer);
        let entries: Vec<EndpointEntry> = (0..5).map(|index| entry(index, 0, 1)).collect();
        balancer.update_endpoints(START, &entries, true);
        let mut now = START;
        for id in 0..1_500 {
            now += ms(random.gen_range(0..20));
            handle_request(&mut balancer, now, id, &mut random);
            assert_summaries_match(&balancer);
            balancer.poll(now);
            assert_summaries_match(&balancer);
            if id % 200 == 0 {
                settings.classes = classes(count, &mut random);
                settings.weight_by_work = !settings.weight_by_work;
                let mapping = IndexMapping {
                    classes: vec![IndexOrigin::Same; count],
                    tenants: vec![IndexOrigin::Same; 2],
                };
                balancer.reload(now, &settings, &mapping);
                assert_summaries_match(&balancer);
            }
        }
    }
}

/// When the concurrency limit collapses, the latency floors are set to the present latencies, and
/// the values of the classes must follow.
#[test]
fn the_best_value_follows_latency_floors_that_are_reset() {
    let mut random = Pcg64Mcg::seed_from_u64(8);
    let mut balancer = Balancer::new(START, settings(classes(5, &mut random)));
    for index in 0..balancer.classes.len() {
        let class = &mut balancer.classes[index];
        class.latency.mean = class.rules.latency_objective;
        balancer.update_highest_latency(index);
    }
    balancer.admission.peak_limit = 1e9;
    balancer.evaluation.latency.is_newest_slower = true;
    balancer.update_limit(START);
    let class = &balancer.classes[0];
    assert_eq!(class.latency.floor, class.latency.mean);
    assert_summaries_match(&balancer);
}

#[test]
fn a_tenant_stays_over_its_share_after_a_reload_that_moves_it() {
    let mut balancer = Balancer::new(START, settings(vec![class(400, 1.0)]));
    for _ in 0..100 {
        balancer.count_tenant(Some(1));
    }
    balancer.count_tenant(Some(7));
    assert!(balancer.is_over_share(Some(1)) && !balancer.is_over_share(Some(0)));
    let mapping = IndexMapping {
        classes: vec![IndexOrigin::Same],
        tenants: vec![IndexOrigin::MovedFrom(1), IndexOrigin::New],
    };
    let settings = settings(vec![class(400, 1.0)]);
    balancer.reload(START, &settings, &mapping);
    assert!(balancer.is_over_share(Some(0)) && !balancer.is_over_share(Some(1)));
    assert!(!balancer.is_over_share(Some(7)) && !balancer.is_over_share(None));
}
