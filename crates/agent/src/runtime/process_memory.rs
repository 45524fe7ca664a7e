//! The memory size of this process.

const STATUS_FILE: &str = "/proc/self/status";
const RESIDENT_SIZE_FIELD: &str = "VmRSS:";
const BYTES_PER_KIB: usize = 1024;

/// Sets whether the kernel may back further memory of this process with huge pages. Errors are
/// ignored, as they only occur on a kernel without huge pages.
pub fn allow_huge_pages(allowed: bool) {
    let _ = rustix::thread::disable_transparent_huge_pages(!allowed);
}

/// The resident size of this process in bytes, including mapped files; `None` if the kernel does
/// not report it.
pub fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string(STATUS_FILE).ok()?;
    let size = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_SIZE_FIELD))?;
    let kibibytes: usize = size.trim().strip_suffix(" kB")?.parse().ok()?;
    kibibytes.checked_mul(BYTES_PER_KIB)
}
