//! The checks of a run, by what clients and endpoints observed.

use crate::events::{DrainTimes, Outage};
use crate::lag::LagMonitor;
use crate::usual_client::{Fate, SentRequest};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tulipwall_testkit::*;

/// A change that a silent watch misses counts as told this long after the watch fell silent.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(6000);
/// What is told to an agent that has just started, or whose discovery answers, counts at once; the
/// grace and the machine's slack come on top.
const DRAIN_GRACE: Duration = Duration::from_millis(650);
/// New connections arrive for this long after SIGTERM at the most.
const LAST_CONNECTIONS: Duration = Duration::from_millis(400);
/// Nothing may be sent for a client this long after it left: 0.1 s, and the machine's slack.
const LEAVE_GRACE: Duration = Duration::from_millis(300);
/// Deduplication window of keyed requests, with slack.
const KEY_WINDOW: Duration = Duration::from_millis(5050);

/// What a run did that its observations have to be compared with.
#[derive(Default)]
pub struct Expectations {
    pub outages: Vec<Outage>,
    pub drained_at: DrainTimes,
    pub silent_since: Vec<Instant>,
    pub violations: Vec<String>,
}

impl Expectations {
    /// Whether a kill or the time without a process may be the cause of what happened to a request.
    fn was_down(&self, request: &SentRequest) -> bool {
        self.outages.iter().any(|outage| {
            request.sent_at <= outage.started_at + Duration::from_millis(300)
                && request.ended_at >= outage.killed_at
        })
    }

    /// Whether a request came on a new connection after SIGTERM, later than any front sends one.
    fn came_too_late(&self, request: &SentRequest) -> bool {
        let is_late = |outage: &Outage| {
            request.sent_at > outage.terminated_at + LAST_CONNECTIONS
                && request.sent_at < outage.started_at
        };
        !request.is_reused && self.outages.iter().any(is_late)
    }
}

/// Returns how many requests ended how.
pub fn answered(sent: &[SentRequest]) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for request in sent {
        let name = match &request.fate {
            Fate::Answered(None) => "value".to_owned(),
            Fate::Answered(Some(code)) => code.clone(),
            other => format!("{other:?}"),
        };
        *counts.entry(name).or_default() += 1;
    }
    format!("{counts:?}")
}

pub fn violations(
    sent: &[SentRequest],
    cluster: &TestCluster,
    expectations: &Expectations,
    lag: &LagMonitor,
) -> Vec<String> {
    let received = cluster.received_queries();
    let mut violations = Vec::new();
    for request in sent {
        violations.extend(lost(request, &received, expectations));
        violations.extend(sent_after_leaving(request, sent, &received, lag));
    }
    for (id, attempts) in &received {
        violations.extend(ran_twice(id, attempts, expectations));
    }
    violations.extend(sent_to_drained(cluster, expectations, lag));
    if sent.len() < 500 {
        violations.push(format!("only {} requests were sent", sent.len()));
    }
    violations
}

/// Rule 1: one final answer in time. A connection that was used before may be closed between two
/// requests; a request that crosses that was not read, and is sent again once on a new connection,
/// which has to be answered.
fn lost(
    request: &SentRequest,
    received: &BTreeMap<String, Vec<ReceivedQuery>>,
    expectations: &Expectations,
) -> Option<String> {
    let was_read = received.get(&request.id).is_some_and(|queries| {
        queries
            .iter()
            .any(|query| query.at >= request.sent_at && query.at <= request.ended_at)
    });
    let is_lost = match &request.fate {
        Fate::Unanswered => true,
        Fate::Closed(_) => was_read || !request.is_reused,
        Fate::Answered(_) | Fate::NotConnected | Fate::Left => false,
    };
    let is_excused = expectations.was_down(request) || expectations.came_too_late(request);
    (is_lost && !is_excused).then(|| {
        let SentRequest {
            id,
            class,
            client_timeout,
            fate,
            ..
        } = request;
        let took = request.ended_at - request.sent_at;
        format!("rule 1: {id}, {class}, {client_timeout:?}: {fate:?} after {took:?}")
    })
}

/// An attempt that begins after its client has left.
fn sent_after_leaving(
    request: &SentRequest,
    sent: &[SentRequest],
    received: &BTreeMap<String, Vec<ReceivedQuery>>,
    lag: &LagMonitor,
) -> Option<String> {
    if request.fate != Fate::Left {
        return None;
    }
    let came_again = sent
        .iter()
        .any(|other| other.id == request.id && other.sent_at > request.sent_at);
    let late = received
        .get(&request.id)?
        .iter()
        .find(|query| lag.earliest(query.at) > request.ended_at + LEAVE_GRACE)?;
    (!came_again).then(|| {
        let lateness = late.at - request.ended_at;
        format!(
            "rule 1: {} was sent {lateness:?} after its client left",
            request.id
        )
    })
}

/// Rule 2. A process that was killed has forgotten what it sent, so an id that comes again may run
/// again after a restart.
fn ran_twice(id: &str, attempts: &[ReceivedQuery], expectations: &Expectations) -> Option<String> {
    let runs: Vec<_> = attempts.iter().filter(|query| query.ran).collect();
    let first = runs.first()?;
    let last = runs.iter().map(|query| query.at).max()?;
    let restarted = expectations
        .outages
        .iter()
        .any(|outage| outage.started_at > first.at && outage.started_at < last);
    let violated = match first.class.as_str() {
        "payment" => runs.len() > 1,
        "send" => last - first.at > KEY_WINDOW,
        _ => false,
    };
    (violated && !restarted).then(|| {
        format!(
            "rule 2: {id} of class {} ran {} times",
            first.class,
            runs.len()
        )
    })
}

/// Rule 3: nothing to a drained endpoint after its grace.
fn sent_to_drained(
    cluster: &TestCluster,
    expectations: &Expectations,
    lag: &LagMonitor,
) -> Vec<String> {
    let late = |(id, drained_at): (&String, &Instant)| {
        let silent = expectations.silent_since.iter().any(|since| {
            *since <= *drained_at + DRAIN_GRACE && *drained_at < *since + MAX_ANNOUNCEMENT_DELAY
        });
        let delay = if silent {
            MAX_ANNOUNCEMENT_DELAY
        } else {
            Duration::ZERO
        };
        let deadline = *drained_at + delay + DRAIN_GRACE;
        let received = cluster.endpoint(id)?.received_queries();
        let last = received.iter().map(|query| query.at).max()?;
        (lag.earliest(last) > deadline).then(|| {
            format!(
                "rule 3: {id} got a request {:?} after it drained",
                last - *drained_at
            )
        })
    };
    expectations.drained_at.iter().filter_map(late).collect()
}
