//! Stored results of runs.
//!
//! A records file has one line for its header and one for each run. Each line holds a CRC-32
//! checksum in hexadecimal digits, a space and a JSON document. Truncated or damaged lines are
//! skipped, and their runs are repeated.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};

/// Version of the file format.
const VERSION: u32 = 1;

/// Errors of reading and writing a records file.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The file cannot be read or written.
    #[error("{}", path.display())]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is empty, or its first line is not text.
    #[error("{}:1: missing header", path.display())]
    MissingHeader {
        /// Path of the file.
        path: PathBuf,
    },
    /// The first line is not a valid header.
    #[error("{}:1: invalid header of a records file", path.display())]
    InvalidHeader {
        /// Path of the file.
        path: PathBuf,
    },
    /// The file was written by another version of this program.
    #[error("{}:1: found format version {found}, expected version {VERSION}", path.display())]
    UnsupportedVersion {
        /// Path of the file.
        path: PathBuf,
        /// Format version in the header of the file.
        found: u32,
    },
    /// The file holds the records of another scenario, or of another version of this one.
    #[error(
        "{}: the records belong to another scenario, or to another version of it",
        path.display()
    )]
    OtherScenario {
        /// Path of the file.
        path: PathBuf,
    },
}

impl RecordError {
    fn io(path: &Path) -> impl Fn(io::Error) -> RecordError + '_ {
        |source| RecordError::Io {
            path: path.to_owned(),
            source,
        }
    }
}

/// First line of a records file; identifies the scenario that the records belong to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Version of the file format.
    pub version: u32,
    /// Name of the scenario.
    pub name: String,
    /// CRC-32 of the scenario's text, so that records of different texts are not mixed.
    #[serde(rename = "scenario")]
    pub scenario_checksum: u32,
}

impl Header {
    /// Creates the header for records of a scenario with this name and text.
    pub fn of(name: &str, scenario_text: &str) -> Header {
        Header {
            version: VERSION,
            name: name.to_owned(),
            scenario_checksum: crc32fast::hash(scenario_text.as_bytes()),
        }
    }
}

/// Measurements of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Index of the point in the list of the scenario's points.
    pub point: usize,
    /// Keys and values of the parameters that vary.
    pub values: Vec<(String, String)>,
    /// Seed of the random numbers of the run.
    pub seed: u64,
    /// Figures of the run by name.
    pub figures: BTreeMap<String, f64>,
    /// Latency histogram of the requests that succeeded: pairs of a latency in microseconds and the
    /// number of requests.
    #[serde(rename = "delays_us")]
    pub latencies_us: Vec<(u64, u64)>,
    /// Digest of all decisions of the run; equal runs have equal digests.
    pub digest: u64,
    /// The first violations of the simulation's rules; empty if there were none.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// A records file that is open for appending.
pub struct RecordFile {
    /// Header of the file.
    pub header: Header,
    /// Records in the order of the file.
    pub records: Vec<Record>,
    file: File,
}

fn encode(value: &impl Serialize) -> io::Result<String> {
    let text = serde_json::to_string(value).map_err(io::Error::other)?;
    let checksum = crc32fast::hash(text.as_bytes());
    Ok(format!("{checksum:08x} {text}\n"))
}

/// Decodes the document of a line; `None` if the line is damaged or its checksum is wrong.
fn decode<T: for<'d> Deserialize<'d>>(line: &str) -> Option<T> {
    let (checksum, text) = line.split_once(' ')?;
    let checksum = u32::from_str_radix(checksum, 16).ok()?;
    if checksum != crc32fast::hash(text.as_bytes()) {
        return None;
    }
    serde_json::from_str(text).ok()
}

/// Reads a records file; damaged records are skipped and reported on standard error.
///
/// # Errors
/// Returns an error if the file cannot be read, or if its header is not that of a records file of
/// this version.
pub fn read(path: &Path) -> Result<(Header, Vec<Record>), RecordError> {
    let file = File::open(path).map_err(RecordError::io(path))?;
    let mut lines = BufReader::new(file).lines();
    let first = lines.next().and_then(Result::ok);
    let header = header(path, first)?;
    let mut records = Vec::new();
    for (index, line) in lines.enumerate() {
        match line.ok().and_then(|line| decode(&line)) {
            Some(record) => records.push(record),
            None => report_damaged(path, index + 2),
        }
    }
    Ok((header, records))
}

fn header(path: &Path, line: Option<String>) -> Result<Header, RecordError> {
    let path = || path.to_owned();
    let line = line.ok_or_else(|| RecordError::MissingHeader { path: path() })?;
    let header: Header =
        decode(&line).ok_or_else(|| RecordError::InvalidHeader { path: path() })?;
    if header.version != VERSION {
        return Err(RecordError::UnsupportedVersion {
            path: path(),
            found: header.version,
        });
    }
    Ok(header)
}

fn report_damaged(path: &Path, line: usize) {
    eprintln!(
        "{}:{line}: damaged record; its run will be repeated",
        path.display()
    );
}

impl RecordFile {
    /// Opens a records file to append records of this scenario, or creates it.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or written, or if it holds records of another
    /// scenario.
    pub fn open(path: &Path, header: Header) -> Result<RecordFile, RecordError> {
        let records = if path.exists() {
            let (old_header, records) = read(path)?;
            if old_header != header {
                return Err(RecordError::OtherScenario {
                    path: path.to_owned(),
                });
            }
            records
        } else {
            Vec::new()
        };
        rewrite(path, &header, &records).map_err(RecordError::io(path))?;
        let file = OpenOptions::new()
            .append(true)
            .open(path)
            .map_err(RecordError::io(path))?;
        Ok(RecordFile {
            header,
            records,
            file,
        })
    }

    /// Returns whether the run of this point and seed is recorded.
    pub fn has(&self, point: usize, seed: u64) -> bool {
        self.records
            .iter()
            .any(|record| record.point == point && record.seed == seed)
    }

    /// Appends a record; it has been written to the file when this returns.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written.
    pub fn add(&mut self, record: Record) -> io::Result<()> {
        self.file.write_all(encode(&record)?.as_bytes())?;
        self.records.push(record);
        Ok(())
    }
}

/// Rewrites the file without its damaged lines. The new file is renamed into place, so that a crash
/// never loses records that the old file held.
fn rewrite(path: &Path, header: &Header, records: &[Record]) -> io::Result<()> {
    let next = path.with_extension("next");
    let mut file = File::create(&next)?;
    file.write_all(encode(header)?.as_bytes())?;
    for record in records {
        file.write_all(encode(record)?.as_bytes())?;
    }
    file.sync_all()?;
    std::fs::rename(&next, path)
}
