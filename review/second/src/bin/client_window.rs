//! Agents are killed under deduplicated calls of the client library (`tulipwall-call`) and start again; some appliances
//! hang. A call that may have run is not to be sent again once the appliances no longer remember it.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};
use tulipwall_second_review::agent::Agent;
use tulipwall_second_review::appliance::{KeyMemory, Keyed, Mode};
use tulipwall_second_review::deployment::Deployment;
use tulipwall_second_review::record::Record;
use tulipwall_second_review::{free_address, ms, run_case, settings, trouble, Process};

/// All relay nodes drop a repeat for this long.
const WINDOW: Duration = ms(3000);
/// The longest deadline of the class.
const EXPIRY_MS: &str = "5000";
const AGENTS: usize = 10;
const CALLS_PER_AGENT: usize = 20;
/// How many of the agents are killed at once.
const KILLED: usize = 7;
/// How many of ten relay nodes hang.
const HANGING: usize = 2;
/// How long they hang.
const HANGS_FOR: Duration = ms(5000);
const ROUNDS: usize = 4;
/// When they begin to hang, counted from the end of the agents.
const HANGS_AFTER: Duration = ms(2200);

fn work(_: &str) -> Duration {
    ms(350)
}

fn main() {
    run_case(|| {
        let record = Record::create()?;
        let site = Deployment::start(&record, 10, "hall-a", "std-4c", settings::PUSH, work)?;
        let keys = KeyMemory::new(WINDOW);
        for appliance in &site.appliances {
            appliance.set_key_memory(&keys);
        }
        let folder = PathBuf::from(std::env::var("WORK")?);
        let known = site.discovery.whole_list();
        let mut agents = Vec::new();
        for n in 0..AGENTS {
            let (name, listen) = (format!("n{n}"), free_address()?);
            let mut agent = site.start_agent_as(&name, listen, known.clone())?;
            agent.wait_until_ready()?;
            write_service_file(&folder, &name, listen)?;
            agents.push((name, listen, agent));
        }
        thread::sleep(ms(500));
        for round in 0..ROUNDS {
            play(&record, &site, &keys, &mut agents, &known, round)?;
        }
        thread::sleep(ms(500));
        Ok(judge(&record, &keys.log()))
    })
}

type RunningAgent = (String, SocketAddr, Agent);
type Failure = Box<dyn std::error::Error>;

/// Plays one round: calls through all agents, the end of most of the agents under them, and their new start.
fn play(
    record: &Record,
    site: &Deployment,
    keys: &KeyMemory,
    agents: &mut [RunningAgent],
    known: &str,
    round: usize,
) -> Result<(), Failure> {
    let seen_before = keys.log().len();
    let children = start_calls(agents, round)?;
    let begun = Instant::now();
    let enough = AGENTS * CALLS_PER_AGENT * 8 / 10;
    while begun.elapsed() < ms(300) && keys.log().len() < seen_before + enough {
        thread::sleep(ms(2));
    }
    record.say(&format!(
        "round {round}: {} calls are with the relay nodes",
        keys.log().len() - seen_before
    ));
    if trouble() {
        let killed_at = Instant::now();
        for (_, _, agent) in &mut agents[..KILLED] {
            agent.kill()?;
        }
        record.sleep_until(killed_at, ms(500));
        for (name, listen, agent) in &mut agents[..KILLED] {
            *agent = site.start_agent_as(name, *listen, known.to_owned())?;
        }
        for (_, _, agent) in &mut agents[..KILLED] {
            agent.wait_until_ready()?;
        }
        record.sleep_until(killed_at, HANGS_AFTER);
        set_hanging(site, Mode::Hanging);
        record.sleep_until(killed_at, HANGS_AFTER + HANGS_FOR);
        set_hanging(site, Mode::Serving);
    }
    let answers = read_answers(record, children)?;
    record.say(&format!("the calls ended with {answers:?}"));
    Ok(())
}

fn set_hanging(site: &Deployment, mode: Mode) {
    for appliance in &site.appliances[..HANGING] {
        appliance.set_mode(mode);
    }
}

/// Starts a process of the client library for each call, through each agent.
fn start_calls(agents: &[RunningAgent], round: usize) -> Result<Vec<Process>, Failure> {
    let folder = PathBuf::from(std::env::var("WORK")?);
    let root = PathBuf::from(std::env::var("ROOT")?);
    let threads: Vec<thread::JoinHandle<std::io::Result<Vec<Process>>>> = agents
        .iter()
        .map(|(name, _, _)| {
            let (root, name) = (root.clone(), name.clone());
            let file = folder.join(format!("{name}.kdl"));
            thread::spawn(move || {
                (0..CALLS_PER_AGENT)
                    .map(|n| call(&root, &file, &format!("{name}-{round}-{n}")))
                    .collect()
            })
        })
        .collect();
    let mut children = Vec::new();
    for thread in threads {
        children.extend(thread.join().map_err(|_| "a thread panicked")??);
    }
    Ok(children)
}

/// Waits for the end of all calls and counts their answers.
fn read_answers(
    record: &Record,
    children: Vec<Process>,
) -> Result<BTreeMap<String, usize>, Failure> {
    let mut answers: BTreeMap<String, usize> = BTreeMap::new();
    for mut child in children {
        let mut text = String::new();
        if let Some(out) = child.stdout.as_mut() {
            out.read_to_string(&mut text)?;
        }
        child.wait()?;
        record.line(&format!("call: {}", text.trim()));
        let answer = text
            .split("\"answer\":\"")
            .nth(1)
            .and_then(|rest| rest.split('"').next());
        *answers
            .entry(answer.unwrap_or("none").to_owned())
            .or_default() += 1;
    }
    Ok(answers)
}

/// Returns whether no key ran twice.
fn judge(record: &Record, log: &[Keyed]) -> bool {
    let mut first: BTreeMap<&str, &Keyed> = BTreeMap::new();
    let mut twice = 0;
    for query in log.iter().filter(|query| query.ran) {
        match first.get(query.key.as_str()) {
            None => {
                first.insert(&query.key, query);
            }
            Some(earlier) => {
                twice += 1;
                record.line(&format!(
                    "BROKEN duplicate: key {} ran at {} as {} and {:.3} s later at {} as {}",
                    query.key,
                    earlier.appliance,
                    earlier.id,
                    query.at.duration_since(earlier.at).as_secs_f64(),
                    query.appliance,
                    query.id
                ));
            }
        }
    }
    record.say(&format!("{} keys ran; {twice} ran twice", first.len()));
    twice == 0
}

fn write_service_file(folder: &Path, name: &str, agent: SocketAddr) -> std::io::Result<()> {
    let text = format!(
        "agent \"{agent}\"\nlane \"send-notice\" {{ repeats \"deduplicated\"; group \"all\"; window \"3s\"; quoted \"1500ms\"; benefit 2; }}\nmarks-retries #true\n"
    );
    std::fs::write(folder.join(format!("{name}.kdl")), text)
}

fn call(root: &Path, file: &Path, object: &str) -> std::io::Result<Process> {
    Process::start(
        Command::new(root.join("target/release/tulipwall-call"))
            .arg("--service")
            .arg(file)
            .args([
                "send-notice",
                object,
                "--value",
                "9f03",
                "--expiry",
                EXPIRY_MS,
            ])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null()),
    )
}
