//! Readable reports of records: tables, comparisons, and an HTML page with plots.

mod chart;
mod compare;
mod drawing;
mod page;
mod table;

pub use compare::{compare, compare_within};
pub use drawing::PlotError;
pub use page::page;
pub use table::table;

use crate::records::Record;
use crate::stats::Mean;
use std::collections::BTreeMap;

/// All runs at one point.
pub struct PointRuns<'a> {
    /// Keys and values of the parameters that vary.
    pub values: &'a [(String, String)],
    /// The runs, one for each seed.
    pub runs: Vec<&'a Record>,
}

impl PointRuns<'_> {
    /// Computes the mean of a figure over the runs that have it.
    pub fn figure(&self, name: &str) -> Mean {
        let values: Vec<f64> = self
            .runs
            .iter()
            .filter_map(|run| run.figures.get(name).copied())
            .collect();
        Mean::of(&values)
    }

    /// Formats the point as text: each parameter with its value, or `as written` if no parameter
    /// varies.
    pub fn name(&self) -> String {
        if self.values.is_empty() {
            return "as written".into();
        }
        format_values(self.values)
    }
}

/// Formats parameters with their values as text.
fn format_values(values: &[(String, String)]) -> String {
    let texts: Vec<String> = values
        .iter()
        .map(|(key, value)| format!("{key} {value}"))
        .collect();
    texts.join(", ")
}

/// Groups runs by point, in the order of the points.
pub fn group_by_point(records: &[Record]) -> Vec<PointRuns<'_>> {
    let mut groups: BTreeMap<usize, PointRuns> = BTreeMap::new();
    for record in records {
        let group = groups.entry(record.point).or_insert_with(|| PointRuns {
            values: &record.values,
            runs: Vec::new(),
        });
        group.runs.push(record);
    }
    groups.into_values().collect()
}

/// Returns the names of all figures, in alphabetical order.
fn figure_names(records: &[Record]) -> Vec<String> {
    let mut names: Vec<String> = records
        .iter()
        .flat_map(|record| record.figures.keys().cloned())
        .collect();
    names.sort();
    names.dedup();
    names
}

/// Formats a mean, with its confidence interval unless that is infinite.
fn format_mean(mean: &Mean) -> String {
    let digits = if mean.mean.abs() >= 100.0 { 0 } else { 3 };
    let half_width = mean.half_width();
    if half_width.is_finite() {
        format!("{:.digits$} ± {half_width:.digits$}", mean.mean)
    } else {
        format!("{:.digits$}", mean.mean)
    }
}
