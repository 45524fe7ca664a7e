//! Checkers of the rules. They observe an agent from outside, by what was received, sent, run and
//! answered, and never rely on what the agent reports about itself.

use super::Violation;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tulipwall::{DeduplicationScope, EndpointState, Idempotency};

/// How long after its deadline a final answer is still in time.
pub const ANSWER_SLACK: Duration = Duration::from_millis(50);
/// How long after a notice of a drain attempts may still be sent to the endpoint.
pub const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// An endpoint in slow start is overloaded above this multiple of its current capacity.
pub const OVERLOAD_MULTIPLE: f64 = 4.0;
/// Tolerance for rounding errors in the sum of exposure.
const EXPOSURE_TOLERANCE: f64 = 1e-6;
/// Tolerance of rule 4 for the variation of drawn work, in standard deviations and in mean
/// requests.
const WORK_DEVIATIONS: f64 = 3.0;

/// Rule 1 for one request: exactly one answer, in time, and no attempt sent after it.
#[derive(Clone, Debug)]
pub struct AnswerCheck {
    request: u64,
    class: usize,
    deadline: Duration,
    answered: bool,
}

impl AnswerCheck {
    /// Creates a check of a received request that must be answered by `deadline`.
    pub fn new(request: u64, class: usize, deadline: Duration) -> AnswerCheck {
        AnswerCheck {
            request,
            class,
            deadline,
            answered: false,
        }
    }

    /// Whether the request has been answered.
    pub fn is_answered(&self) -> bool {
        self.answered
    }

    /// Checks that no attempt is sent after the answer.
    pub fn on_send(&self) -> Option<Violation> {
        let request = self.request;
        self.answered
            .then_some(Violation::SentAfterAnswer { request })
    }

    /// Checks that a decision is not made past the deadline. An agent that stalled until
    /// `stalled_until` gets [`ANSWER_SLACK`] from then on.
    pub fn on_decision(&self, now: Duration, stalled_until: Duration) -> Option<Violation> {
        let late = !self.answered && self.is_late(now, stalled_until);
        let request = self.request;
        late.then_some(Violation::OpenPastDeadline { request })
    }

    /// Records an answer and checks that it is the first and in time.
    pub fn on_answer(&mut self, now: Duration, stalled_until: Duration) -> Vec<Violation> {
        let request = self.request;
        let mut violations = Vec::new();
        if self.answered {
            violations.push(Violation::AnsweredTwice { request });
        }
        if self.is_late(now, stalled_until) {
            violations.push(Violation::AnsweredLate { request });
        }
        self.answered = true;
        violations
    }

    /// Checks at the end of the simulation that the request was answered.
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

/// Rule 2: a request that is not idempotent runs once, or is repeated only where endpoints
/// deduplicate it.
#[derive(Default)]
pub struct RepeatCheck {
    runs: BTreeMap<(usize, u64), Vec<Run>>, // by agent and request
}

/// The properties of a request that [`RepeatCheck`] needs.
#[derive(Clone, Copy, Debug)]
pub struct CheckedRequest {
    /// Index of the agent that received the request.
    pub agent: usize,
    /// Id of the request at its agent.
    pub request: u64,
    /// Index of the request's class.
    pub class: usize,
    /// The idempotency of the class.
    pub idempotency: Idempotency,
}

impl RepeatCheck {
    /// Whether the request has run at an endpoint. Always `false` for idempotent requests, whose
    /// runs are not recorded.
    pub fn has_run(&self, agent: usize, request: u64) -> bool {
        self.runs.contains_key(&(agent, request))
    }

    /// Records that a request runs at an endpoint and checks that against its earlier runs.
    /// `zone_of` returns the zone of an endpoint.
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
        let violations = repeats.map(|_| Violation::RanTwice {
            request: request.request,
            class: request.class,
        });
        let violations = violations.collect();
        runs.push(Run { endpoint, at: now });
        violations
    }

    /// Checks that a rejected request has not run, as a rejection tells the client that a retry is
    /// safe.
    pub fn on_reject(&self, request: CheckedRequest) -> Option<Violation> {
        let unsafe_retry = request.idempotency == Idempotency::NonIdempotent
            && self.has_run(request.agent, request.request);
        unsafe_retry.then_some(Violation::RejectedAfterRun {
            request: request.request,
        })
    }
}

/// Whether the endpoints deduplicate a repetition of a request that ran at `earlier`.
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

/// Rule 3 for one agent: no attempt is sent to an endpoint that it knows to be draining or gone.
#[derive(Default)]
pub struct DrainCheck {
    leaving: BTreeMap<usize, Duration>, // by endpoint: time of the first notice
}

impl DrainCheck {
    /// Records the state of an endpoint that the agent was notified of.
    pub fn on_notice(&mut self, now: Duration, endpoint: usize, state: EndpointState) {
        if state == EndpointState::Running {
            self.leaving.remove(&endpoint);
        } else {
            self.leaving.entry(endpoint).or_insert(now);
        }
    }

    /// Checks that an attempt is not sent to an endpoint after its drain grace period. `state` is
    /// the endpoint's true state, for the violation.
    pub fn on_send(
        &self,
        now: Duration,
        request: u64,
        endpoint: usize,
        state: EndpointState,
    ) -> Option<Violation> {
        let notified_at = self.leaving.get(&endpoint)?;
        (now > *notified_at + DRAIN_GRACE).then_some(Violation::SentToLeaving {
            request,
            endpoint,
            state,
        })
    }
}

/// Rule 4 for one endpoint: in slow start it is not overloaded.
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
    /// Creates a check of an endpoint. Work is summed over `window`; `slow_start` is the duration
    /// of a slow start.
    pub fn new(endpoint: usize, window: Duration, slow_start: Duration) -> SlowStartCheck {
        SlowStartCheck {
            endpoint,
            window,
            slow_start,
            arrived: VecDeque::new(),
        }
    }

    /// Checks that arriving work, in core-seconds, does not overload the endpoint. `started` is
    /// `None` for an endpoint past its slow start; `capacity` is its current capacity in
    /// core-seconds per second.
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

/// Rule 5 for one agent: a canary gets at most its cap of the requests, plus a burst.
#[derive(Default)]
pub struct ExposureCheck {
    /// The maximum, over all windows that end now, of canary attempts minus cap times requests.
    exposed: f64,
    cap: Option<f64>,
}

impl ExposureCheck {
    /// Sets the cap that applies from now on. Lowering the cap resets the exposure.
    pub fn set_cap(&mut self, cap: f64) {
        if self.cap.is_none_or(|before| cap < before) {
            self.exposed = 0.0;
        }
        self.cap = Some(cap);
    }

    /// Records a request that the agent received.
    pub fn on_request(&mut self) {
        self.exposed = (self.exposed - self.cap.unwrap_or(0.0)).max(0.0);
    }

    /// Checks an attempt that is sent to a canary; `burst` attempts beyond the cap are allowed.
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
