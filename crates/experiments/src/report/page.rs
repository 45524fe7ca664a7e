//! Page with a plot for each figure and the table of all.

use super::chart::Chart;
use super::drawing::{draw, PlotError};
use super::{figure_names, table};
use crate::records::{Header, Record};
use std::fmt::Write;

/// An HTML page: for each figure a plot over the first parameter that varies, with a curve for each
/// combination of the others and bars for 95% confidence over seeds; then the table.
///
/// # Errors
/// A figure cannot be drawn.
pub fn page(header: &Header, records: &[Record]) -> Result<String, PlotError> {
    let mut html = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title><style>body{{font:15px sans-serif;max-width:60em;\
         margin:2em auto}}td,th{{padding:2px 8px;text-align:right;border-bottom:1px solid #ccc}}table{{font-size:13px;\
         border-collapse:collapse}}</style><h1>{0}</h1><p>{1} runs in simulated time; bars are 95% confidence over \
         seeds.</p>",
        escape(&header.name),
        records.len()
    );
    let violations: usize = records.iter().map(|r| r.violations.len()).sum();
    let _ = write!(html, "<p>Broken rules: {violations}.</p>");
    for name in figure_names(records) {
        html += &draw(&Chart::of(records, &name))?;
    }
    html += &html_table(&table(records, &[]));
    Ok(html)
}

/// A Markdown table as HTML.
fn html_table(markdown: &str) -> String {
    let mut html = String::from("<table>");
    // The second line only separates the head.
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
