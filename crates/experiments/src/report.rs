//! Results for people: tables, what differs beyond chance, and a page with plots.

use crate::records::{Head, Record};
use crate::stats::Mean;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// All runs at one point.
pub struct DeduplicationScope<'a> {
    pub values: &'a [(String, String)],
    pub runs: Vec<&'a Record>,
}

impl DeduplicationScope<'_> {
    pub fn figure(&self, name: &str) -> Mean {
        Mean::of(
            &self
                .runs
                .iter()
                .filter_map(|r| r.figures.get(name).copied())
                .collect::<Vec<_>>(),
        )
    }

    /// A quantile, in milliseconds, over the requests of all runs: histograms add up without loss.
    pub fn quantile_ms(&self, part: f64) -> f64 {
        let Ok(mut all) = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3) else {
            return 0.0;
        };
        for (value, n) in self.runs.iter().flat_map(|r| &r.delays_us) {
            all.saturating_record_n(*value, *n);
        }
        all.value_at_quantile(part) as f64 / 1000.0
    }

    pub fn name(&self) -> String {
        let all: Vec<String> = self
            .values
            .iter()
            .map(|(k, v)| format!("{k} {v}"))
            .collect();
        if all.is_empty() {
            "as written".into()
        } else {
            all.join(", ")
        }
    }
}

/// Runs by point, in the order of points.
pub fn groups(all: &[Record]) -> Vec<DeduplicationScope<'_>> {
    let mut by: BTreeMap<usize, DeduplicationScope> = BTreeMap::new();
    for r in all {
        by.entry(r.point)
            .or_insert_with(|| DeduplicationScope {
                values: &r.values,
                runs: Vec::new(),
            })
            .runs
            .push(r);
    }
    by.into_values().collect()
}

fn names(all: &[Record]) -> Vec<String> {
    let mut names: Vec<String> = all.iter().flat_map(|r| r.figures.keys().cloned()).collect();
    names.sort();
    names.dedup();
    names
}

fn shown(m: &Mean) -> String {
    let digits = if m.mean.abs() >= 100.0 { 0 } else { 3 };
    match m.half() {
        half if half.is_finite() => format!("{:.digits$} ± {half:.digits$}", m.mean),
        _ => format!("{:.digits$}", m.mean),
    }
}

/// A table in Markdown: a row for each point, a column for each of these figures (all, if none is
/// named).
pub fn table(all: &[Record], figures: &[String]) -> String {
    let names = if figures.is_empty() {
        names(all)
    } else {
        figures.to_vec()
    };
    let mut text = format!(
        "| point | runs | {} |\n|{}\n",
        names.join(" | "),
        " --- |".repeat(names.len() + 2)
    );
    for g in groups(all) {
        let cells: Vec<String> = names.iter().map(|n| shown(&g.figure(n))).collect();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} |",
            g.name(),
            g.runs.len(),
            cells.join(" | ")
        );
    }
    text
}

/// Each point against the first: what differs beyond chance (Welch's test at 5%). Of twenty figures
/// that do not differ one will seem to.
pub fn compare(one: &[Record], other: &[Record]) -> String {
    let mut text = String::new();
    let of = groups(other);
    for (n, a) in groups(one).iter().enumerate() {
        let Some(b) = of.get(n) else { continue };
        let _ = writeln!(text, "{} against {}", b.name(), a.name());
        for name in names(one) {
            let (x, y) = (a.figure(&name), b.figure(&name));
            if x.differs(&y) {
                let _ = writeln!(text, "  {name}: {} to {}", shown(&x), shown(&y));
            }
        }
    }
    text + "Figures that are not named do not differ beyond chance (5%, Welch).\n"
}

/// The first point of a file against each of its others.
pub fn compare_within(all: &[Record]) -> String {
    let groups = groups(all);
    let Some((first, others)) = groups.split_first() else {
        return "no runs\n".into();
    };
    let first: Vec<Record> = first.runs.iter().map(|r| (*r).clone()).collect();
    let one = |g: &DeduplicationScope| {
        let runs: Vec<Record> = g
            .runs
            .iter()
            .map(|r| Record {
                point: first[0].point,
                ..(*r).clone()
            })
            .collect();
        compare(&first, &runs)
    };
    others.iter().map(one).collect()
}

/// One page: the table, and a plot for each figure over the first key that varies, a curve for each
/// of the others' values, bars for 95% confidence over seeds.
pub fn page(head: &Head, all: &[Record]) -> Result<String, String> {
    let escape = |s: &str| s.replace('&', "&amp;").replace('<', "&lt;");
    let mut html = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title><style>body{{font:15px sans-serif;max-width:60em;\
         margin:2em auto}}td,th{{padding:2px 8px;text-align:right;border-bottom:1px solid #ccc}}table{{font-size:13px;\
         border-collapse:collapse}}</style><h1>{0}</h1><p>{1} runs in simulated time; bars are 95% confidence over \
         seeds.</p>",
        escape(&head.name),
        all.len()
    );
    let broken: usize = all.iter().map(|r| r.broken.len()).sum();
    let _ = write!(html, "<p>Broken rules: {broken}.</p>");
    for name in names(all) {
        html += &plot(all, &name)?;
    }
    html += "<table>";
    for (n, line) in table(all, &[]).lines().enumerate().filter(|(n, _)| *n != 1) {
        let cell = if n == 0 { "th" } else { "td" };
        let cells = line
            .trim_matches('|')
            .split('|')
            .map(|c| format!("<{cell}>{}</{cell}>", escape(c.trim())));
        let _ = write!(html, "<tr>{}</tr>", cells.collect::<String>());
    }
    Ok(html + "</table>")
}

/// A figure over the first key, as SVG. Words and single points stand at 0, 1, 2 ...
fn plot(all: &[Record], figure: &str) -> Result<String, String> {
    let groups = groups(all);
    let mut curves: BTreeMap<String, Vec<(f64, Mean)>> = BTreeMap::new();
    let mut words: Vec<String> = Vec::new();
    for g in &groups {
        let x = match g.values.first() {
            Some((_, v)) => v.parse().unwrap_or_else(|_| {
                let place = words.iter().position(|w| w == v);
                place.unwrap_or_else(|| {
                    words.push(v.clone());
                    words.len() - 1
                }) as f64
            }),
            None => 0.0,
        };
        let rest: Vec<String> = g
            .values
            .iter()
            .skip(1)
            .map(|(k, v)| format!("{k} {v}"))
            .collect();
        curves
            .entry(rest.join(", "))
            .or_default()
            .push((x, g.figure(figure)));
    }
    let key = groups
        .first()
        .and_then(|g| g.values.first())
        .map_or("point", |v| v.0.as_str());
    let key = if words.is_empty() {
        key.to_owned()
    } else {
        format!("{key} (0 is {})", words.join(", then "))
    };
    let points = || curves.values().flatten();
    // A scale by powers where numbers go over more than two of ten.
    let (least, most) = points().fold((f64::MAX, f64::MIN), |(a, b), (x, _)| {
        (a.min(*x), b.max(*x))
    });
    let by_powers = least > 0.0 && most / least >= 50.0;
    let place = |x: f64| if by_powers { x.log10() } else { x };
    let (left, right) = (place(least), place(most));
    let pad = ((right - left) * 0.05).max(0.1);
    let reach = |m: &Mean| if m.half().is_finite() { m.half() } else { 0.0 };
    let low = points()
        .map(|(_, m)| m.mean - reach(m))
        .fold(f64::MAX, f64::min)
        .min(0.0);
    let high = points()
        .map(|(_, m)| m.mean + reach(m))
        .fold(low + 1e-9, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (860, 300)).into_drawing_area();
        let draw = || -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
            area.fill(&WHITE)?;
            let mut chart = ChartBuilder::on(&area)
                .caption(figure, ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(34)
                .y_label_area_size(64)
                .build_cartesian_2d(left - pad..right + pad, low..high + (high - low) * 0.08)?;
            let label = |x: &f64| {
                if by_powers {
                    format!("{:.3}", 10f64.powf(*x))
                } else {
                    format!("{x:.2}")
                }
            };
            chart
                .configure_mesh()
                .x_desc(key.as_str())
                .x_label_formatter(&label)
                .light_line_style(WHITE)
                .draw()?;
            for (n, (name, curve)) in curves.iter().enumerate() {
                // Told apart in black and white: by grey and width.
                let grey = RGBColor(40 * (n as u8 % 5), 40 * (n as u8 % 5), 40 * (n as u8 % 5));
                let style = grey.stroke_width(1 + n as u32 % 3);
                let line = curve.iter().map(|(x, m)| (place(*x), m.mean));
                chart
                    .draw_series(LineSeries::new(line, style))?
                    .label(if name.is_empty() { figure } else { name })
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], style));
                let bars = curve.iter().map(|(x, m)| {
                    let ends = [
                        (place(*x), m.mean - reach(m)),
                        (place(*x), m.mean + reach(m)),
                    ];
                    PathElement::new(ends, style)
                });
                chart.draw_series(bars)?;
            }
            chart
                .configure_series_labels()
                .background_style(WHITE)
                .border_style(BLACK)
                .draw()?;
            area.present()
        };
        draw().map_err(|e| format!("{figure}: {e}"))?;
    }
    Ok(svg)
}
