//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines with the time since the start of the scenario to a file.
#[derive(Clone)]
pub struct Recorder {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Recorder {
    pub fn create(path: &str) -> std::io::Result<Recorder> {
        Ok(Recorder {
            started: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
        })
    }

    /// The time since the start of the scenario.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line to the record.
    pub fn line(&self, text: &str) {
        let now = self.now().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{now:9.4} {text}");
            let _ = file.flush();
        }
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
