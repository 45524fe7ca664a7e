//! The result of a sweep: each figure as a function of the count, with a fitted line.

use super::format_number;
use crate::scale::figures::Figure;
use crate::scale::fit::Line;
use crate::scale::simulation::Outcome;
use crate::scale::size::Size;
use crate::scale::sweeps::Sweep;
use serde::Serialize;
use std::fmt::Write;

/// Number of columns of a table in addition to those of the points.
const OTHER_COLUMNS: usize = 5;

/// A figure as a function of the count that a sweep varies.
#[derive(Clone, Debug, Serialize)]
pub struct Curve {
    /// Name of the figure.
    pub figure: &'static str,
    /// Pairs of a count and the value of the figure.
    pub points: Vec<(f64, f64)>,
    /// The line fitted to the points; `None` for fewer than two different counts.
    pub line: Option<Line>,
}

/// The result of a sweep, with a curve for each figure.
#[derive(Clone, Debug, Serialize)]
pub struct SweepResult {
    /// Name of the sweep, as on the command line.
    pub name: &'static str,
    /// Name of the count that the sweep varies.
    pub over: &'static str,
    /// Size of the first point; the other points differ from it in the count.
    pub size: Size,
    /// One curve for each figure.
    pub curves: Vec<Curve>,
}

impl SweepResult {
    /// Evaluates the outcomes of a sweep, one for each of its points.
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

    /// Returns the curve of the figure with this name; `None` if the sweep does not report it.
    pub fn curve(&self, figure: &str) -> Option<&Curve> {
        self.curves.iter().find(|curve| curve.figure == figure)
    }

    /// Formats the result as a Markdown table with a row for each figure; empty without curves.
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
    /// Formats the curve as a row of the table.
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
