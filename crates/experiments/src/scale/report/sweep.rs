//! Result of a sweep: each figure over the count, with the line through it.

use super::format_number;
use crate::scale::figures::Figure;
use crate::scale::fit::Line;
use crate::scale::simulation::Outcome;
use crate::scale::size::Size;
use crate::scale::sweeps::Sweep;
use serde::Serialize;
use std::fmt::Write;

/// Columns of a table beside the points.
const OTHER_COLUMNS: usize = 5;

/// A figure over one count.
#[derive(Clone, Debug, Serialize)]
pub struct Curve {
    /// Name of the figure.
    pub figure: &'static str,
    /// Counts with the figure at each.
    pub points: Vec<(f64, f64)>,
    /// The line through them.
    pub line: Option<Line>,
}

/// Result of a sweep.
#[derive(Clone, Debug, Serialize)]
pub struct SweepResult {
    /// Name of the sweep.
    pub name: &'static str,
    /// What is counted.
    pub over: &'static str,
    /// Size of the first point; the others differ by their count.
    pub size: Size,
    /// The figures.
    pub curves: Vec<Curve>,
}

impl SweepResult {
    /// The result of a sweep with these outcomes, one for each point.
    pub fn of(sweep: &Sweep, outcomes: &[Outcome]) -> SweepResult {
        let curve = |figure: &Figure| {
            let points: Vec<(f64, f64)> = sweep
                .points
                .iter()
                .zip(outcomes)
                .map(|(point, outcome)| (point.count, (figure.read)(outcome)))
                .collect();
            Curve {
                figure: figure.name,
                line: Line::through(&points),
                points,
            }
        };
        let first = sweep.points.first();
        SweepResult {
            name: sweep.name,
            over: sweep.count_name,
            size: first.map_or_else(Size::default, |point| point.simulation.size),
            curves: sweep.figures.iter().map(curve).collect(),
        }
    }

    /// The curve of a figure.
    pub fn curve(&self, figure: &str) -> Option<&Curve> {
        self.curves.iter().find(|curve| curve.figure == figure)
    }

    /// A table in Markdown: a row for each figure.
    pub fn table(&self) -> String {
        let Some(first) = self.curves.first() else {
            return String::new();
        };
        let counts: Vec<String> = first.points.iter().map(|p| format!("{}", p.0)).collect();
        let mut text = format!(
            "{} (over {})\n\n| figure | {} | slope | intercept | residual | power |\n|{}\n",
            self.name,
            self.over,
            counts.join(" | "),
            " --- |".repeat(counts.len() + OTHER_COLUMNS)
        );
        for curve in &self.curves {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{}", curve.table_row());
        }
        text
    }
}

impl Curve {
    fn table_row(&self) -> String {
        let points: Vec<String> = self.points.iter().map(|p| format_number(p.1)).collect();
        let line = self.line.unwrap_or_default();
        format!(
            "| {} | {} | {} | {} | {:.1}% | {:.2} |",
            self.figure,
            points.join(" | "),
            format_number(line.slope),
            format_number(line.intercept),
            line.residual * 100.0,
            line.power
        )
    }
}
