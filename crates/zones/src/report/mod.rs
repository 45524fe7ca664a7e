//! The report of an account: lines of JSON, one for the header, one for each row and each series.
//!
//! An agent writes it line by line with [`crate::Zones::lines`]; a reader collects the lines in a
//! [`Document`] and merges the documents of several agents into one.

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
