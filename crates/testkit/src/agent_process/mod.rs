//! An agent as a process, with a configuration of the form that the platform gives.

mod configuration;

pub use configuration::{classes, client_config, configuration, settings, RequestClass};

use crate::runtime;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use tempfile::TempDir;

/// Hosts of one loopback network of 256 that a listener may have.
const HOSTS: u16 = 254;
/// The lowest port that is given out.
const FIRST_PORT: u16 = 20_000;

/// A loopback address that nobody else is given: a port that was free a moment ago may be another's
/// by now, and a client of the one would speak to the other.
pub fn free_address() -> SocketAddr {
    static GIVEN: AtomicU16 = AtomicU16::new(0);
    let given = GIVEN.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // A host by process, and there by number, so that processes do not meet.
    let host = [127, 64 + (high & 63), low, 1 + (given % HOSTS) as u8];
    (host, FIRST_PORT + given / HOSTS).into()
}

/// A process that is killed when this is dropped; its files go with it.
pub struct AgentProcess {
    child: Child,
    /// The configuration that it was started with.
    pub configuration: Value,
    folder: TempDir,
}

impl AgentProcess {
    /// Starts an agent with this configuration and further arguments, its log in
    /// [`AgentProcess::log`].
    pub fn start(
        binary: impl Into<OsString>,
        configuration: Value,
        arguments: &[&str],
    ) -> io::Result<AgentProcess> {
        let folder = tempfile::tempdir()?;
        let path = folder.path().join("config.json");
        std::fs::write(&path, configuration.to_string())?;
        let log = File::create(folder.path().join("log"))?;
        let child = Command::new(binary.into())
            .args(arguments)
            .env("PROXY_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(AgentProcess {
            child,
            configuration,
            folder,
        })
    }

    /// Where clients connect.
    pub fn address(&self) -> io::Result<SocketAddr> {
        let text = self.configuration["listen"].as_str().unwrap_or_default();
        text.parse().map_err(io::Error::other)
    }

    /// A folder of its own.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder().join("log")).unwrap_or_default()
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or(io::ErrorKind::InvalidInput)?;
        Ok(kill_process(pid, signal)?)
    }

    /// Asks it to shut down.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Replaces the configuration's text and says so.
    pub fn reload(&self, text: &str) -> io::Result<()> {
        // Whole or not at all, as a platform replaces it: the agent may just be reading the one
        // before.
        let next = self.folder().join("config.json.next");
        std::fs::write(&next, text)?;
        std::fs::rename(next, self.folder().join("config.json"))?;
        self.signal(Signal::HUP)
    }

    /// Its process number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Stops it where it stands, or lets it go on: an agent that stalls. The signal takes a moment
    /// on a busy machine: that it stands is waited for.
    pub fn set_stalled(&self, stalls: bool) -> io::Result<()> {
        self.signal(if stalls { Signal::STOP } else { Signal::CONT })?;
        let stands = || {
            let stat =
                std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
            stat.rsplit_once(") ")
                .is_some_and(|(_, rest)| rest.starts_with('T'))
        };
        match runtime::wait_until(|| stands() == stalls) {
            true => Ok(()),
            false => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Waits for its end; whether it ended well.
    pub fn wait_for_success(&mut self) -> io::Result<bool> {
        Ok(self.child.wait()?.success())
    }
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
