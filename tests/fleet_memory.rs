//! Memory of one agent at the largest size to plan for. In a file of its own, since memory is that of
//! the whole test process.

mod harness;

use harness::fleet::fixtures::*;
use harness::fleet::*;
use harness::*;
use tulipwall::Settings;

const CLASSES: usize = 1600;
const BYTES_A_KILOBYTE: f64 = 1024.0;
/// An eighth of what one count by pair of endpoint and class takes (32 bytes each).
const MAX_BYTES: f64 = (FLEET_SIZE * CLASSES * 4) as f64;

/// Bytes of resident memory of this process.
fn resident_memory() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.unwrap().parse::<f64>().unwrap() * BYTES_A_KILOBYTE
}

#[test]
fn memory_goes_by_what_was_sent_and_not_by_endpoint_times_class() {
    let few = default_settings(83);
    let settings = Settings {
        classes: vec![few.classes[0].clone(); CLASSES],
        ..few
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
    assert!(bytes < MAX_BYTES, "{:.1} MB", bytes / 1e6);
}
