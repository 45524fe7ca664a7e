//! The real agent, started with the command of the deploy file.

use crate::client::{Answer, Client};
use crate::record::Record;
use crate::Process;
use std::collections::hash_map::RandomState;
use std::fs::File;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// A running agent. Dropping it ends the process.
pub struct Agent {
    child: Process,
    pub address: SocketAddr,
    pub started_at: Instant,
    record: Record,
}

/// A seed that is new with each start of an agent.
fn new_seed() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}

/// What an agent is told.
pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub platform: SocketAddr,
    /// The last copy of the list, in discovery's form.
    pub known: String,
    /// The settings, as JSON.
    pub settings: String,
    /// The limit on descriptors.
    pub sockets: u32,
}

impl Agent {
    /// Starts the agent with the command in `RUN`, in the folder `ROOT`, with its files in `WORK`.
    pub fn start(record: &Record, configuration: &Configuration) -> io::Result<Agent> {
        let variable = |name: &str| std::env::var(name).map_err(io::Error::other);
        let run = variable("RUN")?;
        let root = variable("ROOT")?;
        let work = PathBuf::from(variable("WORK")?);
        let Configuration {
            name,
            listen,
            discovery,
            platform,
            known,
            settings,
            sockets,
        } = configuration;
        let seed = new_seed();
        let json = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{sockets}}},\
             \"deployer\":{{\"address\":\"{platform}\",\"news\":{}}},\"known\":{known},\"settings\":{settings}}}",
            crate::platform::NEWS
        );
        let path = work.join(format!("{name}.json"));
        std::fs::write(&path, json)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(work.join(format!("{name}.log")))?;
        let started_at = Instant::now();
        let child = Process::start(
            Command::new("/bin/sh")
                .args(["-c", &run])
                .current_dir(root)
                .env("PROXY_NAME", name)
                .env("PROXY_LISTEN", listen.to_string())
                .env("PROXY_DISCOVERY", discovery.to_string())
                .env("PROXY_CONFIG", &path)
                .env("TMPDIR", &work)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log),
        )?;
        record.line_at(started_at, &format!("agent {name} is started"));
        Ok(Agent {
            child,
            address: *listen,
            started_at,
            record: record.clone(),
        })
    }

    /// Waits until the agent answers an empty query, as the front does. Returns how long it took.
    pub fn wait_until_ready(&mut self) -> io::Result<Duration> {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(20) {
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!("the agent ended: {status}")));
            }
            if let Ok(mut client) = Client::connect(self.address) {
                client.send("")?;
                if matches!(client.read_answer(), Ok(Answer::Other)) {
                    self.record.say("the agent is ready");
                    return Ok(self.started_at.elapsed());
                }
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(io::Error::other("the agent is not ready"))
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        self.record.say(&format!("the agent gets SIG{name}"));
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("/bin/sh").args(["-c", &command]).status()?;
        status
            .success()
            .then_some(())
            .ok_or_else(|| io::Error::other("kill failed"))
    }

    /// Kills the agent with SIGKILL and waits for its end. Returns false if it had ended before.
    pub fn kill(&mut self) -> io::Result<bool> {
        let was_running = self.child.try_wait()?.is_none();
        if was_running {
            self.child.kill()?;
            self.record.say("the agent gets SIGKILL");
        }
        self.child.wait()?;
        Ok(was_running)
    }
}
