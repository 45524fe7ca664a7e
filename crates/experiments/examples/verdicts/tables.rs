//! Prints tables of builds and of seconds in Markdown.

use crate::evidence::first_detected;
use crate::log::Log;
use std::collections::{BTreeMap, BTreeSet};

/// Phases and verdicts as the agent logs them.
const CANARY: &str = "Canary";
const ROLLING_BACK: &str = "RollingBack";
const RELEASED: &str = "Released";
const ROLL_BACK: &str = "RollBack";
/// Range of seconds that is printed, relative to a build's first answer.
const SECONDS_SHOWN: std::ops::Range<i32> = -2..12;

/// Prints when each build was detected as regressed, voted on and rolled back, and its first
/// seconds.
pub fn print_builds(log: &Log) {
    println!(
        "| build | on trial from, first answer | all outcomes tell | first note | {} voices back | went back | released |",
        log.votes_to_roll_back
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let builds: BTreeSet<u32> = log
        .rollouts
        .keys()
        .filter(|status| status.phase == CANARY)
        .map(|status| status.build)
        .collect();
    for build in &builds {
        let next = builds.iter().find(|other| *other > build);
        print_build(log, *build, next.copied());
    }
    for build in &builds {
        print_first_seconds(log, *build);
    }
}

fn print_build(log: &Log, build: u32, next: Option<u32>) {
    let rolled_back = log.phase_began(build, Some(ROLLING_BACK));
    let next_began = next.and_then(|next| log.phase_began(next, None));
    let until = rolled_back.or(next_began).unwrap_or(f64::MAX);
    let first_answer = first_answer(log, build);
    let detected = first_answer.map(|from| first_detected(log, build, from, until));
    let detected: Vec<String> = detected
        .unwrap_or_default()
        .iter()
        .map(|(kind, at)| format!("{kind} {at:.1}"))
        .collect();
    let note = log.notes.iter().find(|note| note.build == build);
    println!(
        "| {build} | {}, {} | {} | {} | {} | {} | {} |",
        format_time(log.phase_began(build, Some(CANARY))),
        format_time(first_answer),
        if detected.is_empty() {
            "nothing".into()
        } else {
            detected.join(", ")
        },
        note.map_or("-".into(), |note| format!(
            "{:.1}: {}",
            note.at, note.reason
        )),
        format_time(enough_votes_at(log, build)),
        format_time(rolled_back),
        format_time(log.phase_began(build, Some(RELEASED)))
    );
}

fn first_answer(log: &Log, build: u32) -> Option<f64> {
    let first = log.attempts.iter().find(|attempt| attempt.build == build);
    first.map(|attempt| attempt.at)
}

/// Returns when enough agents' votes to roll a build back stood at the same time, or `None` if they
/// never did.
fn enough_votes_at(log: &Log, build: u32) -> Option<f64> {
    let mut agents = BTreeSet::new();
    for vote in log.votes.iter().filter(|vote| vote.build == build) {
        if vote.verdict == ROLL_BACK {
            agents.insert(vote.agent);
        } else {
            agents.remove(&vote.agent);
        }
        if agents.len() >= log.votes_to_roll_back.max(1) {
            return Some(vote.at);
        }
    }
    None
}

fn format_time(at: Option<f64>) -> String {
    at.map_or("-".into(), |seconds| format!("{seconds:.1}"))
}

fn print_first_seconds(log: &Log, build: u32) {
    let Some(first) = first_answer(log, build).map(f64::floor) else {
        return;
    };
    println!("\nBuild {build} by second, its share of the attempts and the mean latency of the earlier builds in ms:");
    let second = |n| {
        let at = first + f64::from(n);
        let (share, duration) = second(log, build, at);
        format!("{at:.0} s {:.0}% {:.0}", share * 100.0, duration * 1000.0)
    };
    let seconds: Vec<String> = SECONDS_SHOWN.map(second).collect();
    println!("{}", seconds.join("; "));
}

/// Returns the share of the attempts in a second that went to a build, and the mean duration in
/// seconds of the successful attempts of earlier builds.
fn second(log: &Log, build: u32, from: f64) -> (f64, f64) {
    let is_within = |at: f64| at >= from && at < from + 1.0;
    let attempts = || log.attempts.iter().filter(|a| is_within(a.at));
    let own = attempts().filter(|a| a.build == build).count();
    let share = own as f64 / attempts().count().max(1) as f64;
    let others: Vec<f64> = attempts()
        .filter(|a| a.build < build && a.outcome == "Succeeded")
        .map(|a| a.duration)
        .collect();
    let mean = others.iter().fold(0.0, |sum, d| sum + d) / others.len().max(1) as f64;
    (share, mean)
}

/// The value of the requests that ended in a second, in total and by outcome. The value of a request
/// is its estimated work times the priority weight of its class.
#[derive(Default)]
struct Second<'a> {
    by_outcome: BTreeMap<&'a str, f64>,
    total: f64,
}

impl Second<'_> {
    fn percent(&self, outcome: &str) -> f64 {
        let value = self.by_outcome.get(outcome).copied().unwrap_or(0.0);
        value / self.total * 100.0
    }
}

/// Prints for each second the value of its requests and the share of that value by outcome.
pub fn print_seconds(log: &Log) {
    println!("\n| second | benefit asked for, % of the day's | in time % | late % | denied % | scrapped % | left % |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let seconds = values_by_second(log);
    let total: f64 = seconds.values().fold(0.0, |sum, second| sum + second.total);
    for (at, second) in &seconds {
        println!(
            "| {at} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |",
            second.total / total * 100.0,
            second.percent("in time"),
            second.percent("late"),
            second.percent("Rejected"),
            second.percent("Failed"),
            second.percent("Abandoned")
        );
    }
}

fn values_by_second(log: &Log) -> BTreeMap<i64, Second<'_>> {
    let mut seconds: BTreeMap<i64, Second> = BTreeMap::new();
    for request in &log.requests {
        let Some(class) = log.classes.get(request.class) else {
            continue;
        };
        let value = class.priority_weight * request.estimated_work.max(1.0);
        let outcome = if request.outcome != "Succeeded" {
            &request.outcome
        } else if request.duration <= class.latency_objective {
            "in time"
        } else {
            "late"
        };
        let second = seconds.entry(request.at.floor() as i64).or_default();
        *second.by_outcome.entry(outcome).or_default() += value;
        second.total += value;
    }
    seconds
}
