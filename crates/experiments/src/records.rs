//! Stored results of runs.
//!
//! A file of records has a line for its header and one for each run, each a CRC-32 checksum in
//! hexadecimal digits, a space and a JSON document. Lines that were torn or damaged are skipped,
//! and their runs are done again.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};

/// Version of the file format.
const VERSION: u32 = 1;

/// Why a file of records cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// It cannot be read or written.
    #[error("{}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// It is empty, or its first line is no text.
    #[error("{}:1: no head", path.display())]
    MissingHeader {
        /// The file.
        path: PathBuf,
    },
    /// Its first line is no header.
    #[error("{}:1: no head of a file of records", path.display())]
    InvalidHeader {
        /// The file.
        path: PathBuf,
    },
    /// It was written by another version of this program.
    #[error("{}:1: version {found}, this program reads version {VERSION}", path.display())]
    UnsupportedVersion {
        /// The file.
        path: PathBuf,
        /// The version in its header.
        found: u32,
    },
    /// It holds the records of another scenario.
    #[error(
        "{}: its records are of another scenario, or of another version of it",
        path.display()
    )]
    OtherScenario {
        /// The file.
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

/// First line of a file of records: which scenario it belongs to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Version of the file format.
    pub version: u32,
    /// Name of the scenario.
    pub name: String,
    /// CRC-32 of the scenario's text: records of different texts are not mixed.
    #[serde(rename = "scenario")]
    pub scenario_checksum: u32,
}

impl Header {
    /// The header for records of a scenario with this name and text.
    pub fn of(name: &str, scenario_text: &str) -> Header {
        Header {
            version: VERSION,
            name: name.to_owned(),
            scenario_checksum: crc32fast::hash(scenario_text.as_bytes()),
        }
    }
}

/// What was measured in one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Index of the point in the scenario.
    pub point: usize,
    /// Keys and values of the parameters that vary.
    pub values: Vec<(String, String)>,
    /// Seed of the run.
    pub seed: u64,
    /// Figures by name.
    pub figures: BTreeMap<String, f64>,
    /// Histogram of the latencies of requests that succeeded: microseconds, and how many.
    #[serde(rename = "delays_us")]
    pub latencies_us: Vec<(u64, u64)>,
    /// Digest of all decisions: equal runs have equal ones.
    pub digest: u64,
    /// The first violations of the simulation's rules.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// A file of records that is open for appending.
pub struct RecordFile {
    /// Its header.
    pub header: Header,
    /// Its records, in the order of the file.
    pub records: Vec<Record>,
    file: File,
}

fn encode(value: &impl Serialize) -> io::Result<String> {
    let text = serde_json::to_string(value).map_err(io::Error::other)?;
    let checksum = crc32fast::hash(text.as_bytes());
    Ok(format!("{checksum:08x} {text}\n"))
}

/// The document of a line whose checksum is right.
fn decode<T: for<'d> Deserialize<'d>>(line: &str) -> Option<T> {
    let (checksum, text) = line.split_once(' ')?;
    let checksum = u32::from_str_radix(checksum, 16).ok()?;
    if checksum != crc32fast::hash(text.as_bytes()) {
        return None;
    }
    serde_json::from_str(text).ok()
}

/// Reads a file of records; damaged records are skipped and reported on standard error.
///
/// # Errors
/// The file cannot be read, or its header is not that of a file of records of this version.
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
        "{}:{line}: not whole; that run is done again",
        path.display()
    );
}

impl RecordFile {
    /// Opens a file for more records of this scenario, or creates it.
    ///
    /// # Errors
    /// The file cannot be read or written, or holds records of another scenario.
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

    /// Whether the run of this point and seed is recorded.
    pub fn has(&self, point: usize, seed: u64) -> bool {
        self.records
            .iter()
            .any(|record| record.point == point && record.seed == seed)
    }

    /// Appends a record; it is in the file when this returns.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn add(&mut self, record: Record) -> io::Result<()> {
        self.file.write_all(encode(&record)?.as_bytes())?;
        self.records.push(record);
        Ok(())
    }
}

/// Writes the file anew without its damaged lines. It is renamed into place, so that a crash never
/// leaves less than what was there.
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
