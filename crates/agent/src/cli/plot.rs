//! The account over time as a picture: what crosses, and each budget with its line.

use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;
use tulipwall_zones::{BudgetLine, Document, SeriesLine};

const SIZE: (u32, u32) = (1000, 260); // of one panel
/// Told apart without colours, too, by their order and what is written beside them.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 90, 160),
    RGBColor(200, 80, 0),
    RGBColor(0, 130, 90),
    RGBColor(150, 60, 140),
    RGBColor(90, 90, 90),
    RGBColor(170, 140, 0),
];

struct Curve {
    name: String,
    points: Vec<(f64, f64)>,
}

struct Panel {
    title: String,
    curves: Vec<Curve>,
    line: Option<f64>,
}

/// Writes the picture; what is wrong otherwise.
pub fn write(d: &Document, path: &Path) -> Result<(), String> {
    let panels = panels(d);
    if panels
        .iter()
        .all(|p| p.curves.iter().all(|c| c.points.is_empty()))
    {
        return Err("nothing has crossed in the time that the account holds".into());
    }
    let height = SIZE.1 * panels.len() as u32;
    let area = SVGBackend::new(path, (SIZE.0, height)).into_drawing_area();
    let draw = || -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
        area.fill(&WHITE)?;
        for (panel, area) in panels.iter().zip(area.split_evenly((panels.len(), 1))) {
            panel.draw(&area)?;
        }
        area.present()
    };
    draw().map_err(|e| format!("{}: {e}", path.display()))
}

/// Ten-second bins while the account is younger than these are kept for, else minutes.
fn fine(d: &Document) -> bool {
    d.heads.iter().all(|h| h.uptime_s < 3600.0)
}

fn crossing(d: &Document) -> impl Iterator<Item = &SeriesLine> {
    let fine = fine(d);
    d.series
        .iter()
        .filter(move |s| s.from != s.to && s.build.is_some() == fine)
}

fn panels(d: &Document) -> Vec<Panel> {
    let now = d.heads.iter().map(|h| h.at_s).fold(0.0, f64::max);
    let mut links: BTreeMap<String, BTreeMap<u64, f64>> = BTreeMap::new();
    let mut width = 10.0;
    for s in crossing(d) {
        let link = links.entry(format!("{} to {}", s.from, s.to)).or_default();
        width = s.width_s;
        s.bins
            .iter()
            .for_each(|b| *link.entry(b.start_s as u64).or_default() += b.attempts as f64);
    }
    let curves = links.into_iter().map(|(name, bins)| Curve {
        name,
        points: bins
            .into_iter()
            .map(|(at, n)| ((at as f64 - now) / 60.0, n))
            .collect(),
    });
    let title = format!("deliveries that crossed, each {width:.0} s");
    let mut panels = vec![Panel {
        title,
        curves: curves.collect(),
        line: None,
    }];
    let mut budgets: BTreeMap<(String, String), Vec<&BudgetLine>> = BTreeMap::new();
    for b in d
        .heads
        .iter()
        .flat_map(|h| &h.budgets)
        .filter(|b| b.unit != "share")
    {
        budgets
            .entry((b.name.clone(), b.unit.clone()))
            .or_default()
            .push(b);
    }
    for ((name, unit), lines) in budgets {
        let b = lines[0];
        let parts: f64 = lines.iter().map(|l| l.agent_limit).sum();
        let mut spent: BTreeMap<u64, f64> = BTreeMap::new();
        let holds = |s: &&SeriesLine| {
            b.to.as_ref().is_none_or(|to| *to == s.to)
                && b.class.as_ref().is_none_or(|l| *l == s.class)
        };
        for s in crossing(d).filter(holds) {
            for bin in &s.bins {
                let amount = match unit.as_str() {
                    "deliveries" => bin.attempts as f64,
                    "bytes" => (bin.bytes_sent + bin.bytes_received) as f64,
                    _ => bin.cost,
                };
                *spent.entry(bin.start_s as u64).or_default() += amount;
            }
        }
        // At each bin: what was spent in the window that ends with it.
        let window = |at: u64| {
            let from = at.saturating_sub(b.window_s as u64);
            spent.range(from + 1..=at).map(|(_, n)| n).sum::<f64>()
        };
        let points = spent
            .keys()
            .map(|at| ((*at as f64 - now) / 60.0, window(*at)))
            .collect();
        let title = format!(
            "{name}: {unit} in {:.0} s, and the parts of these agents ({parts:.6})",
            b.window_s
        );
        panels.push(Panel {
            title,
            curves: vec![Curve {
                name: "spent".into(),
                points,
            }],
            line: Some(parts),
        });
    }
    panels
}

impl Panel {
    fn draw<B: DrawingBackend>(
        &self,
        area: &DrawingArea<B, plotters::coord::Shift>,
    ) -> Result<(), DrawingAreaErrorKind<B::ErrorType>> {
        let points = || self.curves.iter().flat_map(|c| &c.points);
        let least = points().map(|p| p.0).fold(-1.0, f64::min);
        let most = points().map(|p| p.1).chain(self.line).fold(1e-9, f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(72)
            .build_cartesian_2d(least..0.0, 0.0..most * 1.1)?;
        chart
            .configure_mesh()
            .x_desc("minutes before the report")
            .light_line_style(WHITE)
            .draw()?;
        for (n, curve) in self.curves.iter().enumerate() {
            let colour = COLOURS[n % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(
                    curve.points.iter().copied(),
                    colour.stroke_width(2),
                ))?
                .label(curve.name.as_str())
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2))
                });
        }
        if let Some(line) = self.line {
            let style = BLACK.stroke_width(1);
            chart
                .draw_series(DashedLineSeries::new(
                    [(least, line), (0.0, line)],
                    6,
                    4,
                    style,
                ))?
                .label("budget")
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], style));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()
    }
}
