//! Plots the report on cross-zone traffic over time: a panel with the attempts of each link, and
//! one for each budget with the amount spent and the limit.

use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use tulipwall_zones::{BudgetLine, Document, SeriesBin, SeriesLine};

/// Width and height of one panel, in pixels.
const PANEL_SIZE: (u32, u32) = (1000, 260);
/// Agents keep fine bins for this many seconds. Fine bins are plotted while all agents have been
/// up for less than that, and coarse bins otherwise.
const FINE_BINS_KEPT_S: f64 = 3600.0;
/// The bin width in seconds that the title names if the report has no cross-zone series.
const DEFAULT_BIN_WIDTH_S: f64 = 10.0;
/// Colours of the curves, in order. The order and the legend also identify the curves without
/// colours.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 90, 160),
    RGBColor(200, 80, 0),
    RGBColor(0, 130, 90),
    RGBColor(150, 60, 140),
    RGBColor(90, 90, 90),
    RGBColor(170, 140, 0),
];

/// Why a plot could not be written.
#[derive(Debug, thiserror::Error)]
pub enum PlotError {
    /// The report has no cross-zone traffic.
    #[error("no attempt crossed zones in the time that the report covers")]
    NothingToPlot,
    /// The file could not be written.
    #[error("{}: {source}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// The plotting library's error.
        source: DrawingAreaErrorKind<io::Error>,
    },
}

struct Curve {
    name: String,
    /// The time relative to the report in minutes, negative before it, and the value.
    points: Vec<(f64, f64)>,
}

struct Panel {
    title: String,
    curves: Vec<Curve>,
    /// The limit of the panel's budget; `None` for the panel of attempts.
    budget_line: Option<f64>,
}

/// Values by the start of their bin, in the report's seconds.
type Bins = BTreeMap<u64, f64>;

/// Writes the plot to `path` as SVG.
pub fn write(document: &Document, path: &Path) -> Result<(), PlotError> {
    let panels = panels(document);
    let mut curves = panels.iter().flat_map(|panel| &panel.curves);
    if curves.all(|curve| curve.points.is_empty()) {
        return Err(PlotError::NothingToPlot);
    }
    draw_panels(&panels, path).map_err(|source| PlotError::Write {
        path: path.to_owned(),
        source,
    })
}

fn draw_panels(panels: &[Panel], path: &Path) -> Result<(), DrawingAreaErrorKind<io::Error>> {
    let (width, panel_height) = PANEL_SIZE;
    let size = (width, panel_height * panels.len() as u32);
    let area = SVGBackend::new(path, size).into_drawing_area();
    area.fill(&WHITE)?;
    for (panel, area) in panels.iter().zip(area.split_evenly((panels.len(), 1))) {
        panel.draw(&area)?;
    }
    area.present()
}

fn panels(document: &Document) -> Vec<Panel> {
    let report_time_s = document.heads.iter().map(|h| h.at_s).fold(0.0, f64::max);
    let mut panels = vec![attempts_panel(document, report_time_s)];
    for lines in budgets_by_name(document).values() {
        panels.push(budget_panel(document, lines, report_time_s));
    }
    panels
}

/// The series of all cross-zone links, either in fine bins or in coarse bins.
fn cross_zone_series(document: &Document) -> impl Iterator<Item = &SeriesLine> {
    let fine = document.heads.iter().all(|h| h.uptime_s < FINE_BINS_KEPT_S);
    document
        .series
        .iter()
        .filter(move |s| s.from != s.to && s.build.is_some() == fine)
}

/// The time relative to the report in minutes; negative before it.
fn minutes_before_report(start_s: u64, report_time_s: f64) -> f64 {
    (start_s as f64 - report_time_s) / 60.0
}

/// The panel of attempts over time, with a curve for each link.
fn attempts_panel(document: &Document, report_time_s: f64) -> Panel {
    let mut links: BTreeMap<String, Bins> = BTreeMap::new();
    let mut bin_width_s = DEFAULT_BIN_WIDTH_S;
    for series in cross_zone_series(document) {
        bin_width_s = series.width_s;
        let name = format!("{} to {}", series.from, series.to);
        let link = links.entry(name).or_default();
        for bin in &series.bins {
            *link.entry(bin.start_s as u64).or_default() += bin.attempts as f64;
        }
    }
    let curve = |(name, bins): (String, Bins)| Curve {
        name,
        points: bins
            .into_iter()
            .map(|(start_s, n)| (minutes_before_report(start_s, report_time_s), n))
            .collect(),
    };
    Panel {
        title: format!("attempts across zones, each {bin_width_s:.0} s"),
        curves: links.into_iter().map(curve).collect(),
        budget_line: None,
    }
}

/// The budgets with an absolute limit, by name and unit, each with the lines of all agents.
fn budgets_by_name(document: &Document) -> BTreeMap<(&str, &str), Vec<&BudgetLine>> {
    let mut budgets: BTreeMap<_, Vec<&BudgetLine>> = BTreeMap::new();
    let lines = document.heads.iter().flat_map(|head| &head.budgets);
    for line in lines.filter(|line| line.unit != "share") {
        let key = (line.name.as_str(), line.unit.as_str());
        budgets.entry(key).or_default().push(line);
    }
    budgets
}

/// The panel of the amount spent of a budget over time and the sum of the agents' limits.
fn budget_panel(document: &Document, lines: &[&BudgetLine], report_time_s: f64) -> Panel {
    let budget = lines[0];
    let limit: f64 = lines.iter().map(|line| line.agent_limit).sum();
    let spent = spent_by_bin(document, budget);
    let window_s = budget.window_s as u64;
    // Each point is the amount spent in the window that ends with its bin.
    let points = spent.keys().map(|end_s| {
        let window = end_s.saturating_sub(window_s) + 1..=*end_s;
        let spent_in_window: f64 = spent.range(window).map(|(_, amount)| amount).sum();
        (
            minutes_before_report(*end_s, report_time_s),
            spent_in_window,
        )
    });
    let curve = Curve {
        name: "spent".into(),
        points: points.collect(),
    };
    Panel {
        title: format!(
            "{}: {} in {:.0} s, and the limit of these agents ({limit:.6})",
            budget.name, budget.unit, budget.window_s
        ),
        curves: vec![curve],
        budget_line: Some(limit),
    }
}

fn spent_by_bin(document: &Document, budget: &BudgetLine) -> Bins {
    let mut spent = Bins::new();
    for series in cross_zone_series(document).filter(|series| applies_to(budget, series)) {
        for bin in &series.bins {
            *spent.entry(bin.start_s as u64).or_default() += amount(bin, &budget.unit);
        }
    }
    spent
}

/// Whether the attempts of a series are charged to a budget.
fn applies_to(budget: &BudgetLine, series: &SeriesLine) -> bool {
    let zone_applies = budget.to.as_ref().is_none_or(|to| *to == series.to);
    let class_applies = budget.class.as_ref().is_none_or(|c| *c == series.class);
    zone_applies && class_applies
}

/// The amount that a bin spends of a budget whose report line has this unit.
fn amount(bin: &SeriesBin, unit: &str) -> f64 {
    match unit {
        "deliveries" => bin.attempts as f64,
        "bytes" => (bin.bytes_sent + bin.bytes_received) as f64,
        _ => bin.cost,
    }
}

/// Length of a line in the legend, in pixels.
const LEGEND_LINE_LENGTH: i32 = 20;
/// Length of a dash in a budget's line, in pixels.
const DASH_LENGTH: u32 = 6;
/// Length of the gaps between the dashes, in pixels.
const DASH_GAP: u32 = 4;

type PanelChart<'a, B> = ChartContext<'a, B, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

impl Panel {
    fn draw<B: DrawingBackend>(
        &self,
        area: &DrawingArea<B, Shift>,
    ) -> Result<(), DrawingAreaErrorKind<B::ErrorType>> {
        let earliest = self.points().map(|point| point.0).fold(-1.0, f64::min);
        let highest = self
            .points()
            .map(|point| point.1)
            .chain(self.budget_line)
            .fold(1e-9, f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(72)
            .build_cartesian_2d(earliest..0.0, 0.0..highest * 1.1)?;
        chart
            .configure_mesh()
            .x_desc("minutes before the report")
            .light_line_style(WHITE)
            .draw()?;
        for (curve, colour) in self.curves.iter().zip(COLOURS.iter().cycle()) {
            draw_curve(&mut chart, curve, *colour)?;
        }
        if let Some(limit) = self.budget_line {
            draw_budget_line(&mut chart, earliest, limit)?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()
    }

    fn points(&self) -> impl Iterator<Item = &(f64, f64)> {
        self.curves.iter().flat_map(|curve| &curve.points)
    }
}

fn draw_curve<B: DrawingBackend>(
    chart: &mut PanelChart<B>,
    curve: &Curve,
    colour: RGBColor,
) -> Result<(), DrawingAreaErrorKind<B::ErrorType>> {
    let style = colour.stroke_width(2);
    chart
        .draw_series(LineSeries::new(curve.points.iter().copied(), style))?
        .label(curve.name.as_str())
        .legend(move |start| legend_line(start, style));
    Ok(())
}

fn draw_budget_line<B: DrawingBackend>(
    chart: &mut PanelChart<B>,
    earliest: f64,
    limit: f64,
) -> Result<(), DrawingAreaErrorKind<B::ErrorType>> {
    let style = BLACK.stroke_width(1);
    let ends = [(earliest, limit), (0.0, limit)];
    chart
        .draw_series(DashedLineSeries::new(ends, DASH_LENGTH, DASH_GAP, style))?
        .label("budget")
        .legend(move |start| legend_line(start, style));
    Ok(())
}

fn legend_line(start: (i32, i32), style: ShapeStyle) -> PathElement<(i32, i32)> {
    let end = (start.0 + LEGEND_LINE_LENGTH, start.1);
    PathElement::new([start, end], style)
}
