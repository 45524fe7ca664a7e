//! A planned restart: SIGTERM, and SIGKILL no sooner than the longest deadline plus 0.7 s after it. One appliance hangs
//! through the whole of the shutdown, and clients send on every connection that stays open.

use std::collections::BTreeMap;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tulipwall_second_review::appliance::Mode;
use tulipwall_second_review::client::{statement, Answer, Client};
use tulipwall_second_review::deployment::Deployment;
use tulipwall_second_review::load::{fresh_id, name, Load};
use tulipwall_second_review::record::Record;
use tulipwall_second_review::{ms, run_case, settings, trouble};

/// The longest deadline of the site's classes is 2 s.
const KILLED_AFTER: Duration = ms(2000 + 700 + 50);
/// A request that arrived later than this after SIGTERM has to be answered by SIGKILL.
const TAKEN_LATE: Duration = ms(700);
/// How often a client sends on its connection.
const INTERVAL: Duration = ms(100);
/// The number of clients that send on.
const CLIENTS: usize = 40;
/// How many of ten appliances hang.
const HANGING: usize = 2;

fn work(class: &str) -> Duration {
    ms(if class == "payment" { 90 } else { 60 })
}

/// A request on a connection of a client that sends on.
struct Sent {
    id: String,
    class: &'static str,
    at: Instant,
    answer: Option<(Instant, Answer)>,
}

/// What became of one connection.
struct Line {
    sent: Vec<Sent>,
    /// When the connection ended.
    ended_at: Option<Instant>,
}

fn main() {
    run_case(|| {
        let record = Record::create()?;
        let site = Deployment::start(&record, 10, "akl-west", "std-4core", settings::AKL, work)?;
        let mut agent = site.start_agent(site.discovery.whole_list())?;
        agent.wait_until_ready()?;
        let load = Load::start(&record, agent.address, 10, ms(100), &settings::AKL_CLASSES);
        thread::sleep(ms(3000));
        load.stop();

        let stop = Arc::new(AtomicBool::new(false));
        let lines: Vec<Arc<Mutex<Line>>> = (0..CLIENTS)
            .map(|n| start_line(&record, agent.address, n, &stop))
            .collect();
        thread::sleep(ms(1000));
        for appliance in &site.appliances[..HANGING] {
            appliance.set_mode(Mode::Hanging);
        }
        thread::sleep(ms(100));
        let terminated_at = Instant::now();
        let killed_at;
        if trouble() {
            agent.signal("TERM")?;
            record.sleep_until(terminated_at, KILLED_AFTER);
            killed_at = Instant::now();
            let was_running = agent.kill()?;
            record.say(&format!(
                "the process still ran when SIGKILL came: {was_running}"
            ));
            stop.store(true, Ordering::Relaxed);
        } else {
            record.sleep_until(terminated_at, KILLED_AFTER);
            stop.store(true, Ordering::Relaxed);
            thread::sleep(ms(3000));
            killed_at = Instant::now();
        }
        thread::sleep(ms(300));

        let mut lost: BTreeMap<String, usize> = BTreeMap::new();
        let mut total = 0;
        for (n, line) in lines.iter().enumerate() {
            let line = line.lock().unwrap();
            // A connection that the agent ended before: what was written then crossed its end and is sent again.
            let ended_before = line.ended_at.is_some_and(|at| at + ms(20) < killed_at);
            for sent in &line.sent {
                let at = record.seconds(sent.at);
                let outcome = match &sent.answer {
                    Some((at, answer)) => format!(
                        "{} after {} ms",
                        name(answer),
                        at.duration_since(sent.at).as_millis()
                    ),
                    None if ended_before => "crossed the end of its connection".into(),
                    None => "never answered".into(),
                };
                record.line_at(
                    sent.at,
                    &format!("line {n}: {} {}: {outcome}", sent.id, sent.class),
                );
                let is_late = sent.at > terminated_at + TAKEN_LATE && sent.at < killed_at;
                if is_late {
                    total += 1;
                }
                if sent.answer.is_none() && !ended_before && is_late {
                    *lost.entry(sent.class.to_owned()).or_default() += 1;
                    record.line(&format!(
                        "BROKEN lost: {} {} written at {at:.4}, {} ms before SIGKILL, was never answered",
                        sent.id,
                        sent.class,
                        killed_at.duration_since(sent.at).as_millis()
                    ));
                }
            }
        }
        record.say(&format!(
            "{total} requests were written later than {} ms after SIGTERM",
            TAKEN_LATE.as_millis()
        ));
        record.say(&format!("never answered of these, by class: {lost:?}"));
        Ok(lost.is_empty())
    })
}

/// Starts a client that sends its next request in turn, whether or not the one before is answered.
fn start_line(
    record: &Record,
    agent: std::net::SocketAddr,
    number: usize,
    stop: &Arc<AtomicBool>,
) -> Arc<Mutex<Line>> {
    let line = Arc::new(Mutex::new(Line {
        sent: Vec::new(),
        ended_at: None,
    }));
    let (record, stop, shared) = (record.clone(), stop.clone(), line.clone());
    thread::spawn(move || {
        let Ok(mut client) = Client::connect(agent) else {
            return;
        };
        let Ok(reading) = client.stream.try_clone() else {
            return;
        };
        let answers = shared.clone();
        thread::spawn(move || {
            let mut client = Client { stream: reading };
            loop {
                let answer = client.read_answer().unwrap_or(Answer::Closed);
                let mut line = answers.lock().unwrap();
                if answer == Answer::Closed {
                    line.ended_at.get_or_insert(Instant::now());
                    return;
                }
                let next = line.sent.iter_mut().find(|sent| sent.answer.is_none());
                if let Some(sent) = next {
                    sent.answer = Some((Instant::now(), answer));
                }
            }
        });
        thread::sleep(INTERVAL.mul_f64(number as f64 / CLIENTS as f64));
        let mut turn = number;
        while !stop.load(Ordering::Relaxed) {
            if shared.lock().unwrap().ended_at.is_some() {
                return;
            }
            let class = settings::AKL_CLASSES[turn % 3];
            turn += 1;
            let id = fresh_id();
            let text = statement(
                &id,
                class.name,
                class.is_keyed,
                class.writes,
                class.deadline_ms,
            );
            shared.lock().unwrap().sent.push(Sent {
                id,
                class: class.name,
                at: Instant::now(),
                answer: None,
            });
            if client.send(&text).is_err() {
                // Not written whole: not taken.
                shared.lock().unwrap().sent.pop();
                return;
            }
            thread::sleep(INTERVAL);
        }
        // Keeps the connection open until its answers are read.
        thread::sleep(ms(4000));
        let _ = client.stream.shutdown(Shutdown::Both);
        record.line(&format!("line {number} is closed by its client"));
    });
    line
}
