//! Comparison of points: the figures that differ significantly.

use super::{figure_names, format_mean, group_by_point, PointRuns};
use crate::records::Record;
use std::fmt::Write;

/// Compares each point of one file with the same point of another, and lists the figures that
/// differ significantly by Welch's t-test at the 5% level. Of twenty figures that do not differ,
/// one is expected to be listed by chance.
pub fn compare(one: &[Record], other: &[Record]) -> String {
    let mut text = String::new();
    let names = figure_names(one);
    for (a, b) in group_by_point(one).iter().zip(&group_by_point(other)) {
        let _ = writeln!(text, "{} against {}", b.name(), a.name());
        for name in &names {
            let before = a.figure(name);
            let after = b.figure(name);
            if before.differs(&after) {
                let before = format_mean(&before);
                let after = format_mean(&after);
                let _ = writeln!(text, "  {name}: {before} to {after}");
            }
        }
    }
    text + "Figures that are not listed do not differ significantly (Welch's t-test, 5%).\n"
}

/// Compares the first point of a file with each of its other points.
pub fn compare_within(records: &[Record]) -> String {
    let groups = group_by_point(records);
    let Some((first, others)) = groups.split_first() else {
        return "no runs\n".into();
    };
    let first: Vec<Record> = first.runs.iter().map(|run| (*run).clone()).collect();
    others
        .iter()
        .map(|group| compare(&first, &at_point(group, first[0].point)))
        .collect()
}

/// Copies the runs of a group and assigns them to another point, with whose runs they can then be
/// compared.
fn at_point(group: &PointRuns, point: usize) -> Vec<Record> {
    let moved = |run: &&Record| Record {
        point,
        ..(*run).clone()
    };
    group.runs.iter().map(moved).collect()
}
