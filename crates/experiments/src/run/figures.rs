//! Figures of a run.

use crate::scenario::{Rollout, Scenario};
use std::collections::BTreeMap;
use std::ops::Range;
use tulipwall_testkit::day::{Played, Second};

/// The figures of a run by name. Shares are of requests as they first came, retries apart.
pub(super) fn figures(scenario: &Scenario, played: &Played) -> BTreeMap<String, f64> {
    let mut figures = load_figures(scenario, played);
    if let Some(rollout) = &scenario.rollout {
        figures.extend(rollout_figures(scenario, rollout, played));
    }
    figures
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect()
}

fn load_figures(scenario: &Scenario, played: &Played) -> Vec<(&'static str, f64)> {
    let seconds = scenario.duration.as_secs() as usize;
    let asked = total(played, 0..seconds, |second| second.asked).max(1.0);
    let taken = total(played, 0..seconds, |second| second.taken);
    let all_taken = played.taken.max(1) as f64;
    vec![
        ("good", good_share(played, 0..seconds)),
        (
            "good_last_quarter",
            good_share(played, seconds * 3 / 4..seconds),
        ),
        ("taken_over_asked", taken / asked),
        ("crossing", played.crossed()),
        ("over_budget", played.over() as f64 / taken.max(1.0)),
        ("p50_ms", played.quantile_ms(0.5)),
        ("p99_ms", played.quantile_ms(0.99)),
        ("denied", played.rejected as f64 / all_taken),
        ("scrapped", played.scrapped as f64 / all_taken),
        ("rules_broken", played.broken.len() as f64),
        ("commands", played.taken as f64),
        ("events", played.events as f64),
    ]
}

fn rollout_figures(
    scenario: &Scenario,
    rollout: &Rollout,
    played: &Played,
) -> Vec<(&'static str, f64)> {
    let offered = &played.offered;
    let held_at = offered.held.map_or(scenario.duration, |held| held.0);
    // A build that is never held counts as held in the stage after the last.
    let held_in_stage = offered.held.map_or(rollout.stages.len(), |held| held.1);
    let time_to_hold = held_at.saturating_sub(rollout.start);
    vec![
        ("held", as_figure(offered.held.is_some())),
        ("sent_back", as_figure(offered.back.is_some())),
        ("released", as_figure(offered.released.is_some())),
        ("held_in_stage", held_in_stage as f64),
        ("s_to_hold", time_to_hold.as_secs_f64()),
        ("s_stood", offered.stood.as_secs_f64()),
    ]
}

fn as_figure(happened: bool) -> f64 {
    f64::from(u8::from(happened))
}

/// Share of the requests of these seconds that succeeded within their latency objective.
fn good_share(played: &Played, seconds: Range<usize>) -> f64 {
    let good = total(played, seconds.clone(), |second| second.good);
    let asked = total(played, seconds, |second| second.asked);
    good / asked.max(1.0)
}

/// Sum of a count over these seconds of all agents.
fn total(played: &Played, seconds: Range<usize>, count: fn(&Second) -> u64) -> f64 {
    let within = |agent: &[Second]| {
        let end = seconds.end.min(agent.len());
        let start = seconds.start.min(agent.len());
        agent[start..end].iter().map(count).sum::<u64>()
    };
    let total: u64 = played.seconds.iter().map(|agent| within(agent)).sum();
    total as f64
}
