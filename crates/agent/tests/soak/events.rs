//! The events of one run, drawn from its seed, and the run itself.

use crate::checks::{self, Expectations};
use crate::lag::LagMonitor;
use crate::usual_client::{Observations, UsualClient};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};
use tulipwall_testkit::endpoint::Link;
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");
const RUN_TIME: Duration = Duration::from_secs(22);
const USUAL_CLIENTS: u64 = 10;
/// Endpoints of the first build, which stay in service.
const LASTING_ENDPOINTS: usize = 5;
/// The interval at which a crowd writes.
const CROWD_INTERVAL: Duration = Duration::from_millis(15);
/// SIGKILL comes this long after SIGTERM: the longest deadline, taken as 3 s at least, and 0.7 s.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3700);
/// Drained endpoints leave the list after this time.
const REMOVAL_DELAY: Duration = Duration::from_millis(3500);
/// How long the agent stays down between two processes.
const DOWN_TIME: Duration = Duration::from_secs(1);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What a run showed.
pub struct Report {
    pub summary: String,
    pub violations: Vec<String>,
}

/// A span of time in which the agent was being killed or was down.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// When SIGTERM came; equal to `killed_at` without one.
    pub terminated_at: Instant,
    /// When SIGKILL came, or the process had ended after SIGTERM.
    pub killed_at: Instant,
    pub started_at: Instant,
}

/// One run of the soak.
pub struct Run {
    seed: u64,
    rng: Pcg64Mcg,
    cluster: TestCluster,
    agent: AgentProcess,
    memory_mb: u64,
    next_endpoint: usize,
    /// Endpoints beyond the lasting ones that are in service.
    extra_endpoints: Vec<String>,
    /// When drained endpoints leave the list.
    removals: Vec<(Instant, Vec<String>)>,
    expectations: Expectations,
    lag: LagMonitor,
    peak_kib: u64,
    log: Vec<String>,
}

fn behavior(rng: &mut Pcg64Mcg) -> EndpointBehavior {
    EndpointBehavior {
        work: ms(rng.gen_range(3..40)),
        fixed_work_share: 0.3,
        cores: 256,
        value_bytes: [2, 100, 14_000, 65_000][rng.gen_range(0..4)],
        ..EndpointBehavior::default()
    }
}

impl Run {
    pub fn new(seed: u64) -> Run {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let cluster = TestCluster::new(&["a"], agent_process::classes()).unwrap();
        for n in 0..LASTING_ENDPOINTS {
            let behavior = behavior(&mut rng);
            cluster
                .add_endpoint(0, &format!("s-{n}"), 41, behavior)
                .unwrap();
        }
        let memory_mb = [32, 32, 48, 192][rng.gen_range(0..4)];
        let descriptors = [256, 1024, 1024][rng.gen_range(0..3)];
        let mut configuration = cluster.configuration("n1", 0).unwrap();
        configuration["limits"]["memory_mb"] = memory_mb.into();
        configuration["limits"]["sockets"] = descriptors.into();
        let agent = start(&configuration);
        Run {
            seed,
            rng,
            cluster,
            agent,
            memory_mb,
            next_endpoint: 0,
            extra_endpoints: Vec::new(),
            removals: Vec::new(),
            expectations: Expectations::default(),
            lag: LagMonitor::start(),
            peak_kib: 0,
            log: vec![format!("{memory_mb} MB, {descriptors} descriptors")],
        }
    }

    /// Plays the run and checks what was observed.
    pub fn play(mut self) -> Report {
        let address = self.agent.address().unwrap();
        drop(TestClient::connect(address).unwrap());
        let observations = Arc::new(Observations::default());
        let mut threads: Vec<_> = (0..USUAL_CLIENTS)
            .map(|n| {
                let client = UsualClient::new(self.seed, n, address, observations.clone());
                std::thread::spawn(move || client.run())
            })
            .collect();
        threads.extend(self.start_crowd(&observations));
        let begun = Instant::now();
        while begun.elapsed() < RUN_TIME {
            sleep(ms(self.rng.gen_range(100..900)));
            self.remove_drained_endpoints();
            self.next_event();
            self.check_process();
        }
        sleep(ms(2000));
        self.check_process();
        observations.stopped.store(true, Ordering::Relaxed);
        for thread in threads {
            thread.join().unwrap();
        }
        self.end_agent();
        let sent = observations.sent.lock().unwrap();
        let mut violations = std::mem::take(&mut self.expectations.violations);
        violations.extend(checks::violations(
            &sent,
            &self.cluster,
            &self.expectations,
            &self.lag,
        ));
        if !violations.is_empty() {
            violations.push(format!("events: {}", self.log.join("; ")));
        }
        let answered = checks::answered(&sent);
        Report {
            summary: format!(
                "{} requests, {answered}; peak {} of {} KiB; {}; fakes late by {:?}",
                sent.len(),
                self.peak_kib,
                self.memory_mb * 1024,
                self.log[0],
                self.lag.longest(),
            ),
            violations,
        }
    }

    /// Starts a crowd in half of the runs.
    fn start_crowd(&mut self, observations: &Arc<Observations>) -> Option<JoinHandle<()>> {
        if self.rng.gen_bool(0.4) {
            return None;
        }
        let behavior = *CrowdBehavior::ALL.choose(&mut self.rng)?;
        let count = self.rng.gen_range(100..540);
        let delay = ms(self.rng.gen_range(0..6000));
        self.log[0].push_str(&format!(", a crowd of {count}: {behavior:?}"));
        let (seed, observations) = (self.seed, observations.clone());
        let address = self.agent.address().ok()?;
        Some(std::thread::spawn(move || {
            sleep(delay);
            let mut crowd = Crowd::connect(address, behavior, seed, count).unwrap();
            while !observations.is_stopped() {
                crowd.step().unwrap();
                sleep(CROWD_INTERVAL);
            }
        }))
    }

    fn next_event(&mut self) {
        match self.rng.gen_range(0..16) {
            0..4 => self.add_endpoint(),
            4 => self.drain_extra_endpoints(),
            5 | 6 => self.change_endpoint(),
            7 => self.signals("HUP", Signal::HUP),
            8 => self.signals("USR1", Signal::USR1),
            9 => self.stall(),
            10 => self.kill(),
            11 => self.terminate(),
            12 => self.silence_discovery(),
            13 => self.crash_endpoint(),
            14 => self.note("platform closes its connections", |run| {
                run.cluster.platform.close_connections();
            }),
            _ => self.reload_limits(),
        }
    }

    fn note(&mut self, event: &str, act: impl FnOnce(&mut Run)) {
        self.log.push(event.to_owned());
        act(self);
    }

    fn add_endpoint(&mut self) {
        let id = format!("x-{}", self.next_endpoint);
        self.next_endpoint += 1;
        let behavior = behavior(&mut self.rng);
        let build = self.rng.gen_range(41..43);
        if build == 42 {
            let status = RolloutStatus::now(42, 1, "trial", 1.0);
            self.cluster.platform.set_rollout_status(status);
        }
        self.cluster
            .add_cold_endpoint(0, &id, build, behavior)
            .unwrap();
        self.log.push(format!("{id} of build {build} starts"));
        self.extra_endpoints.push(id);
    }

    /// Drains all endpoints but the lasting ones in one list.
    fn drain_extra_endpoints(&mut self) {
        let ids = std::mem::take(&mut self.extra_endpoints);
        let entries: Vec<_> = self
            .cluster
            .discovery
            .entries()
            .into_iter()
            .filter(|entry| ids.contains(&entry.id))
            .map(|entry| Entry {
                state: "terminating".into(),
                ..entry
            })
            .collect();
        self.cluster.discovery.update(entries);
        self.log.push(format!("{ids:?} drain"));
        let now = Instant::now();
        for id in &ids {
            self.expectations.drained_at.insert(id.clone(), now);
        }
        self.removals.push((now + REMOVAL_DELAY, ids));
    }

    /// Removes from the list what has drained for [`REMOVAL_DELAY`], and ends it.
    fn remove_drained_endpoints(&mut self) {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.removals)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.removals = later;
        let due: Vec<(Instant, Vec<String>)> = due;
        for id in due.into_iter().flat_map(|(_, ids)| ids) {
            self.cluster
                .discovery
                .update_entry(&id, |entry| entry.state = "terminated".into());
            self.cluster.endpoint(&id).unwrap().crash();
        }
    }

    fn change_endpoint(&mut self) {
        let id = self.lasting_endpoint();
        let endpoint = self.cluster.endpoint(&id).unwrap();
        let response = [
            ResponseBehavior::Close,
            ResponseBehavior::Reject,
            ResponseBehavior::Fail,
            ResponseBehavior::NeverAnswer,
            ResponseBehavior::StallMidAnswer,
            ResponseBehavior::Garbage,
        ][self.rng.gen_range(0..6)];
        let share = [0.0, 0.1, 0.5][self.rng.gen_range(0..3)];
        let link = Link {
            reply_delay: ms([0, 0, 100, 400][self.rng.gen_range(0..4)]),
            ..Link::default()
        };
        endpoint.update_behavior(|behavior| behavior.random_responses = vec![(response, share)]);
        endpoint.set_link(0, link);
        self.log.push(format!(
            "{id}: {response:?} at {share}, {:?} late",
            link.reply_delay
        ));
    }

    /// Two of the lasting endpoints are never changed, so that requests can be served.
    fn lasting_endpoint(&mut self) -> String {
        format!("s-{}", self.rng.gen_range(2..LASTING_ENDPOINTS))
    }

    fn crash_endpoint(&mut self) {
        let id = self.lasting_endpoint();
        self.log.push(format!("{id} crashes and starts again"));
        let endpoint = self.cluster.endpoint(&id).unwrap();
        endpoint.crash();
        // The address is free once the fakes' thread has dropped the listener.
        assert!(runtime::wait_until(|| endpoint.restart().is_ok()));
    }

    fn signals(&mut self, name: &str, signal: Signal) {
        let count = self.rng.gen_range(1..5);
        self.log.push(format!("{count} x SIG{name}"));
        for _ in 0..count {
            self.agent.signal(signal).unwrap();
            sleep(ms(self.rng.gen_range(0..30)));
        }
    }

    fn reload_limits(&mut self) {
        self.log.push("reload".into());
        let configuration = self.agent.configuration.to_string();
        self.agent.reload(&configuration).unwrap();
    }

    fn stall(&mut self) {
        self.log.push("stalled for 140 ms".into());
        self.agent.set_stalled(true).unwrap();
        sleep(ms(140));
        self.agent.set_stalled(false).unwrap();
    }

    fn silence_discovery(&mut self) {
        self.log.push("watches fall silent".into());
        self.cluster
            .discovery
            .silence_watches([ConnectionBehavior::Unanswered]);
        self.expectations.silent_since.push(Instant::now());
    }

    fn kill(&mut self) {
        self.log.push("SIGKILL".into());
        let killed_at = Instant::now();
        self.observe_memory();
        self.agent.signal(Signal::KILL).unwrap();
        self.restart(killed_at, killed_at);
    }

    /// SIGTERM, further signals, and SIGKILL at the earliest time that the page allows.
    fn terminate(&mut self) {
        self.log.push("SIGTERM".into());
        let terminated_at = Instant::now();
        self.agent.terminate().unwrap();
        if self.rng.gen_bool(0.5) {
            sleep(ms(self.rng.gen_range(0..700)));
            self.log.push("SIGHUP and SIGTERM again".into());
            let _ = self.agent.signal(Signal::HUP);
            let _ = self.agent.terminate();
        }
        while terminated_at.elapsed() < KILL_AFTER_TERM && self.agent.is_running().unwrap() {
            self.observe_memory();
            sleep(ms(5));
        }
        let killed_at = Instant::now();
        if self.agent.is_running().unwrap() {
            self.agent.signal(Signal::KILL).unwrap();
        } else if !self.agent.wait_for_success().unwrap() {
            self.violation("ended with an error after SIGTERM".into());
        }
        self.restart(terminated_at, killed_at);
    }

    fn restart(&mut self, terminated_at: Instant, killed_at: Instant) {
        let _ = self.agent.wait_for_success();
        sleep(DOWN_TIME);
        let mut configuration = self.agent.configuration.clone();
        configuration["known"] = self.cluster.discovery.full_list(0);
        self.agent = start(&configuration);
        let started_at = Instant::now();
        self.expectations.outages.push(Outage {
            terminated_at,
            killed_at,
            started_at,
        });
    }

    /// The process has to run, within its memory limit.
    fn check_process(&mut self) {
        if !self.agent.is_running().unwrap() {
            let log = self.agent.log();
            let end: String = log.lines().rev().take(5).collect::<Vec<_>>().join(" | ");
            self.violation(format!("the process ended by itself: {end}"));
            let now = Instant::now();
            self.restart(now, now);
        }
        self.observe_memory();
    }

    fn observe_memory(&mut self) {
        let Ok(peak_kib) = self.agent.memory_kib("VmHWM") else {
            return;
        };
        let limit_kib = self.memory_mb * 1024;
        if peak_kib > limit_kib && self.peak_kib <= limit_kib {
            self.violation(format!("{peak_kib} KiB of {limit_kib}"));
        }
        self.peak_kib = self.peak_kib.max(peak_kib);
    }

    fn end_agent(&mut self) {
        self.agent.terminate().unwrap();
        let begun = Instant::now();
        while begun.elapsed() < KILL_AFTER_TERM + ms(300) && self.agent.is_running().unwrap() {
            sleep(ms(10));
        }
        if self.agent.is_running().unwrap() {
            self.violation("still runs when SIGKILL comes after SIGTERM".into());
        } else if !self.agent.wait_for_success().unwrap() {
            self.violation("ended with an error after SIGTERM".into());
        }
    }

    fn violation(&mut self, violation: String) {
        self.expectations.violations.push(violation);
    }
}

fn start(configuration: &serde_json::Value) -> AgentProcess {
    let binary = std::env::var("AGENT").unwrap_or_else(|_| BINARY.to_owned());
    AgentProcess::start(binary, configuration.clone(), &[]).unwrap()
}

/// When each drained endpoint was announced as such.
pub type DrainTimes = BTreeMap<String, Instant>;
