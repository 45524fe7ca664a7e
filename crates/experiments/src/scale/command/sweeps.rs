//! Runs the sweeps, and prints their results and the extrapolated costs.

use super::Options;
use crate::scale::error::ScaleError;
use crate::scale::extrapolation::{agent_costs, TABLE_HEAD};
use crate::scale::report::{Report, SweepResult};
use crate::scale::simulation::{Outcome, Simulation};
use crate::scale::sweeps::{sweeps, Sweep, SweepPoint};
use serde::Deserialize;
use serde_json::json;
use std::process::Command;

/// Number of runs of each point of a timed sweep with `--full`; the minimum of each time is
/// reported.
const FULL_RUNS: usize = 3;

/// The fields that are read from the outcome that a point's own process prints.
#[derive(Deserialize)]
struct PrintedOutcome {
    #[serde(default)]
    memory: f64,
    #[serde(default)]
    agents: usize,
}

impl Options {
    /// Runs the sweeps named on the command line, or all, and prints their results.
    pub(super) fn run_sweeps(&self, report: &mut Report) -> Result<(), ScaleError> {
        let all = sweeps(self.full, self.seed);
        for name in &self.sweep {
            if !all.iter().any(|sweep| sweep.name == name) {
                return Err(ScaleError::UnknownSweep {
                    name: name.clone(),
                    known: all.iter().map(|sweep| sweep.name).collect(),
                });
            }
        }
        let is_named = |sweep: &Sweep| {
            self.sweep.is_empty() || self.sweep.iter().any(|name| name == sweep.name)
        };
        for sweep in all.into_iter().filter(is_named) {
            let result = SweepResult::of(&sweep, &self.run_sweep(&sweep)?);
            println!("{}", result.table());
            report.sweeps.push(result);
        }
        print_agent_costs(report);
        Ok(())
    }

    /// Runs all points of a sweep and returns their outcomes in order.
    fn run_sweep(&self, sweep: &Sweep) -> Result<Vec<Outcome>, ScaleError> {
        if sweep.in_own_process {
            return (0..sweep.points.len())
                .map(|point| self.run_in_own_process(sweep, point))
                .collect();
        }
        if !sweep.is_timed() {
            return sweep.points.iter().map(|point| self.count(point)).collect();
        }
        let runs = if self.full { FULL_RUNS } else { 1 };
        sweep
            .points
            .iter()
            .map(|point| min_times_of_runs(&point.simulation, runs))
            .collect()
    }

    /// Runs a point whose figures are all counts: once and on all threads, since counts are the
    /// same in every run.
    fn count(&self, point: &SweepPoint) -> Result<Outcome, ScaleError> {
        let simulation = Simulation {
            cores: usize::from(self.cores),
            ..point.simulation.clone()
        };
        simulation.run()
    }

    /// Runs one point of a sweep in a process of its own. The outcome holds only the memory and the
    /// number of agents.
    fn run_in_own_process(&self, sweep: &Sweep, point: usize) -> Result<Outcome, ScaleError> {
        let program = std::env::current_exe().map_err(ScaleError::Process)?;
        let mut command = Command::new(program);
        command.args(["scale", "--seed", &self.seed.to_string()]);
        command.args(["--point", &format!("{}:{point}", sweep.name)]);
        if self.full {
            command.arg("--full");
        }
        let output = command.output().map_err(ScaleError::Process)?;
        let printed: PrintedOutcome =
            serde_json::from_slice(&output.stdout).map_err(|_| ScaleError::ProcessFailed {
                sweep: sweep.name,
                stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
            })?;
        Ok(Outcome {
            memory: printed.memory,
            agents: printed.agents,
            ..Outcome::default()
        })
    }

    /// Runs the point named `SWEEP:INDEX` and prints its outcome as JSON.
    pub(super) fn run_point(&self, point: &str) -> Result<(), ScaleError> {
        let all = sweeps(self.full, self.seed);
        let simulation =
            find_point(&all, point).ok_or_else(|| ScaleError::UnknownPoint(point.to_owned()))?;
        println!("{}", json!(simulation.run()?));
        Ok(())
    }
}

/// Returns the simulation of the point `SWEEP:INDEX`, or `None` if there is no such point.
fn find_point<'a>(sweeps: &'a [Sweep], point: &str) -> Option<&'a Simulation> {
    let (name, index) = point.rsplit_once(':')?;
    let sweep = sweeps.iter().find(|sweep| sweep.name == name)?;
    let point = sweep.points.get(index.parse::<usize>().ok()?)?;
    Some(&point.simulation)
}

/// Runs a simulation several times and returns the minimum of each time.
fn min_times_of_runs(simulation: &Simulation, runs: usize) -> Result<Outcome, ScaleError> {
    let mut least = simulation.run()?;
    for _ in 1..runs {
        least = least.least(&simulation.run()?);
    }
    Ok(least)
}

/// Prints the extrapolated costs if all sweeps that they need were run, and adds those that exceed
/// a limit to the report.
fn print_agent_costs(report: &mut Report) {
    let costs = agent_costs(&report.sweeps);
    if !costs.is_empty() {
        println!("{TABLE_HEAD}");
        for cost in &costs {
            println!("{}", cost.line());
        }
        println!();
    }
    report
        .beyond
        .extend(costs.iter().flat_map(|cost| cost.beyond()));
}
