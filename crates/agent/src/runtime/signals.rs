//! The signals that the process handles, recorded in flags for polling.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Flags for received signals. They are registered before anything else is done, as each signal
/// would end the program otherwise.
pub struct Signals {
    terminate: Arc<AtomicBool>,
    print_counters: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Registers the signal handlers.
    pub fn new() -> io::Result<Signals> {
        Ok(Signals {
            terminate: register(&[SIGTERM, SIGINT])?,
            print_counters: register(&[SIGUSR1])?,
            reload: register(&[SIGHUP])?,
        })
    }

    /// Whether SIGTERM or SIGINT was received.
    pub fn is_termination_requested(&self) -> bool {
        self.terminate.load(Ordering::Relaxed)
    }

    /// Whether SIGUSR1 was received since the last call.
    pub fn take_counters_request(&self) -> bool {
        self.print_counters.swap(false, Ordering::Relaxed)
    }

    /// Whether SIGHUP was received since the last call.
    pub fn take_reload_request(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}

fn register(signals: &[i32]) -> io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in signals {
        signal_hook::flag::register(*signal, flag.clone())?;
    }
    Ok(flag)
}
