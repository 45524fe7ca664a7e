//! Parsers of command-line values, for `clap`.

use std::ops::RangeInclusive;
use std::str::FromStr;

/// Largest count of agents, endpoints, classes, tenants or connections.
const MAX_COUNT: usize = 1_000_000;

/// A command-line value that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{expected}")]
pub struct InvalidArgument {
    expected: String,
}

impl InvalidArgument {
    /// An error whose text says what was expected.
    pub fn expected(text: impl Into<String>) -> InvalidArgument {
        InvalidArgument {
            expected: text.into(),
        }
    }
}

/// A number within a range; `expected` is the text of the error otherwise.
///
/// # Errors
/// The text is no number, or lies outside the range.
pub fn number_in<T: FromStr + PartialOrd>(
    text: &str,
    range: RangeInclusive<T>,
    expected: &str,
) -> Result<T, InvalidArgument> {
    let number = text.parse::<T>().ok().filter(|n| range.contains(n));
    number.ok_or_else(|| InvalidArgument::expected(expected))
}

/// A count from 1 to a million; `expected` is the text of the error otherwise.
///
/// # Errors
/// The text is no such count.
pub fn count(text: &str, expected: &str) -> Result<usize, InvalidArgument> {
    number_in(text, 1..=MAX_COUNT, expected)
}
