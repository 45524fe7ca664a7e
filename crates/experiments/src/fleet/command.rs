//! Subcommand `fleet`: measures real agents on loopback.

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

/// Name of the agent's program, which is expected in the directory of this one.
const AGENT_PROGRAM: &str = "tulipwall-agent";

fn count(text: &str) -> Result<usize, InvalidArgument> {
    arguments::count(text, "expected a count from 1 to 1000000")
}

fn rate(text: &str) -> Result<f64, InvalidArgument> {
    let expected = "expected requests per second from 1 to 5000";
    number_in(text, 1.0..=5000.0, expected)
}

fn seconds(text: &str) -> Result<f64, InvalidArgument> {
    number_in(text, 0.2..=60.0, "expected seconds from 0.2 to 60")
}

/// Limit that replaces an operators' limit of a figure, as given on the command line.
#[derive(Clone)]
struct LimitArgument {
    figure: String,
    max: f64,
}

fn limit(text: &str) -> Result<LimitArgument, InvalidArgument> {
    parse_limit(text).ok_or_else(|| {
        let names: Vec<String> = limits().into_iter().map(|limit| limit.figure).collect();
        let expected = format!(
            "expected FIGURE=MOST, where FIGURE is one of {}",
            names.join(", ")
        );
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

/// Starts real agents in front of fake servers on loopback and measures what they use and add:
/// figures over one size at a time, with a straight line fitted to the points (least squares). The
/// first element of each list of sizes is the one that all other measures use. Agents and fake
/// servers end with the command.
///
/// The endpoints of the list share at most 16 listeners. An idle measure sends no requests; a load
/// goes to every endpoint that the agent chooses. Memory is VmRSS and VmHWM; processor time is what
/// the kernel counts as utime and stime, read in nanoseconds. Bytes are counted between the agent
/// and the fake servers, without the headers of TCP and IP.
#[derive(Args)]
pub struct Options {
    /// Path of the agent's program; by default `tulipwall-agent` in the directory of this one.
    #[arg(long, value_name = "PATH")]
    agent: Option<PathBuf>,
    /// Measures to take; all by default.
    #[arg(long, num_args = 1.., value_enum)]
    measure: Vec<Measure>,
    /// Number of agents that run at the same time in the measures of memory and of idle agents; at
    /// most 100.
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
    /// Numbers of clients that are connected and send no requests.
    #[arg(long, num_args = 1.., default_values_t = [50, 100, 200, 400], value_parser = count)]
    connections: Vec<usize>,
    /// Numbers of requests that no endpoint answers.
    #[arg(long, num_args = 1.., default_values_t = [25, 50, 100, 200], value_parser = count)]
    open: Vec<usize>,
    /// Rates of loads, in requests per second.
    #[arg(long, num_args = 1.., default_values_t = [20.0, 143.0, 500.0], value_parser = rate)]
    rate: Vec<f64>,
    /// Numbers of entries of the endpoint list that change at once; a change of the whole list
    /// follows.
    #[arg(long, num_args = 1.., default_values_t = [1, 10, 100, 1100], value_parser = count)]
    changed: Vec<usize>,
    /// Maximum number of sockets of an agent.
    #[arg(long, default_value_t = 1024, value_parser = clap::value_parser!(u16).range(32..=4096))]
    sockets: u16,
    /// Let the agents share the calls to discovery; by default, endpoint lists are pushed to them.
    #[arg(long)]
    ask: bool,
    /// Duration of each measurement over time, and of each load, in seconds.
    #[arg(long, default_value_t = 10.0, value_parser = seconds)]
    seconds: f64,
    /// How long an agent is left idle before it is measured, in milliseconds.
    #[arg(long, default_value_t = 2000, value_parser = clap::value_parser!(u64).range(100..=60_000))]
    settle: u64,
    /// Mean processing time of a request at an endpoint in loads, in milliseconds: half of it is
    /// constant, the rest depends on the request's id.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=1000))]
    work: u64,
    /// Number of times that each start, change and load is measured; the median is reported.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..=50))]
    repeats: u16,
    /// Limit that replaces the operators' limit of a figure, `FIGURE=MOST`.
    #[arg(long, num_args = 1.., value_parser = limit)]
    limit: Vec<LimitArgument>,
    /// Print one JSON document instead of tables.
    #[arg(long)]
    json: bool,
}

impl Options {
    /// Takes the measures and prints the results. Returns whether any figure exceeds a limit.
    ///
    /// # Errors
    /// Returns an error if the run would need too many resources, or if an agent or a fake server
    /// fails.
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
                "{} cores, {} of them available to this run; load average {} before, {load_after} after\n",
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

/// Returns the path of the agent's program in the directory of this one.
fn default_binary() -> PathBuf {
    std::env::current_exe()
        .unwrap_or_default()
        .with_file_name(AGENT_PROGRAM)
}

/// Returns the operators' limits, with those replaced that the command line sets.
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

/// Returns the results, the machine and the estimate as one JSON document.
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
