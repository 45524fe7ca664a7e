//! Figures that are computed from the report of a simulated run.

use crate::scenario::{Rollout, Scenario};
use std::collections::BTreeMap;
use std::ops::Range;
use tulipwall_testkit::simulation::{SecondCounts, SimulationReport};

/// Returns the figures of a run by name.
///
/// `good` and `good_last_quarter` are shares of the first tries, without the clients' retries, and
/// `taken_over_asked` is the number of requests received per first try. `denied` and `scrapped` are
/// shares of all requests that agents received, retries included, and `over_budget` is the number
/// of attempts over a budget per such request. `crossing` is a share of the attempts.
pub(super) fn figures(scenario: &Scenario, report: &SimulationReport) -> BTreeMap<String, f64> {
    let mut figures = load_figures(scenario, report);
    if let Some(rollout) = &scenario.rollout {
        figures.extend(rollout_figures(scenario, rollout, report));
    }
    figures
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect()
}

fn load_figures(scenario: &Scenario, report: &SimulationReport) -> Vec<(&'static str, f64)> {
    let seconds = scenario.duration.as_secs() as usize;
    let first_tries = total(report, 0..seconds, |second| second.first_tries).max(1.0);
    let received = total(report, 0..seconds, |second| second.requests_received);
    let all_requests = report.requests.max(1) as f64;
    vec![
        ("good", good_share(report, 0..seconds)),
        (
            "good_last_quarter",
            good_share(report, seconds * 3 / 4..seconds),
        ),
        ("taken_over_asked", received / first_tries),
        ("crossing", report.cross_zone_share()),
        (
            "over_budget",
            report.over_budget_sends() as f64 / received.max(1.0),
        ),
        ("p50_ms", report.quantile_ms(0.5)),
        ("p99_ms", report.quantile_ms(0.99)),
        ("denied", report.rejected as f64 / all_requests),
        ("scrapped", report.failed as f64 / all_requests),
        ("rules_broken", report.violations.len() as f64),
        ("commands", report.requests as f64),
        ("events", report.events as f64),
    ]
}

fn rollout_figures(
    scenario: &Scenario,
    rollout: &Rollout,
    report: &SimulationReport,
) -> Vec<(&'static str, f64)> {
    let status = &report.rollout;
    let held_at = status.first_hold.map_or(scenario.duration, |held| held.0);
    // A build that is never held counts as held in the stage after the last.
    let held_in_stage = status
        .first_hold
        .map_or(rollout.stages.len(), |held| held.1);
    let time_to_hold = held_at.saturating_sub(rollout.start);
    vec![
        ("held", as_figure(status.first_hold.is_some())),
        ("sent_back", as_figure(status.rolled_back.is_some())),
        ("released", as_figure(status.released.is_some())),
        ("held_in_stage", held_in_stage as f64),
        ("s_to_hold", time_to_hold.as_secs_f64()),
        ("s_stood", status.time_held.as_secs_f64()),
    ]
}

fn as_figure(happened: bool) -> f64 {
    f64::from(u8::from(happened))
}

/// Returns the share of the requests of these seconds that succeeded within their latency
/// objective.
fn good_share(report: &SimulationReport, seconds: Range<usize>) -> f64 {
    let good = total(report, seconds.clone(), |second| second.within_objective);
    let first_tries = total(report, seconds, |second| second.first_tries);
    good / first_tries.max(1.0)
}

/// Returns the sum of a count over these seconds of all agents.
fn total(report: &SimulationReport, seconds: Range<usize>, count: fn(&SecondCounts) -> u64) -> f64 {
    let within = |agent: &[SecondCounts]| {
        let end = seconds.end.min(agent.len());
        let start = seconds.start.min(agent.len());
        agent[start..end].iter().map(count).sum::<u64>()
    };
    let total: u64 = report
        .counts_by_second
        .iter()
        .map(|agent| within(agent))
        .sum();
    total as f64
}
