//! Measure of a reload (SIGHUP) that adds a request class to the settings, until a request of that
//! class is served.

use super::count_by;
use super::samples::{if_any, largest, median, milliseconds};
use crate::fleet::error::FleetError;
use crate::fleet::installation::{until_timeout, Installation, RunningAgent};
use crate::fleet::plan::{Plan, Size};
use crate::fleet::results::Row;
use serde_json::Value;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::{agent_process, EndpointBehavior, Reply, RequestClass, TestClient};

/// Settings that are not in force within this time count as not taken over. Some agents never take
/// settings over by a reload; the results then show that no repeat was successful.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Deadline of a request of the new class, in milliseconds.
const DEADLINE_MS: u32 = 500;
const CLASS_WEIGHT: f64 = 3.0;

pub(super) fn measure(plan: &Plan, size: &Size, by: &'static str) -> Result<Row, FleetError> {
    let installation = Installation::start(size, EndpointBehavior::default())?;
    let mut agent = installation.agent(&plan.binary, 0, true)?;
    sleep(plan.settle);
    let mut in_force_ms = Vec::new();
    for n in 0..plan.repeats {
        let name = format!("route-added-{n}");
        match sample(&installation, &mut agent, &name)? {
            Some(found) => in_force_ms.push(found),
            None => break,
        }
    }
    let figures = [
        ("repeats", plan.repeats as f64),
        ("taken_over", in_force_ms.len() as f64),
        (
            "in_force_ms",
            if_any(&in_force_ms, |all| median(all.iter().copied())),
        ),
        (
            "in_force_most_ms",
            if_any(&in_force_ms, |all| largest(all.iter().copied())),
        ),
    ];
    let measure = "new settings (SIGHUP)";
    Ok(Row::new(measure, by, count_by(size, by), figures))
}

/// Adds a class to the settings and returns the milliseconds until it is in force; `None` if it is
/// not in force within the timeout.
fn sample(
    installation: &Installation,
    agent: &mut RunningAgent,
    class_name: &str,
) -> Result<Option<f64>, FleetError> {
    let address = agent.address()?;
    let class = class_settings(installation, class_name);
    let add_class = |settings: &mut Value| {
        if let Some(classes) = settings["classes"].as_array_mut() {
            classes.push(class);
        }
    };
    let reload = agent.reload(installation, add_class)?;
    let served = || served_after(address, class_name, reload.at);
    Ok(until_timeout(RELOAD_TIMEOUT, served))
}

/// Returns a class in the form of the settings.
fn class_settings(installation: &Installation, name: &str) -> Value {
    let class = RequestClass::new(name, "repeatable", CLASS_WEIGHT);
    let zones = installation.zones();
    let names: Vec<&str> = zones.iter().map(String::as_str).collect();
    agent_process::settings(&names, names[0], 1, &[class])["classes"][0].take()
}

/// Sends a request of the class and returns the milliseconds since the reload; `None` if the
/// request is not served.
fn served_after(agent: SocketAddr, class_name: &str, reloaded_at: Instant) -> Option<f64> {
    let mut client = TestClient::connect(agent).ok()?;
    client.send_query(class_name, DEADLINE_MS);
    let reply = client.read_reply().ok()?;
    matches!(reply, Reply::Value(_)).then(|| milliseconds(reloaded_at.elapsed()))
}
