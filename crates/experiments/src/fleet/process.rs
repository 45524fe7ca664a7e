//! What the kernel says of a process and of the machine, from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

/// A tick of `/proc/PID/stat`, on every Linux.
const TICK: Duration = Duration::from_millis(10);

/// What a process has taken so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Memory in bytes: now, and at most so far.
    pub resident: u64,
    pub peak: u64,
    /// Processor time of all its threads, user and system.
    pub ran: Duration,
    /// How long its threads were ready and had no core: high where the machine is busy.
    pub waited: Duration,
}

/// Reads it; an error where the process is gone.
pub fn usage(id: u32) -> io::Result<Usage> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let bytes = |key: &str| {
        kilobytes(&status, key)
            .ok_or(io::ErrorKind::InvalidData)
            .map(|kb| kb * 1024)
    };
    let (resident, peak) = (bytes("VmRSS:")?, bytes("VmHWM:")?);
    let (mut ran, mut waited) = (Duration::ZERO, Duration::ZERO);
    // The same clock as utime and stime of `stat`, in nanoseconds in the place of ticks.
    for task in fs::read_dir(format!("/proc/{id}/task"))? {
        let Ok(text) = fs::read_to_string(task?.path().join("schedstat")) else {
            continue;
        };
        let mut numbers = text
            .split_whitespace()
            .filter_map(|n| n.parse().ok())
            .map(Duration::from_nanos);
        ran += numbers.next().unwrap_or_default();
        waited += numbers.next().unwrap_or_default();
    }
    if ran.is_zero() {
        ran = ticks(&fs::read_to_string(format!("/proc/{id}/stat"))?)
            .ok_or(io::ErrorKind::InvalidData)?;
    }
    Ok(Usage {
        resident,
        peak,
        ran,
        waited,
    })
}

/// utime and stime of `/proc/PID/stat`, behind the name, which may hold anything.
pub fn ticks(stat: &str) -> Option<Duration> {
    let (_, rest) = stat.rsplit_once(") ")?;
    let mut fields = rest.split(' ').skip(11).map(str::parse::<u32>);
    let (user, system) = (fields.next()?.ok()?, fields.next()?.ok()?);
    Some(TICK * (user + system))
}

fn kilobytes(text: &str, key: &str) -> Option<u64> {
    let line = text.lines().find(|l| l.starts_with(key))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// What there is of the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    /// Bytes that are free.
    pub memory: u64,
    /// Descriptors that this process may hold.
    pub descriptors: u64,
    /// Tasks that ran or waited for a core, in the mean of the last minute.
    pub load: f64,
    /// Cores of the machine, and those that this process may use.
    pub cores: usize,
    pub own_cores: usize,
}

impl Machine {
    pub fn now() -> io::Result<Machine> {
        let memory = kilobytes(&fs::read_to_string("/proc/meminfo")?, "MemAvailable:");
        let limits = fs::read_to_string("/proc/self/limits")?;
        let files = limits
            .lines()
            .find_map(|l| l.strip_prefix("Max open files"));
        let most = files
            .and_then(|l| l.split_whitespace().next())
            .unwrap_or_default();
        let load = fs::read_to_string("/proc/loadavg")?;
        let cores = fs::read_to_string("/proc/cpuinfo")?
            .lines()
            .filter(|l| l.starts_with("processor"))
            .count();
        Ok(Machine {
            memory: memory.ok_or(io::ErrorKind::InvalidData)? * 1024,
            descriptors: if most == "unlimited" {
                u64::MAX
            } else {
                most.parse().unwrap_or(1024)
            },
            load: load
                .split(' ')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(0.0),
            cores: cores.max(1),
            own_cores: std::thread::available_parallelism().map_or(1, |n| n.get()),
        })
    }
}
