//! The names of zones, classes and outcomes in reports.

use crate::link_counts::{outcome_index, OUTCOMES};
use std::collections::BTreeMap;
use tulipwall::Outcome;

/// The name of the zone index for all zones that the configuration does not name.
const UNNAMED_ZONE: &str = "(unnamed)";
/// The name of the class index for connections.
const CONNECTIONS: &str = "(connections)";
/// The name of the class index for all removed classes.
pub(super) const REMOVED_CLASSES: &str = "(gone)";

/// The display names of the agent, its zones and its classes.
#[derive(Clone, Debug, Default)]
pub struct DisplayNames {
    /// The name of the agent.
    pub agent: String,
    /// The names of zones, by zone index.
    pub zones: Vec<String>,
    /// The names of classes, by class index.
    pub classes: Vec<String>,
}

impl DisplayNames {
    /// The name of a zone; `(unnamed)` for indices beyond the named zones.
    pub fn zone(&self, zone: usize) -> &str {
        self.zones.get(zone).map_or(UNNAMED_ZONE, String::as_str)
    }

    /// The name of a class, or of an index beyond the classes (see [`crate::LinkKey::class`]).
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

/// The counts above zero by the label of their outcome.
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
