//! Resource usage of a process and resources of the machine, as the kernel reports them in `/proc`.

use crate::procfs::kilobytes;
use std::fs;
use std::io;
use std::time::Duration;

/// Length of a clock tick in `/proc/PID/stat`, which is the same on every Linux.
const TICK: Duration = Duration::from_millis(10);
/// Number of fields of `/proc/PID/stat` between the name and utime.
const FIELDS_BEFORE_UTIME: usize = 11;
/// Descriptors that a process may hold if the kernel's limit cannot be read.
const DEFAULT_DESCRIPTORS: u64 = 1024;

/// Resources that a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Current resident memory, in bytes.
    pub resident: u64,
    /// Highest resident memory so far, in bytes.
    pub peak: u64,
    /// Processor time of all its threads, user and system.
    pub cpu_time: Duration,
    /// How long its threads were runnable without a core; high if the machine is busy.
    pub waited: Duration,
}

/// Reads the resource usage of the process with this id.
///
/// # Errors
/// Returns an error if the process does not exist any more.
pub fn usage(id: u32) -> io::Result<Usage> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let bytes = |key: &str| {
        let found = kilobytes(&status, key).ok_or(io::ErrorKind::InvalidData);
        found.map(|kilobytes| kilobytes * 1024)
    };
    let resident = bytes("VmRSS:")?;
    let peak = bytes("VmHWM:")?;
    let mut times = schedule_times(id)?;
    if times.cpu_time.is_zero() {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        times.cpu_time = ticks(&stat).ok_or(io::ErrorKind::InvalidData)?;
    }
    Ok(Usage {
        resident,
        peak,
        cpu_time: times.cpu_time,
        waited: times.waited,
    })
}

#[derive(Default)]
struct ScheduleTimes {
    cpu_time: Duration,
    waited: Duration,
}

/// Reads the times of all threads from the scheduler: the same clock as utime and stime of `stat`,
/// in nanoseconds instead of ticks.
fn schedule_times(id: u32) -> io::Result<ScheduleTimes> {
    let mut times = ScheduleTimes::default();
    for task in fs::read_dir(format!("/proc/{id}/task"))? {
        let Ok(text) = fs::read_to_string(task?.path().join("schedstat")) else {
            continue; // The thread has ended.
        };
        let mut numbers = text
            .split_whitespace()
            .filter_map(|n| n.parse().ok())
            .map(Duration::from_nanos);
        times.cpu_time += numbers.next().unwrap_or_default();
        times.waited += numbers.next().unwrap_or_default();
    }
    Ok(times)
}

/// Returns the sum of utime and stime of `/proc/PID/stat`. They are counted from the end of the
/// name, which may contain any character. `None` if the text has no such fields.
pub fn ticks(stat: &str) -> Option<Duration> {
    let (_, rest) = stat.rsplit_once(") ")?;
    let mut fields = rest.split(' ').skip(FIELDS_BEFORE_UTIME);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(TICK * (user + system))
}

/// Resources of the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    /// Available memory, in bytes.
    pub memory: u64,
    /// Descriptors that this process may hold.
    pub descriptors: u64,
    /// Load average of the last minute: the mean number of tasks that ran or waited for a core.
    pub load: f64,
    /// Number of cores of the machine.
    pub cores: usize,
    /// Number of cores that this process may use.
    pub own_cores: usize,
}

impl Machine {
    /// Reads the current state of the machine.
    ///
    /// # Errors
    /// Returns an error if the kernel's reports cannot be read.
    pub fn now() -> io::Result<Machine> {
        let memory = kilobytes(&fs::read_to_string("/proc/meminfo")?, "MemAvailable:");
        let limits = fs::read_to_string("/proc/self/limits")?;
        let load = fs::read_to_string("/proc/loadavg")?;
        let cores = fs::read_to_string("/proc/cpuinfo")?
            .lines()
            .filter(|line| line.starts_with("processor"))
            .count();
        Ok(Machine {
            memory: memory.ok_or(io::ErrorKind::InvalidData)? * 1024,
            descriptors: max_descriptors(&limits),
            load: first_number(&load).unwrap_or(0.0),
            cores: cores.max(1),
            own_cores: std::thread::available_parallelism().map_or(1, |n| n.get()),
        })
    }
}

fn max_descriptors(limits: &str) -> u64 {
    let mut lines = limits.lines();
    let line = lines.find_map(|line| line.strip_prefix("Max open files"));
    let soft_limit = line.and_then(|line| line.split_whitespace().next());
    match soft_limit.unwrap_or_default() {
        "unlimited" => u64::MAX,
        number => number.parse().unwrap_or(DEFAULT_DESCRIPTORS),
    }
}

fn first_number(text: &str) -> Option<f64> {
    text.split(' ').next()?.parse().ok()
}
