//! Data of a plot: the curves of one figure and the ranges of the axes.

use super::{format_values, group_by_point};
use crate::records::Record;
use crate::stats::Mean;
use std::collections::BTreeMap;
use std::ops::Range;

/// The horizontal axis is logarithmic if the ratio of its largest to its smallest value is at least
/// this.
const LOGARITHMIC_RATIO: f64 = 50.0;
/// Padding at both ends of the horizontal axis, as a share of its length, and the minimum padding.
const PADDING_SHARE: f64 = 0.05;
const MIN_PADDING: f64 = 0.1;
/// Padding above the highest point, as a share of the height.
const HEADROOM: f64 = 0.08;
/// Minimum height of the vertical axis, for figures that are zero throughout.
const MIN_HEIGHT: f64 = 1e-9;

/// Mean of a figure at one value of the first parameter.
pub(super) struct ChartPoint {
    pub(super) x: f64,
    pub(super) mean: Mean,
}

impl ChartPoint {
    /// Returns the lowest and the highest value of the confidence interval; both are the mean if
    /// the interval is infinite.
    pub(super) fn interval(&self) -> (f64, f64) {
        let half_width = self.mean.half_width();
        let half_width = if half_width.is_finite() {
            half_width
        } else {
            0.0
        };
        (self.mean.mean - half_width, self.mean.mean + half_width)
    }
}

/// Curves of a figure over the first parameter that varies.
pub(super) struct Chart<'a> {
    pub(super) figure: &'a str,
    pub(super) x_label: String,
    /// Curves keyed by the values of the other parameters.
    pub(super) curves: BTreeMap<String, Vec<ChartPoint>>,
    pub(super) logarithmic: bool,
    pub(super) x_range: Range<f64>,
    pub(super) y_range: Range<f64>,
}

impl<'a> Chart<'a> {
    /// Builds the curves of a figure from all records.
    pub(super) fn of(records: &[Record], figure: &'a str) -> Chart<'a> {
        let groups = group_by_point(records);
        let mut words = WordPositions::default();
        let mut curves: BTreeMap<String, Vec<ChartPoint>> = BTreeMap::new();
        for group in &groups {
            let first = group.values.first();
            let x = first.map_or(0.0, |(_, value)| words.position(value));
            let others = group.values.get(1..).unwrap_or_default();
            let mean = group.figure(figure);
            let curve = curves.entry(format_values(others)).or_default();
            curve.push(ChartPoint { x, mean });
        }
        let first_key = groups.first().and_then(|group| group.values.first());
        let key = first_key.map_or("point", |(key, _)| key.as_str());
        let logarithmic = is_logarithmic(&curves);
        Chart {
            figure,
            x_label: words.label(key),
            logarithmic,
            x_range: x_range(&curves, logarithmic),
            y_range: y_range(&curves),
            curves,
        }
    }

    /// Returns the horizontal position of a value: its logarithm on a logarithmic axis.
    pub(super) fn x_position(&self, x: f64) -> f64 {
        x_position(x, self.logarithmic)
    }

    /// Formats the label of a horizontal position.
    pub(super) fn x_tick(&self, position: f64) -> String {
        if self.logarithmic {
            format!("{:.3}", 10f64.powf(position))
        } else {
            format!("{position:.2}")
        }
    }
}

/// Assigns the positions 0, 1, 2 ... to words in the order of their first use.
#[derive(Default)]
struct WordPositions {
    words: Vec<String>,
}

impl WordPositions {
    /// Returns the number that `value` holds, or the position of a word.
    fn position(&mut self, value: &str) -> f64 {
        if let Ok(number) = value.parse() {
            return number;
        }
        let known = self.words.iter().position(|word| word == value);
        let index = known.unwrap_or_else(|| {
            self.words.push(value.to_owned());
            self.words.len() - 1
        });
        index as f64
    }

    fn label(&self, key: &str) -> String {
        if self.words.is_empty() {
            key.to_owned()
        } else {
            format!("{key} (0 is {})", self.words.join(", then "))
        }
    }
}

fn x_position(x: f64, logarithmic: bool) -> f64 {
    if logarithmic {
        x.log10()
    } else {
        x
    }
}

fn x_extent(curves: &BTreeMap<String, Vec<ChartPoint>>) -> (f64, f64) {
    let points = curves.values().flatten();
    points.fold((f64::MAX, f64::MIN), |(lowest, highest), point| {
        (lowest.min(point.x), highest.max(point.x))
    })
}

fn is_logarithmic(curves: &BTreeMap<String, Vec<ChartPoint>>) -> bool {
    let (lowest, highest) = x_extent(curves);
    lowest > 0.0 && highest / lowest >= LOGARITHMIC_RATIO
}

fn x_range(curves: &BTreeMap<String, Vec<ChartPoint>>, logarithmic: bool) -> Range<f64> {
    let (lowest, highest) = x_extent(curves);
    let left = x_position(lowest, logarithmic);
    let right = x_position(highest, logarithmic);
    let padding = ((right - left) * PADDING_SHARE).max(MIN_PADDING);
    left - padding..right + padding
}

fn y_range(curves: &BTreeMap<String, Vec<ChartPoint>>) -> Range<f64> {
    let intervals = || curves.values().flatten().map(ChartPoint::interval);
    let low = intervals().map(|i| i.0).fold(f64::MAX, f64::min).min(0.0);
    let high = intervals().map(|i| i.1).fold(low + MIN_HEIGHT, f64::max);
    low..high + (high - low) * HEADROOM
}
