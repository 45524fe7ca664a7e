//! Memory figures that the kernel reports in `/proc`.

use std::fs;

/// Returns the value of the line that starts with `key`, such as `MemAvailable:   1024 kB`, in
/// kilobytes; `None` if there is no such line or it holds no number.
pub fn kilobytes(text: &str, key: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.starts_with(key))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Returns the available memory of this machine, in bytes; `f64::MAX` if the kernel does not report
/// it.
pub fn available_memory() -> f64 {
    bytes("/proc/meminfo", "MemAvailable:").unwrap_or(f64::MAX)
}

/// Returns the total memory of this machine, in bytes; `f64::MAX` if the kernel does not report it.
pub fn total_memory() -> f64 {
    bytes("/proc/meminfo", "MemTotal:").unwrap_or(f64::MAX)
}

/// Returns the resident memory of this process, in bytes; zero if the kernel does not report it.
pub fn resident_memory() -> f64 {
    bytes("/proc/self/status", "VmRSS:").unwrap_or(0.0)
}

fn bytes(path: &str, key: &str) -> Option<f64> {
    let text = fs::read_to_string(path).ok()?;
    kilobytes(&text, key).map(|kilobytes| kilobytes as f64 * 1024.0)
}
