//! Configuration reload: the files are read beside all requests, as large settings take a while,
//! and then put in force by [`Agent::reload`].

use crate::agent::Agent;
use crate::lifecycle::start::{ConfigPaths, StartupConfig, StartupError};
use std::thread::JoinHandle;

type ReadOutcome = Result<StartupConfig, Vec<StartupError>>;

/// A configuration that is being read.
pub struct PendingReload(Reader);

enum Reader {
    Thread(JoinHandle<ReadOutcome>),
    /// There was no thread to be had.
    Finished(Box<ReadOutcome>),
}

impl PendingReload {
    /// Begins to read the files; without a thread of its own all else waits for it.
    pub fn begin(paths: &ConfigPaths) -> PendingReload {
        let thread_paths = paths.clone();
        let thread = std::thread::Builder::new()
            .name("settings".into())
            .spawn(move || StartupConfig::read(&thread_paths));
        PendingReload(match thread {
            Ok(thread) => Reader::Thread(thread),
            Err(_) => Reader::Finished(Box::new(StartupConfig::read(paths))),
        })
    }

    /// Whether the files were read.
    pub fn is_finished(&self) -> bool {
        match &self.0 {
            Reader::Thread(thread) => thread.is_finished(),
            Reader::Finished(_) => true,
        }
    }

    /// Puts the configuration in force, or names every fault in it and keeps the one before.
    pub fn apply(self, agent: &Agent) {
        let outcome = match self.0 {
            Reader::Thread(thread) => thread
                .join()
                .unwrap_or_else(|_| Err(vec![StartupError::ReaderPanicked])),
            Reader::Finished(outcome) => *outcome,
        };
        match outcome {
            Ok(config) => agent.reload(config),
            Err(errors) => {
                for error in &errors {
                    log::error!("{error}; the configuration read before stays");
                }
            }
        }
    }
}
