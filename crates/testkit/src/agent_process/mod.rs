//! Runs an agent as a child process, with a configuration in the platform's format.

mod configuration;

pub use configuration::{classes, client_config, configuration, settings, RequestClass};

use crate::runtime;
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use serde_json::Value;
use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use tempfile::TempDir;

/// Number of usable host addresses in one loopback network of 256 addresses.
const HOSTS: u16 = 254;
/// The lowest port that [`free_address`] returns.
const FIRST_PORT: u16 = 20_000;

/// Returns a loopback address that no other caller gets.
///
/// Probing for a free port is not enough: another listener can bind the port before this one does,
/// and a client of one would then connect to the other.
pub fn free_address() -> SocketAddr {
    static ISSUED: AtomicU16 = AtomicU16::new(0);
    let issued = ISSUED.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // The process id selects the network and the counter the host, so that processes do not
    // collide.
    let host = [127, 64 + (high & 63), low, 1 + (issued % HOSTS) as u8];
    (host, FIRST_PORT + issued / HOSTS).into()
}

/// An agent that runs as a child process. Dropping it kills the process and deletes its files.
pub struct AgentProcess {
    child: Child,
    /// The configuration that the agent was started with.
    pub configuration: Value,
    folder: TempDir,
}

impl AgentProcess {
    /// Starts the agent `binary` with this configuration and additional command-line arguments.
    ///
    /// Its standard error goes to a file that [`AgentProcess::log`] reads.
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

    /// Returns the address on which the agent accepts clients.
    pub fn address(&self) -> io::Result<SocketAddr> {
        let text = self.configuration["listen"].as_str().unwrap_or_default();
        text.parse().map_err(io::Error::other)
    }

    /// Returns the temporary directory that holds the agent's configuration and log.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the log so far; an empty string if it cannot be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder().join("log")).unwrap_or_default()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(self.pid()?, signal)?)
    }

    /// Limits the number of descriptors that the system gives to the process from now on.
    pub fn limit_descriptors(&self, count: u64) -> io::Result<()> {
        let limit = Rlimit {
            current: Some(count),
            maximum: Some(count),
        };
        prlimit(Some(self.pid()?), Resource::Nofile, limit)?;
        Ok(())
    }

    fn pid(&self) -> io::Result<Pid> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        pid.ok_or_else(|| io::ErrorKind::InvalidInput.into())
    }

    /// Requests a shutdown with SIGTERM.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Replaces the configuration file with `text` and requests a reload with SIGHUP.
    pub fn reload(&self, text: &str) -> io::Result<()> {
        // The rename is atomic, like the platform's own update: the agent may be reading the old
        // file at this moment.
        let next = self.folder().join("config.json.next");
        std::fs::write(&next, text)?;
        std::fs::rename(next, self.folder().join("config.json"))?;
        self.signal(Signal::HUP)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns a size from the process's status file in KiB, such as `VmHWM`, its peak resident
    /// size.
    pub fn memory_kib(&self, field: &str) -> io::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let size = status.lines().find_map(|line| {
            let value = line.strip_prefix(field)?.strip_prefix(':')?;
            value.trim().strip_suffix(" kB")?.parse().ok()
        });
        size.ok_or_else(|| io::Error::other(format!("no size {field} in the status file")))
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_none())
    }

    /// Suspends the process with SIGSTOP, or resumes it with SIGCONT, to simulate a stall.
    ///
    /// Waits until the process has changed state, because the signal takes effect with a delay on a
    /// busy machine.
    pub fn set_stalled(&self, stalled: bool) -> io::Result<()> {
        self.signal(if stalled { Signal::STOP } else { Signal::CONT })?;
        let is_stopped = || {
            let stat =
                std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
            stat.rsplit_once(") ")
                .is_some_and(|(_, rest)| rest.starts_with('T'))
        };
        match runtime::wait_until(|| is_stopped() == stalled) {
            true => Ok(()),
            false => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Waits for the process to exit and returns whether its exit status was success.
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
