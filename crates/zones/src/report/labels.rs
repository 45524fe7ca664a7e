//! The names that stand for indices and outcomes in reports.

use crate::link_counts::{outcome_index, OUTCOMES};
use std::collections::BTreeMap;
use tulipwall::Outcome;

/// Stands for the zone that the configuration does not name.
const UNNAMED_ZONE: &str = "(unnamed)";
/// Stands for connections in the place of a class.
const CONNECTIONS: &str = "(connections)";
/// Stands for all classes that were removed.
pub(super) const REMOVED_CLASSES: &str = "(gone)";

/// The names of the agent, its zones and its classes.
#[derive(Clone, Debug, Default)]
pub struct DisplayNames {
    /// The agent's name.
    pub agent: String,
    /// Names by zone index.
    pub zones: Vec<String>,
    /// Names by class index.
    pub classes: Vec<String>,
}

impl DisplayNames {
    /// The name of a zone, also of the unnamed one.
    pub fn zone(&self, zone: usize) -> &str {
        self.zones.get(zone).map_or(UNNAMED_ZONE, String::as_str)
    }

    /// The name of a class, also of the indices beyond the classes (see [`crate::LinkKey::class`]).
    pub fn class(&self, class: usize) -> &str {
        if let Some(name) = self.classes.get(class) {
            return name;
        }
        if class > self.classes.len() {
            REMOVED_CLASSES
        } else {
            CONNECTIONS
        }
    }
}

fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Succeeded => "satisfied",
        Outcome::Failed => "failed",
        Outcome::Rejected => "turned_away",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "no_connection",
        Outcome::ConnectionLost => "broken",
        Outcome::Cancelled => "withdrawn",
        Outcome::NotSent => "not_sent",
    }
}

/// Counts by outcome under their labels.
pub(super) fn labelled_outcomes(counts: &[u64; OUTCOMES.len()]) -> BTreeMap<String, u64> {
    let labelled = OUTCOMES.map(|outcome| (outcome_label(outcome), counts[outcome_index(outcome)]));
    nonzero_counts(labelled)
}

/// The counts above zero by label.
pub(super) fn nonzero_counts(
    counts: impl IntoIterator<Item = (&'static str, u64)>,
) -> BTreeMap<String, u64> {
    counts
        .into_iter()
        .filter(|(_, count)| *count > 0)
        .map(|(label, count)| (label.to_owned(), count))
        .collect()
}
