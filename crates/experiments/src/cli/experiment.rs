//! Subcommands on scenarios: `run`, `list` and `explain`.

use super::Outcome;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tulipwall_config::ConfigDiagnostic;
use tulipwall_experiments::procfs::available_memory;
use tulipwall_experiments::records::{Header, RecordError, RecordFile};
use tulipwall_experiments::run;
use tulipwall_experiments::scenario::Scenario;

/// Share of the available memory that concurrent runs may use.
const MEMORY_SHARE: f64 = 0.8;
/// Maximum number of rule violations that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// Errors of the subcommands on scenarios.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExperimentError {
    /// The scenario or a records file cannot be read or written.
    #[error("{}", path.display())]
    Io { path: PathBuf, source: io::Error },
    /// The scenario document is invalid.
    #[error(transparent)]
    Scenario(InvalidScenario),
    #[error(transparent)]
    Records(#[from] RecordError),
    /// One run needs more memory than is available.
    #[error(
        "{}: one run may need {:.1} GB of memory, found {:.1} GB available",
        path.display(), needed / 1e9, available / 1e9
    )]
    TooLarge {
        path: PathBuf,
        needed: f64,
        available: f64,
    },
    #[error("cannot start the threads of the runs")]
    Threads(#[from] rayon::ThreadPoolBuildError),
    /// There is no point with this number.
    #[error("point {point} does not exist: the scenario has {points} points")]
    NoSuchPoint { point: usize, points: usize },
    /// The agent received no request with this number in the run.
    #[error("agent {} received no request {}", .0.agent, .0.request)]
    NoSuchRequest(RequestNumber),
}

/// Everything that is wrong with a scenario document, displayed with one line for each diagnostic.
#[derive(Debug)]
pub(crate) struct InvalidScenario {
    path: PathBuf,
    diagnostics: Vec<ConfigDiagnostic>,
}

impl fmt::Display for InvalidScenario {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, diagnostic) in self.diagnostics.iter().enumerate() {
            let separator = if index > 0 { "\n" } else { "" };
            write!(f, "{separator}{}:{diagnostic}", self.path.display())?;
        }
        Ok(())
    }
}

impl std::error::Error for InvalidScenario {}

/// A request, identified by its agent and its number at that agent, counted from 0.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestNumber {
    pub(crate) agent: usize,
    pub(crate) request: u64,
}

/// A scenario and the text it was read from.
struct ScenarioDocument {
    scenario: Scenario,
    text: String,
}

fn read(path: &Path) -> Result<ScenarioDocument, ExperimentError> {
    let text = std::fs::read_to_string(path).map_err(io_error(path))?;
    let scenario = Scenario::read(&text).map_err(|diagnostics| {
        ExperimentError::Scenario(InvalidScenario {
            path: path.to_owned(),
            diagnostics,
        })
    })?;
    Ok(ScenarioDocument { scenario, text })
}

fn io_error(path: &Path) -> impl Fn(io::Error) -> ExperimentError + '_ {
    |source| ExperimentError::Io {
        path: path.to_owned(),
        source,
    }
}

/// Runs the points and seeds of a scenario that are not recorded yet.
pub(super) fn run(
    path: &Path,
    out: Option<PathBuf>,
    cores: Option<u16>,
) -> Result<Outcome, ExperimentError> {
    let ScenarioDocument { scenario, text } = read(path)?;
    let cores = cores.map_or(rayon::current_num_threads(), usize::from);
    let threads = cores.min(runs_that_fit(path, &scenario)?);
    let out = out.unwrap_or_else(|| path.with_extension("records"));
    let mut file = RecordFile::open(&out, Header::of(&scenario.name, &text))?;
    run_missing(&scenario, &mut file, threads).map_err(|error| match error {
        MissingRunsError::Write(source) => io_error(&out)(source),
        MissingRunsError::Threads(error) => error.into(),
    })?;
    Ok(print_violations(&out, &file))
}

/// Returns how many runs fit into memory at the same time.
fn runs_that_fit(path: &Path, scenario: &Scenario) -> Result<usize, ExperimentError> {
    let needed = scenario
        .points()
        .iter()
        .map(|point| scenario.at(point).estimated_memory())
        .fold(0.0, f64::max);
    let available = available_memory();
    let fit = (available * MEMORY_SHARE / needed).floor() as usize;
    if fit == 0 {
        return Err(ExperimentError::TooLarge {
            path: path.to_owned(),
            needed,
            available,
        });
    }
    Ok(fit)
}

enum MissingRunsError {
    Write(io::Error),
    Threads(rayon::ThreadPoolBuildError),
}

/// Runs the points and seeds that are not recorded yet on several threads, and records the results.
fn run_missing(
    scenario: &Scenario,
    file: &mut RecordFile,
    threads: usize,
) -> Result<(), MissingRunsError> {
    let points = scenario.points();
    let missing = missing_runs(scenario.seeds, points.len(), file);
    let bar = progress_bar(missing.len());
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(threads)
        .build()
        .map_err(MissingRunsError::Threads)?;
    let file = Mutex::new(file);
    let failed = pool.install(|| {
        missing.into_par_iter().find_map_any(|(point, seed)| {
            let record = run::run(scenario, point, &points[point], seed);
            let added = lock(&file).add(record);
            bar.inc(1);
            added.err()
        })
    });
    bar.finish_and_clear();
    failed.map_or(Ok(()), |error| Err(MissingRunsError::Write(error)))
}

/// Returns the points and seeds that are not recorded yet, seed by seed, so that a file of an
/// interrupted run has some runs of each point.
fn missing_runs(seeds: u64, points: usize, file: &RecordFile) -> Vec<(usize, u64)> {
    let mut missing = Vec::new();
    for seed in 1..=seeds {
        let missing_for_seed = (0..points).filter(|point| !file.has(*point, seed));
        missing.extend(missing_for_seed.map(|point| (point, seed)));
    }
    missing
}

fn lock<'a, 'f>(file: &'a Mutex<&'f mut RecordFile>) -> MutexGuard<'a, &'f mut RecordFile> {
    file.lock().unwrap_or_else(PoisonError::into_inner)
}

fn progress_bar(length: usize) -> ProgressBar {
    let bar = ProgressBar::new(length as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} remaining");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}

fn print_violations(path: &Path, file: &RecordFile) -> Outcome {
    let violations: Vec<&String> = file.records.iter().flat_map(|r| &r.violations).collect();
    println!(
        "{}: {} runs; rule violations: {}",
        path.display(),
        file.records.len(),
        violations.len()
    );
    for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
    if violations.is_empty() {
        Outcome::Done
    } else {
        Outcome::RuleViolated
    }
}

/// Prints the points of a scenario with the requests and the memory of one run of each.
pub(super) fn list(path: &Path) -> Result<Outcome, ExperimentError> {
    let scenario = read(path)?.scenario;
    println!(
        "{}: {} seeds, {:?} each",
        scenario.name, scenario.seeds, scenario.duration
    );
    for (index, point) in scenario.points().iter().enumerate() {
        let at_point = scenario.at(point);
        let values: Vec<String> = point.iter().map(|value| value.to_string()).collect();
        let requests = at_point.rate * at_point.duration.as_secs_f64();
        println!(
            "{index:4}  {}  {requests:.0} requests, {:.0} MB",
            values.join(", "),
            at_point.estimated_memory() / 1e6
        );
    }
    Ok(Outcome::Done)
}

/// Prints the trace of one request in one run.
pub(super) fn explain(
    path: &Path,
    point: usize,
    seed: u64,
    request: RequestNumber,
) -> Result<Outcome, ExperimentError> {
    let scenario = read(path)?.scenario;
    let points = scenario.points();
    let Some(values) = points.get(point) else {
        let points = points.len();
        return Err(ExperimentError::NoSuchPoint { point, points });
    };
    let mut simulation = run::build_simulation(&scenario.at(values), seed);
    simulation.traced_request = Some((request.agent, request.request));
    let report = simulation.run();
    if report.trace.is_empty() {
        return Err(ExperimentError::NoSuchRequest(request));
    }
    for line in &report.trace {
        println!("{line}");
    }
    Ok(Outcome::Done)
}
