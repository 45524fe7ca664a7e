//! What was measured, and the operators' limits.

use super::line::Line;
use serde_json::{json, Map, Value};

/// A figure by its name, which holds its unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// The name.
    pub name: &'static str,
    /// The value.
    pub value: f64,
}

/// One point of a measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Name of the measure.
    pub measure: String,
    /// What the size counts.
    pub by: &'static str,
    /// The size.
    pub size: f64,
    /// What was measured.
    pub figures: Vec<Figure>,
}

impl Row {
    /// A row with these figures.
    pub fn new(
        measure: impl Into<String>,
        by: &'static str,
        size: f64,
        figures: impl IntoIterator<Item = (&'static str, f64)>,
    ) -> Row {
        let figure = |(name, value)| Figure { name, value };
        Row {
            measure: measure.into(),
            by,
            size,
            figures: figures.into_iter().map(figure).collect(),
        }
    }

    /// The value of a figure.
    pub fn figure(&self, name: &str) -> Option<f64> {
        let found = self.figures.iter().find(|figure| figure.name == name);
        found.map(|figure| figure.value)
    }

    fn to_json(&self) -> Value {
        let figures: Map<String, Value> = self
            .figures
            .iter()
            .map(|figure| (figure.name.to_owned(), json!(figure.value)))
            .collect();
        json!({
            "measure": self.measure,
            "by": self.by,
            "size": self.size,
            "figures": figures,
        })
    }
}

/// The straight line of a figure over the sizes of a measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Fitted {
    /// Name of the measure.
    pub measure: String,
    /// What the size counts.
    pub by: &'static str,
    /// Name of the figure.
    pub figure: &'static str,
    /// Number of points.
    pub points: usize,
    /// The line.
    pub line: Line,
}

impl Fitted {
    fn to_json(&self) -> Value {
        json!({
            "measure": self.measure,
            "by": self.by,
            "figure": self.figure,
            "points": self.points,
            "slope": self.line.slope,
            "intercept": self.line.intercept,
            "residual": self.line.residual,
            "residual_most": self.line.residual_max,
            "r2": self.line.r2,
        })
    }
}

/// The most that a figure may be.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Name of the figure.
    pub figure: String,
    /// The most.
    pub max: f64,
    /// Where the limit comes from.
    pub source: String,
}

impl Limit {
    fn new(figure: &str, max: f64, source: &str) -> Limit {
        Limit {
            figure: figure.into(),
            max,
            source: source.into(),
        }
    }

    fn to_json(&self) -> Value {
        json!({"figure": self.figure, "most": self.max, "what": self.source})
    }
}

/// The operators' limits.
pub fn limits() -> Vec<Limit> {
    vec![
        Limit::new("control_core_%", 1.2, "1.2% of a core for control"),
        Limit::new("peak_mb", 256.0, "256 MB"),
        Limit::new("control_bytes_s", 3000.0, "3 KB a second for control"),
        Limit::new(
            "bytes_s_at_1000_a_day",
            3000.0,
            "3 KB a second for control, of 1,000 changes a day",
        ),
        Limit::new("in_force_ms", 4000.0, "in force within 4 s"),
        Limit::new("added_p99_ms", 7.9, "7.9 ms added to 99 in 100 requests"),
    ]
}

/// All that was measured.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// What figures may be at most.
    pub limits: Vec<Limit>,
    /// Points of all measures.
    pub rows: Vec<Row>,
    /// Lines of all measures.
    pub fits: Vec<Fitted>,
}

impl Results {
    /// Adds the points of one measure and the lines of the figures named.
    pub fn add(&mut self, rows: Vec<Row>, fitted: &[&'static str]) {
        for figure in fitted {
            self.fits.extend(fit(&rows, figure));
        }
        self.rows.extend(rows);
    }

    /// What lies beyond a limit, a line each.
    pub fn exceeded_limits(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for row in &self.rows {
            for limit in &self.limits {
                lines.extend(exceeded_limit(row, limit));
            }
        }
        lines
    }

    /// All results as JSON.
    pub fn to_json(&self) -> Value {
        let rows: Vec<Value> = self.rows.iter().map(Row::to_json).collect();
        let fits: Vec<Value> = self.fits.iter().map(Fitted::to_json).collect();
        let limits: Vec<Value> = self.limits.iter().map(Limit::to_json).collect();
        json!({"rows": rows, "fits": fits, "limits": limits, "beyond": self.exceeded_limits()})
    }
}

/// The line of a figure, where it has points of different sizes.
fn fit(rows: &[Row], figure: &'static str) -> Option<Fitted> {
    let first = rows.first()?;
    let points: Vec<(f64, f64)> = rows
        .iter()
        .filter_map(|row| Some((row.size, row.figure(figure)?)))
        .collect();
    let line = Line::through(&points)?;
    Some(Fitted {
        measure: first.measure.clone(),
        by: first.by,
        figure,
        points: points.len(),
        line,
    })
}

fn exceeded_limit(row: &Row, limit: &Limit) -> Option<String> {
    let Limit {
        figure,
        max,
        source,
    } = limit;
    let found = row.figure(figure).filter(|value| value > max)?;
    let Row {
        measure, by, size, ..
    } = row;
    Some(format!(
        "{measure} at {size} {by}: {figure} {found:.2}, limit {max} ({source})"
    ))
}
