//! Results of measures, and the operators' limits.

use super::line::Line;
use serde_json::{json, Map, Value};

/// A figure with its name, which contains the unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// Name of the figure, with its unit.
    pub name: &'static str,
    /// Value in the unit that the name contains; NaN if nothing was measured.
    pub value: f64,
}

/// One point of a measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Name of the measure.
    pub measure: String,
    /// What the size counts, such as `tenants`.
    pub by: &'static str,
    /// Number of what `by` names.
    pub size: f64,
    /// Figures that were measured at this size.
    pub figures: Vec<Figure>,
}

impl Row {
    /// Creates a row with these figures.
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

    /// Returns the value of a figure; `None` if the row does not contain it.
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

/// The straight line that is fitted to a figure over the sizes of a measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Fitted {
    /// Name of the measure.
    pub measure: String,
    /// What the size counts, such as `tenants`.
    pub by: &'static str,
    /// Name of the figure.
    pub figure: &'static str,
    /// Number of points.
    pub points: usize,
    /// The fitted line.
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

/// An upper limit of a figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Name of the figure.
    pub figure: String,
    /// Largest allowed value.
    pub max: f64,
    /// Where the limit comes from, as text for readers.
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

/// Returns the operators' limits.
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

/// Results of all measures.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// Limits that figures are compared with.
    pub limits: Vec<Limit>,
    /// Rows of all measures.
    pub rows: Vec<Row>,
    /// Fitted lines of all measures.
    pub fits: Vec<Fitted>,
}

impl Results {
    /// Adds the rows of one measure, and fits a line to each figure that `fitted` names.
    pub fn add(&mut self, rows: Vec<Row>, fitted: &[&'static str]) {
        for figure in fitted {
            self.fits.extend(fit(&rows, figure));
        }
        self.rows.extend(rows);
    }

    /// Returns a line of text for each figure that exceeds a limit.
    pub fn exceeded_limits(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for row in &self.rows {
            for limit in &self.limits {
                lines.extend(exceeded_limit(row, limit));
            }
        }
        lines
    }

    /// Returns all results as a JSON object.
    pub fn to_json(&self) -> Value {
        let rows: Vec<Value> = self.rows.iter().map(Row::to_json).collect();
        let fits: Vec<Value> = self.fits.iter().map(Fitted::to_json).collect();
        let limits: Vec<Value> = self.limits.iter().map(Limit::to_json).collect();
        json!({"rows": rows, "fits": fits, "limits": limits, "beyond": self.exceeded_limits()})
    }
}

/// Fits a line to a figure; `None` if it does not have points of different sizes.
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
