//! How far verdicts on builds are from the best: reads the evidence that agents log, and prints for
//! each build when all their outcomes together tell it, when enough agents spoke and when it went
//! back; and what was lost in each second.
//!
//!     RUST_LOG=info,evidence=debug ...                      # at each agent, its log to a file of its own
//!     cargo run --release -p tulipwall-experiments --example verdicts -- DIR [--seconds]

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// One voice in a thousand by chance: Wald's bound for a sequential test, as a logarithm.
const SURE: f64 = 6.91;
/// What a slowing must be beyond before it counts, as the module has it (`PACE_EXCUSED`).
const EXCUSED: f64 = 1.4;
/// The same for a share of failures (`FAILED_SHARE`).
const SHARE: f64 = 0.04;

struct Attempt {
    at: f64,
    build: u32,
    outcome: String,
    took: f64, // seconds
}

#[derive(Default)]
struct Log {
    classes: Vec<(f64, f64)>, // quoted seconds, benefit
    back: usize,
    attempts: Vec<Attempt>,
    commands: Vec<(f64, usize, String, f64, f64)>, // when, class, end, seconds, hinted work
    flags: Vec<(f64, u32)>,
    rollout_status: BTreeMap<(u32, u32, String), f64>, // since when
    notes: Vec<(f64, usize, u32, String)>,             // regressed
    votes: Vec<(f64, usize, u32, String)>,             // cast
}

fn files(at: &Path, all: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(at).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.is_dir() {
            files(&path, all)
        } else {
            all.push(path)
        }
    }
}

/// Every line of evidence, with its agent. What cannot be read is passed over.
fn read(dir: &Path) -> Log {
    let mut all = Vec::new();
    files(dir, &mut all);
    all.sort();
    let mut lines = Vec::new();
    for (agent, path) in all.iter().enumerate() {
        let Ok(text) = std::fs::read(path) else {
            continue;
        };
        for line in String::from_utf8_lossy(&text).lines() {
            let Some((_, said)) = line.split_once("evidence] ") else {
                continue;
            };
            let mut words = said.split(' ').map(str::to_owned);
            let Some(at) = words.next().and_then(|w| w.parse::<u64>().ok()) else {
                continue;
            };
            lines.push((at, agent, words.collect::<Vec<_>>()));
        }
    }
    lines.sort();
    let zero = lines.first().map_or(0, |l| l.0);
    let seconds = |ms: u64| ms as f64 / 1000.0 - zero as f64 / 1000.0;
    let mut log = Log::default();
    for (at, agent, w) in lines {
        let at = seconds(at);
        let number = |i: usize| w.get(i).and_then(|w| w.parse::<f64>().ok()).unwrap_or(0.0);
        let word = |i: usize| w.get(i).cloned().unwrap_or_default();
        let build = |i: usize| number(i) as u32;
        match w[0].as_str() {
            "start" => log.back = number(4) as usize,
            "classes" if log.classes.is_empty() => {
                let text = w[1..].join(" ").replace(['[', ']', '(', ')'], "");
                let all: Vec<f64> = text.split(", ").filter_map(|n| n.parse().ok()).collect();
                log.classes = all
                    .chunks(2)
                    .filter(|c| c.len() == 2)
                    .map(|c| (c[0] / 1000.0, c[1]))
                    .collect();
            }
            "rollout" => {
                let since = w.get(7).and_then(|w| w.parse().ok()).map_or(at, seconds);
                let told = log
                    .rollout_status
                    .entry((build(2), build(4), word(5)))
                    .or_insert(since);
                *told = told.min(since);
            }
            "request" => {
                log.commands
                    .push((at, number(2) as usize, word(3), number(4) / 1e6, number(7)))
            }
            "attempt" => {
                let outcome = word(5);
                log.attempts.push(Attempt {
                    at,
                    build: build(4),
                    outcome,
                    took: number(6) / 1e6,
                });
            }
            "client_error" => log.flags.push((at, build(4))),
            "note" if word(1) == "regression:" => {
                let why = w[4..].join(" ");
                let why = why.split(", canary").next().unwrap_or_default().to_owned();
                log.notes.push((
                    at,
                    agent,
                    word(3).trim_end_matches(',').parse().unwrap_or(0),
                    why,
                ));
            }
            "vote" if word(1) == "build" => log.votes.push((at, agent, build(2), word(5))),
            _ => {}
        }
    }
    log
}

/// As the module's: how far two samples speak for two shares and not for one, as a logarithm.
fn apart((bad, all): (f64, f64), (base, of): (f64, f64)) -> f64 {
    if all <= 0.0 || of <= 0.0 || bad * of <= base * all {
        return 0.0;
    }
    let term = |n: f64, p: f64| if n > 0.0 { n * p.max(1e-9).ln() } else { 0.0 };
    let likely = |bad: f64, all: f64, share: f64| term(bad, share) + term(all - bad, 1.0 - share);
    likely(bad, all, bad / all) + likely(base, of, base / of)
        - likely(bad + base, all + of, (bad + base) / (all + of))
}

/// A tenth of a second: what ended of the trial and of earlier builds, and what was waited for.
#[derive(Clone, Copy, Default)]
struct Bin {
    own: [f64; 3], // answers, failed ones, their seconds
    others: [f64; 3],
    sent: [f64; 2], // to the trial, to all
    waited: f64,    // seconds in flight
}

const BIN: f64 = 0.1;

fn bins(log: &Log, build: u32, from: f64, until: f64) -> Vec<Bin> {
    let mut bins = vec![Bin::default(); ((until - from) / BIN).ceil().max(0.0) as usize];
    let at = |t: f64| ((t - from) / BIN).floor().max(0.0) as usize;
    for d in log
        .attempts
        .iter()
        .filter(|d| d.build > 0 && d.build <= build && d.at >= from)
    {
        let (came, failed) = (
            matches!(d.outcome.as_str(), "Succeeded" | "Failed"),
            d.outcome == "Failed",
        );
        let begun = d.at - d.took;
        if let Some(b) = bins.get_mut(at(d.at)) {
            let side = if d.build == build {
                &mut b.own
            } else {
                &mut b.others
            };
            side[0] += f64::from(u8::from(came));
            side[1] += f64::from(u8::from(failed));
            side[2] += d.took;
        }
        if let Some(b) = bins.get_mut(at(begun)).filter(|_| begun >= from) {
            b.sent = [
                b.sent[0] + f64::from(u8::from(d.build == build)),
                b.sent[1] + 1.0,
            ];
        }
        for n in at(begun)..=at(d.at) {
            let edge = from + n as f64 * BIN;
            let part = d.at.min(edge + BIN) - begun.max(edge);
            bins.get_mut(n)
                .into_iter()
                .for_each(|b| b.waited += part.max(0.0));
        }
    }
    bins
}

/// The most likely slowing beyond what is excused: one in step with the trial's part of what was
/// sent, and one at any one moment. How far each is likelier than none that is beyond that, and
/// than the other, as logarithms. Answers are Poisson by the time waited.
fn slowing(bins: &[Bin]) -> [(f64, f64); 2] {
    let likely = |n: f64, waited: f64| n * (n.max(1e-9) / waited.max(1e-9)).ln();
    let answers = |b: &Bin| b.own[0] + b.others[0];
    let (all, waited) = bins
        .iter()
        .fold((0.0, 0.0), |s, b| (s.0 + answers(b), s.1 + b.waited));
    let flat = likely(all, waited);
    let (mut before, mut moment, mut slower) = ((0.0, 0.0), flat, 1.0);
    for b in bins {
        before = (before.0 + answers(b), before.1 + b.waited);
        let after = (all - before.0, waited - before.1);
        let found = likely(before.0, before.1) + likely(after.0, after.1);
        if after.0 * before.1 < before.0 * after.1 && found > moment {
            (moment, slower) = (
                found,
                after.1 / after.0.max(1e-9) / (before.1 / before.0.max(1e-9)),
            );
        }
    }
    // The part that was sent of late, as it is at work.
    let mut part = 0.0;
    let parts: Vec<f64> = bins
        .iter()
        .map(|b| {
            part = if b.sent[1] > 0.0 {
                part + (b.sent[0] / b.sent[1] - part) * 0.3
            } else {
                part
            };
            part
        })
        .collect();
    let in_step = |by: f64| {
        let (mut sum, mut took) = (0.0, 0.0);
        for (b, part) in bins.iter().zip(&parts) {
            let rate = 1.0 / (1.0 + by * part);
            (sum, took) = (sum + answers(b) * rate.ln(), took + b.waited * rate);
        }
        sum + likely(all, took)
    };
    let excused = in_step(EXCUSED - 1.0);
    let step = (0..24)
        .map(|i| in_step((EXCUSED - 1.0) * (f64::from(i) / 2.0).exp2()))
        .fold(excused, f64::max);
    let moment = if slower > EXCUSED { moment } else { flat };
    [
        (step - excused, step - moment),
        (moment - flat, moment - step.max(flat)),
    ]
}

/// When all outcomes together tell of a build, by kind; the price of fitting a share or a pace is
/// half the logarithm of how many outcomes there are. A slowing that came at one moment, out of
/// step with the trial, is not the build's.
fn told(log: &Log, build: u32, from: f64, until: f64) -> BTreeMap<&'static str, f64> {
    let mut found = BTreeMap::new();
    let (begin, end) = (
        (from - 5.0).max(0.0),
        until.min(log.attempts.last().map_or(0.0, |d| d.at)),
    );
    let bins = bins(log, build, begin, end);
    let first = ((from - begin) / BIN) as usize;
    let price = |n: f64| SURE + n.max(1.0).ln() / 2.0;
    let sum = |of: &[Bin], side: fn(&Bin) -> [f64; 3]| {
        of.iter()
            .map(side)
            .fold([0.0; 3], |s, b| [s[0] + b[0], s[1] + b[1], s[2] + b[2]])
    };
    let flags = |until: f64, of: &dyn Fn(u32) -> bool| {
        log.flags
            .iter()
            .filter(|f| f.0 <= until && f.1 > 0 && of(f.1))
            .count() as f64
    };
    for n in first + 1..=bins.len() {
        let (now, here) = (begin + n as f64 * BIN, &bins[..n]);
        let base = sum(here, |b| b.others);
        // Since whichever moment: a build may turn bad some seconds after its start.
        for since in (first..n).step_by(5) {
            let late = sum(&here[since..], |b| b.own);
            if late[1] > SHARE * late[0]
                && apart((late[1], late[0]), (base[1], base[0])) > price(late[0])
            {
                found.entry("failing").or_insert(now);
            }
        }
        let own = sum(here, |b| b.own);
        let wrong = (flags(now, &|b| b == build), own[0]);
        if apart(wrong, (flags(now, &|b| b < build), base[0])) > price(own[0]) {
            found.entry("wrong").or_insert(now);
        }
        let others = sum(&here[first..], |b| b.others);
        let pace = own[2] / own[0].max(1.0) / (others[2] / others[0].max(1.0)) / EXCUSED;
        let both = own[0] * others[0] / (own[0] + others[0]).max(1.0);
        if pace.is_finite() && pace > 1.0 && both * (pace - 1.0 - pace.ln()) > price(own[0]) {
            found.entry("slow itself").or_insert(now);
        }
        let [step, moment] = slowing(here);
        let bar = price(own[0] + base[0]);
        if step.0 > bar && step.1 > -SURE {
            found.entry("all slow in step with it").or_insert(now);
        }
        if moment.0 > bar && moment.1 > bar {
            found.entry("all slow at one moment").or_insert(now);
        }
    }
    found
}

/// The part of the attempts of a second that went to a build, and the mean time of the others'
/// answers.
fn second(log: &Log, build: u32, from: f64) -> (f64, f64) {
    let here = || {
        log.attempts
            .iter()
            .filter(|d| d.at >= from && d.at < from + 1.0)
    };
    let (all, own) = (here().count(), here().filter(|d| d.build == build).count());
    let others = here().filter(|d| d.build < build && d.outcome == "Succeeded");
    let (took, n) = others.fold((0.0, 0), |(took, n), d| (took + d.took, n + 1));
    (own as f64 / all.max(1) as f64, took / f64::from(n.max(1)))
}

fn show(at: Option<f64>) -> String {
    at.map_or("-".into(), |t| format!("{t:.1}"))
}

fn builds(log: &Log) {
    println!("| build | on trial from, first answer | all outcomes tell | first note | {} voices back | went back | released |", log.back);
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let tried: BTreeSet<u32> = log
        .rollout_status
        .keys()
        .filter(|k| k.2 == "Canary")
        .map(|k| k.0)
        .collect();
    for build in &tried {
        let since = |phase: &str| {
            log.rollout_status
                .iter()
                .filter(|(k, _)| k.0 == *build && k.2 == phase)
                .map(|n| *n.1)
                .reduce(f64::min)
        };
        let next = tried.iter().find(|b| *b > build);
        let until = next.and_then(|n| {
            log.rollout_status
                .iter()
                .filter(|(k, _)| k.0 == *n)
                .map(|n| *n.1)
                .reduce(f64::min)
        });
        let until = since("RollingBack").or(until).unwrap_or(f64::MAX);
        let first = log
            .attempts
            .iter()
            .find(|d| d.build == *build)
            .map(|d| d.at);
        let found = first
            .map(|from| told(log, *build, from, until))
            .unwrap_or_default();
        let found: Vec<String> = found
            .iter()
            .map(|(what, at)| format!("{what} {at:.1}"))
            .collect();
        let note = log.notes.iter().find(|n| n.2 == *build);
        let mut voices = BTreeSet::new();
        let mut spoke = None;
        for v in log.votes.iter().filter(|v| v.2 == *build) {
            if v.3 == "Back" {
                voices.insert(v.1)
            } else {
                voices.remove(&v.1)
            };
            if voices.len() >= log.back.max(1) && spoke.is_none() {
                spoke = Some(v.0);
            }
        }
        println!(
            "| {build} | {}, {} | {} | {} | {} | {} | {} |",
            show(since("Canary")),
            show(first),
            if found.is_empty() {
                "nothing".into()
            } else {
                found.join(", ")
            },
            note.map_or("-".into(), |n| format!("{:.1}: {}", n.0, n.3)),
            show(spoke),
            show(since("RollingBack")),
            show(since("Released"))
        );
    }
    for build in &tried {
        let Some(first) = log
            .attempts
            .iter()
            .find(|d| d.build == *build)
            .map(|d| d.at.floor())
        else {
            continue;
        };
        println!("\nBuild {build} by second, its part of the deliveries and the mean of the earlier builds' answers in ms:");
        let row: Vec<String> = (-2..12)
            .map(|n| {
                let at = first + f64::from(n);
                let (part, took) = second(log, *build, at);
                format!("{at:.0} s {:.0}% {:.0}", part * 100.0, took * 1000.0)
            })
            .collect();
        println!("{}", row.join("; "));
    }
}

fn seconds(log: &Log) {
    println!("\n| second | benefit asked for, % of the day's | in time % | late % | denied % | scrapped % | left % |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut by: BTreeMap<i64, BTreeMap<&str, f64>> = BTreeMap::new();
    let mut day = 0.0;
    for (at, class, end, took, work) in &log.commands {
        let Some((latency_objective, priority_weight)) = log.classes.get(*class) else {
            continue;
        };
        let worth = priority_weight * work.max(1.0);
        let end = if end != "Succeeded" {
            end
        } else if took <= latency_objective {
            "in time"
        } else {
            "late"
        };
        let second = by.entry(at.floor() as i64).or_default();
        *second.entry(end).or_default() += worth;
        *second.entry("all").or_default() += worth;
        day += worth;
    }
    for (at, of) in &by {
        let all = of.get("all").copied().unwrap_or(1.0);
        let part = |what: &str| of.get(what).map_or(0.0, |n| n / all * 100.0);
        println!(
            "| {at} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |",
            all / day * 100.0,
            part("in time"),
            part("late"),
            part("Rejected"),
            part("Failed"),
            part("Abandoned")
        );
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some(dir) = args.iter().find(|a| !a.starts_with("--")) else {
        eprintln!("verdicts DIR [--seconds]: a directory of agents' logs with evidence is wanted");
        std::process::exit(2);
    };
    let log = read(Path::new(dir));
    if log.attempts.is_empty() {
        eprintln!(
            "{dir}: no evidence in its logs; agents write it with RUST_LOG=info,evidence=debug"
        );
        std::process::exit(1);
    }
    builds(&log);
    if args.iter().any(|a| a == "--seconds") {
        seconds(&log);
    }
}
