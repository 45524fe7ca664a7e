//! A hollow agent: the real decisions, list, reading and watchdog in simulated time, without
//! sockets. It decides nothing of its own; where an answer of an endpoint comes from chance, the
//! chance is drawn from the told seed.

use super::meter::{cpu, Kind, Meter, Work};
use super::size::{tenant, Size};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tulipwall::{AttemptEnd, Balancer, Decision, Outcome, Request, RolloutStatus};
use tulipwall_agent::protocol::http;
use tulipwall_agent::protocol::platform::{self, PlatformMessage};
use tulipwall_config::ServiceConfig;
use tulipwall_discovery::clock::Clock;
use tulipwall_discovery::endpoint_table::{EndpointTable, IndexGuard};
use tulipwall_discovery::list_lease::ListLease;
use tulipwall_discovery::list_response::{self, ListResponse};
use tulipwall_discovery::watch_timer::{FirstCall, WatchEnd, WatchTimer};

/// As the real agent's: without a line for so long its connection to the platform is opened anew.
const PLATFORM_SILENT: Duration = Duration::from_millis(3500);
/// How long a client waits.
const EXPIRY: Duration = Duration::from_millis(1500);
const WORK_MS: f64 = 20.0;
/// There and back to an endpoint.
const WAY: Duration = Duration::from_millis(1);

/// What is so, whatever anyone was told.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    /// By endpoint: its machine is gone, and silent.
    pub down: Vec<bool>,
    /// The regions do not reach each other. Discovery and platform are in the first.
    pub cut: bool,
}

/// What comes to an agent.
#[derive(Clone, Debug)]
pub enum Mail {
    /// Discovery's whole HTTP answer to a call.
    Told {
        call: u64,
        status: u16,
        bytes: Arc<Vec<u8>>,
    },
    /// A line of the platform's.
    Line { kind: Kind, bytes: Arc<Vec<u8>> },
    /// SIGHUP: a new configuration.
    Reload,
    /// The process ends and another begins, with this list from its configuration.
    Restart { known: Arc<Vec<u8>> },
}

/// What an agent sends.
#[derive(Clone, Debug)]
pub enum Post {
    Ask {
        call: u64,
        path: String,
        /// It begins a watch, on a connection of its own; otherwise it goes on with one.
        begins: bool,
    },
    /// The connection of this call is closed.
    Drop {
        call: u64,
    },
    /// A connection to the platform, in the place of any other.
    Open {
        line: String,
    },
    Vote {
        line: String,
    },
}

enum What {
    Arrive,
    Ends(u64, usize, Outcome),
    Look(u64),
    Expires(u64),
    PollResult,
    Begin(u64),
    Late(u64),
    Quiet,
}

struct Event {
    at: Duration,
    order: u64,
    what: What,
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A request in hand.
struct Live {
    out: Vec<Option<(Duration, Option<IndexGuard>)>>, // attempts: when sent, and the hold on its number
    look: Option<Duration>,
    answered: bool,
}

/// How it stands with discovery.
enum Talk {
    Idle,
    /// The first call of a watch.
    Begins(u64),
    Watches(u64),
}

/// What an agent counts beside its meter.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub commands: u64,
    pub succeeded: u64,
    pub attempts: u64,
    /// Looks at endpoints by the module's walks.
    pub looks: u64,
    pub surveys: u64,
    /// When which version was known.
    pub learnt: Vec<(Duration, u64)>,
    /// From a SIGHUP until discovery and the platform were heard anew.
    pub renewed: Vec<Duration>,
    /// What it keeps: requests, endpoints, builds, keys, and what is listed.
    pub kept: [usize; 5],
}

pub struct Hollow {
    pub number: usize,
    size: Size,
    site: Rc<ServiceConfig>,
    clock: Rc<Clock>,
    choice: Balancer,
    list: EndpointTable,
    watchdog: WatchTimer,
    list_valid_until: ListLease,
    rng: Pcg64Mcg,
    events: BinaryHeap<Reverse<Event>>,
    order: u64,
    commands: HashMap<u64, Live>,
    taken: u64,
    calls: u64,
    begins: u64, // the beginning that is due
    again: bool, // one is
    due: bool,
    talk: Talk,
    owes: [bool; 2], // to hear discovery and the platform anew
    reloaded: Duration,
    quiet_until: Duration,
    lives: u64,
    pub posts: Vec<(Duration, usize, Post)>,
    pub meter: Meter,
    pub counts: Counts,
    looked: u64, // by earlier lives, and before the count began
}

impl Hollow {
    pub fn start(
        number: usize,
        size: Size,
        site: Rc<ServiceConfig>,
        clock: Rc<Clock>,
        seed: u64,
        now: Duration,
    ) -> Hollow {
        let seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64;
        let (choice, watchdog, list_valid_until) = begin(&site, &size, number, seed, now);
        let mut hollow = Hollow {
            number,
            size,
            site,
            clock,
            choice,
            list: EndpointTable::default(),
            watchdog,
            list_valid_until,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0xa11c),
            events: BinaryHeap::new(),
            order: 0,
            commands: HashMap::new(),
            taken: 0,
            calls: 0,
            begins: 0,
            again: false,
            due: false,
            talk: Talk::Idle,
            owes: [false; 2],
            reloaded: now,
            quiet_until: now,
            lives: seed,
            posts: Vec::new(),
            meter: Meter::default(),
            counts: Counts::default(),
            looked: 0,
        };
        hollow.starts(now);
        hollow.push(now, What::PollResult);
        hollow.push(now, What::Quiet);
        hollow.arrive(now);
        hollow
    }

    fn push(&mut self, at: Duration, what: What) {
        self.order += 1;
        self.events.push(Reverse(Event {
            at,
            order: self.order,
            what,
        }));
    }

    /// All that happens before `until`, with what comes in; both in the order of their times.
    pub fn step(&mut self, until: Duration, truth: &Truth, mail: Vec<(Duration, Mail)>) {
        let mut mail = mail.into_iter().peekable();
        loop {
            let next = self.events.peek().map(|e| e.0.at).filter(|at| *at < until);
            match (next, mail.peek().map(|m| m.0)) {
                (Some(at), Some(came)) if at < came => self.event(truth),
                (_, Some(_)) => {
                    if let Some((at, what)) = mail.next() {
                        self.heard(at, what);
                    }
                }
                (Some(_), None) => self.event(truth),
                (None, None) => return,
            }
        }
    }

    /// Counts from now on.
    pub fn count_from(&mut self, now: Duration) {
        self.meter = Meter {
            from: now,
            clock: self.meter.clock,
            ..Meter::default()
        };
        let learnt = std::mem::take(&mut self.counts.learnt);
        self.counts = Counts {
            learnt,
            ..Counts::default()
        };
        self.looked = self.choice.endpoints_scanned();
    }

    pub fn finish(&mut self) {
        self.counts.looks += self.choice.endpoints_scanned() - self.looked;
        let [commands, endpoints, builds, keys] = self.choice.retained_counts();
        self.counts.kept = [commands, endpoints, builds, keys, self.list.len()];
    }

    fn event(&mut self, truth: &Truth) {
        let Some(Reverse(Event { at: now, what, .. })) = self.events.pop() else {
            return;
        };
        match what {
            What::Arrive => self.command(now, truth),
            What::Ends(id, n, outcome) => self.ends(now, id, n, outcome, truth),
            What::Look(id) => {
                if self
                    .commands
                    .get(&id)
                    .is_some_and(|c| !c.answered && c.look == Some(now))
                {
                    let begun = cpu();
                    let answer = self.choice.route(now, id);
                    self.meter.spent(now, Work::Decisions, begun);
                    self.act(now, id, answer, truth);
                }
            }
            What::Expires(id) => {
                if self.commands.get(&id).is_some_and(|c| !c.answered) {
                    self.choice.close_request(id);
                    self.done(id);
                }
            }
            What::PollResult => self.due(now),
            What::Begin(nth) if nth == self.begins && self.again => self.begin(now),
            What::Begin(_) => {}
            What::Late(call) => self.failed(now, call, WatchEnd::TimedOut),
            What::Quiet => self.platform(now),
        }
    }

    // Requests.

    fn arrive(&mut self, now: Duration) {
        if self.size.rate > 0.0 {
            let gap = -self.rng.gen_range(f64::MIN_POSITIVE..1.0).ln() / self.size.rate;
            self.push(now + Duration::from_secs_f64(gap), What::Arrive);
        }
    }

    fn command(&mut self, now: Duration, truth: &Truth) {
        self.arrive(now);
        let name = tenant(self.rng.gen_range(0..self.size.tenants.max(1)));
        let (class, key) = (self.rng.gen_range(0..self.size.classes), self.rng.gen());
        let begun = cpu();
        let tenant = self.site.tenant_index(&name);
        self.meter.spent(now, Work::Tenants, begun);
        let command = Request {
            class,
            tenant,
            key: Some(key),
            time_left: EXPIRY,
            estimated_work: None,
            is_retry: false,
        };
        let id = self.taken;
        self.taken += 1;
        self.counts.commands += 1;
        let begun = cpu();
        self.choice.on_request(now, id, command);
        let answer = self.choice.route(now, id);
        self.meter.spent(now, Work::Decisions, begun);
        self.commands.insert(
            id,
            Live {
                out: Vec::new(),
                look: None,
                answered: false,
            },
        );
        self.push(now + EXPIRY, What::Expires(id));
        self.act(now, id, answer, truth);
    }

    /// As the agent acts on what the module answers.
    fn act(&mut self, now: Duration, id: u64, mut answer: Decision, truth: &Truth) {
        loop {
            match answer {
                Decision::Forward {
                    endpoint,
                    timeout,
                    recheck_at: look,
                } => {
                    self.send(now, id, endpoint, timeout, truth);
                    look.into_iter().for_each(|at| self.look(id, at));
                    return;
                }
                Decision::Defer { until } => return self.look(id, until),
                Decision::Reject { .. } | Decision::Fail => return self.done(id),
                Decision::Cancel { attempt } => {
                    match self.end(now, id, attempt, Outcome::Cancelled, false) {
                        Some(next) => answer = next,
                        None => return,
                    }
                }
                Decision::Await => return,
            }
        }
    }

    fn look(&mut self, id: u64, at: Duration) {
        if let Some(c) = self.commands.get_mut(&id) {
            c.look = Some(at);
            self.push(at, What::Look(id));
        }
    }

    fn send(&mut self, now: Duration, id: u64, endpoint: usize, timeout: Duration, truth: &Truth) {
        let begun = cpu();
        let (target, held) = (self.list.target(endpoint), self.list.hold_index(endpoint));
        self.meter.spent(now, Work::Decisions, begun);
        let (took, outcome) = match target.map(|t| (t.address, t.zone)) {
            None => (Duration::ZERO, Outcome::NotSent),
            Some((address, zone)) => {
                let own = self.size.region(self.size.zone(self.number));
                let away = truth.cut && self.size.region(zone) != own;
                let drawn = -self.rng.gen_range(f64::MIN_POSITIVE..1.0).ln() * WORK_MS / 1000.0;
                let took = WAY + Duration::from_secs_f64(drawn);
                match away || truth.down.get(place(address)) == Some(&true) {
                    true => (
                        self.site.connect_timeout.min(timeout),
                        Outcome::ConnectFailed,
                    ),
                    false if took > timeout => (timeout, Outcome::TimedOut),
                    false => (took, Outcome::Succeeded),
                }
            }
        };
        let Some(c) = self.commands.get_mut(&id) else {
            return;
        };
        c.out.push(Some((now, held)));
        let nth = c.out.len() - 1;
        self.counts.attempts += 1;
        self.push(now + took, What::Ends(id, nth, outcome));
    }

    /// Tells the module of an end, unless it was told before.
    fn end(
        &mut self,
        now: Duration,
        id: u64,
        n: usize,
        outcome: Outcome,
        closed: bool,
    ) -> Option<Decision> {
        let (sent, _held) = self.commands.get_mut(&id)?.out.get_mut(n)?.take()?;
        let end = AttemptEnd {
            outcome,
            latency: now.saturating_sub(sent),
            request_closed: closed,
            reported_load: None,
        };
        let begun = cpu();
        let answer = self.choice.on_attempt_end(now, id, n, end);
        self.meter.spent(now, Work::Decisions, begun);
        Some(answer)
    }

    fn ends(&mut self, now: Duration, id: u64, n: usize, outcome: Outcome, truth: &Truth) {
        let Some(answered) = self.commands.get(&id).map(|c| c.answered) else {
            return;
        };
        let succeeded = outcome == Outcome::Succeeded && !answered;
        let Some(answer) = self.end(now, id, n, outcome, succeeded || answered) else {
            return;
        };
        if succeeded {
            self.counts.succeeded += 1;
            if let Decision::Cancel { attempt } = answer {
                self.end(now, id, attempt, Outcome::Cancelled, true);
            }
            self.done(id);
        } else if answered {
            self.done(id);
        } else {
            self.act(now, id, answer, truth);
        }
    }

    /// It has had its answer; what is out may still end.
    fn done(&mut self, id: u64) {
        let Some(c) = self.commands.get_mut(&id) else {
            return;
        };
        c.answered = true;
        if c.out.iter().all(Option::is_none) {
            self.commands.remove(&id);
        }
    }

    fn due(&mut self, now: Duration) {
        let begun = cpu();
        let due = self.choice.poll(now);
        self.meter.spent(now, Work::Surveys, begun);
        self.counts.surveys += 1;
        self.due |= due.open_watch;
        if let Some(vote) = due.vote {
            self.calls += 1;
            let line = platform::vote_request(self.calls, &vote);
            self.meter.passed(now, Kind::Voted, line.len());
            self.posts.push((now, self.number, Post::Vote { line }));
        }
        if self.due && !self.again && matches!(self.talk, Talk::Idle) {
            self.begin(now);
        }
        self.push(
            due.next_poll.max(now + Duration::from_millis(1)),
            What::PollResult,
        );
    }

    // Discovery, as `crates/agent/src/discovery.rs` talks to it where calls are paid for.

    fn ask(&mut self, now: Duration, path: &str, time: Duration, begins: bool) -> u64 {
        self.calls += 1;
        let call = self.calls;
        self.meter.passed(
            now,
            Kind::Asked,
            http::get_request("10.200.0.1:8500", path).len(),
        );
        self.posts.push((
            now,
            self.number,
            Post::Ask {
                call,
                path: path.to_owned(),
                begins,
            },
        ));
        self.push(now + time, What::Late(call));
        call
    }

    fn begin(&mut self, now: Duration) {
        (self.due, self.again) = (false, false);
        let wait = self.watchdog.first_wait();
        let known = !self.list.is_empty() && (!self.owes[0] || !self.watchdog.calls_are_free());
        let path = match known {
            true => list_response::watch_path(self.list.version, wait),
            false => list_response::LIST_PATH.to_owned(),
        };
        let time = wait + self.watchdog.first_call_timeout(FirstCall::Patient);
        self.list_valid_until.on_watch_begin(now);
        self.talk = Talk::Begins(self.ask(now, &path, time, true));
    }

    /// A call came to nothing.
    fn failed(&mut self, now: Duration, call: u64, ended: WatchEnd) {
        let ends = match &self.talk {
            Talk::Idle => false,
            Talk::Begins(own) | Talk::Watches(own) => *own == call,
        };
        if !ends {
            return;
        }
        self.hang_up(now);
        self.list_valid_until.on_watch_end(now, ended);
        self.choice
            .set_list_valid_until(self.list_valid_until.valid_until());
        match self.watchdog.on_watch_end(ended) {
            Some(gap) => {
                (self.begins, self.again) = (self.begins + 1, true);
                self.push(now + gap, What::Begin(self.begins));
            }
            None => {
                self.due = false;
                self.choice.on_list_failure(now);
            }
        }
    }

    /// As a process begins: what is vouched for, and when discovery is first called.
    fn starts(&mut self, now: Duration) {
        self.choice
            .set_list_valid_until(self.list_valid_until.valid_until());
        if let Some(gap) = self.watchdog.startup_delay() {
            (self.begins, self.again) = (self.begins + 1, true);
            self.push(now + gap, What::Begin(self.begins));
        }
    }

    fn hang_up(&mut self, now: Duration) {
        if let Talk::Begins(call) | Talk::Watches(call) =
            std::mem::replace(&mut self.talk, Talk::Idle)
        {
            self.posts.push((now, self.number, Post::Drop { call }));
        }
    }

    fn told(&mut self, now: Duration, call: u64, status: u16, bytes: &[u8]) {
        let ours = match &self.talk {
            Talk::Idle => false,
            Talk::Begins(own) | Talk::Watches(own) => *own == call,
        };
        if !ours {
            return; // It came to a connection that is closed.
        }
        if status != 200 {
            self.meter.passed(now, Kind::Refused, bytes.len());
            return self.failed(now, call, WatchEnd::Refused);
        }
        let Some(spoilt) = self.read(now, bytes) else {
            return self.failed(now, call, WatchEnd::Malformed);
        };
        if spoilt {
            return self.failed(now, call, WatchEnd::Malformed);
        }
        self.watchdog.on_response();
        self.renewed(now, 0);
        let wait = self.watchdog.next_wait();
        self.list_valid_until.on_response(now, wait);
        self.choice
            .set_list_valid_until(self.list_valid_until.valid_until());
        let path = list_response::watch_path(self.list.version, wait);
        let next = self.ask(now, &path, wait + self.watchdog.response_grace(), false);
        self.talk = Talk::Watches(next);
    }

    /// Reads and takes an HTTP answer; whether it was spoilt in part, nothing where it cannot be
    /// read.
    fn read(&mut self, now: Duration, bytes: &[u8]) -> Option<bool> {
        let begun = cpu();
        let answer = http::parse_response(bytes, false).ok().flatten();
        let told = answer.and_then(|a| ListResponse::parse(&a.body).ok());
        self.meter.spent(now, Work::Reading, begun);
        let told = told?;
        let (spoilt, complete) = (told.first_error.is_some(), told.complete);
        let kind = match (complete, told.endpoints.len()) {
            (true, _) => Kind::Whole,
            (false, 0) => Kind::Quiet,
            (false, _) => Kind::Changes,
        };
        self.meter.passed(now, kind, bytes.len());
        self.take(now, told, complete);
        Some(spoilt)
    }

    fn take(&mut self, now: Duration, told: ListResponse, complete: bool) {
        let begun = cpu();
        let entries = self.list.apply(told, &self.site, &self.clock).entries;
        self.meter.spent(now, Work::Taking, begun);
        let begun = cpu();
        self.choice.update_endpoints(now, &entries, complete);
        self.meter.spent(now, Work::Listing, begun);
        if self
            .counts
            .learnt
            .last()
            .is_none_or(|l| l.1 != self.list.version)
        {
            self.counts.learnt.push((now, self.list.version));
        }
    }

    fn renewed(&mut self, now: Duration, party: usize) {
        if std::mem::take(&mut self.owes[party]) && self.owes == [false; 2] {
            self.counts.renewed.push(now - self.reloaded);
        }
    }

    // The platform, and what happens to the process.

    fn platform(&mut self, now: Duration) {
        if now >= self.quiet_until {
            self.open(now);
        }
        self.push(
            self.quiet_until.max(now + Duration::from_millis(50)),
            What::Quiet,
        );
    }

    fn open(&mut self, now: Duration) {
        self.calls += 1;
        let line = platform::watch_request(self.calls);
        self.meter.passed(now, Kind::Voted, line.len());
        self.posts.push((now, self.number, Post::Open { line }));
        self.quiet_until = now + PLATFORM_SILENT;
    }

    fn heard(&mut self, now: Duration, mail: Mail) {
        match mail {
            Mail::Told {
                call,
                status,
                bytes,
            } => self.told(now, call, status, &bytes),
            Mail::Line { kind, bytes } => {
                self.meter.passed(now, kind, bytes.len());
                self.quiet_until = now + PLATFORM_SILENT;
                let begun = cpu();
                match platform::parse_message(&bytes) {
                    Ok(PlatformMessage::RolloutStatus(told)) => {
                        let began = now.saturating_sub(told.age);
                        let platform::RolloutReport {
                            build,
                            stage,
                            phase,
                            cap,
                            ..
                        } = told;
                        self.choice.update_rollout(RolloutStatus {
                            build,
                            stage,
                            phase,
                            cap,
                            since: began,
                        });
                    }
                    Ok(PlatformMessage::Response { reply, .. }) => {
                        self.choice.on_vote_reply(now, reply)
                    }
                    _ => {}
                }
                self.meter.spent(now, Work::RolloutStatus, begun);
                self.renewed(now, 1);
            }
            Mail::Reload => {
                (self.owes, self.reloaded) = ([true; 2], now);
                self.hang_up(now);
                self.list_valid_until.on_address_change(now);
                self.choice
                    .set_list_valid_until(self.list_valid_until.valid_until());
                (self.begins, self.again) = (self.begins + 1, true);
                let gap = self.watchdog.on_address_change();
                self.push(now + gap, What::Begin(self.begins));
                self.open(now);
            }
            Mail::Restart { known } => self.restart(now, &known),
        }
    }

    /// Another process in its place: what was in hand is gone. Its list comes with its
    /// configuration.
    pub fn restart(&mut self, now: Duration, known: &[u8]) {
        self.hang_up(now);
        self.lives = self.lives.wrapping_add(0x51_7c_c1);
        self.counts.looks += self.choice.endpoints_scanned() - self.looked;
        self.looked = 0;
        (self.choice, self.watchdog, self.list_valid_until) =
            begin(&self.site, &self.size, self.number, self.lives, now);
        self.list = EndpointTable::default();
        self.commands.clear();
        (self.due, self.again, self.owes) = (false, false, [false; 2]);
        self.starts(now);
        let begun = cpu();
        let told = ListResponse::parse(known);
        self.meter.spent(now, Work::Reading, begun);
        if let Ok(told) = told {
            let complete = told.complete;
            self.take(now, told, complete);
        }
        self.open(now);
    }
}

fn begin(
    site: &ServiceConfig,
    size: &Size,
    number: usize,
    seed: u64,
    now: Duration,
) -> (Balancer, WatchTimer, ListLease) {
    let mut deployment = site.settings.clone();
    (deployment.seed, deployment.zone) = (seed, size.zone(number));
    let watchdog = WatchTimer::new(&deployment);
    let list_valid_until = ListLease::new(&deployment, now);
    (Balancer::new(now, deployment), watchdog, list_valid_until)
}

/// The endpoint at this address.
fn place(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(a) => u32::from_be_bytes(a.ip().octets()) as usize & 0xff_ffff,
        SocketAddr::V6(_) => usize::MAX,
    }
}
