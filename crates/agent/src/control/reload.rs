//! Configuration reload. The files are read on a thread of their own, as large settings take a
//! while and requests must not wait for them; [`Agent::reload`] then applies the configuration.

use crate::agent::Agent;
use crate::lifecycle::start::{ConfigPaths, StartupConfig, StartupError};
use std::thread::JoinHandle;
use std::time::Duration;

type ReadOutcome = Result<StartupConfig, Vec<StartupError>>;

/// A reload whose files are being read.
pub struct PendingReload {
    reader: Reader,
    /// When the reload was requested, on the agent's clock.
    requested_at: Duration,
}

enum Reader {
    Thread(JoinHandle<ReadOutcome>),
    /// No thread was available, so the files were read in place.
    Finished(Box<ReadOutcome>),
}

impl PendingReload {
    /// Begins to read the files on a new thread, for a reload that was requested at `requested_at`.
    /// If no thread is available, the event loop blocks while they are read.
    pub fn begin(paths: &ConfigPaths, requested_at: Duration) -> PendingReload {
        let thread_paths = paths.clone();
        let thread = std::thread::Builder::new()
            .name("settings".into())
            .spawn(move || StartupConfig::read(&thread_paths));
        let reader = match thread {
            Ok(thread) => Reader::Thread(thread),
            Err(_) => Reader::Finished(Box::new(StartupConfig::read(paths))),
        };
        PendingReload {
            reader,
            requested_at,
        }
    }

    /// Whether all files were read.
    pub fn is_finished(&self) -> bool {
        match &self.reader {
            Reader::Thread(thread) => thread.is_finished(),
            Reader::Finished(_) => true,
        }
    }

    /// Applies the configuration. If it has errors, logs each of them and keeps the previous one.
    pub fn apply(self, agent: &Agent) {
        let outcome = match self.reader {
            Reader::Thread(thread) => thread
                .join()
                .unwrap_or_else(|_| Err(vec![StartupError::ReaderPanicked])),
            Reader::Finished(outcome) => *outcome,
        };
        match outcome {
            Ok(config) => agent.reload(config, self.requested_at),
            Err(errors) => {
                for error in &errors {
                    log::error!("{error}; the configuration read before stays");
                }
            }
        }
    }
}
