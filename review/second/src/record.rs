//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes the record. All clones write the same file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the file that `RECORD` names, `record.txt` if it is not set.
    pub fn create() -> std::io::Result<Record> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
        })
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line with another time.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = self.seconds(at);
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.4} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.4} {text}", self.seconds(Instant::now()));
        let _ = self.file.lock().unwrap().flush();
    }

    /// The time since the start of the case, in seconds.
    pub fn seconds(&self, at: Instant) -> f64 {
        match at.checked_duration_since(self.start) {
            Some(since) => since.as_secs_f64(),
            None => -self.start.duration_since(at).as_secs_f64(),
        }
    }

    /// Sleeps until this time after `from`.
    pub fn sleep_until(&self, from: Instant, after: Duration) {
        let at = from + after;
        if let Some(left) = at.checked_duration_since(Instant::now()) {
            std::thread::sleep(left);
        }
    }
}
