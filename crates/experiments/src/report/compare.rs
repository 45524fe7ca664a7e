//! Comparison of points: which figures differ beyond chance.

use super::{figure_names, format_mean, group_by_point, PointRuns};
use crate::records::Record;
use std::fmt::Write;

/// Each point of one file against the same point of another: the figures that differ beyond chance
/// by Welch's test at 5%. Of twenty figures that do not differ one will seem to.
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
    text + "Figures that are not named do not differ beyond chance (5%, Welch).\n"
}

/// The first point of a file against each of its others.
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

/// The runs of a group as if they belonged to another point.
fn at_point(group: &PointRuns, point: usize) -> Vec<Record> {
    let moved = |run: &&Record| Record {
        point,
        ..(*run).clone()
    };
    group.runs.iter().map(moved).collect()
}
