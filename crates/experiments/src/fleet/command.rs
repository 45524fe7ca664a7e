//! The subcommand `fleet`.

use super::process::Machine;
use super::{estimate, limits, measure, table, Limit, Measure, Plan};
use clap::{Args, ValueEnum};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// A figure lies beyond a limit.
const BEYOND: u8 = 4;

fn count(text: &str) -> Result<usize, String> {
    let n = text
        .parse::<usize>()
        .ok()
        .filter(|n| (1..=1_000_000).contains(n));
    n.ok_or_else(|| "a count from 1 to 1000000 is wanted".into())
}

fn rate(text: &str) -> Result<f64, String> {
    let rate = text
        .parse::<f64>()
        .ok()
        .filter(|r| (1.0..=5000.0).contains(r));
    rate.ok_or_else(|| "commands a second from 1 to 5000 are wanted".into())
}

fn seconds(text: &str) -> Result<f64, String> {
    let seconds = text
        .parse::<f64>()
        .ok()
        .filter(|s| (0.2..=60.0).contains(s));
    seconds.ok_or_else(|| "seconds from 0.2 to 60 are wanted".into())
}

fn limit(text: &str) -> Result<(String, f64), String> {
    let read = text
        .split_once('=')
        .and_then(|(name, most)| Some((name, most.parse::<f64>().ok()?)));
    let known = |name: &str| limits().iter().any(|l| l.figure == name);
    let names = || {
        limits()
            .iter()
            .map(|l| l.figure.clone())
            .collect::<Vec<_>>()
            .join(", ")
    };
    match read {
        Some((name, most)) if known(name) && most >= 0.0 => Ok((name.to_owned(), most)),
        _ => Err(format!("FIGURE=MOST is wanted; figures are {}", names())),
    }
}

/// Starts real agents before fakes on loopback and measures what they take and add: one figure
/// against one size, with the straight line through the points (least squares). The first of each
/// list of sizes is what the other measures go by. Agents and fakes end with the request.
///
/// Endpoints of the list share 16 listeners at most; an idle measure sends nothing to any of them,
/// a load goes to all that the agent chooses. Memory is VmRSS and VmHWM; processor time is what the
/// kernel counts as utime and stime, read in nanoseconds. Bytes are counted between agent and fake,
/// without the heads of TCP and IP.
#[derive(Args)]
pub struct Options {
    /// The agent's program; `tulipwall-agent` beside this one otherwise.
    #[arg(long, value_name = "PATH")]
    agent: Option<PathBuf>,
    /// What is measured; everything otherwise.
    #[arg(long, num_args = 1.., value_enum)]
    measure: Vec<Measure>,
    /// Agents at once, in the measures of memory and of idle agents; 100 at most.
    #[arg(long, default_value_t = 1, value_parser = count)]
    agents: usize,
    #[arg(long, default_value_t = 7, value_parser = count)]
    zones: usize,
    #[arg(long = "appliances", num_args = 1.., default_values_t = [55, 550, 2200, 7700], value_parser = count)]
    endpoints: Vec<usize>,
    #[arg(long = "lanes", num_args = 1.., default_values_t = [11, 110, 400, 1600], value_parser = count)]
    classes: Vec<usize>,
    #[arg(long, num_args = 1.., default_values_t = [400, 5600, 28_000, 56_000], value_parser = count)]
    tenants: Vec<usize>,
    /// Clients that are connected and ask nothing.
    #[arg(long, num_args = 1.., default_values_t = [50, 100, 200, 400], value_parser = count)]
    connections: Vec<usize>,
    /// Requests that no endpoint answers.
    #[arg(long, num_args = 1.., default_values_t = [25, 50, 100, 200], value_parser = count)]
    open: Vec<usize>,
    /// Requests a second.
    #[arg(long, num_args = 1.., default_values_t = [20.0, 143.0, 500.0], value_parser = rate)]
    rate: Vec<f64>,
    /// Entries of the list that change at once; all of them come behind these.
    #[arg(long, num_args = 1.., default_values_t = [1, 10, 100, 1100], value_parser = count)]
    changed: Vec<usize>,
    /// Sockets of an agent, at most.
    #[arg(long, default_value_t = 1024, value_parser = clap::value_parser!(u16).range(32..=4096))]
    sockets: u16,
    /// Agents share the calls to discovery; their lists are pushed otherwise.
    #[arg(long)]
    ask: bool,
    /// Seconds of each figure that counts over time, and of each load.
    #[arg(long, default_value_t = 10.0, value_parser = seconds)]
    seconds: f64,
    /// Milliseconds that an agent is left alone before.
    #[arg(long, default_value_t = 2000, value_parser = clap::value_parser!(u64).range(100..=60_000))]
    settle: u64,
    /// What an endpoint takes for a request in loads, in milliseconds, in the mean: half of it
    /// always, the rest by its id.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=1000))]
    work: u64,
    /// How often each start, change and load is measured; the median is told.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..=50))]
    repeats: u16,
    /// Another limit in the place of the operators' own, `FIGURE=MOST`.
    #[arg(long, num_args = 1.., value_parser = limit)]
    limit: Vec<(String, f64)>,
    /// One document of JSON in the place of tables.
    #[arg(long)]
    json: bool,
}

impl Options {
    fn plan(self) -> Plan {
        let measures = if self.measure.is_empty() {
            Measure::value_variants().to_vec()
        } else {
            self.measure
        };
        let mut limits = limits();
        for (figure, most) in &self.limit {
            let other = |l: &mut Limit| (l.most, l.what) = (*most, "told by --limit".into());
            limits
                .iter_mut()
                .filter(|l| l.figure == *figure)
                .for_each(other);
        }
        let here = std::env::current_exe().unwrap_or_default();
        let beside = || {
            here.parent()
                .unwrap_or(Path::new("."))
                .join("tulipwall-agent")
        };
        Plan {
            binary: self.agent.unwrap_or_else(beside),
            measures,
            agents: self.agents,
            zones: self.zones,
            endpoints: self.endpoints,
            classes: self.classes,
            tenants: self.tenants,
            connections: self.connections,
            open: self.open,
            rates: self.rate,
            changed: self.changed,
            sockets: self.sockets.into(),
            pushed: !self.ask,
            span: Duration::from_secs_f64(self.seconds),
            settle: Duration::from_millis(self.settle),
            work: Duration::from_millis(self.work),
            repeats: self.repeats.into(),
            limits,
        }
    }
}

/// Runs it to its exit code: 0 done, 1 refused or failed, 4 a figure lies beyond a limit.
pub fn main(options: Options) -> ExitCode {
    let (as_json, plan) = (options.json, options.plan());
    match run(&plan, as_json) {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => BEYOND.into(),
        Err(what) => {
            eprintln!("{what}");
            ExitCode::FAILURE
        }
    }
}

/// Whether any figure lies beyond a limit.
fn run(plan: &Plan, as_json: bool) -> Result<bool, String> {
    let machine = Machine::now().map_err(|e| format!("/proc: {e}"))?;
    let estimate = estimate::plan(plan);
    if let Some(why) = estimate.refused(&machine) {
        return Err(why);
    }
    if !plan.binary.is_file() {
        return Err(format!(
            "{}: no such program; --agent names the agent's",
            plan.binary.display()
        ));
    }
    let results = measure::run(plan, |what| eprintln!("{what}")).map_err(|e| e.to_string())?;
    let after = Machine::now().map_err(|e| format!("/proc: {e}"))?;
    if as_json {
        let mut told = results.value();
        told["machine"] = json!({"cores": machine.cores, "own_cores": machine.own_cores,
            "load_before": machine.load, "load_after": after.load});
        told["estimate"] = json!({"agents": estimate.agents, "agent_bytes": estimate.agent,
            "bytes": estimate.memory, "descriptors": estimate.descriptors});
        println!("{told}");
    } else {
        println!(
            "{} cores, {} of them for this run; load of the machine {} before, {} after\n",
            machine.cores, machine.own_cores, machine.load, after.load
        );
        print!("{}", table::all(&results));
    }
    Ok(!results.beyond().is_empty())
}
