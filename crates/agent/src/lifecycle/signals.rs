//! What the operator asks for by signals: the counters, a new configuration, the end.

use super::phase::{Phase, DRAIN_TIME, FINAL_RESPONSE_TIME, MIN_TERMINATION_TIME};
use super::start::{ConfigPaths, StartupConfig, StartupError};
use crate::agent::Agent;
use crate::runtime::reactor::Timer;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// How often it is looked whether signals have come.
const LOOK: Duration = Duration::from_millis(20);

/// Signals that have come. Registered before anything else is done: each would end the program.
pub struct Signals {
    term: Arc<AtomicBool>,
    usr1: Arc<AtomicBool>,
    hup: Arc<AtomicBool>,
}

impl Signals {
    pub fn new() -> io::Result<Signals> {
        let flag = |signals: &[i32]| {
            let flag = Arc::new(AtomicBool::new(false));
            let registered = signals
                .iter()
                .map(|s| signal_hook::flag::register(*s, flag.clone()));
            registered.collect::<io::Result<Vec<_>>>().map(|_| flag)
        };
        Ok(Signals {
            term: flag(&[SIGTERM, SIGINT])?,
            usr1: flag(&[SIGUSR1])?,
            hup: flag(&[SIGHUP])?,
        })
    }
}

/// A configuration that is being read, beside all requests: large settings take a while.
struct Reading(Result<JoinHandle<Read>, Box<Read>>);

type Read = Result<StartupConfig, Vec<StartupError>>;

impl Reading {
    fn begin(files: &ConfigPaths) -> Reading {
        let own = files.clone();
        let begun = std::thread::Builder::new()
            .name("settings".into())
            .spawn(move || StartupConfig::read(&own));
        // Without a thread of its own all else waits for it.
        Reading(begun.map_err(|_| Box::new(StartupConfig::read(files))))
    }

    fn is_over(&self) -> bool {
        self.0.as_ref().map_or(true, JoinHandle::is_finished)
    }

    fn end(self) -> Read {
        match self.0 {
            Ok(thread) => thread
                .join()
                .unwrap_or_else(|_| Err(vec![StartupError::ReaderPanicked])),
            Err(read) => *read,
        }
    }
}

/// SIGUSR1 prints the counters, SIGHUP reads the configuration again, also on the way out; SIGTERM
/// takes the program through its last phases.
pub async fn obey(agent: &Agent, signals: Signals, files: &ConfigPaths) {
    let (mut asked, mut reading) = (None, None::<Reading>);
    loop {
        if signals.usr1.swap(false, Ordering::Relaxed) {
            log::info!("{}; {}", agent.counters, agent.retained_summary());
        }
        if reading.is_none() && signals.hup.swap(false, Ordering::Relaxed) {
            reading = Some(Reading::begin(files));
        }
        if let Some(read) = reading.take_if(|r| r.is_over()) {
            match read.end() {
                Ok(start) => agent.reload(start),
                Err(faults) => faults
                    .iter()
                    .for_each(|fault| log::error!("{fault}; the configuration read before stays")),
            }
        }
        let now = agent.clock.now();
        if asked.is_none() && signals.term.load(Ordering::Relaxed) {
            asked = Some(now);
            agent.lifecycle.advance_to(Phase::Draining);
        }
        if let Some(closes) = asked.map(|at| at + DRAIN_TIME).filter(|at| now >= *at) {
            let last = (closes
                + agent
                    .service_config()
                    .longest_timeout
                    .max(MIN_TERMINATION_TIME))
            .max(agent.config.earlier_requests_end());
            agent.lifecycle.begin_termination(last);
            if agent.lifecycle.is_listener_closed() && agent.limits.connections.is_without_clients()
                || now >= last + FINAL_RESPONSE_TIME
            {
                return agent.lifecycle.advance_to(Phase::Stopped);
            }
        }
        Timer::after(if asked.is_some() { LOOK / 4 } else { LOOK }).await;
    }
}
