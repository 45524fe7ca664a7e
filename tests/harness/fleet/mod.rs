//! Drives a `Balancer` with thousands of endpoints: keeps track of timers and attempts in flight,
//! checks invariants at a cost that does not depend on the size of the fleet, and counts the
//! endpoints that decisions and evaluations scan.

pub mod fixtures;
pub mod work;

use super::ms;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tulipwall::*;
use work::Work;

/// Time from the arrival of a request to its deadline.
const TIME_LEFT: Duration = Duration::from_millis(1500);
/// Upper bound of the time for which a fault can keep an endpoint ejected, with a margin.
const MAX_EJECTION: Duration = Duration::from_secs(10);

/// How an endpoint answers an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// How the attempt ends if it does not time out first.
    pub outcome: Outcome,
    /// Time from sending the attempt to its end.
    pub after: Duration,
}

impl Answer {
    /// Creates an answer with this outcome after this time.
    pub fn new(outcome: Outcome, after: Duration) -> Answer {
        Answer { outcome, after }
    }

    /// A success after 20 ms.
    pub fn success() -> Answer {
        Answer::new(Outcome::Succeeded, ms(20))
    }
}

/// Requests of one class, spread evenly over time.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Index of the request class.
    pub class: usize,
    /// Requests per second.
    pub rate: f64,
}

/// Numbers of requests by their final answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Requests that an endpoint answered with success.
    pub succeeded: usize,
    /// Requests that the balancer rejected.
    pub rejected: usize,
    /// Requests that the balancer gave a final failure.
    pub failed: usize,
}

impl AnswerCounts {
    /// Requests that have a final answer.
    pub fn total(&self) -> usize {
        self.succeeded + self.rejected + self.failed
    }
}

/// An attempt that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// When the attempt was sent.
    pub at: Duration,
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Build that the endpoint ran.
    pub build: u32,
}

/// An attempt in flight.
struct InFlight {
    number: usize,
    endpoint: usize,
    sent: Duration,
    ends: Duration,
    outcome: Outcome,
}

/// A request without a final answer.
struct OpenRequest {
    class: usize,
    deadline: Duration,
    attempts: usize,
    in_flight: Option<InFlight>,
    recheck_at: Option<Duration>,
}

/// Decides how an endpoint answers an attempt of a request class.
pub type Responder<'a> = &'a dyn Fn(&EndpointEntry, usize) -> Answer;

/// One agent that balances over a large fleet.
pub struct FleetDriver {
    /// Current simulated time.
    pub now: Duration,
    /// The balancer under test.
    pub balancer: Balancer,
    /// Settings of the balancer.
    pub settings: Settings,
    /// Endpoints as last listed, by index.
    pub entries: Vec<EndpointEntry>,
    /// All attempts, in the order in which they were sent.
    pub sent: Vec<Sent>,
    /// Final answers so far.
    pub answers: AnswerCounts,
    /// Work since it was last taken.
    pub work: Work,
    /// Votes that the balancer cast.
    pub votes: Vec<Vote>,
    /// Log lines that the balancer returned.
    pub log_lines: Vec<String>,
    open: BTreeMap<u64, OpenRequest>,
    /// Endpoints that were in slow start when they were last checked.
    warming: BTreeSet<usize>,
    /// Endpoints that ended an attempt since the last evaluation.
    answered: BTreeSet<usize>,
    /// When each endpoint that had a fault can no longer be ejected for it.
    faulty_until: BTreeMap<usize, Duration>,
    last_id: u64,
    /// Requests to send by now, with the fraction of the next one.
    arrivals_due: f64,
    next_poll: Duration,
}

impl FleetDriver {
    /// Creates a balancer without endpoints.
    pub fn new(settings: Settings) -> FleetDriver {
        let now = ms(1000);
        FleetDriver {
            now,
            balancer: Balancer::new(now, settings.clone()),
            settings,
            entries: Vec::new(),
            sent: Vec::new(),
            answers: AnswerCounts::default(),
            work: Work::default(),
            votes: Vec::new(),
            log_lines: Vec::new(),
            open: BTreeMap::new(),
            warming: BTreeSet::new(),
            answered: BTreeSet::new(),
            faulty_until: BTreeMap::new(),
            last_id: 0,
            arrivals_due: 0.0,
            next_poll: now,
        }
    }

    /// Adds or changes these endpoints. New ones must have the next free indices, without a gap.
    pub fn update_endpoints(&mut self, entries: &[EndpointEntry]) {
        self.balancer.update_endpoints(self.now, entries, false);
        for entry in entries {
            self.remember(entry);
        }
    }

    /// Replaces the list by these endpoints; all others are gone.
    pub fn replace_endpoints(&mut self, entries: &[EndpointEntry]) {
        self.balancer.update_endpoints(self.now, entries, true);
        for entry in &mut self.entries {
            entry.state = EndpointState::Gone;
        }
        for entry in entries {
            self.remember(entry);
        }
    }

    fn remember(&mut self, entry: &EndpointEntry) {
        let index = entry.endpoint;
        if index == self.entries.len() {
            self.entries.push(entry.clone());
        } else {
            self.entries[index] = entry.clone();
        }
        if self.is_warming(index) {
            self.warming.insert(index);
        }
    }

    /// Whether an endpoint is running and in slow start.
    pub fn is_warming(&self, endpoint: usize) -> bool {
        let entry = &self.entries[endpoint];
        let warm_after = self.settings.slow_start_duration;
        let is_young = entry
            .started
            .is_some_and(|started| started + warm_after > self.now);
        is_young && entry.state == EndpointState::Running
    }

    /// Counts the endpoints that are in slow start now.
    pub fn warming(&mut self) -> usize {
        let warming = std::mem::take(&mut self.warming);
        self.warming = warming
            .into_iter()
            .filter(|e| self.is_warming(*e))
            .collect();
        self.warming.len()
    }

    /// Returns the work since the last call, and resets it.
    pub fn take_work(&mut self) -> Work {
        std::mem::take(&mut self.work)
    }

    /// Advances the time by `span` in steps of the timer granularity, with this traffic.
    pub fn run(&mut self, span: Duration, traffic: &[Traffic], respond: Responder) {
        let end = self.now + span;
        while self.now < end {
            self.now += self.settings.timer_granularity;
            self.end_due_attempts(respond);
            self.run_due_rechecks(respond);
            self.send_due_requests(traffic, respond);
            if self.now >= self.next_poll {
                self.poll();
            }
        }
    }

    /// Advances the time without new requests until every open request must have its final answer.
    pub fn finish(&mut self, respond: Responder) {
        self.run(TIME_LEFT + ms(100), &[], respond);
        assert!(
            self.open.is_empty(),
            "requests without an answer after their deadline"
        );
    }

    fn send_due_requests(&mut self, traffic: &[Traffic], respond: Responder) {
        let tick = self.settings.timer_granularity.as_secs_f64();
        self.arrivals_due += traffic.iter().map(|t| t.rate).sum::<f64>() * tick;
        while self.arrivals_due >= 1.0 {
            self.arrivals_due -= 1.0;
            let class = class_of(traffic, self.last_id);
            self.send_request(class, respond);
        }
    }

    /// Sends one request of this class.
    pub fn send_request(&mut self, class: usize, respond: Responder) {
        self.last_id += 1;
        let id = self.last_id;
        self.open.insert(
            id,
            OpenRequest {
                class,
                deadline: self.now + TIME_LEFT,
                attempts: 0,
                in_flight: None,
                recheck_at: None,
            },
        );
        let request = Request {
            class,
            tenant: None,
            key: Some(id),
            time_left: TIME_LEFT,
            estimated_work: None,
            is_retry: false,
        };
        let before = self.balancer.endpoints_scanned();
        self.balancer.on_request(self.now, id, request);
        self.work.scanned_by_decisions += self.balancer.endpoints_scanned() - before;
        self.route(id, respond);
    }

    fn route(&mut self, id: u64, respond: Responder) {
        let before = self.balancer.endpoints_scanned();
        let decision = self.balancer.route(self.now, id);
        self.work.scanned_by_decisions += self.balancer.endpoints_scanned() - before;
        self.work.decisions += 1;
        self.apply(id, decision, respond);
    }

    fn apply(&mut self, id: u64, decision: Decision, respond: Responder) {
        match decision {
            Decision::Forward {
                endpoint,
                timeout,
                recheck_at,
            } => self.forward(id, endpoint, timeout, recheck_at, respond),
            Decision::Defer { until } => {
                assert!(until > self.now, "decision deferred to a time that is past");
                self.open_mut(id).recheck_at = Some(until);
            }
            Decision::Reject { .. } => {
                self.answers.rejected += 1;
                self.close(id);
            }
            Decision::Fail => {
                self.answers.failed += 1;
                self.close(id);
            }
            Decision::Cancel { attempt } => self.cancel(id, attempt, respond),
            Decision::Await => {}
        }
    }

    fn open_mut(&mut self, id: u64) -> &mut OpenRequest {
        self.open
            .get_mut(&id)
            .expect("decision on a request that has its final answer")
    }

    /// Removes a request on its final answer, of which there must be one, before the deadline.
    fn close(&mut self, id: u64) {
        let request = self
            .open
            .remove(&id)
            .expect("second final answer to a request");
        let latest = request.deadline + self.settings.timer_granularity;
        assert!(self.now <= latest, "final answer after the deadline");
    }

    fn forward(
        &mut self,
        id: u64,
        endpoint: usize,
        timeout: Duration,
        recheck_at: Option<Duration>,
        respond: Responder,
    ) {
        let now = self.now;
        let entry = &self.entries[endpoint];
        assert_eq!(
            entry.state,
            EndpointState::Running,
            "attempt sent to an endpoint that is draining or gone"
        );
        let build = entry.build;
        let class = self.open[&id].class;
        let answer = respond(entry, class);
        let max_attempts = self.settings.max_attempts;
        let request = self.open_mut(id);
        assert!(now < request.deadline, "attempt sent after the deadline");
        assert!(
            request.in_flight.is_none(),
            "second attempt sent while one is in flight"
        );
        assert!(request.attempts < max_attempts);
        let times_out = request.deadline.min(now + timeout);
        let is_late = now + answer.after > times_out;
        request.in_flight = Some(InFlight {
            number: request.attempts,
            endpoint,
            sent: now,
            ends: times_out.min(now + answer.after),
            outcome: if is_late {
                Outcome::TimedOut
            } else {
                answer.outcome
            },
        });
        request.attempts += 1;
        request.recheck_at = recheck_at;
        self.sent.push(Sent {
            at: now,
            endpoint,
            build,
        });
    }

    fn cancel(&mut self, id: u64, attempt: usize, respond: Responder) {
        let in_flight = self.open_mut(id).in_flight.take();
        if let Some(cancelled) = in_flight.filter(|a| a.number == attempt) {
            self.end_attempt(id, cancelled, Outcome::Cancelled, respond);
        }
    }

    fn end_due_attempts(&mut self, respond: Responder) {
        let now = self.now;
        let is_due =
            |request: &OpenRequest| request.in_flight.as_ref().is_some_and(|a| now >= a.ends);
        let due = self.open.iter().filter(|(_, request)| is_due(request));
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in due {
            if let Some(ended) = self.open_mut(id).in_flight.take() {
                let outcome = ended.outcome;
                self.end_attempt(id, ended, outcome, respond);
            }
        }
    }

    fn end_attempt(&mut self, id: u64, ended: InFlight, outcome: Outcome, respond: Responder) {
        let is_final = outcome == Outcome::Succeeded;
        if is_final {
            self.answers.succeeded += 1;
            self.close(id);
        }
        self.answered.insert(ended.endpoint);
        if outcome != Outcome::Succeeded {
            let until = self.now + MAX_EJECTION;
            self.faulty_until.insert(ended.endpoint, until);
        }
        let end = AttemptEnd {
            outcome,
            latency: self.now - ended.sent,
            request_closed: is_final,
            reported_load: None,
        };
        let before = self.balancer.endpoints_scanned();
        let decision = self
            .balancer
            .on_attempt_end(self.now, id, ended.number, end);
        self.work.scanned_by_decisions += self.balancer.endpoints_scanned() - before;
        if is_final {
            assert_eq!(
                decision,
                Decision::Await,
                "decision other than Await after the final answer"
            );
        } else {
            self.apply(id, decision, respond);
        }
    }

    fn run_due_rechecks(&mut self, respond: Responder) {
        let now = self.now;
        let is_due = |request: &OpenRequest| request.recheck_at.is_some_and(|at| now >= at);
        let due = self.open.iter().filter(|(_, request)| is_due(request));
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in due {
            self.open_mut(id).recheck_at = None;
            self.route(id, respond);
        }
    }

    /// Polls the balancer now.
    pub fn poll(&mut self) {
        let now = self.now;
        let before = self.balancer.endpoints_scanned();
        let due = self.balancer.poll(now);
        self.work.scanned_by_evaluations += self.balancer.endpoints_scanned() - before;
        self.work.evaluations += 1;
        self.faulty_until.retain(|_, until| *until > now);
        let answered = std::mem::take(&mut self.answered).len();
        let changed = answered + self.faulty_until.len() + self.warming();
        self.work.changed += changed as u64;
        self.next_poll = due.next_poll;
        self.log_lines.extend(due.log_lines);
        if let Some(vote) = due.vote {
            self.votes.push(vote);
            self.balancer.on_vote_reply(now, VoteReply::Counted);
        }
    }

    /// Returns the attempts sent at or after a time.
    pub fn sent_since(&self, from: Duration) -> impl Iterator<Item = &Sent> {
        let first = self.sent.partition_point(|sent| sent.at < from);
        self.sent[first..].iter()
    }

    /// Returns the share of the attempts since a time for which `is_kind` holds, or 0 if there were
    /// none.
    pub fn share_since(&self, from: Duration, is_kind: impl Fn(&Sent) -> bool) -> f64 {
        let all = self.sent_since(from).count();
        let of_kind = self.sent_since(from).filter(|sent| is_kind(sent)).count();
        of_kind as f64 / all.max(1) as f64
    }
}

/// Assigns a class to a request, so that each class gets its share of the requests by its rate.
fn class_of(traffic: &[Traffic], id: u64) -> usize {
    let total: f64 = traffic.iter().map(|t| t.rate).sum();
    // Multiples of the golden ratio spread consecutive identifiers evenly over 0 to 1.
    let mut point = (id as f64 * 0.618_033_988_749_895).fract() * total;
    for class_traffic in traffic {
        if point < class_traffic.rate {
            return class_traffic.class;
        }
        point -= class_traffic.rate;
    }
    traffic
        .last()
        .map_or(0, |class_traffic| class_traffic.class)
}
