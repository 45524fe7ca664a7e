//! What the kernel reports in `/proc` about memory.

use std::fs;

/// The value of a line such as `MemAvailable:   1024 kB`, in kilobytes.
pub fn kilobytes(text: &str, key: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.starts_with(key))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Memory that is available on this machine, in bytes; `f64::MAX` where the kernel does not tell.
pub fn available_memory() -> f64 {
    bytes("/proc/meminfo", "MemAvailable:").unwrap_or(f64::MAX)
}

/// Memory that this machine has, in bytes; `f64::MAX` where the kernel does not tell.
pub fn total_memory() -> f64 {
    bytes("/proc/meminfo", "MemTotal:").unwrap_or(f64::MAX)
}

/// Resident memory of this process, in bytes; zero where the kernel does not tell.
pub fn resident_memory() -> f64 {
    bytes("/proc/self/status", "VmRSS:").unwrap_or(0.0)
}

fn bytes(path: &str, key: &str) -> Option<f64> {
    let text = fs::read_to_string(path).ok()?;
    kilobytes(&text, key).map(|kilobytes| kilobytes as f64 * 1024.0)
}
