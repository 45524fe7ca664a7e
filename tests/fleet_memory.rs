//! Memory of one agent at the largest planned fleet size. The test has a file of its own because
//! resident memory is measured for the whole test process.

mod harness;

use harness::fleet::fixtures::*;
use harness::fleet::*;
use harness::*;
use tulipwall::Settings;

const CLASSES: usize = 1600;
const BYTES_PER_KILOBYTE: f64 = 1024.0;
/// An eighth of the memory that one counter per pair of endpoint and class would take, at 32 bytes
/// each.
const MAX_BYTES: f64 = (FLEET_SIZE * CLASSES * 4) as f64;

/// Resident memory of this process, in bytes.
fn resident_memory() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.unwrap().parse::<f64>().unwrap() * BYTES_PER_KILOBYTE
}

#[test]
fn memory_grows_with_the_traffic_and_not_with_endpoints_times_classes() {
    let defaults = default_settings(83);
    let settings = Settings {
        classes: vec![defaults.classes[0].clone(); CLASSES],
        ..defaults
    };
    let entries = fleet_entries(FLEET_SIZE, 7);
    let before = resident_memory();
    let mut driver = FleetDriver::new(settings);
    driver.update_endpoints(&entries);
    let busy_class = [Traffic {
        class: 1234,
        rate: PEAK_RATE,
    }];
    driver.run(ms(2000), &busy_class, &succeed);
    assert!(driver.answers.succeeded > 250, "{:?}", driver.answers);
    let bytes = resident_memory() - before;
    assert!(bytes < MAX_BYTES, "memory grew by {:.1} MB", bytes / 1e6);
}
