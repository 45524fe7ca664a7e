//! Starts the agent as the deploy file says, in a process of its own.

use serde_json::Value;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A running agent. Dropping it kills the process and removes its folder.
pub struct Agent {
    child: Child,
    pub address: SocketAddr,
    pub folder: PathBuf,
}

/// The root of the repository, from the variable ROOT that the scripts set.
pub fn root() -> PathBuf {
    std::env::var_os("ROOT").map_or_else(|| PathBuf::from("."), PathBuf::from)
}

/// A loopback address whose port is free now.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The command under `run` in the deploy file.
fn run_command(root: &Path) -> io::Result<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.split('"').next());
    command
        .map(str::to_owned)
        .ok_or_else(|| io::Error::other("no `run` in deploy/balancer.toml"))
}

impl Agent {
    /// Starts an agent with this configuration and waits until it answers an empty query.
    pub fn start(configuration: &Value) -> io::Result<Agent> {
        let root = root();
        let text = configuration["listen"].as_str().unwrap_or_default();
        let address: SocketAddr = text.parse().map_err(io::Error::other)?;
        let folder = std::env::temp_dir().join(format!(
            "tulipwall-review-{}-{}",
            std::process::id(),
            address.port()
        ));
        std::fs::create_dir_all(&folder)?;
        let path = folder.join("config.json");
        std::fs::write(&path, configuration.to_string())?;
        let log = File::create(folder.join("log"))?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(&root)?)
            .current_dir(&root)
            .env("PROXY_CONFIG", &path)
            .env(
                "PROXY_NAME",
                configuration["name"].as_str().unwrap_or_default(),
            )
            .env("PROXY_LISTEN", text)
            .env(
                "PROXY_DISCOVERY",
                configuration["discovery"].as_str().unwrap_or_default(),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        note_process(child.id());
        let agent = Agent {
            child,
            address,
            folder,
        };
        agent.wait_until_ready()?;
        Ok(agent)
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs(15);
        loop {
            match self.ask_empty_query() {
                Ok(()) => return Ok(()),
                Err(error) if Instant::now() >= end => return Err(error),
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    fn ask_empty_query(&self) -> io::Result<()> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        crate::wire::write(
            &mut stream,
            &[crate::wire::startup(), crate::wire::query("")].concat(),
        )?;
        while crate::wire::read_message(&mut stream)?.0 != b'I' {}
        Ok(())
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// The agent's log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.id().to_string())
            .status()?;
        status
            .success()
            .then_some(())
            .ok_or_else(|| io::Error::other("kill failed"))
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget_process(self.id());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Notes a process that was started, as an empty file with its id in the folder that PROCESSES names. The
/// script ends what is still noted there when it ends itself, however that comes about.
pub fn note_process(id: u32) {
    if let Some(folder) = std::env::var_os("PROCESSES") {
        let _ = File::create(PathBuf::from(folder).join(id.to_string()));
    }
}

/// Forgets a process that has ended.
pub fn forget_process(id: u32) {
    if let Some(folder) = std::env::var_os("PROCESSES") {
        let _ = std::fs::remove_file(PathBuf::from(folder).join(id.to_string()));
    }
}
