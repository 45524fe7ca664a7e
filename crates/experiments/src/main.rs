//! `tulipwall-experiments`: experiments in simulated time, and load on real agents.

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Duration;
use tulipwall_experiments::fleet::command as fleet;
use tulipwall_experiments::load::Plan;
use tulipwall_experiments::records::{self, Head, Records};
use tulipwall_experiments::scenario::Scenario;
use tulipwall_experiments::{report, run};

const EXITS: &str = "\
Exit codes: 0 done; 1 a scenario or a file of records is wrong, or an agent could not be reached; 2 the command line is
wrong; 3 a rule was broken in some run; 4 a figure of `fleet` or `scale --full` lies beyond an operators' limit.";

/// Experiments on a model of the whole installation, and load on real agents.
#[derive(Parser)]
#[command(name = "tulipwall-experiments", version, after_help = EXITS)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario at each of its points and seeds. Broken off, it goes on where it was.
    Run {
        scenario: PathBuf,
        /// Where records go; the scenario's name with `.records` otherwise.
        #[arg(long, short, value_name = "FILE")]
        out: Option<PathBuf>,
        /// Cores; all otherwise.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=1024))]
        cores: Option<u16>,
    },
    /// The points of a scenario, and what a run takes.
    List { scenario: PathBuf },
    /// A table of what was measured.
    Table {
        records: PathBuf,
        /// Only these figures.
        figures: Vec<String>,
    },
    /// What differs beyond chance: two files point by point, or the points of one against its
    /// first.
    Compare {
        records: PathBuf,
        other: Option<PathBuf>,
    },
    /// One HTML page with a plot for each figure.
    Plot {
        records: PathBuf,
        #[arg(long, short, value_name = "FILE")]
        out: PathBuf,
    },
    /// The life of one command in one run.
    Explain {
        scenario: PathBuf,
        /// As `list` numbers them.
        #[arg(long, default_value_t = 0)]
        point: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 0)]
        agent: usize,
        /// Its number at that agent, from 0.
        command: u64,
    },
    /// Hollow agents by their number, endpoints, services, classes and tenants: what each costs,
    /// against the limits.
    Scale(tulipwall_experiments::scale::command::Scale),
    /// Drive a real agent over its protocol, open loop.
    Load(Drive),
    /// What real agents on loopback take and add: memory, processor time, bytes, latency.
    #[command(after_help = EXITS)]
    Fleet(Box<fleet::Options>),
}

#[derive(Args)]
struct Drive {
    agent: SocketAddr,
    /// A class with its weight, `NAME` or `NAME=WEIGHT`; `NAME=WEIGHT+k` carries a key.
    #[arg(long = "lane", required = true, value_parser = class)]
    class: Vec<(String, f64, bool)>,
    /// Commands a second; several are steps one after another.
    #[arg(long, default_values_t = [100.0], num_args = 1.., value_parser = rate)]
    rate: Vec<f64>,
    /// Seconds of each step.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// How long clients wait, in milliseconds.
    #[arg(long, default_value_t = 1500, value_parser = clap::value_parser!(u64).range(1..=600_000))]
    expiry: u64,
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u16).range(1..=20_000))]
    connections: u16,
    /// Search the highest rate that keeps this p99, in milliseconds, from the first rate up to the
    /// last.
    #[arg(long, value_name = "MS")]
    limit: Option<f64>,
    /// A line of JSON for each step.
    #[arg(long)]
    json: bool,
}

fn rate(text: &str) -> Result<f64, String> {
    let rate = text.parse::<f64>().ok().filter(|r| (0.1..=1e6).contains(r));
    rate.ok_or_else(|| "commands a second from 0.1 to 1000000 are wanted".into())
}

fn class(text: &str) -> Result<(String, f64, bool), String> {
    let (name, weight) = text.split_once('=').unwrap_or((text, "1"));
    let (weight, keyed) = weight
        .strip_suffix("+k")
        .map_or((weight, false), |w| (w, true));
    let weight = weight
        .parse::<f64>()
        .ok()
        .filter(|w| w.is_finite() && *w > 0.0);
    weight
        .map(|w| (name.to_owned(), w, keyed))
        .ok_or_else(|| "NAME, NAME=WEIGHT or NAME=WEIGHT+k is wanted".into())
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Run {
            scenario,
            out,
            cores,
        } => play(&scenario, out, cores),
        Command::List { scenario } => list(&scenario),
        Command::Table { records, figures } => records::read(&records).map(|(_, all)| {
            print!("{}", report::table(&all, &figures));
            true
        }),
        Command::Compare { records, other } => compare(&records, other.as_deref()),
        Command::Plot { records, out } => plot(&records, &out),
        Command::Explain {
            scenario,
            point,
            seed,
            agent,
            command,
        } => explain(&scenario, point, seed, (agent, command)),
        Command::Load(drive) => drive.run(),
        Command::Fleet(options) => return fleet::main(*options),
        Command::Scale(scale) => match scale.run(free()) {
            Ok(beyond) if beyond.is_empty() => Ok(true),
            Ok(_) => return 4.into(),
            Err(what) => Err(what),
        },
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => 3.into(),
        Err(what) => {
            eprintln!("{what}");
            ExitCode::FAILURE
        }
    }
}

/// The scenario and its text.
fn read(path: &Path) -> Result<(Scenario, String), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let named = |m: &tulipwall_config::ConfigDiagnostic| format!("{}:{m}", path.display());
    let read = Scenario::read(&text)
        .map_err(|all| all.iter().map(named).collect::<Vec<_>>().join("\n"))?;
    Ok((read, text))
}

/// Bytes that are free on this machine.
fn free() -> f64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text
        .lines()
        .find(|l| l.starts_with("MemAvailable:"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<f64>().ok())
        .map_or(f64::MAX, |kb| kb * 1024.0)
}

fn play(path: &Path, out: Option<PathBuf>, cores: Option<u16>) -> Result<bool, String> {
    let (scenario, text) = read(path)?;
    let points = scenario.points();
    let cores = cores.map_or(rayon::current_num_threads(), usize::from);
    let needs = points
        .iter()
        .map(|p| scenario.at(p).memory())
        .fold(0.0, f64::max);
    let fit = (free() * 0.8 / needs).floor() as usize;
    if fit == 0 {
        let (needs, free) = (needs / 1e9, free() / 1e9);
        return Err(format!(
            "{}: one run may take {needs:.1} GB, of which {free:.1} are free",
            path.display()
        ));
    }
    let out = out.unwrap_or_else(|| path.with_extension("records"));
    let records = Mutex::new(Records::open(&out, Head::of(&scenario.name, &text))?);
    let mut todo = Vec::new();
    {
        let records = records
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        // Seed by seed, so that what is there early holds something of each point.
        for seed in 1..=scenario.seeds {
            todo.extend(
                (0..points.len())
                    .filter(|p| !records.has(*p, seed))
                    .map(|p| (p, seed)),
            );
        }
    }
    let bar = ProgressBar::new(todo.len() as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} to go");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(cores.min(fit))
        .build()
        .map_err(|e| e.to_string())?;
    let failed = pool.install(|| {
        todo.into_par_iter().find_map_any(|(point, seed)| {
            let record = run::run(&scenario, point, &points[point], seed);
            let mut records = records
                .lock()
                .unwrap_or_else(|poisoned| poisoned.into_inner());
            let added = records.add(record);
            bar.inc(1);
            added.err()
        })
    });
    bar.finish_and_clear();
    if let Some(e) = failed {
        return Err(format!("{}: {e}", out.display()));
    }
    let records = records
        .into_inner()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let broken: Vec<&String> = records.all.iter().flat_map(|r| &r.broken).collect();
    println!(
        "{}: {} runs; rules broken: {}",
        out.display(),
        records.all.len(),
        broken.len()
    );
    broken.iter().take(5).for_each(|b| println!("  {b}"));
    Ok(broken.is_empty())
}

fn list(path: &Path) -> Result<bool, String> {
    let (scenario, _) = read(path)?;
    println!(
        "{}: {} seeds, {:?} each",
        scenario.name, scenario.seeds, scenario.span
    );
    for (n, point) in scenario.points().iter().enumerate() {
        let s = scenario.at(point);
        let words: Vec<String> = point.iter().map(|(k, v)| format!("{k} {v}")).collect();
        let commands = s.rate * s.span.as_secs_f64();
        println!(
            "{n:4}  {}  {commands:.0} commands, {:.0} MB",
            words.join(", "),
            s.memory() / 1e6
        );
    }
    Ok(true)
}

fn compare(path: &Path, other: Option<&Path>) -> Result<bool, String> {
    let (_, one) = records::read(path)?;
    match other {
        Some(other) => print!("{}", report::compare(&one, &records::read(other)?.1)),
        None => print!("{}", report::compare_within(&one)),
    }
    Ok(true)
}

fn plot(path: &Path, out: &Path) -> Result<bool, String> {
    let (head, all) = records::read(path)?;
    std::fs::write(out, report::page(&head, &all)?)
        .map_err(|e| format!("{}: {e}", out.display()))?;
    println!("{}: written", out.display());
    Ok(true)
}

fn explain(path: &Path, point: usize, seed: u64, watch: (usize, u64)) -> Result<bool, String> {
    let (scenario, _) = read(path)?;
    let points = scenario.points();
    let Some(values) = points.get(point) else {
        return Err(format!("point {point}: there are {}", points.len()));
    };
    let mut day = run::day(&scenario.at(values), seed);
    day.traced_request = Some(watch);
    let played = day.run();
    if played.trace.is_empty() {
        return Err(format!("agent {} took no command {}", watch.0, watch.1));
    }
    played.trace.iter().for_each(|l| println!("{l}"));
    Ok(true)
}

impl Drive {
    fn run(self) -> Result<bool, String> {
        let expiry = Duration::from_millis(self.expiry);
        let plan = Plan {
            agent: self.agent,
            classes: self
                .class
                .into_iter()
                .map(|(name, weight, keyed)| (name, weight, expiry, keyed))
                .collect(),
            connections: usize::from(self.connections),
            seed: 1,
        };
        std::net::TcpStream::connect(self.agent).map_err(|e| format!("{}: {e}", self.agent))?;
        let span = Duration::from_secs(self.seconds);
        let tell = |step: &tulipwall_experiments::load::Step| {
            if self.json {
                println!("{}", step.value());
            } else {
                println!("{}", step.line());
            }
        };
        match self.limit {
            None => self
                .rate
                .iter()
                .for_each(|rate| tell(&plan.step(*rate, span))),
            Some(p99) => {
                let (from, to) = (
                    self.rate[0],
                    self.rate
                        .iter()
                        .copied()
                        .fold(self.rate[0] * 64.0, f64::max),
                );
                match plan.limit(from, to, span, p99, tell) {
                    Some(rate) => {
                        println!("highest rate with p99 within {p99} ms: {rate:.0} a second")
                    }
                    None => {
                        println!("not even {from} a second is answered with p99 within {p99} ms")
                    }
                }
            }
        }
        Ok(true)
    }
}
