//! The rules that each decision is checked by.

use super::{ms, Harness, SentAttempt, TrackedRequest};
use std::time::Duration;
use tulipwall::*;

/// Whether an attempt may have had an effect.
fn may_have_run(attempt: &SentAttempt) -> bool {
    attempt.ended.is_none_or(|outcome| !outcome.never_ran())
}

impl Harness {
    /// Checks an attempt that is about to be sent to this endpoint.
    pub(super) fn check_attempt(&self, id: u64, entry: &EndpointEntry) {
        let request = &self.requests[&id];
        assert!(
            request.answers.is_empty(),
            "nothing is sent after the final answer"
        );
        assert!(self.now < request.deadline && request.attempts.len() < self.settings.max_attempts);
        let in_flight = request
            .attempts
            .iter()
            .filter(|a| a.ended.is_none())
            .count();
        assert!(in_flight == 0 || self.settings.hedging && in_flight == 1);
        self.check_idempotency(request, entry);
        self.check_sticky_build(id, entry);
        assert_eq!(
            entry.state,
            EndpointState::Running,
            "nothing to a draining or gone endpoint"
        );
    }

    fn check_idempotency(&self, request: &TrackedRequest, entry: &EndpointEntry) {
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                assert!(
                    !request.attempts.iter().any(may_have_run),
                    "it may have run"
                )
            }
            Idempotency::Keyed { scope, window } => {
                for attempt in request.attempts.iter().filter(|a| may_have_run(a)) {
                    let other = &self.endpoints[&attempt.endpoint];
                    let in_scope = match scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => other.zone == entry.zone,
                        DeduplicationScope::Cell => other.cell == entry.cell,
                    };
                    assert!(
                        in_scope && self.now < attempt.sent + window,
                        "outside its scope or window"
                    );
                }
            }
        }
    }

    fn check_sticky_build(&self, id: u64, entry: &EndpointEntry) {
        let status = self
            .status
            .as_ref()
            .filter(|s| matches!(s.phase, RolloutPhase::Canary | RolloutPhase::Released));
        let minimum = status.filter(|s| {
            self.sticky_builds
                .get(&(id % 7))
                .is_some_and(|build| *build >= s.build)
        });
        assert!(
            !self.settings.rollout.sticky_builds || minimum.is_none_or(|s| entry.build >= s.build),
            "sticky build"
        );
    }

    /// Checks a rejection: it promises that the request had no effect, or that a repeat is
    /// recognized.
    pub(super) fn check_rejection(&self, request: &TrackedRequest) {
        let is_safe = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            // Its client may retry half a second later, and the repeat must be recognized then.
            Idempotency::Keyed {
                scope: DeduplicationScope::All,
                window,
            } => request
                .attempts
                .iter()
                .filter(|a| may_have_run(a))
                .all(|a| self.now + ms(500) < a.sent + window),
            _ => !request.attempts.iter().any(may_have_run),
        };
        assert!(is_safe, "rejected though it may have run");
    }

    pub(super) fn check_slow_start(&self, e: &EndpointEntry) {
        if e.started
            .is_none_or(|s| s + self.settings.slow_start_duration <= self.now)
        {
            return;
        }
        let since_listed = self.listed_at[&e.endpoint];
        let recent = |t: Duration| t + self.settings.overload_window > self.now && t <= self.now;
        let is_warming = |l: &EndpointEntry| {
            l.started
                .is_some_and(|s| s + self.settings.slow_start_duration > self.now)
        };
        let running = self
            .endpoints
            .values()
            .filter(|l| l.state == EndpointState::Running);
        let all = running.clone().count() as f64;
        let warm = (running.filter(|l| !is_warming(l)).count() as f64).max(all / 2.0);
        let here = self.forwarded[since_listed..]
            .iter()
            .filter(|(t, i)| recent(*t) && *i == e.endpoint)
            .count();
        // Attempts in the busiest window so far: the pace of warm endpoints is remembered.
        let span = self.settings.overload_window;
        let within = |from: Duration| {
            self.forwarded
                .iter()
                .filter(|s| s.0 >= from && s.0 < from + span)
                .count()
        };
        let most = self
            .forwarded
            .iter()
            .map(|s| within(s.0))
            .max()
            .unwrap_or(0) as f64;
        let part = 0.7 * self.settings.overload_factor;
        assert!(
            here as f64 <= 2.0 + 2.0 * part * most / warm,
            "an endpoint in slow start got {here}, all at most {most}"
        );
    }

    pub(super) fn check_exposure(&mut self, e: &EndpointEntry, class: usize) {
        if !self.is_canary(e.build) {
            return;
        }
        let r = &self.settings.rollout;
        let rollout_status = self.status.as_ref().filter(|n| n.build == e.build);
        let (stage, cap) = rollout_status.map_or((0, r.caps[0]), |n| (n.stage, n.cap));
        assert!(cap > 0.0, "nothing at cap 0");
        assert!(
            stage >= r.guarded_stages
                || self.settings.classes[class].idempotency == Idempotency::Idempotent,
            "guarded stage"
        );
        self.canary_attempts.push((self.now, e.build, class));
        let ours = |l: usize| !r.cap_per_class || l == class;
        let counted = &self.canary_attempts[self.exposure_counted_from..];
        let starts: Vec<Duration> = counted.iter().map(|x| x.0).collect();
        for from in starts.into_iter().filter(|t| *t + ms(3000) > self.now) {
            let sent = counted
                .iter()
                .filter(|x| x.0 >= from && x.1 == e.build && ours(x.2))
                .count() as f64;
            // Strictest: only requests that came after the window began, or in the same step.
            let came = self
                .arrivals
                .iter()
                .filter(|x| x.0 >= from && ours(x.1))
                .count() as f64;
            assert!(
                sent <= r.exposure_burst + cap * came + 1e-9,
                "{sent} attempts, {came} requests at {cap}"
            );
        }
    }
}
