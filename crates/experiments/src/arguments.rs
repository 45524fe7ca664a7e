//! Parsers of command-line values, for `clap`.

use std::ops::RangeInclusive;
use std::str::FromStr;

/// Largest accepted count of agents, endpoints, classes, tenants or connections.
const MAX_COUNT: usize = 1_000_000;

/// A rejected command-line value; the message says what was expected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{expected}")]
pub struct InvalidArgument {
    expected: String,
}

impl InvalidArgument {
    /// Creates an error with this message, which says what was expected.
    pub fn expected(text: impl Into<String>) -> InvalidArgument {
        InvalidArgument {
            expected: text.into(),
        }
    }
}

/// Parses a number and checks that it lies within a range; `expected` is the error message.
///
/// # Errors
/// Returns an error if the text is not a number or the number lies outside the range.
pub fn number_in<T: FromStr + PartialOrd>(
    text: &str,
    range: RangeInclusive<T>,
    expected: &str,
) -> Result<T, InvalidArgument> {
    let number = text.parse::<T>().ok().filter(|n| range.contains(n));
    number.ok_or_else(|| InvalidArgument::expected(expected))
}

/// Parses a count from 1 to a million; `expected` is the error message.
///
/// # Errors
/// Returns an error if the text is not a count in this range.
pub fn count(text: &str, expected: &str) -> Result<usize, InvalidArgument> {
    number_in(text, 1..=MAX_COUNT, expected)
}
