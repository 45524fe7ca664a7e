//! Which endpoint a request goes to, and for how long it is left there.

use super::*;

const LEFT: f64 = 0.05; // of their load, to endpoints that go at the release
const TRICKLE: f64 = 0.1; // of a fair share, so that a regressed build can show otherwise
const WARM: f64 = 0.7; // what the home of a key weighs, as it does less work for it
const HEAVY: f64 = 0.2; // of the latency objective: a hint of so much work
const RELAX: f64 = 1.0; // seconds in which a load report comes near the mean of its kind
const FRESH: Duration = ms(150); // a load report that is not asked for again
const HEDGE: f64 = 0.45; // of the latency objective

impl Balancer {
    /// Two random choices by requests in flight, among what this request may go to.
    pub(super) fn pick(&mut self, now: Duration, id: u64) -> Option<[usize; 2]> {
        self.list_valid_until
            .is_none_or(|t| now < t)
            .then_some(())?;
        let (c, patience) = (&self.commands[&id], self.patience());
        let (idempotency, again) = (self.classes[c.class].idempotency, !c.attempts.is_empty());
        let effect = idempotency != Idempotency::Idempotent;
        let bound = c.key.and_then(|k| self.bound.get(&k)).copied().unwrap_or(0);
        let lasts = |n: &&RolloutStatus| {
            bound >= n.build && matches!(n.phase, RolloutPhase::Canary | RolloutPhase::Released)
        };
        let floor = self
            .rollout_status
            .as_ref()
            .filter(lasts)
            .map_or(0, |n| n.build);
        let way = |zone: usize| self.crossings.zones.get(zone);
        let own = |zone| {
            if zone == self.at.zone {
                1.0
            } else {
                self.load.abroad
            }
        };
        let side = |zone| {
            way(zone)
                .and_then(|w| w.weight)
                .unwrap_or_else(|| own(zone))
        };
        // Earlier endpoints that go at the release leave their load to those on trial, if none is
        // doubted.
        let (mut all, mut places, mut fresh, mut fair) = (0.0, 0.0, 0.0, 0.0);
        for (_, a) in self.running() {
            let (new, old) = if self.on_trial(a.build) {
                (self.at.ramp(now, a), 0.0)
            } else {
                (0.0, 1.0)
            };
            (all, places, fresh, fair) =
                (all + 1.0, places + old, fresh + new, fair + side(a.zone));
        }
        let fair = fair / f64::max(all, 1.0);
        let stays = self.at.in_place || self.builds.values().any(|b| b.regressed);
        let yields = if stays {
            1.0
        } else {
            (1.0 - fresh / f64::max(places, 1.0)).max(LEFT)
        };
        let heavy = c
            .work
            .is_some_and(|w| w.as_secs_f64() > self.classes[c.class].latency_objective * HEAVY);
        let mut pool: [Vec<(usize, f64, f64)>; 4] = Default::default();
        let (nth, soon) = (c.attempts.len(), now + self.at.tick);
        let fits = |a: &Endpoint| a.build >= floor && c.within_group(nth, idempotency, a, soon);
        let open = |a: &Endpoint| a.warming_since.is_none() || a.quota >= 1.0;
        for (i, a) in self
            .running()
            .filter(|(_, a)| fits(a) && open(a) && self.may_expose(a.build, c.class))
        {
            let (ramp, trial) = (self.at.ramp(now, a), self.on_trial(a.build));
            let regressed = self.builds.get(&a.build).is_some_and(|b| b.regressed);
            // The build on trial gets an even share from every zone, a regressed one a trickle.
            let fair = if regressed { fair * TRICKLE } else { fair };
            let share = if trial { fair } else { side(a.zone) * yields };
            // Guards heavy requests against slow machines, quick at no load. Crowds the quick ones.
            let Kind {
                rate, slower, held, ..
            } = self.kinds[a.kind];
            let (quick, least) = if heavy {
                (slower.powi(-4), 1.0 + held.now)
            } else {
                (1.0, 0.0)
            };
            let draw = a.weight * rate * ramp * share * quick;
            let draw = if a.warming_since.is_some() {
                draw * (1.0 / a.turns).clamp(1.0, all)
            } else {
                draw
            };
            let tried = c.attempts.iter().any(|d| d.endpoint == i);
            let resting = a.aside.is_some_and(|t| now < t) || a.strikes > 1 && effect;
            let second =
                trial && regressed && effect || a.aside.is_some() && (effect || a.in_flight > 0);
            // Where crossing is short it comes last of what can answer; no budget may leave a trial
            // unjudged.
            let spared = !trial && way(a.zone).is_some_and(|w| w.is_last_resort(c.class, again));
            let rank = match (resting || a.silent(now, patience), tried || second) {
                (true, _) => 3,
                (_, true) => 2,
                _ => usize::from(spared),
            };
            pool[rank].push((
                i,
                draw,
                self.busy(now, a).max(least) / (a.weight * rate * ramp),
            ));
        }
        let (fit, rng) = (pool.iter().find(|p| !p.is_empty())?, self.rng.as_mut()?);
        let mut draw = || fit.choose_weighted(rng, |c| c.1).ok().or(fit.last());
        let (mut one, mut two) = (draw()?, draw()?);
        // A key's home is the same for all agents, by rendezvous hashing; it may be the busier one
        // by a bit.
        let key = c.home.filter(|_| !again);
        let far = |k, f: &(usize, f64, f64)| self.distance(k, &self.fleet[f.0]);
        let home = key.and_then(|k| fit.iter().min_by(|a, b| far(k, a).total_cmp(&far(k, b))));
        one = home.unwrap_or(one);
        if let Some(choices) = c.choices.filter(|_| !again) {
            let [a, b] = choices.map(|i| fit.iter().find(|f| f.0 == i));
            (one, two) = (a.or(b).unwrap_or(one), b.or(a).unwrap_or(two));
        }
        let cost = |f: &(usize, f64, f64)| {
            f.2 * if home.map(|h| h.0) == Some(f.0) {
                WARM
            } else {
                1.0
            }
        };
        Some(if cost(two) < cost(one) {
            [two.0, one.0]
        } else {
            [one.0, two.0]
        })
    }

    /// Requests in flight there: its own, or what the endpoint said, near its kind's mean as that
    /// ages.
    fn busy(&self, now: Duration, a: &Endpoint) -> f64 {
        let (Mean { now: mean, seen }, own) = (self.kinds[a.kind].held, a.in_flight as f64);
        if seen < 1.0 {
            return own;
        }
        let (held, at) = a.held.unwrap_or((mean, now));
        let held = mean + (held - mean) * (-now.saturating_sub(at).as_secs_f64() / RELAX).exp();
        1.0 + (held + a.since).max(own)
    }

    /// Whether the two choices are asked for what they hold before one is taken.
    pub(super) fn ask(&mut self, now: Duration, id: u64, choices: [usize; 2]) -> bool {
        let c = self
            .commands
            .get_mut(&id)
            .filter(|c| c.attempts.is_empty() && c.choices.is_none());
        let Some(c) = c.filter(|_| self.at.probes && self.load.limit.is_some()) else {
            return false;
        };
        c.choices = Some(choices);
        let due = |a: &Endpoint| {
            a.held
                .map(|h| h.1)
                .max(a.asked)
                .is_none_or(|t| now > t + FRESH)
        };
        let due: Vec<usize> = choices
            .into_iter()
            .filter(|i| due(&self.fleet[*i]))
            .collect();
        due.iter().for_each(|i| self.fleet[*i].asked = Some(now));
        self.load_report_requests.extend(&due);
        !due.is_empty()
    }

    pub(crate) fn patience(&self) -> Duration {
        let high = self
            .classes
            .iter()
            .map(|l| l.high.max(l.usual * 2.3))
            .fold(0.0, f64::max);
        Duration::from_secs_f64((high * 2.0).clamp(0.1, 3.0))
    }

    /// When an answer counts as lost though its endpoint speaks: early only where answers are
    /// quick, as copies slow all. Guards against ways that lose answers and slow machines; runs
    /// heavy requests twice.
    pub(super) fn late_after(&self, l: &ClassState) -> Duration {
        match (self.at.hedging, self.load.limit) {
            (true, None) => {
                Duration::from_secs_f64((l.latency_objective * HEDGE).max(l.usual * 1.5))
            }
            (true, Some(_)) => self.patience() * 2,
            (false, _) => Duration::MAX / 4,
        }
    }

    pub(super) fn send(&mut self, now: Duration, id: u64, i: usize, wait: Duration) -> Decision {
        let Some(c) = self.commands.get_mut(&id) else {
            return Decision::Await;
        };
        let (a, class, left) = (
            &mut self.fleet[i],
            &self.classes[c.class],
            c.deadline.saturating_sub(now),
        );
        let again = c.attempts.len() + 1 < self.at.attempts
            && class.idempotency != Idempotency::NonIdempotent;
        let soon = Duration::from_secs_f64((class.usual * 6.0).max(class.latency_objective * 0.8));
        let timeout = if again && !self.at.withdraw {
            soon.min(left)
        } else {
            left
        };
        let look = (again && self.at.withdraw)
            .then_some(now + wait)
            .filter(|t| *t < c.deadline);
        let (build, slot) = (a.build, self.at.slot(c.class));
        c.attempts.push(a.send(i, now));
        self.load.in_flight += 1;
        if self.on_trial(build) {
            self.build(build).tokens[slot] -= 1.0;
        }
        Decision::Forward {
            endpoint: i,
            timeout,
            recheck_at: look,
        }
    }
}
