//! The report of an account as JSON lines: one for the header, then one for each row and series.
//!
//! An agent writes the report line by line with [`crate::Zones::lines`]. A reader collects the
//! lines in a [`Document`] and merges the documents of several agents into one.

mod document;
mod error;
mod labels;
mod merge;
mod schema;
mod writer;

pub use document::Document;
pub use error::ReportError;
pub use labels::DisplayNames;
pub use schema::{
    BudgetLine, DelayLine, LatencyBucket, LinkLine, ReportHeader, ReportLine, SeriesBin,
    SeriesLine, VERSION,
};
pub use writer::{ClockMapping, ReportCursor};
