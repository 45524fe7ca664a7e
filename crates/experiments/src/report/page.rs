//! HTML page with a plot of each figure and a table of all figures.

use super::chart::Chart;
use super::drawing::{draw, PlotError};
use super::{figure_names, table};
use crate::records::{Header, Record};
use std::fmt::Write;

/// Renders an HTML page with a plot of each figure over the first parameter that varies, followed
/// by a table of all figures. A plot has a curve for each combination of the other parameters, and
/// error bars for the 95% confidence interval over seeds.
///
/// # Errors
/// Returns an error if a figure cannot be drawn.
pub fn page(header: &Header, records: &[Record]) -> Result<String, PlotError> {
    let mut html = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title><style>body{{font:15px sans-serif;max-width:60em;\
         margin:2em auto}}td,th{{padding:2px 8px;text-align:right;border-bottom:1px solid #ccc}}table{{font-size:13px;\
         border-collapse:collapse}}</style><h1>{0}</h1><p>{1} runs in simulated time; error bars are 95% confidence \
         intervals over seeds.</p>",
        escape(&header.name),
        records.len()
    );
    let violations: usize = records.iter().map(|r| r.violations.len()).sum();
    let _ = write!(html, "<p>Rule violations: {violations}.</p>");
    for name in figure_names(records) {
        html += &draw(&Chart::of(records, &name))?;
    }
    html += &html_table(&table(records, &[]));
    Ok(html)
}

/// Converts a Markdown table to HTML.
fn html_table(markdown: &str) -> String {
    let mut html = String::from("<table>");
    // The second line only separates the heading from the rows.
    for (index, line) in markdown.lines().enumerate().filter(|(n, _)| *n != 1) {
        let tag = if index == 0 { "th" } else { "td" };
        let cells: String = line
            .trim_matches('|')
            .split('|')
            .map(|cell| format!("<{tag}>{}</{tag}>", escape(cell.trim())))
            .collect();
        let _ = write!(html, "<tr>{cells}</tr>");
    }
    html + "</table>"
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
