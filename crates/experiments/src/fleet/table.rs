//! Formats results as text tables.

use super::results::{Fitted, Results, Row};
use std::fmt::Write;

fn format_number(number: f64) -> String {
    match number.abs() {
        magnitude if magnitude.is_nan() => "-".into(),
        magnitude if magnitude == 0.0 || magnitude >= 1000.0 || number == number.trunc() => {
            format!("{number:.0}")
        }
        magnitude if magnitude >= 10.0 => format!("{number:.1}"),
        magnitude if magnitude >= 0.1 => format!("{number:.3}"),
        _ => format!("{number:.3e}"),
    }
}

/// Formats the rows of one measure as a table with a line for each row and a column for each
/// figure.
pub fn points(rows: &[&Row]) -> String {
    let Some(first) = rows.first() else {
        return String::new();
    };
    let mut lines = vec![heading(first)];
    lines.extend(rows.iter().map(|row| cells(row)));
    let mut text = format!("{}\n", first.measure);
    for line in &lines {
        for (column, cell) in line.iter().enumerate() {
            let width = column_width(&lines, column);
            // Writing to a string cannot fail.
            let _ = write!(text, "  {cell:>width$}");
        }
        text.push('\n');
    }
    text
}

fn heading(row: &Row) -> Vec<String> {
    let mut cells = vec![row.by.to_owned()];
    cells.extend(row.figures.iter().map(|figure| figure.name.to_owned()));
    cells
}

fn cells(row: &Row) -> Vec<String> {
    let mut cells = vec![format_number(row.size)];
    cells.extend(row.figures.iter().map(|figure| format_number(figure.value)));
    cells
}

fn column_width(lines: &[Vec<String>], column: usize) -> usize {
    let cells = lines.iter().filter_map(|line| line.get(column));
    cells.map(String::len).max().unwrap_or(0)
}

/// Formats the fitted line of a figure.
pub fn fit(fitted: &Fitted) -> String {
    let line = fitted.line;
    format!(
        "  {} = {} + {} x {} (residual {}, maximum {}; r2 {:.4}; {} points)\n",
        fitted.figure,
        format_number(line.intercept),
        format_number(line.slope),
        fitted.by,
        format_number(line.residual),
        format_number(line.residual_max),
        line.r2,
        fitted.points
    )
}

/// Formats all measures with their fitted lines, and the figures that exceed a limit.
pub fn all(results: &Results) -> String {
    let mut text = String::new();
    for (measure, by) in measures(results) {
        let rows: Vec<&Row> = results
            .rows
            .iter()
            .filter(|row| row.measure == measure && row.by == by)
            .collect();
        text += &points(&rows);
        for fitted in &results.fits {
            if fitted.measure == measure && fitted.by == by {
                text += &fit(fitted);
            }
        }
        text.push('\n');
    }
    text + &exceeded_limits(results)
}

/// Returns the measures with what their sizes count, in the order in which they were taken.
fn measures(results: &Results) -> Vec<(&str, &str)> {
    let mut measures = Vec::new();
    for row in &results.rows {
        let measure = (row.measure.as_str(), row.by);
        if !measures.contains(&measure) {
            measures.push(measure);
        }
    }
    measures
}

fn exceeded_limits(results: &Results) -> String {
    let exceeded_limits = results.exceeded_limits();
    if exceeded_limits.is_empty() {
        return "no figure exceeds the operators' limits\n".into();
    }
    let mut text = format!(
        "figures that exceed the operators' limits: {}\n",
        exceeded_limits.len()
    );
    for line in &exceeded_limits {
        let _ = writeln!(text, "  {line}");
    }
    text
}
