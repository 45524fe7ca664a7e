//! Fetches reports from the admin endpoints of agents.

use serde_json::Value;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::time::Duration;
use tulipwall::Divergences;
use tulipwall_config::AdminAddress;
use tulipwall_zones::{Document, ReportError, ReportLine};

/// Timeout for connecting, and for each read and each write.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of a response, in bytes.
const MAX_REPORT_LENGTH: u64 = 1 << 30;

/// The number of diverging decisions of each kind, with the kind's name.
pub type NamedCounts = [(&'static str, u64); 5];

/// Why a report could not be fetched.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The agent could not be reached, or the connection broke.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection was closed before a status line was received.
    #[error("connection closed without a response")]
    NoResponse,
    /// The agent responded with an error status, such as for a report that it does not have.
    #[error("{status}: {reason}")]
    Refused {
        /// The status line.
        status: String,
        /// The first line of the body; empty if there is none.
        reason: String,
    },
    /// A line of the report is not JSON, or not of the expected structure.
    #[error("invalid report line: {0}")]
    InvalidLine(#[from] serde_json::Error),
    /// A line of the report contradicts the lines before it.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// The report lacks the count of this name.
    #[error("missing count '{0}'")]
    MissingCount(&'static str),
    /// The report ended before the line that marks its end.
    #[error("the report is truncated")]
    Truncated,
}

/// Fetches an agent's report on cross-zone traffic; an incomplete one is an error.
pub fn fetch_zone_report(address: &AdminAddress) -> Result<Document, FetchError> {
    let mut document = Document::default();
    fetch(address, "/zones", |line| {
        let line: ReportLine = serde_json::from_str(line)?;
        Ok(document.add_line(line)?)
    })?;
    if document.is_complete() {
        Ok(document)
    } else {
        Err(FetchError::Truncated)
    }
}

/// Fetches the number of decisions that the alternative settings would have made differently.
pub fn fetch_divergences(address: &AdminAddress) -> Result<NamedCounts, FetchError> {
    let mut counts = None;
    fetch(address, "/watch", |line| {
        counts = Some(parse_divergences(line)?);
        Ok(())
    })?;
    counts.ok_or(FetchError::Truncated)
}

fn parse_divergences(line: &str) -> Result<NamedCounts, FetchError> {
    let line: Value = serde_json::from_str(line)?;
    let mut counts = Divergences::default().named();
    for (kind, count) in &mut counts {
        *count = line
            .get(*kind)
            .and_then(Value::as_u64)
            .ok_or(FetchError::MissingCount(kind))?;
    }
    Ok(counts)
}

/// Requests `path` from an admin endpoint and passes each line of the body to `on_line`.
fn fetch(
    address: &AdminAddress,
    path: &str,
    on_line: impl FnMut(&str) -> Result<(), FetchError>,
) -> Result<(), FetchError> {
    match address {
        AdminAddress::Tcp(address) => {
            let stream = TcpStream::connect_timeout(address, TIMEOUT)?;
            stream.set_read_timeout(Some(TIMEOUT))?;
            stream.set_write_timeout(Some(TIMEOUT))?;
            exchange(stream, path, on_line)
        }
        AdminAddress::Unix(file) => {
            let stream = UnixStream::connect(file)?;
            stream.set_read_timeout(Some(TIMEOUT))?;
            stream.set_write_timeout(Some(TIMEOUT))?;
            exchange(stream, path, on_line)
        }
    }
}

fn exchange(
    mut stream: impl Read + Write,
    path: &str,
    mut on_line: impl FnMut(&str) -> Result<(), FetchError>,
) -> Result<(), FetchError> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut lines = BufReader::new(stream.take(MAX_REPORT_LENGTH)).lines();
    let status = lines.next().ok_or(FetchError::NoResponse)??;
    for header in lines.by_ref() {
        if header?.is_empty() {
            break;
        }
    }
    if status.split(' ').nth(1) != Some("200") {
        let reason = lines.next().and_then(Result::ok).unwrap_or_default();
        return Err(FetchError::Refused { status, reason });
    }
    for line in lines {
        on_line(&line?)?;
    }
    Ok(())
}
