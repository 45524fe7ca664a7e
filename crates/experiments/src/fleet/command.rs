//! Subcommand `fleet`.

use super::error::FleetError;
use super::plan::{Measure, Plan};
use super::process::Machine;
use super::results::{limits, Limit, Results};
use super::{estimate, measures, table};
use crate::arguments::{self, number_in, InvalidArgument};
use clap::{Args, ValueEnum};
use estimate::Estimate;
use serde_json::{json, Value};
use std::path::PathBuf;
use std::time::Duration;

/// The agent's program, where it stands beside this one.
const AGENT_PROGRAM: &str = "tulipwall-agent";

fn count(text: &str) -> Result<usize, InvalidArgument> {
    arguments::count(text, "a count from 1 to 1000000 is wanted")
}

fn rate(text: &str) -> Result<f64, InvalidArgument> {
    let expected = "commands a second from 1 to 5000 are wanted";
    number_in(text, 1.0..=5000.0, expected)
}

fn seconds(text: &str) -> Result<f64, InvalidArgument> {
    number_in(text, 0.2..=60.0, "seconds from 0.2 to 60 are wanted")
}

/// Another limit for a figure, as the command line names it.
#[derive(Clone)]
struct LimitArgument {
    figure: String,
    max: f64,
}

fn limit(text: &str) -> Result<LimitArgument, InvalidArgument> {
    parse_limit(text).ok_or_else(|| {
        let names: Vec<String> = limits().into_iter().map(|limit| limit.figure).collect();
        let expected = format!("FIGURE=MOST is wanted; figures are {}", names.join(", "));
        InvalidArgument::expected(expected)
    })
}

fn parse_limit(text: &str) -> Option<LimitArgument> {
    let (figure, max) = text.split_once('=')?;
    let max = max.parse::<f64>().ok().filter(|max| *max >= 0.0)?;
    let is_known = limits().iter().any(|limit| limit.figure == figure);
    is_known.then(|| LimitArgument {
        figure: figure.to_owned(),
        max,
    })
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
    limit: Vec<LimitArgument>,
    /// One document of JSON in the place of tables.
    #[arg(long)]
    json: bool,
}

impl Options {
    /// Measures and prints the results; whether any figure lies beyond a limit.
    ///
    /// # Errors
    /// The run would take too much, or an agent or a fake fails.
    pub fn run(self) -> Result<bool, FleetError> {
        let prints_json = self.json;
        let plan = self.plan();
        let machine = Machine::now().map_err(FleetError::Proc)?;
        let estimate = estimate::plan(&plan);
        if let Some(refusal) = estimate.refused(&machine) {
            return Err(refusal.into());
        }
        if !plan.binary.is_file() {
            return Err(FleetError::NoProgram { path: plan.binary });
        }
        let results = measures::run(&plan, |progress| eprintln!("{progress}"))?;
        let load_after = Machine::now().map_err(FleetError::Proc)?.load;
        if prints_json {
            println!("{}", document(&results, &machine, load_after, &estimate));
        } else {
            println!(
                "{} cores, {} of them for this run; load of the machine {} before, {load_after} after\n",
                machine.cores, machine.own_cores, machine.load
            );
            print!("{}", table::all(&results));
        }
        Ok(!results.exceeded_limits().is_empty())
    }

    fn plan(self) -> Plan {
        let measures = if self.measure.is_empty() {
            Measure::value_variants().to_vec()
        } else {
            self.measure
        };
        Plan {
            binary: self.agent.unwrap_or_else(default_binary),
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
            duration: Duration::from_secs_f64(self.seconds),
            settle: Duration::from_millis(self.settle),
            work: Duration::from_millis(self.work),
            repeats: self.repeats.into(),
            limits: limits_with(&self.limit),
        }
    }
}

/// The agent's program beside this one.
fn default_binary() -> PathBuf {
    std::env::current_exe()
        .unwrap_or_default()
        .with_file_name(AGENT_PROGRAM)
}

/// The operators' limits, with others in their places.
fn limits_with(arguments: &[LimitArgument]) -> Vec<Limit> {
    let mut limits = limits();
    for argument in arguments {
        for limit in &mut limits {
            if limit.figure == argument.figure {
                limit.max = argument.max;
                limit.source = "told by --limit".into();
            }
        }
    }
    limits
}

/// The results with the machine and the estimate, as one JSON document.
fn document(results: &Results, machine: &Machine, load_after: f64, estimate: &Estimate) -> Value {
    let mut document = results.to_json();
    document["machine"] = json!({
        "cores": machine.cores,
        "own_cores": machine.own_cores,
        "load_before": machine.load,
        "load_after": load_after,
    });
    document["estimate"] = json!({
        "agents": estimate.agents,
        "agent_bytes": estimate.agent,
        "bytes": estimate.memory,
        "descriptors": estimate.descriptors,
    });
    document
}
