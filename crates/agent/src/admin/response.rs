//! Parses requests to the admin endpoint and writes the responses.

use super::listener::AdminStream;
use super::with_timeout;
use crate::agent::Agent;
use crate::runtime::reactor::Source;
use futures_lite::future;
use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tulipwall::Divergences;
use tulipwall_zones::ReportCursor;

/// Maximum length of a request's head, in bytes.
const MAX_REQUEST_LENGTH: usize = 4096;
/// A reader must send the whole head of its request within this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Each write must make progress within this time; a slower reader is dropped.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the buffer for one read from a request, in bytes.
const READ_SIZE: usize = 1024;

/// A resource of the admin endpoint.
enum Resource {
    ZoneReport,
    Divergences(Divergences),
}

/// An error response: the status line's code and phrase, and the body.
struct Refusal {
    status: &'static str,
    reason: &'static str,
}

impl Refusal {
    fn not_found(reason: &'static str) -> Refusal {
        Refusal {
            status: "404 Not Found",
            reason,
        }
    }
}

/// Reads one request and writes its response.
pub(super) async fn respond<S: AdminStream>(agent: &Agent, reader: &Source<S>) -> io::Result<()> {
    let request_line = with_timeout(REQUEST_TIMEOUT, read_request_line(reader)).await?;
    match find_resource(agent, &request_line) {
        Ok(resource) => {
            write_head(reader, "200 OK", "application/x-ndjson").await?;
            match resource {
                Resource::ZoneReport => write_zone_report(agent, reader).await,
                Resource::Divergences(counts) => write_divergences(reader, &counts).await,
            }
        }
        Err(refusal) => write_refusal(reader, &refusal).await,
    }
}

fn find_resource(agent: &Agent, request_line: &str) -> Result<Resource, Refusal> {
    let mut words = request_line.split(' ');
    let method = words.next().unwrap_or_default();
    let target = words.next().unwrap_or_default();
    let path = target.split('?').next().unwrap_or_default();
    match (method, path) {
        ("GET", "/zones") if agent.zone_traffic.is_enabled() => Ok(Resource::ZoneReport),
        ("GET", "/zones") => Err(Refusal::not_found("the installation says nothing of zones")),
        ("GET", "/watch") => match agent.balancer.divergences() {
            Some(counts) => Ok(Resource::Divergences(counts)),
            None => Err(Refusal::not_found(
                "the installation names no settings to watch",
            )),
        },
        ("GET", _) => Err(Refusal::not_found("known are /zones and /watch")),
        _ => Err(Refusal {
            status: "405 Method Not Allowed",
            reason: "only GET is known",
        }),
    }
}

/// Reads a request's head up to its empty line and returns the first line.
async fn read_request_line<S: AdminStream>(reader: &Source<S>) -> io::Result<String> {
    let mut head = Vec::new();
    let mut buffer = [0; READ_SIZE];
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        let received = reader.read(|| reader.get().read_some(&mut buffer)).await?;
        if received == 0 || head.len() + received > MAX_REQUEST_LENGTH {
            return Err(io::ErrorKind::InvalidData.into());
        }
        head.extend_from_slice(&buffer[..received]);
    }
    let line = head.split(|byte| *byte == b'\r').next().unwrap_or_default();
    Ok(String::from_utf8_lossy(line).into_owned())
}

async fn write_refusal<S: AdminStream>(reader: &Source<S>, refusal: &Refusal) -> io::Result<()> {
    let head = head(refusal.status, "text/plain");
    let response = format!("{head}{}\n", refusal.reason);
    write(reader, response.as_bytes()).await
}

async fn write_head<S: AdminStream>(
    reader: &Source<S>,
    status: &str,
    content_type: &str,
) -> io::Result<()> {
    write(reader, head(status, content_type).as_bytes()).await
}

fn head(status: &str, content_type: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\nConnection: close\r\n\r\n")
}

async fn write_divergences<S: AdminStream>(
    reader: &Source<S>,
    counts: &Divergences,
) -> io::Result<()> {
    let fields = counts.named().map(|(kind, n)| (kind.to_owned(), n.into()));
    let line = serde_json::Value::Object(fields.into_iter().collect());
    write(reader, format!("{line}\n").as_bytes()).await
}

async fn write_zone_report<S: AdminStream>(agent: &Agent, reader: &Source<S>) -> io::Result<()> {
    let unix_time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let now = agent.clock.now();
    let mut cursor = ReportCursor::default();
    while cursor != ReportCursor::Finished {
        let part = agent.zone_traffic.report_lines(now, unix_time, cursor);
        let Some((lines, next)) = part else {
            // A reload has disabled the accounting in the meantime: the report stays incomplete.
            return Ok(());
        };
        cursor = next;
        for line in lines {
            let mut text = serde_json::to_vec(&line).map_err(io::Error::other)?;
            text.push(b'\n');
            write(reader, &text).await?;
        }
        future::yield_now().await;
    }
    Ok(())
}

async fn write<S: AdminStream>(reader: &Source<S>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let write_some = reader.write(|| reader.get().write_some(bytes));
        match with_timeout(WRITE_TIMEOUT, write_some).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            written => bytes = &bytes[written..],
        }
    }
    Ok(())
}
