//! What a real agent takes and what it adds, measured on loopback: agents as processes before
//! fakes, one figure against one size at a time, with the straight line through it.
//!
//! - [`stand`]: the installation. Entries of the list share a few listeners of endpoints that take any request; most
//!   entries are sent nothing in most measures.
//! - [`worker`]: an endpoint whose time for each request is known, for latencies.
//! - [`meter`]: counts what passes between an agent and a party, at the fake's end.
//! - [`process`]: memory and processor time as the kernel tells them.
//! - [`measure`]: the measures. [`estimate`]: what a run would take, and whether it fits. [`command`]: the subcommand.

pub mod command;
pub mod estimate;
pub mod line;
pub mod measure;
pub mod meter;
pub mod process;
pub mod stand;
pub mod table;
pub mod worker;

use line::Line;
use serde_json::{json, Value};
use std::path::PathBuf;
use std::time::Duration;

/// How large an installation is.
#[derive(Clone, Debug, PartialEq)]
pub struct Size {
    pub agents: usize,
    pub endpoints: usize,
    pub classes: usize,
    pub tenants: usize,
    pub zones: usize,
    /// Of each agent, at most.
    pub sockets: usize,
    /// Lists are pushed to each machine; agents share discovery's calls otherwise.
    pub pushed: bool,
}

/// What is measured, and at which sizes. The first of each list is what the other measures go by.
#[derive(Clone, Debug)]
pub struct Plan {
    pub binary: PathBuf,
    pub measures: Vec<Measure>,
    pub agents: usize,
    pub zones: usize,
    pub endpoints: Vec<usize>,
    pub classes: Vec<usize>,
    pub tenants: Vec<usize>,
    pub connections: Vec<usize>,
    pub open: Vec<usize>,
    pub rates: Vec<f64>,
    /// Entries of the list that change at once.
    pub changed: Vec<usize>,
    pub sockets: usize,
    pub pushed: bool,
    /// Of each figure that counts over time, and of each load.
    pub span: Duration,
    /// How long an agent is left alone before.
    pub settle: Duration,
    /// What an endpoint takes for a request in the mean: half of it always, the rest by its id.
    pub work: Duration,
    pub repeats: usize,
    pub limits: Vec<Limit>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Measure {
    /// Memory by the endpoints listed.
    #[value(name = "appliances")]
    Endpoints,
    /// Memory by classes.
    #[value(name = "lanes")]
    Classes,
    /// Memory by tenants.
    Tenants,
    /// Memory by pairs of endpoint and class: the most endpoints with each count of classes.
    Pairs,
    /// Memory by idle connections of clients.
    Connections,
    /// Memory by requests that are open.
    Open,
    /// Processor time and bytes of an idle agent, by endpoints, by tenants and by pairs.
    Idle,
    /// Start to ready, with and without a list, and the taking in of it, by endpoints.
    Start,
    /// Changes of the list, by how many entries change at once.
    Change,
    /// A new configuration (SIGHUP) until it is in force, by endpoints and by tenants.
    Renew,
    /// New settings by SIGHUP, where the agent takes them over so, by endpoints and by tenants.
    Settings,
    /// New settings by a restart, by endpoints and by tenants.
    Restart,
    /// Processor time of a request, by rate, endpoints and tenants.
    Commands,
    /// p99 added to a request, by endpoints and rate.
    Added,
}

/// One point of a measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub measure: &'static str,
    /// What the size counts.
    pub by: &'static str,
    pub size: f64,
    pub figures: Vec<(&'static str, f64)>,
}

impl Row {
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.figures.iter().find(|f| f.0 == name).map(|f| f.1)
    }
}

/// The straight line of a figure over the sizes of a measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Fitted {
    pub measure: &'static str,
    pub by: &'static str,
    pub figure: &'static str,
    pub points: usize,
    pub line: Line,
}

/// What a figure of this name may be at most.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    pub figure: String,
    pub most: f64,
    pub what: String,
}

/// The limits of the operators' letter.
pub fn limits() -> Vec<Limit> {
    let limit = |figure: &str, most, what: &str| Limit {
        figure: figure.into(),
        most,
        what: what.into(),
    };
    vec![
        limit("control_core_%", 1.2, "1.2% of a core for control"),
        limit("peak_mb", 256.0, "256 MB"),
        limit("control_bytes_s", 3000.0, "3 KB a second for control"),
        limit(
            "bytes_s_at_1000_a_day",
            3000.0,
            "3 KB a second for control, of 1,000 changes a day",
        ),
        limit("in_force_ms", 4000.0, "in force within 4 s"),
        limit("added_p99_ms", 7.9, "7.9 ms added to 99 in 100 requests"),
    ]
}

/// All that was measured.
#[derive(Clone, Debug, Default)]
pub struct Results {
    pub limits: Vec<Limit>,
    pub rows: Vec<Row>,
    pub fits: Vec<Fitted>,
}

impl Results {
    /// Adds the points of one measure and the lines of the figures named.
    pub fn add(&mut self, rows: Vec<Row>, fitted: &[&'static str]) {
        if let Some(first) = rows.first() {
            let (measure, by) = (first.measure, first.by);
            for figure in fitted {
                let points: Vec<(f64, f64)> = rows
                    .iter()
                    .filter_map(|r| Some((r.size, r.figure(figure)?)))
                    .collect();
                if let Some(line) = Line::through(&points) {
                    self.fits.push(Fitted {
                        measure,
                        by,
                        figure,
                        points: points.len(),
                        line,
                    });
                }
            }
        }
        self.rows.extend(rows);
    }

    /// What lies beyond a limit, a line each.
    pub fn beyond(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for row in &self.rows {
            for Limit { figure, most, what } in &self.limits {
                if let Some(found) = row.figure(figure).filter(|f| f > most) {
                    let at = format!("{} at {} {}", row.measure, row.size, row.by);
                    lines.push(format!("{at}: {figure} {found:.2}, limit {most} ({what})"));
                }
            }
        }
        lines
    }

    pub fn value(&self) -> Value {
        let figures = |of: &[(&'static str, f64)]| -> Value {
            of.iter()
                .map(|(k, v)| ((*k).to_owned(), json!(v)))
                .collect::<serde_json::Map<_, _>>()
                .into()
        };
        let row = |r: &Row| json!({"measure": r.measure, "by": r.by, "size": r.size, "figures": figures(&r.figures)});
        let fit = |f: &Fitted| {
            json!({"measure": f.measure, "by": f.by, "figure": f.figure, "points": f.points,
                "slope": f.line.slope, "intercept": f.line.intercept, "residual": f.line.residual,
                "residual_most": f.line.residual_most, "r2": f.line.r2})
        };
        let limit = |l: &Limit| json!({"figure": l.figure, "most": l.most, "what": l.what});
        json!({"rows": self.rows.iter().map(row).collect::<Vec<_>>(),
            "fits": self.fits.iter().map(fit).collect::<Vec<_>>(),
            "limits": self.limits.iter().map(limit).collect::<Vec<_>>(), "beyond": self.beyond()})
    }
}
