//! Results as tables for people.

use super::{Fitted, Results, Row};
use std::fmt::Write;

fn shown(n: f64) -> String {
    match n.abs() {
        a if a.is_nan() => "-".into(),
        a if a == 0.0 || a >= 1000.0 || n == n.trunc() => format!("{n:.0}"),
        a if a >= 10.0 => format!("{n:.1}"),
        a if a >= 0.1 => format!("{n:.3}"),
        _ => format!("{n:.3e}"),
    }
}

/// The points of one measure: a line each, a column for each figure.
pub fn points(rows: &[&Row]) -> String {
    let Some(first) = rows.first() else {
        return String::new();
    };
    let head: Vec<String> = std::iter::once(first.by.to_owned())
        .chain(first.figures.iter().map(|f| f.0.to_owned()))
        .collect();
    let line = |r: &Row| -> Vec<String> {
        std::iter::once(shown(r.size))
            .chain(r.figures.iter().map(|f| shown(f.1)))
            .collect()
    };
    let lines: Vec<Vec<String>> = std::iter::once(head)
        .chain(rows.iter().map(|r| line(r)))
        .collect();
    let wide = |n: usize| {
        lines
            .iter()
            .filter_map(|l| l.get(n))
            .map(String::len)
            .max()
            .unwrap_or(0)
    };
    let mut text = format!("{}\n", first.measure);
    for l in &lines {
        l.iter().enumerate().for_each(|(n, cell)| {
            let _ = write!(text, "  {cell:>w$}", w = wide(n));
        });
        text.push('\n');
    }
    text
}

pub fn fit(f: &Fitted) -> String {
    let l = f.line;
    format!(
        "  {} = {} + {} x {} (residual {}, at most {}; r2 {:.4}; {} points)\n",
        f.figure,
        shown(l.intercept),
        shown(l.slope),
        f.by,
        shown(l.residual),
        shown(l.residual_most),
        l.r2,
        f.points
    )
}

pub fn all(of: &Results) -> String {
    let mut text = String::new();
    let mut measures: Vec<(&str, &str)> = Vec::new();
    for r in &of.rows {
        if !measures.contains(&(r.measure, r.by)) {
            measures.push((r.measure, r.by));
        }
    }
    for (measure, by) in measures {
        let rows: Vec<&Row> = of
            .rows
            .iter()
            .filter(|r| (r.measure, r.by) == (measure, by))
            .collect();
        text += &points(&rows);
        of.fits
            .iter()
            .filter(|f| (f.measure, f.by) == (measure, by))
            .for_each(|f| text += &fit(f));
        text.push('\n');
    }
    let beyond = of.beyond();
    if beyond.is_empty() {
        text += "nothing lies beyond the operators' limits\n";
    } else {
        let _ = writeln!(text, "beyond the operators' limits: {}", beyond.len());
        beyond.iter().for_each(|b| {
            let _ = writeln!(text, "  {b}");
        });
    }
    text
}
