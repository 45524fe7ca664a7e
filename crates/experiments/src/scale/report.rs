//! What was measured, for people and programs: tables, JSON, and a plot with the lines through the
//! points.

use super::fit::Line;
use super::play::Outcome;
use super::rows::{Row, Sweep};
use super::size::{Size, BYTES_MOST, CORE_MOST, MEMORY_MOST};
use plotters::prelude::*;
use serde::Serialize;
use std::fmt::Write;

/// A figure over one count.
#[derive(Clone, Debug, Serialize)]
pub struct Curve {
    pub figure: &'static str,
    pub points: Vec<(f64, f64)>,
    pub line: Option<Line>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Swept {
    pub name: &'static str,
    pub over: &'static str,
    /// Of the first point; the others differ by their count.
    pub size: Size,
    pub curves: Vec<Curve>,
}

impl Swept {
    pub fn of(sweep: &Sweep, outcomes: &[Outcome]) -> Swept {
        let curve = |(figure, read): &(&'static str, fn(&Outcome) -> f64)| {
            let points: Vec<_> = sweep
                .plays
                .iter()
                .zip(outcomes)
                .map(|(p, o)| (p.0, read(o)))
                .collect();
            Curve {
                figure,
                line: Line::through(&points),
                points,
            }
        };
        let size = sweep.plays.first().map_or_else(Size::default, |p| p.1.size);
        Swept {
            name: sweep.name,
            over: sweep.key,
            size,
            curves: sweep.figures.iter().map(curve).collect(),
        }
    }

    pub fn curve(&self, figure: &str) -> Option<&Curve> {
        self.curves.iter().find(|c| c.figure == figure)
    }

    /// In Markdown: a line for each figure.
    pub fn table(&self) -> String {
        let Some(first) = self.curves.first() else {
            return String::new();
        };
        let counts: Vec<String> = first.points.iter().map(|p| format!("{}", p.0)).collect();
        let mut text = format!(
            "{} (over {})\n\n| figure | {} | slope | intercept | residual | power |\n",
            self.name,
            self.over,
            counts.join(" | ")
        );
        let _ = writeln!(text, "|{}", " --- |".repeat(counts.len() + 5));
        for c in &self.curves {
            let points: Vec<String> = c.points.iter().map(|p| shown(p.1)).collect();
            let l = c.line.unwrap_or_default();
            let (slope, intercept) = (shown(l.slope), shown(l.intercept));
            let (off, power) = (l.residual * 100.0, l.power);
            let _ = writeln!(
                text,
                "| {} | {} | {slope} | {intercept} | {off:.1}% | {power:.2} |",
                c.figure,
                points.join(" | ")
            );
        }
        text
    }
}

/// Four digits that mean something.
pub fn shown(x: f64) -> String {
    match x.abs() {
        0.0 => "0".into(),
        a if a >= 1000.0 => format!("{x:.0}"),
        a if a >= 1.0 => format!("{x:.2}"),
        a if a >= 0.001 => format!("{x:.5}"),
        _ => format!("{x:.2e}"),
    }
}

/// A row, what it came to, and what of it lies beyond the operators' letter.
#[derive(Clone, Debug, Serialize)]
pub struct Rowed {
    pub reading: String,
    pub name: &'static str,
    pub what: &'static str,
    pub size: Size,
    /// At the peak's load: on the mean, and in the worst second of any agent.
    pub core: f64,
    pub core_worst: f64,
    pub outcome: Outcome,
    pub beyond: Vec<String>,
}

impl Rowed {
    /// `commands`: the share of a core that requests take at the peak, where the row's own load is
    /// not the peak's.
    pub fn of(reading: &str, row: &Row, outcome: Outcome, commands: Option<f64>) -> Rowed {
        let mut beyond = Vec::new();
        let mut most = |what: &str, is: f64, limit: f64| {
            if is > limit {
                beyond.push(format!("{what} {} beyond {}", shown(is), shown(limit)));
            }
        };
        let core = commands.map_or(outcome.core, |c| c + outcome.control_core);
        let core_worst = commands.map_or(outcome.core_worst, |c| c + outcome.control_core_worst);
        most("bytes a second", outcome.bytes, BYTES_MOST);
        most("bytes in the worst second", outcome.bytes_worst, BYTES_MOST);
        most("share of a core", core, CORE_MOST);
        most("share of a core in the worst second", core_worst, CORE_MOST);
        most("changes told late or never", outcome.heard_late as f64, 0.0);
        most(
            "agents not renewed within 4 s",
            outcome.renewed_late as f64,
            0.0,
        );
        let (reading, size) = (reading.to_owned(), row.size);
        Rowed {
            reading,
            name: row.name,
            what: row.what,
            size,
            core,
            core_worst,
            outcome,
            beyond,
        }
    }
}

pub const ROWS_HEAD: &str = "\
| row | B/s an agent | worst second | core at the peak | worst second | without commands | worst second | discovery calls/s | \
worst | refused | discovery B/s | worst | told late | heard, most s | renewed, most s |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

impl Rowed {
    /// In Markdown.
    pub fn line(&self) -> String {
        let o = &self.outcome;
        let figures = [
            o.bytes,
            o.bytes_worst,
            self.core,
            self.core_worst,
            o.control_core,
            o.control_core_worst,
        ];
        let sums = [
            o.calls,
            o.calls_worst,
            o.refused as f64,
            o.discovery_bytes,
            o.discovery_bytes_worst,
        ];
        let all: Vec<String> = figures.into_iter().chain(sums).map(shown).collect();
        let late = if o.renewed_late > 0 {
            format!(", {} late", o.renewed_late)
        } else {
            String::new()
        };
        let times = format!(
            "{} | {:.2} | {:.2}{late}",
            o.heard_late, o.heard_most, o.renewed_most
        );
        format!(
            "| {}: {} | {} | {times} |",
            self.reading,
            self.name,
            all.join(" | ")
        )
    }
}

/// The memory of one agent against the letter.
pub fn memory_beyond(bytes: f64) -> Option<String> {
    (bytes > MEMORY_MOST).then(|| {
        format!(
            "memory of an agent {:.0} MB beyond {:.0}",
            bytes / 1e6,
            MEMORY_MOST / 1e6
        )
    })
}

/// All that one call measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    pub seed: u64,
    pub sweeps: Vec<Swept>,
    pub rows: Vec<Rowed>,
    pub beyond: Vec<String>,
}

impl Report {
    /// Points and lines, a panel for each figure.
    ///
    /// # Errors
    /// What the drawing says.
    pub fn plot(&self) -> Result<String, String> {
        let all: Vec<(&Swept, &Curve)> = self
            .sweeps
            .iter()
            .flat_map(|s| s.curves.iter().map(move |c| (s, c)))
            .collect();
        let (across, high) = (3, all.len().div_ceil(3).max(1));
        let mut svg = String::new();
        {
            let area =
                SVGBackend::with_string(&mut svg, (1260, 240 * high as u32)).into_drawing_area();
            let draw = || -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
                area.fill(&WHITE)?;
                for (panel, (s, c)) in area.split_evenly((high, across)).iter().zip(&all) {
                    let most = |of: fn(&(f64, f64)) -> f64| {
                        c.points.iter().map(of).fold(1e-9, f64::max) * 1.05
                    };
                    let (right, top) = (most(|p| p.0), most(|p| p.1));
                    let mut chart = ChartBuilder::on(panel)
                        .caption(format!("{}: {}", s.name, c.figure), ("sans-serif", 12))
                        .margin(8)
                        .x_label_area_size(28)
                        .y_label_area_size(60)
                        .build_cartesian_2d(0.0..right, 0.0..top)?;
                    chart
                        .configure_mesh()
                        .x_desc(s.over)
                        .x_labels(5)
                        .y_labels(5)
                        .disable_mesh()
                        .draw()?;
                    chart
                        .draw_series(c.points.iter().map(|p| Circle::new(*p, 3, BLACK.filled())))?;
                    if let Some(l) = c.line {
                        let ends = [
                            (0.0, l.at(0.0).max(0.0)),
                            (right, l.at(right).clamp(0.0, top)),
                        ];
                        chart.draw_series(LineSeries::new(ends, BLACK.mix(0.5)))?;
                    }
                }
                area.present()
            };
            draw().map_err(|e| e.to_string())?;
        }
        Ok(svg)
    }
}
