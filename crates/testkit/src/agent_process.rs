//! An agent as a process, with a configuration of the form that the platform gives.

use crate::runtime;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;
use tempfile::TempDir;
use tulipwall::{DeduplicationScope, Idempotency};
use tulipwall_client_policy::ClientConfig;

/// A class of the settings.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub name: String,
    /// `repeatable`, `by_key` or `once`, with the group of `by_key`: `all`, `zone` or `cell`.
    pub idempotency: &'static str,
    pub group: &'static str,
    pub latency_objective_ms: f64,
    pub points: f64,
}

impl RequestClass {
    pub fn new(name: &str, idempotency: &'static str, points: f64) -> RequestClass {
        RequestClass {
            name: name.to_owned(),
            idempotency,
            group: "all",
            latency_objective_ms: 400.0,
            points,
        }
    }
}

/// What a client of agents that serve views, messages (`send`) and payments sets.
pub fn service(agents: Vec<SocketAddr>) -> ClientConfig {
    let class = |name: &str, idempotency, priority_weight| {
        let latency_objective = Duration::from_millis(400);
        tulipwall_client_policy::RequestClass {
            name: name.into(),
            idempotency,
            latency_objective,
            priority_weight,
        }
    };
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: Duration::from_secs(5),
    };
    let classes = vec![
        class("view", Idempotency::Idempotent, 3.0),
        class("send", keyed, 3.0),
        class("payment", Idempotency::NonIdempotent, 9.0),
    ];
    ClientConfig::new(agents, classes)
}

/// The classes of that service, as settings name them.
pub fn classes() -> Vec<RequestClass> {
    let class = RequestClass::new;
    vec![
        class("view", "repeatable", 3.0),
        class("send", "by_key", 3.0),
        class("payment", "once", 9.0),
    ]
}

/// The settings of a deployment, as an agent in `zone` gets them.
pub fn settings(zones: &[&str], zone: &str, agents: u32, classes: &[RequestClass]) -> Value {
    let class = |l: &RequestClass| {
        json!({"name": l.name, "aim-ms": l.latency_objective_ms, "give-up-ms": 1500.0, "idempotency": l.idempotency,
            "dedup-scope": l.group, "window-ms": 5000.0, "points": l.points})
    };
    let classes: Vec<Value> = classes.iter().map(class).collect();
    json!({"zones": zones, "zone": zone, "classes": classes,
        "tenants": [], "discovery": "push", "granularity-ms": 1.0, "instances": agents,
        "limits": {"cancel": true, "second-copies": true, "try-limit": 5, "dial-timeout-ms": 250.0,
            "conn-idle-ms": 30000.0, "retry-after": true, "max-retry-after-ms": 2000.0},
        "rules": {"cold-share": 0.3, "cold-ms": 3000.0, "fall-ms": 1000.0}, "prices": {},
        "domain": {"most-shares": [0.2, 1.0], "cap-scope": "all", "decided-by": "timer", "swap": "beside",
            "spare-tries": 2.0, "vote-ttl-ms": 10000.0, "vote-wait-ms": 800.0}})
}

/// A loopback address that nobody else is given: a port that was free a moment ago may be another's
/// by now, and a client of the one would speak to the other.
pub fn free_address() -> SocketAddr {
    static GIVEN: AtomicU16 = AtomicU16::new(0);
    let (process, given) = (std::process::id(), GIVEN.fetch_add(1, Ordering::Relaxed));
    let [_, _, high, low] = process.to_be_bytes();
    let host = [127, 64 + (high & 63), low, 1 + (given % 254) as u8];
    (host, 20_000 + given / 254).into()
}

/// The configuration of one agent, that listens on an address of its own.
pub fn configuration(
    name: &str,
    discovery: SocketAddr,
    platform: SocketAddr,
    rollout_status: Value,
    known: Value,
    settings: Value,
) -> io::Result<Value> {
    Ok(
        json!({"name": name, "listen": free_address().to_string(), "discovery": discovery.to_string(), "seed": "8c1f",
        "limits": {"sockets": 1024}, "known": known, "settings": settings,
        "deployer": {"address": platform.to_string(), "news": rollout_status}}),
    )
}

/// A process that is killed when this is dropped; its files go with it.
pub struct AgentProcess {
    child: Child,
    pub configuration: Value,
    folder: TempDir,
}

impl AgentProcess {
    /// Starts an agent with this configuration and further arguments, its log in [`Program::log`].
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

    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or(io::ErrorKind::InvalidInput)?;
        Ok(kill_process(pid, signal)?)
    }

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
