//! Parses the evidence in agents' logs. The format is that of the lines which the agent writes with
//! the log target `evidence`; the writer and this parser must change together.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Precedes the evidence in a log line.
const MARKER: &str = "evidence] ";

/// An attempt that ended. In all types here, `at` is in seconds since the first line of evidence.
pub struct Attempt {
    pub at: f64,
    pub build: u32,
    pub outcome: String,
    /// In seconds.
    pub duration: f64,
}

/// A request that ended.
pub struct Request {
    pub at: f64,
    pub class: usize,
    pub outcome: String,
    /// In seconds.
    pub duration: f64,
    /// The client's estimate of the work that the request takes.
    pub estimated_work: f64,
}

/// A request class as configured in the settings.
pub struct Class {
    /// In seconds.
    pub latency_objective: f64,
    pub priority_weight: f64,
}

/// A client-reported error, with the build that it is attributed to.
pub struct ClientError {
    pub at: f64,
    pub build: u32,
}

/// An agent's note that a build regressed.
pub struct Note {
    pub at: f64,
    pub build: u32,
    pub reason: String,
}

/// A vote that an agent cast.
pub struct Vote {
    pub at: f64,
    pub agent: usize,
    pub build: u32,
    pub verdict: String,
}

/// A rollout status that the platform reported.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub struct RolloutStatus {
    pub build: u32,
    pub stage: u32,
    pub phase: String,
}

/// The evidence of all agents, ordered by time.
#[derive(Default)]
pub struct Log {
    pub classes: Vec<Class>,
    pub votes_to_roll_back: usize,
    pub attempts: Vec<Attempt>,
    pub requests: Vec<Request>,
    pub client_errors: Vec<ClientError>,
    /// The time at which each status began.
    pub rollouts: BTreeMap<RolloutStatus, f64>,
    pub notes: Vec<Note>,
    pub votes: Vec<Vote>,
}

impl Log {
    /// Returns when a build first entered a phase, or any phase if `None` is given. Returns `None`
    /// if it never did.
    pub fn phase_began(&self, build: u32, phase: Option<&str>) -> Option<f64> {
        self.rollouts
            .iter()
            .filter(|(status, _)| status.build == build)
            .filter(|(status, _)| phase.is_none_or(|phase| status.phase == phase))
            .map(|(_, since)| *since)
            .reduce(f64::min)
    }

    /// Adds a line of evidence that was written at the given time. Skips lines of unknown kinds.
    fn add(&mut self, line: &Line, at: f64, clock: &Clock) {
        match line.word(0) {
            "start" => self.votes_to_roll_back = line.number(4) as usize,
            "classes" if self.classes.is_empty() => self.classes = classes(line),
            "rollout" => self.add_rollout(line, at, clock),
            "request" => self.requests.push(Request {
                at,
                class: line.number(2) as usize,
                outcome: line.word(3).to_owned(),
                duration: line.number(4) / 1e6,
                estimated_work: line.number(7),
            }),
            "attempt" => self.attempts.push(Attempt {
                at,
                build: line.number(4) as u32,
                outcome: line.word(5).to_owned(),
                duration: line.number(6) / 1e6,
            }),
            "client_error" => self.client_errors.push(ClientError {
                at,
                build: line.number(4) as u32,
            }),
            "note" if line.word(1) == "regression:" => self.notes.push(Note {
                at,
                build: line.word(3).trim_end_matches(',').parse().unwrap_or(0),
                reason: reason(line),
            }),
            "vote" if line.word(1) == "build" => self.votes.push(Vote {
                at,
                agent: line.agent,
                build: line.number(2) as u32,
                verdict: line.word(5).to_owned(),
            }),
            _ => {}
        }
    }

    fn add_rollout(&mut self, line: &Line, at: f64, clock: &Clock) {
        let status = RolloutStatus {
            build: line.number(2) as u32,
            stage: line.number(4) as u32,
            phase: line.word(5).to_owned(),
        };
        let unix_ms = line.word(7).parse().ok();
        let since = unix_ms.map_or(at, |ms| clock.seconds(ms));
        let known = self.rollouts.entry(status).or_insert(since);
        *known = known.min(since);
    }
}

/// Parses pairs of latency objective in milliseconds and priority weight: `[(400.0, 3.0), ...]`.
fn classes(line: &Line) -> Vec<Class> {
    let text = line.rest(1).replace(['[', ']', '(', ')'], "");
    let numbers: Vec<f64> = text.split(", ").filter_map(|n| n.parse().ok()).collect();
    numbers
        .chunks_exact(2)
        .map(|pair| Class {
            latency_objective: pair[0] / 1000.0,
            priority_weight: pair[1],
        })
        .collect()
}

/// Returns why a build regressed, without the note's figures of the canary.
fn reason(line: &Line) -> String {
    let text = line.rest(4);
    let reason = text.split(", canary").next();
    reason.unwrap_or_default().to_owned()
}

/// A line of evidence: its Unix time in milliseconds, the index of the agent and the words that
/// follow the time. Lines sort by time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Line {
    unix_ms: u64,
    agent: usize,
    words: Vec<String>,
}

impl Line {
    fn parse(agent: usize, text: &str) -> Option<Line> {
        let (_, evidence) = text.split_once(MARKER)?;
        let mut words = evidence.split(' ').map(str::to_owned);
        let unix_ms = words.next()?.parse().ok()?;
        Some(Line {
            unix_ms,
            agent,
            words: words.collect(),
        })
    }

    fn word(&self, index: usize) -> &str {
        self.words.get(index).map_or("", String::as_str)
    }

    /// Joins all words from this index on.
    fn rest(&self, index: usize) -> String {
        self.words.get(index..).unwrap_or_default().join(" ")
    }

    fn number(&self, index: usize) -> f64 {
        self.word(index).parse().unwrap_or(0.0)
    }
}

/// Converts Unix time to seconds since the first line of evidence.
struct Clock {
    start_ms: u64,
}

impl Clock {
    fn seconds(&self, unix_ms: u64) -> f64 {
        unix_ms as f64 / 1000.0 - self.start_ms as f64 / 1000.0
    }
}

/// Reads every line of evidence in the files below a directory, one file for each agent. Skips
/// directories, files and lines that cannot be read.
pub fn read(dir: &Path) -> Log {
    let mut paths = Vec::new();
    add_files(dir, &mut paths);
    paths.sort();
    let mut lines = Vec::new();
    for (agent, path) in paths.iter().enumerate() {
        let bytes = std::fs::read(path).unwrap_or_default();
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(|line| Line::parse(agent, line)));
    }
    lines.sort();
    let clock = Clock {
        start_ms: lines.first().map_or(0, |line| line.unix_ms),
    };
    let mut log = Log::default();
    for line in &lines {
        log.add(line, clock.seconds(line.unix_ms), &clock);
    }
    log
}

fn add_files(dir: &Path, paths: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.is_dir() {
            add_files(&path, paths);
        } else {
            paths.push(path);
        }
    }
}
