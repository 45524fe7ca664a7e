//! What a change of settings takes at one agent, by number of tenants and of listed endpoints: by
//! SIGHUP, or by a restart, with requests in hand. Time until a client is answered under the new
//! settings, the agent's processor time, and what discovery and the platform are asked for it.
//!
//!     cargo run --release -p tulipwall-testkit --example renewal -- AGENT hup|restart|signal|idle TENANTS APPLIANCES TIMES [WORK_MS]
//!
//! `signal` does not wait until it is in force, `idle` changes nothing: the load's own part of the
//! processor time.

use serde_json::{json, Value};
use std::time::{Duration, Instant};
use tulipwall_testkit::*;

fn tenants(least: usize, count: usize) -> Value {
    let share = 1.0 / count.max(1) as f64;
    (least..least + count)
        .map(|n| json!({"name": format!("tenant-{n}"), "share": share}))
        .collect()
}

/// Processor time of a process so far.
fn cpu(id: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit_once(") ")
        .map_or("", |s| s.1)
        .split(' ')
        .collect();
    let ticks: u64 = [11, 12]
        .iter()
        .filter_map(|n| fields.get(*n)?.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * 10)
}

/// KiB, of now and at most.
fn memory(id: u32) -> (u64, u64) {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let of = |key: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(key))?;
        line.trim().strip_suffix(" kB")?.trim().parse().ok()
    };
    (of("VmRSS:").unwrap_or(0), of("VmHWM:").unwrap_or(0))
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (args, work) = args.split_at(args.len().min(5));
    let work = work.first().map_or(Ok(20), |w| w.parse::<u64>())?;
    let [binary, way, tenant_count, endpoints, times] = args else {
        return Err(
            "AGENT hup|restart|signal|idle TENANTS APPLIANCES TIMES [WORK_MS] are wanted".into(),
        );
    };
    let (tenant_count, endpoints, times): (usize, usize, usize) =
        (tenant_count.parse()?, endpoints.parse()?, times.parse()?);
    let world = TestCluster::new(&["a"], agent_process::classes())?;
    // Ten that run stand for all of them.
    let real = endpoints.min(10);
    for n in 0..real {
        let ways = EndpointBehavior {
            work: Duration::from_millis(work),
            fixed_work_share: 0.3,
            ..EndpointBehavior::default()
        };
        world.add_endpoint(0, &format!("s-{n}"), 41, ways)?;
    }
    let entries = world.discovery.entries();
    let more = (real..endpoints).map(|n| Entry {
        id: format!("more-{n}"),
        ..entries[n % real].clone()
    });
    world.discovery.update(more);
    let mut configuration = world.configuration("n1", 0)?;
    configuration["settings"]["tenants"] = tenants(0, tenant_count);
    let mut agent = AgentProcess::start(binary.as_str(), configuration.clone(), &[])?;
    let mut client = TestClient::connect(agent.address()?)?;
    let class =
        |name: &str, weight, keyed| (name.to_owned(), weight, Duration::from_millis(1500), keyed);
    let load = Load {
        agent: agent.address()?,
        rate: 143.0,
        duration: Duration::from_secs(3600),
        classes: vec![
            class("view", 4.0, false),
            class("send", 4.0, true),
            class("payment", 2.0, false),
        ],
        connections: 64,
        seed: 5,
    };
    let load = load.start();
    std::thread::sleep(Duration::from_secs(2));
    let (mut took, mut used) = (Vec::new(), Vec::new());
    let asked = || {
        let d = &world.discovery;
        (
            d.full_list_requests(),
            d.connections(),
            d.bytes_written(),
            world.platform.connections(),
        )
    };
    let before = asked();
    let settle = Duration::from_millis(1500);
    for n in 1..=times {
        let name = format!("extra-{n}");
        let settings = &mut configuration["settings"];
        settings["tenants"] = tenants(n, tenant_count);
        let extra = json!({"name": name, "aim-ms": 400.0, "give-up-ms": 1500.0, "idempotency": "repeatable",
            "points": 3.0});
        settings["classes"]
            .as_array_mut()
            .ok_or("classes")?
            .push(extra);
        let text = configuration.to_string();
        let (begun, mut spent) = (Instant::now(), cpu(agent.id()));
        match way.as_str() {
            "hup" | "signal" => agent.reload(&text)?,
            "idle" => {}
            _ => {
                agent.terminate()?;
                agent.wait_for_success()?;
                spent = Duration::ZERO;
                agent = AgentProcess::start(binary.as_str(), configuration.clone(), &[])?;
                client = TestClient::connect(agent.address()?)?;
            }
        }
        for i in (0..).take_while(|_| way == "hup" || way == "restart") {
            client.send_query_as(&format!("n{n}-{i}"), &name, 1000);
            // A class that is not known is a fault of the statement; a rejection is no such thing.
            if client.read_reply()?.code().as_deref() != Some("42601")
                || begun.elapsed() > Duration::from_secs(30)
            {
                break;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        took.push(begun.elapsed().as_secs_f64());
        // The same span for each, so that the load's own part can be taken off by `idle`.
        std::thread::sleep(settle.saturating_sub(begun.elapsed()));
        used.push(cpu(agent.id()).saturating_sub(spent).as_secs_f64());
        std::thread::sleep(Duration::from_millis(500));
    }
    let after = asked();
    took.sort_by(f64::total_cmp);
    let (now, most) = memory(agent.id());
    let each = |a: usize, b: usize| (a - b) as f64 / times as f64;
    println!(
        "{way}: tenants {tenant_count} appliances {endpoints}: in force after {:.3} s (median), {:.3} s at most; \
         {:.3} s of processor in each 1.5 s; each time whole lists {:.2} discovery connections {:.2} platform \
         connections {:.2} bytes {:.0}; {now} KiB now, {most} at most",
        took[took.len() / 2],
        took[took.len() - 1],
        used.iter().sum::<f64>() / times as f64,
        each(after.0, before.0),
        each(after.1, before.1),
        each(after.3, before.3),
        each(after.2, before.2),
    );
    drop(load);
    Ok(())
}
