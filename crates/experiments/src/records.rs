//! Results: a versioned file of records, a line each with its checksum. A torn last line is passed
//! over, and a run that was broken off goes on behind what is whole.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

const VERSION: u32 = 1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub version: u32,
    pub name: String,
    /// Of the scenario's text: records of another are not mixed in.
    pub scenario: u32,
}

/// One run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub point: usize,
    pub values: Vec<(String, String)>,
    pub seed: u64,
    pub figures: BTreeMap<String, f64>,
    /// Times of satisfied requests: microseconds, and how many.
    pub delays_us: Vec<(u64, u64)>,
    /// Of all decisions: equal runs have equal ones.
    pub digest: u64,
    /// The first broken rules.
    pub broken: Vec<String>,
}

pub struct Records {
    pub head: Head,
    pub all: Vec<Record>,
    file: File,
}

impl Head {
    pub fn of(name: &str, scenario: &str) -> Head {
        Head {
            version: VERSION,
            name: name.to_owned(),
            scenario: crc32fast::hash(scenario.as_bytes()),
        }
    }
}

fn line(value: &impl Serialize) -> io::Result<String> {
    let text = serde_json::to_string(value).map_err(io::Error::other)?;
    Ok(format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes())))
}

fn whole(line: &str) -> Option<&str> {
    let (sum, text) = line.split_once(' ')?;
    (u32::from_str_radix(sum, 16).ok()? == crc32fast::hash(text.as_bytes())).then_some(text)
}

/// Reads what is whole; what is wrong with the file otherwise.
pub fn read(path: &Path) -> Result<(Head, Vec<Record>), String> {
    let file = File::open(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut lines = BufReader::new(file).lines();
    let wrong = |n: usize, what: &str| format!("{}:{n}: {what}", path.display());
    let first = lines
        .next()
        .and_then(Result::ok)
        .ok_or_else(|| wrong(1, "no head"))?;
    let head = whole(&first).and_then(|t| serde_json::from_str::<Head>(t).ok());
    let head = head.ok_or_else(|| wrong(1, "no head of a file of records"))?;
    if head.version != VERSION {
        return Err(wrong(
            1,
            &format!(
                "version {}, this program reads version {VERSION}",
                head.version
            ),
        ));
    }
    let mut all = Vec::new();
    for (n, text) in lines.enumerate() {
        let Some(record) = text
            .ok()
            .and_then(|t| whole(&t).and_then(|t| serde_json::from_str(t).ok()))
        else {
            // Torn or flipped: that run is done again.
            log_torn(path, n + 2);
            continue;
        };
        all.push(record);
    }
    Ok((head, all))
}

fn log_torn(path: &Path, line: usize) {
    eprintln!(
        "{}:{line}: not whole; that run is done again",
        path.display()
    );
}

impl Records {
    /// Opens a file for more records of this scenario, or begins it. One of another scenario is
    /// refused.
    pub fn open(path: &Path, head: Head) -> Result<Records, String> {
        let broken = |e: io::Error| format!("{}: {e}", path.display());
        let (old, all) = if path.exists() {
            read(path).map(|(h, a)| (Some(h), a))?
        } else {
            (None, Vec::new())
        };
        if old.as_ref().is_some_and(|o| *o != head) {
            return Err(format!(
                "{}: its records are of another scenario, or of another version of it",
                path.display()
            ));
        }
        // Written anew without what was torn, and renamed: never less than what was whole.
        let next = path.with_extension("next");
        let mut file = File::create(&next).map_err(broken)?;
        let lines = std::iter::once(line(&head)).chain(all.iter().map(line));
        for text in lines {
            let text = text.map_err(broken)?;
            file.write_all(text.as_bytes()).map_err(broken)?;
        }
        file.sync_all().map_err(broken)?;
        std::fs::rename(&next, path).map_err(broken)?;
        let file = OpenOptions::new().append(true).open(path).map_err(broken)?;
        Ok(Records { head, all, file })
    }

    pub fn has(&self, point: usize, seed: u64) -> bool {
        self.all.iter().any(|r| (r.point, r.seed) == (point, seed))
    }

    /// Adds a record; it is in the file when this returns.
    pub fn add(&mut self, record: Record) -> io::Result<()> {
        self.file.write_all(line(&record)?.as_bytes())?;
        self.all.push(record);
        Ok(())
    }
}
