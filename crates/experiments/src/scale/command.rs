//! `tulipwall-experiments scale`.

use super::play::{Outcome, Play};
use super::reckon::{readings, reckon, HEAD};
use super::report::{memory_beyond, Report, Rowed, Swept, ROWS_HEAD};
use super::rows::{rows, sweeps, Row, Sweep, RESTARTS};
use super::size::Size;
use clap::{Args, ValueEnum};
use serde_json::json;
use std::path::PathBuf;
use std::process::Command;

/// Half of the machine's memory at most, and no more than this, in bytes.
const MEMORY_MOST: f64 = 8e9;

/// Pairs of agent and endpoint beyond which only some rows are played.
const FEW_ROWS: usize = 1_000_000;
/// Plays of each point of a full sweep, of which the least times count.
const TIMES: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Only {
    Sweeps,
    Rows,
}

#[derive(Args, Clone, Debug)]
#[command(after_help = "\
Without sizes: slopes over each count, then what befalls an installation; with `--full` at the operators' size. With any \
size: the rows of an installation of that size, or those named by `--row`.
Exit codes: 0 done; 1 it would not fit in memory, or could not be played; 2 the command line is wrong; 4 with `--full`: \
something lies beyond the operators' limits (1.2% of a core, 256 MB, 3 kB a second for an agent; 4 s), each listed.")]
pub struct Scale {
    /// At the operators' size; half an hour and up to 8 GB.
    #[arg(long)]
    full: bool,
    /// Only the slopes, or only the rows.
    #[arg(long, value_enum)]
    only: Option<Only>,
    /// A row by its name; several may be given.
    #[arg(long, value_name = "NAME")]
    row: Vec<String>,
    /// Only the slopes of this sweep, by its name; several may be given.
    #[arg(long, value_name = "NAME")]
    sweep: Vec<String>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Threads of agents.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=256))]
    cores: u16,
    /// Memory that it may take, in GB; at most half of the machine's and of what is free.
    #[arg(long, value_name = "GB")]
    memory: Option<f64>,
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Points and lines, as SVG.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
    #[arg(long, value_parser = count)]
    services: Option<usize>,
    /// All agents together.
    #[arg(long, value_parser = count)]
    agents: Option<usize>,
    /// All endpoints together.
    #[arg(long = "appliances", value_parser = count)]
    endpoints: Option<usize>,
    /// Of one service.
    #[arg(long = "lanes", value_parser = count)]
    classes: Option<usize>,
    /// Of one service.
    #[arg(long, value_parser = count)]
    tenants: Option<usize>,
    /// Requests a second for each agent, at the peak.
    #[arg(long, value_parser = rate)]
    rate: Option<f64>,
    /// Calls a second that discovery answers, for each agent: those that begin a watch.
    #[arg(long, value_parser = rate)]
    calls: Option<f64>,
    /// Discovery counts each call, also those that go on with a watch.
    #[arg(long)]
    every_call: bool,
    /// Requests a second for each agent in all rows but the peak and the calm one; the share of a
    /// core is reckoned at the peak's.
    #[arg(long, value_parser = rate)]
    quiet: Option<f64>,
    /// One point of a sweep, in a process of its own.
    #[arg(long, hide = true)]
    point: Option<String>,
}

fn count(text: &str) -> Result<usize, String> {
    let count = text
        .parse::<usize>()
        .ok()
        .filter(|n| (1..=1_000_000).contains(n));
    count.ok_or_else(|| "a number from 1 to 1000000 is wanted".into())
}

fn rate(text: &str) -> Result<f64, String> {
    let rate = text
        .parse::<f64>()
        .ok()
        .filter(|r| (0.01..=1e5).contains(r));
    rate.ok_or_else(|| "a rate a second from 0.01 to 100000 is wanted".into())
}

/// Bytes of memory that this machine has.
fn machine() -> f64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text
        .lines()
        .find(|l| l.starts_with("MemTotal:"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<f64>().ok())
        .map_or(f64::MAX, |kb| kb * 1024.0)
}

impl Scale {
    /// Runs it and prints what it measured. What lies beyond the limits, with `--full`.
    ///
    /// # Errors
    /// It would not fit in memory, or cannot be played or written.
    pub fn run(&self, free: f64) -> Result<Vec<String>, String> {
        if let Some(point) = &self.point {
            return self.point(point);
        }
        let most = self
            .memory
            .map_or(MEMORY_MOST, |gb| gb * 1e9)
            .min(machine() / 2.0)
            .min(free / 2.0);
        let mut report = Report {
            seed: self.seed,
            ..Report::default()
        };
        let parts = self.parts(most);
        let of = |(_, size, _): &(String, Size, Option<f64>)| size.memory(false);
        let needs = parts
            .iter()
            .filter(|_| self.only != Some(Only::Sweeps) && self.sweep.is_empty())
            .map(of)
            .fold(0.0, f64::max);
        if needs > most {
            let [needs, most, free] = [needs, most, free].map(|b| b / 1e9);
            return Err(format!(
                "it would take about {needs:.1} GB; {most:.1} GB may be taken, {free:.1} GB are free"
            ));
        }
        if self.only != Some(Only::Rows) && !self.sized() && self.row.is_empty() {
            let all = sweeps(self.full, self.seed);
            if let Some(name) = self
                .sweep
                .iter()
                .find(|name| !all.iter().any(|s| s.name == *name))
            {
                let known: Vec<&str> = all.iter().map(|s| s.name).collect();
                return Err(format!("no sweep '{name}'; known are {}", known.join("; ")));
            }
            let named =
                |s: &Sweep| self.sweep.is_empty() || self.sweep.iter().any(|name| name == s.name);
            for sweep in all.into_iter().filter(named) {
                let swept = Swept::of(&sweep, &self.swept(&sweep)?);
                println!("{}", swept.table());
                report.sweeps.push(swept);
            }
            let reckoned = reckon(&report.sweeps);
            if !reckoned.is_empty() {
                println!("{HEAD}");
                reckoned.iter().for_each(|r| println!("{}", r.line()));
                println!();
            }
            report
                .beyond
                .extend(reckoned.iter().flat_map(|r| r.beyond()));
        }
        if self.only != Some(Only::Sweeps) && self.sweep.is_empty() {
            for (reading, size, quiet) in parts {
                self.rows(&reading, size, quiet, &mut report)?;
            }
        }
        report.beyond.extend(report.rows.iter().flat_map(|r| {
            r.beyond
                .iter()
                .map(move |b| format!("{}, {}: {b}", r.reading, r.name))
        }));
        if let Some(path) = &self.json {
            let text = serde_json::to_string_pretty(&json!(report)).map_err(|e| e.to_string())?;
            std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        if let Some(path) = &self.plot {
            std::fs::write(path, report.plot()?).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        println!("Beyond the limits: {}", report.beyond.len());
        report.beyond.iter().for_each(|b| println!("- {b}"));
        Ok(if self.full { report.beyond } else { Vec::new() })
    }

    fn sized(&self) -> bool {
        let counts = [
            self.services,
            self.agents,
            self.endpoints,
            self.classes,
            self.tenants,
        ];
        counts.iter().any(Option::is_some)
            || self.rate.is_some()
            || self.calls.is_some()
            || self.every_call
    }

    fn size(&self) -> Size {
        let d = Size::default();
        Size {
            services: self.services.unwrap_or(d.services),
            agents: self.agents.unwrap_or(d.agents),
            endpoints: self.endpoints.unwrap_or(d.endpoints),
            classes: self.classes.unwrap_or(d.classes),
            tenants: self.tenants.unwrap_or(d.tenants),
            rate: self.rate.unwrap_or(d.rate),
            calls: self.calls.unwrap_or(d.calls),
            every_call: self.every_call,
            ..d
        }
    }

    /// The installations whose rows are played, by name, and the load of all rows but the peak.
    fn parts(&self, most: f64) -> Vec<(String, Size, Option<f64>)> {
        let size = self.size();
        if self.sized() {
            return vec![("as told".into(), size, self.quiet)];
        }
        let [(mean, one), (largest, tenth), (every, all)] = readings();
        if !self.full {
            let two = Size {
                services: 2,
                agents: 12,
                endpoints: 110,
                ..one
            };
            return vec![("two mean services".into(), two, self.quiet)];
        }
        let services = Size {
            services: 140,
            agents: 770,
            endpoints: 7700,
            ..one
        };
        // As many classes as fit, then as many agents; the lines reckon the rest.
        let classes = [1600, 160, 11].into_iter().find(|classes| {
            Size {
                classes: *classes,
                ..all
            }
            .memory(false)
                <= most
        });
        let mut fits = Size {
            classes: classes.unwrap_or(11),
            ..all
        };
        while fits.memory(false) > most && fits.agents > 1 {
            fits.agents -= 1;
        }
        vec![
            (
                format!("140 of the {mean}"),
                services,
                self.quiet.or(Some(14.3)),
            ),
            (largest.into(), tenth, self.quiet.or(Some(14.3))),
            (
                format!("{every}, {} agents, {} lanes", fits.agents, fits.classes),
                fits,
                self.quiet.or(Some(1.0)),
            ),
        ]
    }

    fn swept(&self, sweep: &Sweep) -> Result<Vec<Outcome>, String> {
        if !sweep.apart {
            let again = if self.full { TIMES - 1 } else { 0 };
            let one =
                |play: &Play| (0..again).try_fold(play.run()?, |o, _| Ok(o.least(&play.run()?)));
            return sweep.plays.iter().map(|(_, play)| one(play)).collect();
        }
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let one = |n: usize| {
            let mut call = Command::new(&program);
            call.args([
                "scale",
                "--seed",
                &self.seed.to_string(),
                "--point",
                &format!("{}:{n}", sweep.name),
            ]);
            let out = call
                .args(self.full.then_some("--full"))
                .output()
                .map_err(|e| e.to_string())?;
            let told: serde_json::Value = serde_json::from_slice(&out.stdout)
                .map_err(|_| format!("{}: {}", sweep.name, String::from_utf8_lossy(&out.stderr)))?;
            let memory = told["memory"].as_f64().unwrap_or_default();
            let agents = told["agents"].as_u64().unwrap_or_default() as usize;
            Ok(Outcome {
                memory,
                agents,
                ..Outcome::default()
            })
        };
        (0..sweep.plays.len()).map(one).collect()
    }

    fn point(&self, point: &str) -> Result<Vec<String>, String> {
        let all = sweeps(self.full, self.seed);
        let found = point.rsplit_once(':').and_then(|(name, n)| {
            let sweep = all.iter().find(|s| s.name == name)?;
            sweep.plays.get(n.parse::<usize>().ok()?)
        });
        let (_, play) = found.ok_or_else(|| format!("no point {point}"))?;
        println!("{}", json!(play.run()?));
        Ok(Vec::new())
    }

    fn rows(
        &self,
        reading: &str,
        size: Size,
        quiet: Option<f64>,
        report: &mut Report,
    ) -> Result<(), String> {
        let all = rows(size, quiet);
        if let Some(name) = self
            .row
            .iter()
            .find(|name| !all.iter().any(|r| r.name == *name))
        {
            let known: Vec<&str> = all.iter().map(|r| r.name).collect();
            return Err(format!("no row '{name}'; known are {}", known.join(", ")));
        }
        println!("{reading}: {}\n\n{ROWS_HEAD}", json!(size));
        let (from, mut commands) = (report.rows.len(), 0.0);
        // With every agent before everything the surveys alone take minutes: the rows that say
        // most.
        let few = self.full
            && self.row.is_empty()
            && size.agents * size.endpoints / size.services > FEW_ROWS;
        let named = |r: &&Row| self.row.is_empty() || self.row.iter().any(|name| name == r.name);
        let said = |r: &&Row| !few || ["peak", "configuration", "zone"].contains(&r.name);
        for row in all.iter().filter(named).filter(said) {
            let outcome = row.play(self.seed, usize::from(self.cores)).run()?;
            if row.name == "peak" {
                commands = outcome.core - outcome.control_core;
            }
            let reckoned = (quiet == Some(row.size.rate)).then_some(commands);
            let rowed = Rowed::of(reading, row, outcome, reckoned);
            println!("{}", rowed.line());
            report.rows.push(rowed);
        }
        let here = &report.rows[from..];
        let of = |name: &str| here.iter().find(|r| r.name == name).map(|r| &r.outcome);
        if let Some(kept) = of("peak").map(|o| o.kept) {
            println!(
                "kept by one agent at the peak: {} commands, {} appliances, {} builds, {} keys, {} listed",
                kept[0], kept[1], kept[2], kept[3], kept[4]
            );
        }
        if let Some(calm) = of("calm") {
            for (name, what) in [
                ("restarts", "restart of an appliance"),
                ("agents", "restart of an agent"),
            ] {
                if let Some(o) = of(name) {
                    let each = (o.discovery_bytes - calm.discovery_bytes) * o.seconds / 12.0;
                    println!("{what}: {each:.0} bytes from discovery in sum; {:.0} a second on a day of {RESTARTS}", each * RESTARTS / 86_400.0);
                }
            }
        }
        let memory = here
            .iter()
            .map(|r| r.outcome.memory / r.outcome.agents.max(1) as f64)
            .fold(0.0, f64::max);
        println!(
            "memory, an agent: {:.1} MB (settings shared)\n",
            memory / 1e6
        );
        report
            .beyond
            .extend(memory_beyond(memory).map(|b| format!("{reading}: {b}")));
        Ok(())
    }
}
