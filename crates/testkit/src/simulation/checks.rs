//! Checkers of the rules. They look from outside, at what was received, sent, run and answered, and
//! never at what an agent says of itself.

use super::Violation;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tulipwall::{DeduplicationScope, EndpointState, Idempotency};

/// How late a final answer may be.
pub const ANSWER_SLACK: Duration = Duration::from_millis(50);
/// How soon after its notice a drain must be respected.
pub const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// An endpoint in slow start falls over when it gets so many times what it can do.
pub const OVERLOAD_MULTIPLE: f64 = 4.0;
/// Rounding that the sum of exposure may carry.
const EXPOSURE_TOLERANCE: f64 = 1e-6;
/// Standard deviations, and mean requests, by which drawn work may exceed the limit of rule 4.
const WORK_DEVIATIONS: f64 = 3.0;

/// Rule 1 for one request: exactly one answer, in time, and nothing sent after it.
#[derive(Clone, Debug)]
pub struct AnswerCheck {
    request: u64,
    class: usize,
    deadline: Duration,
    answered: bool,
}

impl AnswerCheck {
    /// A request that was received and must be answered by its deadline.
    pub fn new(request: u64, class: usize, deadline: Duration) -> AnswerCheck {
        AnswerCheck {
            request,
            class,
            deadline,
            answered: false,
        }
    }

    /// Whether it has had its answer.
    pub fn is_answered(&self) -> bool {
        self.answered
    }

    /// Checks an attempt that is sent.
    pub fn on_send(&self) -> Option<Violation> {
        let request = self.request;
        self.answered
            .then_some(Violation::SentAfterAnswer { request })
    }

    /// Checks a decision on the request. An agent that stalled until `stalled_until` is excused
    /// for a moment.
    pub fn on_decision(&self, now: Duration, stalled_until: Duration) -> Option<Violation> {
        let late = !self.answered && self.is_late(now, stalled_until);
        let request = self.request;
        late.then_some(Violation::OpenPastDeadline { request })
    }

    /// Notes the answer and checks it.
    pub fn on_answer(&mut self, now: Duration, stalled_until: Duration) -> Vec<Violation> {
        let request = self.request;
        let mut found = Vec::new();
        if self.answered {
            found.push(Violation::AnsweredTwice { request });
        }
        if self.is_late(now, stalled_until) {
            found.push(Violation::AnsweredLate { request });
        }
        self.answered = true;
        found
    }

    /// Checks the request when the simulation is over.
    pub fn at_end(&self) -> Option<Violation> {
        (!self.answered).then_some(Violation::Unanswered {
            request: self.request,
            class: self.class,
        })
    }

    fn is_late(&self, now: Duration, stalled_until: Duration) -> bool {
        now > self.deadline + ANSWER_SLACK && stalled_until + ANSWER_SLACK < now
    }
}

/// One run of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
struct Run {
    endpoint: usize,
    at: Duration,
}

/// Rule 2: what may not simply be repeated runs once, or where its repetition is recognized.
#[derive(Default)]
pub struct RepeatCheck {
    runs: BTreeMap<(usize, u64), Vec<Run>>, // by agent and request
}

/// A request as [`RepeatCheck`] knows it.
#[derive(Clone, Copy, Debug)]
pub struct CheckedRequest {
    /// Index of its agent.
    pub agent: usize,
    /// Its id there.
    pub request: u64,
    /// Index of its class.
    pub class: usize,
    /// How the class may be repeated.
    pub idempotency: Idempotency,
}

impl RepeatCheck {
    /// Whether the request came to an endpoint. Not kept of idempotent ones.
    pub fn has_run(&self, agent: usize, request: u64) -> bool {
        self.runs.contains_key(&(agent, request))
    }

    /// Notes that a request came to an endpoint, and checks that against its earlier runs.
    /// `zone_of` gives the zone of an endpoint.
    pub fn on_run(
        &mut self,
        now: Duration,
        request: CheckedRequest,
        endpoint: usize,
        zone_of: impl Fn(usize) -> usize,
    ) -> Vec<Violation> {
        if request.idempotency == Idempotency::Idempotent {
            return Vec::new();
        }
        let key = (request.agent, request.request);
        let runs = self.runs.entry(key).or_default();
        let same_zone = |run: &Run| zone_of(run.endpoint) == zone_of(endpoint);
        let repeats = runs
            .iter()
            .filter(|run| !is_deduplicated(request.idempotency, run.at, now, same_zone(run)));
        let found = repeats.map(|_| Violation::RanTwice {
            request: request.request,
            class: request.class,
        });
        let found = found.collect();
        runs.push(Run { endpoint, at: now });
        found
    }

    /// Checks a rejection, which tells the client that a retry is safe.
    pub fn on_reject(&self, request: CheckedRequest) -> Option<Violation> {
        let unsafe_retry = request.idempotency == Idempotency::NonIdempotent
            && self.has_run(request.agent, request.request);
        unsafe_retry.then_some(Violation::RejectedAfterRun {
            request: request.request,
        })
    }
}

/// Whether the endpoints recognize the repetition of a request that ran at `earlier`.
fn is_deduplicated(
    idempotency: Idempotency,
    earlier: Duration,
    now: Duration,
    same_zone: bool,
) -> bool {
    match idempotency {
        Idempotency::Keyed { scope, window } => {
            let in_scope = scope == DeduplicationScope::All || same_zone;
            in_scope && now <= earlier + window + ANSWER_SLACK
        }
        Idempotency::Idempotent | Idempotency::NonIdempotent => false,
    }
}

/// Rule 3 for one agent: nothing goes to an endpoint that it knows to be leaving.
#[derive(Default)]
pub struct DrainCheck {
    leaving: BTreeMap<usize, Duration>, // endpoint, and when its first notice came
}

impl DrainCheck {
    /// Notes what the agent was told of an endpoint.
    pub fn on_notice(&mut self, now: Duration, endpoint: usize, state: EndpointState) {
        if state == EndpointState::Running {
            self.leaving.remove(&endpoint);
        } else {
            self.leaving.entry(endpoint).or_insert(now);
        }
    }

    /// Checks an attempt that is sent.
    pub fn on_send(
        &self,
        now: Duration,
        request: u64,
        endpoint: usize,
        state: EndpointState,
    ) -> Option<Violation> {
        let noticed = self.leaving.get(&endpoint)?;
        (now > *noticed + DRAIN_GRACE).then_some(Violation::SentToLeaving {
            request,
            endpoint,
            state,
        })
    }
}

/// Rule 4 for one endpoint: in slow start it gets no more work than it stands.
pub struct SlowStartCheck {
    endpoint: usize,
    window: Duration,
    slow_start: Duration,
    arrived: VecDeque<Arrived>,
}

struct Arrived {
    at: Duration,
    work: f64, // core-seconds
}

impl SlowStartCheck {
    /// `window` is the span over which work is summed, `slow_start` how long slow start lasts.
    pub fn new(endpoint: usize, window: Duration, slow_start: Duration) -> SlowStartCheck {
        SlowStartCheck {
            endpoint,
            window,
            slow_start,
            arrived: VecDeque::new(),
        }
    }

    /// Checks work (core-seconds) that comes to the endpoint, which was started then and can do
    /// `capacity` core-seconds a second by now.
    pub fn on_work(
        &mut self,
        now: Duration,
        started: Option<Duration>,
        work: f64,
        capacity: f64,
    ) -> Option<Violation> {
        if started.is_none_or(|started| now >= started + self.slow_start) {
            return None;
        }
        let window = self.window;
        self.arrived.push_back(Arrived { at: now, work });
        while self.arrived.front().is_some_and(|a| a.at + window < now) {
            self.arrived.pop_front();
        }
        let sum: f64 = self.arrived.iter().map(|a| a.work).sum();
        let slack = WORK_DEVIATIONS * (work * sum).sqrt() + WORK_DEVIATIONS * work;
        let limit = OVERLOAD_MULTIPLE * capacity * window.as_secs_f64() + slack;
        (sum > limit).then_some(Violation::SlowStartOverload {
            endpoint: self.endpoint,
            work: sum,
            window,
        })
    }
}

/// Rule 5 for one agent: a build on trial gets at most its cap of the requests, and a burst.
#[derive(Default)]
pub struct ExposureCheck {
    /// The most attempts less cap times requests in any window that ends now.
    exposed: f64,
    cap: Option<f64>,
}

impl ExposureCheck {
    /// Sets the cap that holds from now on; under a lower one the count begins anew.
    pub fn set_cap(&mut self, cap: f64) {
        if self.cap.is_none_or(|before| cap < before) {
            self.exposed = 0.0;
        }
        self.cap = Some(cap);
    }

    /// Notes a request that the agent received.
    pub fn on_request(&mut self) {
        self.exposed = (self.exposed - self.cap.unwrap_or(0.0)).max(0.0);
    }

    /// Checks an attempt that goes to a build on trial; `burst` attempts beyond the cap are
    /// allowed.
    pub fn on_canary_send(&mut self, agent: usize, burst: f64) -> Option<Violation> {
        self.exposed += 1.0;
        let exposed = self.exposed;
        (exposed > burst + EXPOSURE_TOLERANCE).then_some(Violation::Overexposure {
            agent,
            exposed,
            burst,
        })
    }
}
