//! Makes the calls that are read from standard input, one per line, several at the same time.

use crate::arguments::{parse_hex, HexBytes, InvalidHex, TIMEOUT_RANGE_MS};
use crate::report::{self, EXIT_INVALID_CALL};
use serde_json::Value;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use thiserror::Error;
use tulipwall_client::{Call, Client};

/// Why a line of standard input is not a valid call.
#[derive(Debug, Error)]
pub enum LineError {
    #[error("invalid JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    #[error("{field}: expected a string")]
    NotText { field: &'static str },
    #[error("{field}: missing")]
    Missing { field: &'static str },
    #[error("expiry_ms: expected an integer from 1 to 3600000")]
    Timeout,
    #[error("value: {0}")]
    Value(#[from] InvalidHex),
}

/// A line of standard input.
struct Line {
    /// The line number, starting at one.
    number: usize,
    text: String,
}

/// Distributes the lines of standard input among several threads.
#[derive(Default)]
struct LineReader(Mutex<usize>);

impl LineReader {
    /// Reads the next line; `None` at the end of the input.
    fn next_line(&self) -> Option<Line> {
        let mut lines_read = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *lines_read += 1;
        let mut text = String::new();
        let bytes = std::io::stdin().read_line(&mut text).unwrap_or(0);
        (bytes > 0).then_some(Line {
            number: *lines_read,
            text,
        })
    }
}

/// Makes the calls of standard input, up to `at_once` at the same time. Returns the highest exit
/// code.
pub fn run(client: &Client, at_once: u16, default_timeout: Duration) -> u8 {
    let reader = LineReader::default();
    thread::scope(|scope| {
        let work = || make_calls(client, &reader, default_timeout);
        let workers: Vec<_> = (0..at_once).map(|_| scope.spawn(work)).collect();
        let exit_codes = workers
            .into_iter()
            .map(|worker| worker.join().unwrap_or(EXIT_INVALID_CALL));
        exit_codes.max().unwrap_or(0)
    })
}

/// Makes calls until the input ends. Returns the highest exit code.
fn make_calls(client: &Client, reader: &LineReader, default_timeout: Duration) -> u8 {
    let mut highest = 0;
    while let Some(line) = reader.next_line() {
        if line.text.trim().is_empty() {
            continue;
        }
        let exit_code = match parse_call(&line.text, default_timeout) {
            Ok(call) => {
                let done = report::call_and_print(client, call, line.number);
                futures_lite::future::block_on(done)
            }
            Err(error) => report::print_line_error(&error, line.number),
        };
        highest = highest.max(exit_code);
    }
    highest
}

fn parse_call(text: &str, default_timeout: Duration) -> Result<Call, LineError> {
    let line: Value = serde_json::from_str(text)?;
    let timeout = timeout_field(&line)?.unwrap_or(default_timeout);
    let value = match text_field(&line, "value")? {
        Some(hex) => {
            let HexBytes(bytes) = parse_hex(&hex)?;
            Some(bytes)
        }
        None => None,
    };
    Ok(Call {
        value,
        tenant: text_field(&line, "customer")?,
        key: text_field(&line, "key")?,
        ..Call::read(
            &required_text_field(&line, "lane")?,
            &required_text_field(&line, "object")?,
            timeout,
        )
    })
}

fn timeout_field(line: &Value) -> Result<Option<Duration>, LineError> {
    match &line["expiry_ms"] {
        Value::Null => Ok(None),
        value => {
            let milliseconds = value.as_u64().filter(|ms| TIMEOUT_RANGE_MS.contains(ms));
            let milliseconds = milliseconds.ok_or(LineError::Timeout)?;
            Ok(Some(Duration::from_millis(milliseconds)))
        }
    }
}

fn text_field(line: &Value, field: &'static str) -> Result<Option<String>, LineError> {
    match &line[field] {
        Value::Null => Ok(None),
        Value::String(text) => Ok(Some(text.clone())),
        _ => Err(LineError::NotText { field }),
    }
}

fn required_text_field(line: &Value, field: &'static str) -> Result<String, LineError> {
    text_field(line, field)?.ok_or(LineError::Missing { field })
}
