//! Table of figures by point, in Markdown.

use super::{figure_names, format_mean, group_by_point};
use crate::records::Record;
use std::fmt::Write;

/// Renders a Markdown table with a row for each point and a column for each of these figures, or
/// for all figures if none is named.
pub fn table(records: &[Record], figures: &[String]) -> String {
    let names = if figures.is_empty() {
        figure_names(records)
    } else {
        figures.to_vec()
    };
    let mut text = format!(
        "| point | runs | {} |\n|{}\n",
        names.join(" | "),
        " --- |".repeat(names.len() + 2)
    );
    for group in group_by_point(records) {
        let cells: Vec<String> = names
            .iter()
            .map(|name| format_mean(&group.figure(name)))
            .collect();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} |",
            group.name(),
            group.runs.len(),
            cells.join(" | ")
        );
    }
    text
}
