//! Invariants that every decision of the balancer is checked against.

use super::{ms, Harness, SentAttempt, TrackedRequest};
use std::time::Duration;
use tulipwall::*;

/// Whether an attempt may have had an effect at its endpoint: it is still in flight, or its outcome
/// does not rule an effect out.
fn may_have_run(attempt: &SentAttempt) -> bool {
    attempt.ended.is_none_or(|outcome| !outcome.never_ran())
}

impl Harness {
    /// Checks an attempt that is about to be sent: the endpoint is running, the request is open, and
    /// the limits on attempts, retries and sticky builds are kept.
    pub(super) fn check_attempt(&self, id: u64, entry: &EndpointEntry) {
        let request = &self.requests[&id];
        assert!(
            request.answers.is_empty(),
            "attempt sent after the final answer"
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
            "attempt sent to an endpoint that is draining or gone"
        );
    }

    /// Checks that a request which may have run is not sent again, unless it is idempotent or the
    /// endpoint deduplicates it by its key.
    fn check_idempotency(&self, request: &TrackedRequest, entry: &EndpointEntry) {
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                assert!(
                    !request.attempts.iter().any(may_have_run),
                    "non-idempotent request sent again though it may have run"
                )
            }
            Idempotency::Keyed { scope, window } => {
                for attempt in request.attempts.iter().filter(|a| may_have_run(a)) {
                    let earlier = &self.endpoints[&attempt.endpoint];
                    let in_scope = match scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => earlier.zone == entry.zone,
                        DeduplicationScope::Cell => earlier.cell == entry.cell,
                    };
                    assert!(
                        in_scope && self.now < attempt.sent + window,
                        "keyed request sent again outside its deduplication scope or window"
                    );
                }
            }
        }
    }

    /// Checks sticky builds: while the rollout's build is a canary or released, a key that this
    /// build or a newer one has answered is not sent to an earlier build.
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
            "key that the new build has answered is sent to an earlier build"
        );
    }

    /// Checks a rejection. It tells the client that a retry is harmless, because the request had no
    /// effect or because a repeat will be deduplicated.
    pub(super) fn check_rejection(&self, request: &TrackedRequest) {
        let is_safe = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            // The client may retry up to 500 ms later, and must still be within the window then.
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
        assert!(is_safe, "request rejected though it may have run");
    }

    /// Checks that an endpoint in slow start got few attempts in the last overload window: two, and
    /// a multiple of what one warm endpoint got in the busiest window.
    pub(super) fn check_slow_start(&self, e: &EndpointEntry) {
        if e.started
            .is_none_or(|s| s + self.settings.slow_start_duration <= self.now)
        {
            return;
        }
        let since_listed = self.forwarded_when_listed[&e.endpoint];
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
        let slow_start_attempts = self.forwarded[since_listed..]
            .iter()
            .filter(|(t, i)| recent(*t) && *i == e.endpoint)
            .count();
        // The balancer remembers the rate of warm endpoints, so the busiest window so far counts.
        let span = self.settings.overload_window;
        let attempts_in_window = |from: Duration| {
            self.forwarded
                .iter()
                .filter(|s| s.0 >= from && s.0 < from + span)
                .count()
        };
        let peak_attempts = self
            .forwarded
            .iter()
            .map(|s| attempts_in_window(s.0))
            .max()
            .unwrap_or(0) as f64;
        let allowed_factor = 0.7 * self.settings.overload_factor;
        assert!(
            slow_start_attempts as f64 <= 2.0 + 2.0 * allowed_factor * peak_attempts / warm,
            "endpoint in slow start got {slow_start_attempts} attempts; the busiest window has {peak_attempts} in all"
        );
    }

    /// Checks an attempt to a canary: the cap is not 0, a guarded stage gets idempotent requests
    /// only, and in each window of up to 3 s the attempts are at most the cap's share of the requests
    /// and the exposure burst.
    pub(super) fn check_exposure(&mut self, e: &EndpointEntry, class: usize) {
        if !self.is_canary(e.build) {
            return;
        }
        let policy = &self.settings.rollout;
        let rollout_status = self.status.as_ref().filter(|n| n.build == e.build);
        let (stage, cap) = rollout_status.map_or((0, policy.caps[0]), |n| (n.stage, n.cap));
        assert!(cap > 0.0, "attempt sent to a canary at cap 0");
        assert!(
            stage >= policy.guarded_stages
                || self.settings.classes[class].idempotency == Idempotency::Idempotent,
            "request that is not idempotent sent to a canary in a guarded stage"
        );
        self.canary_attempts.push((self.now, e.build, class));
        let shares_cap = |l: usize| !policy.cap_per_class || l == class;
        let counted = &self.canary_attempts[self.exposure_counted_from..];
        let starts: Vec<Duration> = counted.iter().map(|x| x.0).collect();
        for from in starts.into_iter().filter(|t| *t + ms(3000) > self.now) {
            let sent = counted
                .iter()
                .filter(|x| x.0 >= from && x.1 == e.build && shares_cap(x.2))
                .count() as f64;
            // The strictest count: only requests that arrived after the window began, or in the same
            // step of the simulated time.
            let arrivals_in_window = self
                .arrivals
                .iter()
                .filter(|x| x.0 >= from && shares_cap(x.1))
                .count() as f64;
            assert!(
                sent <= policy.exposure_burst + cap * arrivals_in_window + 1e-9,
                "{sent} attempts to the canary for {arrivals_in_window} requests at a cap of {cap}"
            );
        }
    }
}
