//! Stand-ins for clients, appliances, discovery and the platform, as the users' pages describe them, and the start of
//! the real agent. Standard library only; every address is a loopback address.

pub mod agent;
pub mod appliance;
pub mod client;
pub mod deployment;
pub mod discovery;
pub mod load;
pub mod pg;
pub mod platform;
pub mod record;
pub mod settings;

use std::net::{SocketAddr, TcpListener};
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Returns this number of milliseconds.
pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Whether the disruption of the case is to be played: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns a free loopback address.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The processes that the case has started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// A case that takes longer than this could not run.
const LONGEST_CASE: Duration = Duration::from_secs(110);

/// A process that the case started. Dropping it kills the process.
pub struct Process(Child);

impl Process {
    /// Starts a process.
    pub fn start(command: &mut Command) -> std::io::Result<Process> {
        let child = command.spawn()?;
        change_started(|started| started.push(child.id()));
        Ok(Process(child))
    }
}

impl Deref for Process {
    type Target = Child;

    fn deref(&self) -> &Child {
        &self.0
    }
}

impl DerefMut for Process {
    fn deref_mut(&mut self) -> &mut Child {
        &mut self.0
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        change_started(|started| started.retain(|id| *id != self.0.id()));
    }
}

/// Changes the list of running processes, and writes it to the file `pids` in `WORK`, by which the script ends them if
/// it is ended itself.
fn change_started(change: impl FnOnce(&mut Vec<u32>)) {
    let mut started = STARTED.lock().unwrap();
    change(&mut started);
    if let Ok(folder) = std::env::var("WORK") {
        let lines: String = started.iter().map(|id| format!("{id}\n")).collect();
        let _ = std::fs::write(PathBuf::from(folder).join("pids"), lines);
    }
}

/// Runs a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn run_case(case: impl FnOnce() -> Result<bool, Box<dyn std::error::Error>>) -> ! {
    thread::spawn(|| {
        thread::sleep(LONGEST_CASE);
        eprintln!("the case took too long");
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("/bin/sh")
                .args(["-c", &format!("kill -KILL {id}")])
                .status();
        }
        std::process::exit(2);
    });
    let code = match case() {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    };
    std::process::exit(code)
}
