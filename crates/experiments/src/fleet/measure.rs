//! The measures, one after another. Each starts its own installation and ends it.

use super::estimate::LOAD_CLIENTS;
use super::meter::Meter;
use super::process::{Machine, Usage};
use super::stand::{classes, tenant, until, until_or, Member, Stand};
use super::{worker, Measure, Plan, Results, Row, Size};
use std::io;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tulipwall_testkit::{
    agent_process, EndpointBehavior, Load, LoadReport, Reply, RequestClass, ResponseBehavior,
    TestClient,
};

const MB: f64 = 1e6;
const PAIRS: &str = "appliance-lane pairs";
/// Settings that are not in force by then are not taken over.
const TAKEN_OVER_WITHIN: Duration = Duration::from_secs(2);
/// How long clients wait in loads.
const WAIT: Duration = Duration::from_millis(1500);
/// A load whose requests went out within so long of when they were due, for 99 in 100, had the
/// cores that it needs.
const ON_TIME_MS: f64 = 1.0;
/// Classes that a load goes by, at most.
const LOAD_CLASSES: usize = 8;

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}

fn mean(of: impl Iterator<Item = f64>) -> f64 {
    let (sum, n) = of.fold((0.0, 0.0), |(s, n), x| (s + x, n + 1.0));
    sum / f64::max(n, 1.0)
}

fn most(of: impl Iterator<Item = f64>) -> f64 {
    of.fold(0.0, f64::max)
}

fn median(of: &[f64]) -> f64 {
    let mut sorted = of.to_vec();
    sorted.sort_by(f64::total_cmp);
    let n = sorted.len();
    match n {
        0 => 0.0,
        _ => (sorted[(n - 1) / 2] + sorted[n / 2]) / 2.0,
    }
}

/// Runs all that the plan names. `say` hears what is under way.
pub fn run(plan: &Plan, mut say: impl FnMut(&str)) -> io::Result<Results> {
    let mut results = Results {
        limits: plan.limits.clone(),
        ..Results::default()
    };
    for m in &plan.measures {
        say(&format!("{m:?}"));
        match m {
            Measure::Endpoints | Measure::Classes | Measure::Tenants | Measure::Pairs => {
                results.add(memory(plan, *m)?, &["resident_mb", "peak_mb"]);
            }
            Measure::Connections => results.add(connections(plan)?, &["resident_mb"]),
            Measure::Open => results.add(open(plan)?, &["resident_mb"]),
            Measure::Idle => {
                let pairs = plan
                    .sizes(Measure::Pairs)
                    .into_iter()
                    .map(|(s, _)| s)
                    .collect();
                for (by, sizes) in apart(plan, *m).into_iter().chain([(PAIRS, pairs)]) {
                    let rows = sizes
                        .iter()
                        .map(|s| idle(plan, s, by))
                        .collect::<io::Result<_>>()?;
                    results.add(rows, &["control_core_%"]);
                }
            }
            Measure::Start => {
                results.add(start(plan, true)?, &["ready_ms", "ran_ms"]);
                results.add(
                    start(plan, false)?,
                    &["ready_ms", "ran_ms", "list_bytes", "taken_in_ms"],
                );
            }
            Measure::Change => results.add(change(plan)?, &["bytes", "taken_in_ms", "ran_ms"]),
            Measure::Renew => {
                for (by, sizes) in apart(plan, *m) {
                    let rows = sizes
                        .iter()
                        .map(|s| renew(plan, s, by))
                        .collect::<io::Result<_>>()?;
                    results.add(rows, &["in_force_ms", "ran_ms", "bytes"]);
                }
            }
            Measure::Settings => {
                for (by, sizes) in apart(plan, *m) {
                    let rows = sizes
                        .iter()
                        .map(|s| settings(plan, s, by))
                        .collect::<io::Result<_>>()?;
                    results.add(rows, &["in_force_ms"]);
                }
            }
            Measure::Restart => {
                for (by, sizes) in apart(plan, *m) {
                    let rows = sizes
                        .iter()
                        .map(|s| restart(plan, s, by))
                        .collect::<io::Result<_>>()?;
                    results.add(rows, &["in_force_ms", "ran_ms", "bytes"]);
                }
            }
            Measure::Commands => {
                for rate in &plan.rates {
                    for (by, sizes) in apart(plan, *m) {
                        let rows = sizes
                            .iter()
                            .map(|s| commands(plan, s, by, *rate))
                            .collect::<io::Result<_>>()?;
                        results.add(rows, &["us_a_command"]);
                    }
                }
            }
            Measure::Added => {
                for rate in &plan.rates {
                    results.add(added(plan, *rate, &mut say)?, &["added_p99_ms"]);
                }
            }
        }
    }
    Ok(results)
}

/// The installations of a measure that goes by endpoints and then by tenants.
fn apart(plan: &Plan, m: Measure) -> [(&'static str, Vec<Size>); 2] {
    let mut sizes: Vec<Size> = plan.sizes(m).into_iter().map(|(s, _)| s).collect();
    let tenants = sizes.split_off(plan.endpoints.len());
    [("appliances", sizes), ("tenants", tenants)]
}

fn usages(members: &[Member]) -> io::Result<Vec<Usage>> {
    members.iter().map(Member::usage).collect()
}

/// Resident and peak memory: the mean over all agents, and the largest.
fn memory_of(members: &[Member]) -> io::Result<Vec<(&'static str, f64)>> {
    let all = usages(members)?;
    let of = |bytes: u64| bytes as f64 / MB;
    Ok(vec![
        ("resident_mb", mean(all.iter().map(|u| of(u.resident)))),
        ("resident_most_mb", most(all.iter().map(|u| of(u.resident)))),
        ("peak_mb", mean(all.iter().map(|u| of(u.peak)))),
        ("peak_most_mb", most(all.iter().map(|u| of(u.peak)))),
    ])
}

fn memory(plan: &Plan, m: Measure) -> io::Result<Vec<Row>> {
    let (by, of): (_, fn(&Size) -> usize) = match m {
        Measure::Classes => ("lanes", |s| s.classes),
        Measure::Tenants => ("tenants", |s| s.tenants),
        Measure::Pairs => (PAIRS, |s| s.endpoints * s.classes),
        _ => ("appliances", |s| s.endpoints),
    };
    let row = |(size, _): (Size, usize)| {
        let stand = Stand::start(&size, EndpointBehavior::default())?;
        let members = stand.agents(&plan.binary)?;
        sleep(plan.settle);
        let mut figures = vec![("agents", members.len() as f64)];
        figures.extend(memory_of(&members)?);
        Ok(Row {
            measure: "memory",
            by,
            size: of(&size) as f64,
            figures,
        })
    };
    plan.sizes(m).into_iter().map(row).collect()
}

fn connections(plan: &Plan) -> io::Result<Vec<Row>> {
    let row = |(size, count): (Size, usize)| {
        let stand = Stand::start(&size, EndpointBehavior::default())?;
        let member = stand.agent(&plan.binary, 0, true)?;
        let address = member.address()?;
        let clients = (0..count)
            .map(|_| TestClient::connect(address))
            .collect::<io::Result<Vec<_>>>()?;
        sleep(plan.settle);
        let figures = memory_of(std::slice::from_ref(&member))?;
        drop(clients);
        Ok(Row {
            measure: "memory",
            by: "connections",
            size: count as f64,
            figures,
        })
    };
    plan.sizes(Measure::Connections)
        .into_iter()
        .map(row)
        .collect()
}

/// Requests that no endpoint answers, each on a connection of its own: how many were out, and what
/// the agent held meanwhile, with the connections of their clients and to endpoints.
fn open(plan: &Plan) -> io::Result<Vec<Row>> {
    let row = |(size, count): (Size, usize)| {
        let stand = Stand::start(
            &size,
            EndpointBehavior {
                response: ResponseBehavior::NeverAnswer,
                ..EndpointBehavior::default()
            },
        )?;
        let member = stand.agent(&plan.binary, 0, true)?;
        let address = member.address()?;
        let mut clients = (0..count)
            .map(|_| TestClient::connect(address))
            .collect::<io::Result<Vec<_>>>()?;
        clients
            .iter_mut()
            .for_each(|c| c.send_query("route-0", 30_000));
        sleep(plan.settle);
        let mut ids: Vec<String> = stand
            .endpoints
            .iter()
            .flat_map(|a| a.received_queries())
            .map(|seen| seen.id)
            .collect();
        ids.sort();
        ids.dedup();
        let mut figures = vec![
            ("open", ids.len() as f64),
            ("deliveries", stand.attempts() as f64),
        ];
        figures.extend(memory_of(std::slice::from_ref(&member))?);
        drop(clients);
        Ok(Row {
            measure: "memory",
            by: "open commands",
            size: count as f64,
            figures,
        })
    };
    plan.sizes(Measure::Open).into_iter().map(row).collect()
}

/// What agents take when nobody asks them anything.
fn idle(plan: &Plan, size: &Size, by: &'static str) -> io::Result<Row> {
    let stand = Stand::start(size, EndpointBehavior::default())?;
    let members = stand.agents(&plan.binary)?;
    sleep(plan.settle);
    let (before, bytes) = (
        usages(&members)?,
        members.iter().map(Member::control).collect::<Vec<_>>(),
    );
    let begun = Instant::now();
    sleep(plan.span);
    let (after, took) = (usages(&members)?, begun.elapsed().as_secs_f64());
    let share = |(a, b): (&Usage, &Usage)| a.ran.saturating_sub(b.ran).as_secs_f64() / took * 100.0;
    let shares: Vec<f64> = after.iter().zip(&before).map(share).collect();
    let passed = |n: usize| {
        mean(
            members
                .iter()
                .zip(&bytes)
                .map(|(m, b)| (m.control()[n] - b[n]) as f64 / took),
        )
    };
    let (discovery, platform) = (passed(0), passed(1));
    let waited = after
        .iter()
        .zip(&before)
        .map(|(a, b)| ms(a.waited.saturating_sub(b.waited)) / took);
    let figures = vec![
        ("agents", members.len() as f64),
        ("control_core_%", mean(shares.iter().copied())),
        ("most_core_%", most(shares.iter().copied())),
        ("discovery_bytes_s", discovery),
        ("platform_bytes_s", platform),
        ("control_bytes_s", discovery + platform),
        ("waited_ms_s", mean(waited)),
    ];
    let measure = if size.pushed {
        "idle, lists pushed"
    } else {
        "idle, lists asked for"
    };
    Ok(Row {
        measure,
        by,
        size: size_by(size, by),
        figures,
    })
}

/// A start up to the answer to a first empty query. Without a list in its configuration the agent
/// asks for the whole one; how long that took to be taken in, from its last byte to the next
/// question.
fn start(plan: &Plan, known: bool) -> io::Result<Vec<Row>> {
    let row = |(size, _): (Size, usize)| {
        let stand = Stand::start(&size, EndpointBehavior::default())?;
        let one = |_| {
            let member = stand.agent(&plan.binary, 0, known)?;
            let ran = member.usage()?.ran;
            let (mut bytes, mut taken_in) = (0.0, 0.0);
            if !known {
                let taken = until("the question behind the list", || {
                    member
                        .discovery
                        .taken_in(Instant::now() - Duration::from_secs(3600))
                })?;
                (bytes, taken_in) = (taken.bytes as f64, ms(taken.next - taken.whole));
            }
            Ok([ms(member.ready), ms(ran), bytes, taken_in])
        };
        let all = (0..plan.repeats).map(one).collect::<io::Result<Vec<_>>>()?;
        let of = |n: usize| all.iter().map(|a| a[n]).collect::<Vec<f64>>();
        let mut figures = vec![
            ("ready_ms", median(&of(0))),
            ("ready_most_ms", most(of(0).into_iter())),
            ("ran_ms", median(&of(1))),
        ];
        if !known {
            figures.extend([
                ("list_bytes", median(&of(2))),
                ("taken_in_ms", median(&of(3))),
            ]);
        }
        let measure = if known {
            "start with a list"
        } else {
            "start without a list"
        };
        Ok(Row {
            measure,
            by: "appliances",
            size: size.endpoints as f64,
            figures,
        })
    };
    plan.sizes(Measure::Start).into_iter().map(row).collect()
}

/// So many entries change at once, in their cell.
fn change(plan: &Plan) -> io::Result<Vec<Row>> {
    let Some((size, _)) = plan.sizes(Measure::Change).pop() else {
        return Ok(Vec::new());
    };
    let stand = Stand::start(&size, EndpointBehavior::default())?;
    let member = stand.agent(&plan.binary, 0, true)?;
    sleep(plan.settle);
    let mut rows = Vec::new();
    let counts = plan
        .changed
        .iter()
        .copied()
        .chain([size.endpoints])
        .filter(|n| *n <= size.endpoints);
    let mut counts: Vec<usize> = counts.collect();
    counts.sort_unstable();
    counts.dedup();
    for count in counts {
        let mut all = Vec::new();
        for _ in 0..plan.repeats {
            let mut entries = stand.discovery.entries();
            entries.truncate(count);
            entries.iter_mut().for_each(|e| e.cell += 1);
            let (begun, before) = (Instant::now(), member.usage()?.ran);
            stand.discovery.update(entries);
            let taken = until("the question behind a change", || {
                member.discovery.taken_in(begun)
            })?;
            // Behind the question some more may be under way.
            sleep(Duration::from_millis(20));
            let ran = member.usage()?.ran.saturating_sub(before);
            all.push([taken.bytes as f64, ms(taken.next - taken.whole), ms(ran)]);
        }
        let of = |n: usize| median(&all.iter().map(|a| a[n]).collect::<Vec<_>>());
        let figures = vec![("bytes", of(0)), ("taken_in_ms", of(1)), ("ran_ms", of(2))];
        rows.push(Row {
            measure: "a change of the list",
            by: "entries",
            size: count as f64,
            figures,
        });
    }
    Ok(rows)
}

/// SIGHUP with other addresses of discovery and the platform: until both were heard there, and
/// until the list has been taken in. Processor time and bytes up to half a second later, less those
/// of an idle time as long.
fn renew(plan: &Plan, size: &Size, by: &'static str) -> io::Result<Row> {
    let stand = Stand::start(size, EndpointBehavior::default())?;
    let mut member = stand.agent(&plan.binary, 0, true)?;
    sleep(plan.settle);
    let rest = Duration::from_millis(500);
    let mut all = Vec::new();
    for _ in 0..plan.repeats {
        let (idle_began, idle_before) = (Instant::now(), member.usage()?.ran);
        sleep(rest);
        let idle_ran = member
            .usage()?
            .ran
            .saturating_sub(idle_before)
            .as_secs_f64();
        let idle_share = idle_ran / idle_began.elapsed().as_secs_f64();
        let before = member.usage()?.ran;
        let (told, old) = member.renew(&stand, |_| {})?;
        let taken = until("the question behind the new list", || {
            member.discovery.taken_in(told)
        })?;
        let rollout_status = until("word of the platform", || member.platform.first_told())?;
        sleep(rest);
        let bytes: u64 = member.control().iter().sum();
        let ran = member.usage()?.ran.saturating_sub(before).as_secs_f64();
        let ran = (ran - idle_share * told.elapsed().as_secs_f64()).max(0.0);
        drop::<[Meter; 2]>(old);
        let heard = taken.whole.max(rollout_status) - told;
        let force = taken.next.max(rollout_status) - told;
        all.push([ms(heard), ms(force), ran * 1000.0, bytes as f64]);
    }
    let of = |n: usize| all.iter().map(|a| a[n]).collect::<Vec<f64>>();
    let daily = |n: usize| median(&of(n)) * 1000.0 / 86_400.0;
    let figures = vec![
        ("heard_ms", median(&of(0))),
        ("in_force_ms", median(&of(1))),
        ("in_force_most_ms", most(of(1).into_iter())),
        ("ran_ms", median(&of(2))),
        ("bytes", median(&of(3))),
        ("bytes_s_at_1000_a_day", daily(3)),
        ("core_%_at_1000_a_day", daily(2) / 10.0),
    ];
    Ok(Row {
        measure: "a new configuration (SIGHUP)",
        by,
        size: size_by(size, by),
        figures,
    })
}

/// A further class in the settings, told by SIGHUP: until a request of it is served. Some agents
/// never take settings over so, which shows as none of the repeats.
fn settings(plan: &Plan, size: &Size, by: &'static str) -> io::Result<Row> {
    let stand = Stand::start(size, EndpointBehavior::default())?;
    let mut member = stand.agent(&plan.binary, 0, true)?;
    let address = member.address()?;
    sleep(plan.settle);
    let mut all = Vec::new();
    for n in 0..plan.repeats {
        let name = format!("route-added-{n}");
        let class = RequestClass::new(&name, "repeatable", 3.0);
        let zones: Vec<String> = stand.zones();
        let names: Vec<&str> = zones.iter().map(String::as_str).collect();
        let class = agent_process::settings(&names, names[0], 1, &[class])["classes"][0].take();
        let further = |s: &mut serde_json::Value| {
            if let Some(classes) = s["classes"].as_array_mut() {
                classes.push(class);
            }
        };
        let (told, old) = member.renew(&stand, further)?;
        let served = || {
            let mut client = TestClient::connect(address).ok()?;
            client.send_query(&name, 500);
            let answer = client.read_reply().ok()?;
            matches!(answer, Reply::Value(_)).then(|| ms(told.elapsed()))
        };
        let found = until_or(TAKEN_OVER_WITHIN, served);
        drop::<[Meter; 2]>(old);
        let Some(found) = found else { break };
        all.push(found);
    }
    let of = if all.is_empty() {
        f64::NAN
    } else {
        median(&all)
    };
    let figures = vec![
        ("repeats", plan.repeats as f64),
        ("taken_over", all.len() as f64),
        ("in_force_ms", of),
        (
            "in_force_most_ms",
            if all.is_empty() {
                f64::NAN
            } else {
                most(all.iter().copied())
            },
        ),
    ];
    Ok(Row {
        measure: "new settings (SIGHUP)",
        by,
        size: size_by(size, by),
        figures,
    })
}

/// Other settings by a restart: ended and started anew, with a client that has an idle connection.
fn restart(plan: &Plan, size: &Size, by: &'static str) -> io::Result<Row> {
    let stand = Stand::start(size, EndpointBehavior::default())?;
    let mut member = stand.agent(&plan.binary, 0, true)?;
    let longer =
        |by: f64| move |s: &mut serde_json::Value| s["classes"][0]["aim-ms"] = (500.0 + by).into();
    let mut all = Vec::new();
    for n in 0..plan.repeats {
        let client = TestClient::connect(member.address()?)?;
        sleep(plan.settle.min(Duration::from_millis(500)));
        let before: u64 = member.control().iter().sum();
        let [ended, served] = member.restart(&plan.binary, longer(1.0 + n as f64))?;
        let ran = member.usage()?.ran;
        sleep(Duration::from_millis(500));
        let bytes = member.control().iter().sum::<u64>() - before;
        drop(client);
        all.push([
            ms(ended),
            ms(member.ready),
            ms(served),
            ms(ran),
            bytes as f64,
        ]);
    }
    let of = |n: usize| all.iter().map(|a| a[n]).collect::<Vec<f64>>();
    let figures = vec![
        ("ended_ms", median(&of(0))),
        ("ready_ms", median(&of(1))),
        ("in_force_ms", median(&of(2))),
        ("in_force_most_ms", most(of(2).into_iter())),
        ("ran_ms", median(&of(3))),
        ("bytes", median(&of(4))),
    ];
    Ok(Row {
        measure: "new settings (restart)",
        by,
        size: size_by(size, by),
        figures,
    })
}

fn size_by(size: &Size, by: &str) -> f64 {
    let count = match by {
        PAIRS => size.endpoints * size.classes,
        "tenants" => size.tenants,
        _ => size.endpoints,
    };
    count as f64
}

/// A load over classes and tenants from all parts of the settings; it waits for its end.
pub fn load(size: &Size, at: SocketAddr, rate: f64, span: Duration, seed: u64) -> LoadReport {
    let all = classes(size.classes);
    let used = all.len().min(LOAD_CLASSES);
    let class = |n: usize| {
        let class = &all[n * all.len() / used];
        let t = tenant((n * size.tenants + size.tenants / 2) / used);
        // A load writes the class's name into the comment, so that a further field can follow it.
        (
            format!("{},t={t}", class.name),
            1.0,
            WAIT,
            class.idempotency == "by_key",
        )
    };
    let classes = (0..used).map(class).collect();
    Load {
        agent: at,
        rate,
        duration: span,
        classes,
        connections: LOAD_CLIENTS,
        seed,
    }
    .run()
}

/// Processor time of a request, above that of an idle agent.
fn commands(plan: &Plan, size: &Size, by: &'static str, rate: f64) -> io::Result<Row> {
    let stand = Stand::working(size, plan.work)?;
    let member = stand.agent(&plan.binary, 0, true)?;
    let address = member.address()?;
    sleep(plan.settle);
    let (begun, before) = (Instant::now(), member.usage()?.ran);
    sleep(plan.span);
    let idle =
        member.usage()?.ran.saturating_sub(before).as_secs_f64() / begun.elapsed().as_secs_f64();
    load(size, address, rate, plan.settle, 7);
    let (begun, before) = (Instant::now(), member.usage()?);
    let answered = load(size, address, rate, plan.span, 8);
    let (after, took) = (member.usage()?, begun.elapsed().as_secs_f64());
    let ran = after.ran.saturating_sub(before.ran).as_secs_f64();
    let count = answered.requests.max(1) as f64;
    let figures = vec![
        ("rate", rate),
        ("asked", answered.requests as f64),
        ("satisfied", answered.succeeded as f64),
        ("idle_core_%", idle * 100.0),
        ("core_%", ran / took * 100.0),
        ("us_a_command", (ran - idle * took).max(0.0) / count * 1e6),
        (
            "waited_us_a_command",
            after.waited.saturating_sub(before.waited).as_secs_f64() / count * 1e6,
        ),
    ];
    Ok(Row {
        measure: named("commands", rate),
        by,
        size: size_by(size, by),
        figures,
    })
}

/// The name of a measure at a rate, which stays for as long as the program: there are a few.
fn named(what: &str, rate: f64) -> &'static str {
    Box::leak(format!("{what} at {rate} a second").into_boxed_str())
}

/// What satisfied requests took beyond their work, in milliseconds: these parts of them within so
/// long.
fn beyond_work(answered: &LoadReport, work: Duration, parts: [f64; 2]) -> [f64; 2] {
    let beyond = |(id, took): &(String, u64)| *took as f64 / 1000.0 - ms(worker::work(id, work));
    let mut all: Vec<f64> = answered.request_latencies.iter().map(beyond).collect();
    all.sort_by(f64::total_cmp);
    parts.map(|part| {
        let n = (all.len() as f64 * part).ceil() as usize;
        all.get(n.saturating_sub(1)).copied().unwrap_or(f64::NAN)
    })
}

/// The same load through an agent and straight at a fake, in turns, times from when a request was
/// due.
fn added(plan: &Plan, rate: f64, say: &mut impl FnMut(&str)) -> io::Result<Vec<Row>> {
    let mut rows = Vec::new();
    for (size, _) in plan.sizes(Measure::Added) {
        say(&format!(
            "Added: {} appliances, {rate} a second",
            size.endpoints
        ));
        let stand = Stand::working(&size, plan.work)?;
        let member = stand.agent(&plan.binary, 0, true)?;
        let (agent, straight) = (member.address()?, stand.workers[0].address);
        load(&size, agent, rate, plan.settle, 7);
        load(&size, straight, rate, plan.settle, 7);
        let mut all = Vec::new();
        let (mut asked, mut succeeded) = (0, 0);
        for n in 0..plan.repeats as u64 {
            let before = member.usage()?.waited;
            let through = load(&size, agent, rate, plan.span, 100 + n);
            let waited = member.usage()?.waited.saturating_sub(before);
            let direct = load(&size, straight, rate, plan.span, 100 + n);
            (asked, succeeded) = (asked + through.requests, succeeded + through.succeeded);
            let [p50, p99] = beyond_work(&through, plan.work, [0.5, 0.99]);
            let [direct_p50, direct_p99] = beyond_work(&direct, plan.work, [0.5, 0.99]);
            let late = through.send_delay_ms(0.99).max(direct.send_delay_ms(0.99));
            let waited = waited.as_secs_f64() / through.requests.max(1) as f64 * 1e6;
            all.push([
                p50 - direct_p50,
                p99 - direct_p99,
                p99,
                direct_p99,
                late,
                waited,
            ]);
        }
        let of = |n: usize| all.iter().map(|a| a[n]).collect::<Vec<f64>>();
        let p99 = of(1);
        let on_time: Vec<f64> = all
            .iter()
            .filter(|a| a[4] <= ON_TIME_MS)
            .map(|a| a[1])
            .collect();
        let figures = vec![
            ("rate", rate),
            ("asked", asked as f64),
            ("satisfied", succeeded as f64),
            ("straight_p99_ms", median(&of(3))),
            ("through_p99_ms", median(&of(2))),
            ("added_p50_ms", median(&of(0))),
            ("added_p99_ms", median(&p99)),
            (
                "least_ms",
                p99.iter().copied().fold(f64::INFINITY, f64::min),
            ),
            (
                "most_ms",
                p99.iter().copied().fold(f64::NEG_INFINITY, f64::max),
            ),
            ("repeats", plan.repeats as f64),
            ("on_time", on_time.len() as f64),
            (
                "added_p99_on_time_ms",
                if on_time.is_empty() {
                    f64::NAN
                } else {
                    median(&on_time)
                },
            ),
            ("issued_late_p99_ms", median(&of(4))),
            ("waited_us_a_command", median(&of(5))),
            ("machine_load", Machine::now()?.load),
        ];
        rows.push(Row {
            measure: named("added to a request", rate),
            by: "appliances",
            size: size.endpoints as f64,
            figures,
        });
    }
    Ok(rows)
}
