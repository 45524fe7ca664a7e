//! Whether the newest build is worse than the one before it.

use super::*;

const LEAST_FAILURES: f64 = 3.0;
const FAILED_SHARE: f64 = 0.04; // lower than it started: most bad builds fail under a fifth
const BASE_SHARE: f64 = 0.2;
const LOST_SHARE: f64 = 0.2; // a lost answer says less of a build than a failed one
const SETTLED: Duration = ms(6000);
const SERVED: Duration = ms(15_000); // since its newest start
const HALF_LIFE: f64 = 10.0; // seconds until evidence weighs half
const LATE_LIFE: f64 = 2.0; // the same for what counts as of late
const LONG_AGO: [f64; 2] = [0.5, 0.2]; // what its others weigh, from before; less where it fails now
const KEEP: f64 = 20.0; // outcomes below which a baseline no longer fades
const BACK_WEIGHT: f64 = 12.0; // failures times the seconds for which they have shown
const BACK_FADE: f64 = 0.98; // each survey that shows none
const BACK_SHARE: f64 = 0.2; // of the places, once their earlier endpoints are gone
const PACE_FADE: f64 = 0.96; // each survey: answers of the last seconds
const ENOUGH: f64 = 40.0; // answers that are kept of late, however few come in a second
const AGREED: f64 = 1.0; // beyond what so many agents as must agree would say by chance
const AGREED_FAILED: f64 = 3.0; // of failures, for each of those that must agree: few come by chance
const AGREED_WRONG: f64 = 1.0; // the same of wrong answers, which hardly come by chance at all
const LEAST_FLAGS: f64 = 1.8; // two, of which one may have faded
const GROWN: f64 = 1.2; // times the calm intake: what is slow then may be the load's
const ABLE: f64 = 0.85; // of the fleet's full load: with less, all are slow for that
const ALARM: f64 = 6.0;
const QUICK_SHARE: f64 = 0.3; // of answers quicker than half were before the trial
const SLOW_SHARE: f64 = 0.8; // of the earlier build's share of quick answers
const CERTAIN: f64 = 3.0; // how far beyond chance, as a logarithm; more the more agents look
const TALLY_SHARE: f64 = 0.06; // of a class's attempts, beyond the earlier build's
const TALLY_LIFE: f64 = 4.0; // seconds until it weighs half, for both builds, so that it is of one time
const TALLY_APART: f64 = 6.0; // beyond chance, as a logarithm
const TALLY_SLOW: f64 = 1.6; // times the earlier build's time
const PACE_EXCUSED: f64 = 1.4; // times the usual: warm keys, young machines, long tails

impl Balancer {
    pub fn on_client_reported_error(
        &mut self,
        now: Duration,
        endpoint: usize,
        class: usize,
        age: Duration,
    ) {
        let own = |a: &&mut Endpoint| a.started.unwrap_or_default() + age <= now;
        let count = self
            .fleet
            .get_mut(endpoint)
            .filter(own)
            .and_then(|a| a.counts.get_mut(class));
        count.into_iter().for_each(|c| c.flagged += 1.0);
    }

    /// What the platform counted over all agents.
    pub fn on_platform_counts(&mut self, t: &PlatformCounts) {
        let build = self.builds.get_mut(&t.build);
        build
            .and_then(|b| b.tallied.get_mut(t.class))
            .into_iter()
            .for_each(|s| s.add(t));
    }

    /// What the platform's counts show beyond chance: that the trial fails far more than the
    /// earlier build, in any class or all, or takes far longer; and whether it takes as long. All
    /// agents know the same.
    fn tallied(&self, build: u32, earlier: u32) -> (Option<&'static str>, bool) {
        let of = |build| self.builds.get(&build).map_or(&[][..], |b| &b.tallied);
        let (t, e) = (of(build), of(earlier));
        let fails = |(t, e): (&Tallied, &Tallied)| {
            let most = (2.0 * e.failed / e.all.max(1.0) + TALLY_SHARE) * t.all;
            let far = apart((t.failed, t.all), (e.failed, e.all)) > TALLY_APART;
            far && e.all >= LEAST_OUTCOMES && t.failed > most
        };
        let failing = t
            .iter()
            .zip(e)
            .chain([(&Tallied::sum(t), &Tallied::sum(e))])
            .any(fails);
        let (answers, ratio) = Tallied::pace(t, e);
        let slow = ratio > TALLY_SLOW && strange(answers, ratio / PACE_EXCUSED) > TALLY_APART;
        let even = self.at.tallied && (answers < LEAST_OUTCOMES || ratio < PACE_EXCUSED);
        (
            failing
                .then_some("counted as failing")
                .or(slow.then_some("counted as slow")),
            even,
        )
    }

    pub(crate) fn on_trial(&self, build: u32) -> bool {
        let newer = |n: &RolloutStatus| {
            build > n.build || build == n.build && n.phase != RolloutPhase::Released
        };
        self.rollout_status
            .as_ref()
            .map_or(self.oldest < build, newer)
    }

    /// Whether the newest build runs, on trial or not long since its newest start.
    pub(super) fn judged(&self, now: Duration) -> bool {
        let Some(n) = &self.rollout_status else {
            return false;
        };
        let newest = self
            .builds
            .get(&n.build)
            .map_or(Duration::ZERO, |b| b.newest);
        let fresh = !newest.is_zero() && now < newest + SERVED;
        (fresh || self.on_trial(n.build)) && self.running().any(|(_, a)| a.build == n.build)
    }

    /// Hears once of each attempt whether it is quicker than half of the answers are. What is out
    /// for longer is not: where all slows, the slowest answers come last, and many of their clients
    /// have left by then.
    pub(super) fn hear(&mut self, id: u64, nth: usize, took: Duration) {
        let Some(c) = self.commands.get_mut(&id) else {
            return;
        };
        let (d, class) = (&mut c.attempts[nth], c.class);
        let a = &self.fleet[d.endpoint];
        let way = self
            .crossings
            .zones
            .get(a.zone)
            .map_or(0.0, |t| t.added_latency.as_secs_f64());
        let quick = took.as_secs_f64() <= self.classes[class].half + way;
        if !a.warm_of(d.build) || !d.hear(quick) {
            return;
        }
        let (newest, near) = (
            self.rollout_status
                .as_ref()
                .is_some_and(|n| d.build >= n.build),
            a.zone == self.at.zone,
        );
        let quiet = !self.running().any(|(_, a)| self.on_trial(a.build));
        let step = if quick { 0.97 } else { 1.03 };
        self.classes[class].half *= if quiet { step } else { 1.0 };
        self.drag.hear(
            usize::from(newest),
            (!quiet && (newest || near)).then_some(quick),
        );
    }

    /// Each survey: evidence ages, but for a baseline of few outcomes; the trial's does always.
    pub(super) fn fade(&mut self, now: Duration) {
        let part = |life| 0.5f64.powf(EVALUATION_INTERVAL.as_secs_f64() / life);
        let [fade, late, tally] = [HALF_LIFE, LATE_LIFE, TALLY_LIFE].map(part);
        let trial = self.rollout_status.as_ref().map_or(0, |n| n.build);
        let old = |counts: &mut Vec<Count>, build: u32| {
            let fades = build >= trial || Count::sum(counts).all() > KEEP;
            counts
                .iter_mut()
                .filter(|_| fades)
                .for_each(|c| c.mix(fade, &Count::default()));
        };
        self.fleet
            .iter_mut()
            .for_each(|a| old(&mut a.counts, a.build));
        self.builds
            .iter_mut()
            .for_each(|(number, b)| old(&mut b.past, *number));
        self.builds
            .values_mut()
            .flat_map(|b| &mut b.tallied)
            .for_each(|t| t.fade(tally));
        self.beside.fade(fade, late);
        let rate =
            self.classes.iter().map(|l| l.rate).sum::<f64>() * EVALUATION_INTERVAL.as_secs_f64();
        let (judged, few) = (self.judged(now), (1.0 - rate / ENOUGH).max(PACE_FADE));
        self.drag.fade(few);
        self.intake.survey(judged, 1.0 - PACE_FADE, 1.0 - fade);
        self.classes
            .iter_mut()
            .for_each(|l| l.fade_times(judged, ENOUGH, fade, few));
    }

    pub(super) fn judge(&mut self, now: Duration) {
        let Some(n) = self.rollout_status.clone() else {
            return;
        };
        let earlier = earlier(&self.builds, n.build);
        let was = self.builds.get(&n.build).is_some_and(|b| b.regressed);
        // Until the build has settled, a hold once placed is kept on half of what placed it.
        let age = self
            .builds
            .get(&n.build)
            .map_or(SETTLED, |b| now.saturating_sub(b.newest));
        let ease = if was && age < SETTLED { 0.5 } else { 1.0 };
        let sure = if self.at.jury {
            AGREED_FAILED + self.at.one_of.ln()
        } else {
            CERTAIN + self.at.agents.ln()
        };
        let (mut why, mut strength) = (None, 0.0f64);
        let (trial, before) = (self.totals(n.build), self.totals(earlier));
        let (pool, base, beside) = (
            Count::sum(&trial),
            Count::sum(&before),
            Count::sum(&self.beside.counts),
        );
        let classes = trial
            .iter()
            .zip(&before)
            .zip(&self.beside.counts)
            .chain([((&pool, &base), &beside)]);
        // Guards, by the outcomes beside it, against troubles that meet both builds while the trial
        // is on. May let a bad build on longer where the earlier one gets little beside it.
        let ago = LONG_AGO[usize::from(beside.bad() + beside.flagged >= 0.5)];
        let whole = base.mixed(ago, &beside);
        for (class, ((t, b), s)) in classes.enumerate().filter(|_| pool.all() >= LEAST_OUTCOMES) {
            let thin = b.mixed(ago, s);
            // Guards rare classes, of which little is known: all classes fill up. One never
            // answered gates not.
            let lacks = b.all().min(1.0) * (KEEP - thin.all()).max(0.0) / whole.all().max(KEEP);
            let known = whole.mixed(lacks, &thin);
            if let Some(what) = regressed([t, b, &known], self.at.flag_worth, sure * ease, ease) {
                strength = strength.max(t.failed + t.flagged + t.lost);
                why = Some(format!(
                    "class {class} {what}, canary {t:.0?}, earlier {b:.0?}, peers {s:.0?}"
                ));
            }
        }
        // Some sick machines add little towards sending back: only as much as the part that shows
        // failures.
        let runs = || {
            self.running()
                .map(|(_, a)| a)
                .filter(|a| a.build == n.build)
        };
        let held = runs().count().max(1) as f64;
        strength *= runs().filter(|a| Count::sum(&a.counts).shows()).count() as f64 / held;
        self.drags(now, &n, age);
        // Wrong answers come from no sick machine, and a right one is told as wrong but rarely.
        let apart = apart(
            (pool.flagged, pool.succeeded),
            (base.flagged, base.succeeded),
        );
        let wrong = pool.flagged >= LEAST_FLAGS && apart > AGREED_WRONG + self.at.one_of.ln();
        let open =
            n.phase == RolloutPhase::Canary || n.phase == RolloutPhase::Released && age < SERVED;
        let (tallied, even) = self.tallied(n.build, earlier);
        let agreed =
            open && (self.at.jury && (self.drag.slow && !even || wrong) || tallied.is_some());
        if agreed || n.phase == RolloutPhase::Canary && self.drag.alarm && !even {
            strength = if self.drag.alarm {
                LEAST_FAILURES / 2.0
            } else {
                strength
            };
            let slows = if wrong {
                "wrong answers"
            } else {
                "the fleet slows with it"
            };
            why = Some(tallied.unwrap_or(slows).into());
        }
        let seen = why.is_some();
        if seen != was {
            let lift = || format!("recovered: build {} shows no regression", n.build);
            self.notes
                .push(why.map_or_else(lift, |why| format!("regression: build {}, {why}", n.build)));
        }
        let b = self.build(n.build);
        b.regressed = seen;
        b.shown = if seen {
            b.shown + strength * EVALUATION_INTERVAL.as_secs_f64()
        } else {
            b.shown * BACK_FADE
        };
        let lasting = seen && b.shown >= BACK_WEIGHT;
        // No hold spares small agents, gives back places or guards from wrong answers and a
        // released build: where several must agree, half of them send back at once, the others once
        // their hold stands.
        let taken = self.at.in_place && held > BACK_SHARE * self.running().count() as f64;
        let held_first = self
            .votes
            .standing
            .as_ref()
            .is_some_and(|(v, _)| v.build == n.build);
        let verdict = match n.phase {
            _ if agreed => Some(Verdict::RollBack),
            RolloutPhase::Released if lasting && age < SERVED => Some(Verdict::RollBack),
            RolloutPhase::Canary if lasting && taken || seen && wrong && held_first => {
                Some(Verdict::RollBack)
            }
            RolloutPhase::Canary if seen && self.at.jury && (self.votes.severe || held_first) => {
                Some(Verdict::RollBack)
            }
            RolloutPhase::Canary if seen => Some(Verdict::Hold),
            _ => None,
        };
        self.votes.want = verdict.map(|verdict| Vote {
            build: n.build,
            stage: n.stage,
            verdict,
        });
    }

    /// Guards against a build that slows old and new alike. Holds a good one where all slows by
    /// chance.
    fn drags(&mut self, now: Duration, n: &RolloutStatus, age: Duration) {
        let started =
            n.phase == RolloutPhase::Canary && self.running().any(|(_, a)| a.build == n.build);
        // Guards where no agent sees enough to hold: all answers of late against the calm ones, by
        // their mean and, as some slow machines leave it alone, by the quick half. May pass over a
        // bad build in a rush.
        self.classes.iter_mut().for_each(|l| l.open = 0.0);
        self.commands
            .values()
            .for_each(|c| self.classes[c.class].open += c.waits(now, self.resumed));
        let out = self
            .commands
            .iter()
            .flat_map(|(id, c)| c.out().map(|(nth, d)| (*id, nth, d.sent)));
        for (id, nth, sent) in out.collect::<Vec<_>>() {
            self.hear(id, nth, now.saturating_sub(sent.max(self.resumed)));
        }
        let (quick, ratio, answers) = ClassState::slowed(&self.classes);
        let beyond = if answers < LEAST_OUTCOMES {
            0.0
        } else {
            strange(answers, ratio / PACE_EXCUSED)
        };
        let sure = quick < QUICK_SHARE && beyond > AGREED + self.at.voice;
        // In place, what is still cold is missed: its load slows all, as a rush does that many
        // agents share.
        let able = |(_, a): (usize, &Endpoint)| self.at.ramp(now, a) - ABLE;
        let short = self.at.in_place && self.running().map(able).sum::<f64>() < 0.0;
        let short = short || self.at.jury && self.intake.grown() >= GROWN;
        let d = &mut self.drag;
        d.slow = sure && age < SERVED && !short;
        // Right after more of it came up, the quick half of the answers is gone, of the trial too:
        // held at once, and sent back where its places are taken if that lasts. Slow machines or a
        // slow way leave it. If nearly all of the trial's own are gone, it needs more work than the
        // earlier build.
        let ((share, gone), (own, apart)) = (d.quick_share(0), d.quick_share(1));
        let far = ALARM + self.at.agents.ln();
        let slow = own < QUICK_SHARE * 0.7 && share > QUICK_SHARE * 1.4 && apart > far;
        d.heavy |= started && own < share * SLOW_SHARE && apart > far;
        let gone = gone + if own < QUICK_SHARE { apart } else { 0.0 };
        let sudden = age < SETTLED && !short && share < QUICK_SHARE && gone > far;
        d.alarm =
            started && (sudden || slow || d.alarm && share.min(own * 1.4) < QUICK_SHARE * 1.2);
    }

    /// Counts of a build by class. Of an earlier build the lost answers of endpoints set aside are
    /// left out. Guards against a sick machine that speaks ill of its build: one of three on trial
    /// with most failures.
    fn totals(&self, build: u32) -> Vec<Count> {
        let past = self.builds.get(&build).map(|b| b.past.clone());
        let mut sum = past.unwrap_or_else(|| vec![Count::default(); self.classes.len()]);
        let newest = self
            .rollout_status
            .as_ref()
            .is_some_and(|n| n.build == build);
        let each = || self.running().map(|r| r.1).filter(|a| a.build == build);
        let bad = |a: &Endpoint| Count::sum(&a.counts).bad();
        let most = each().map(bad).sum::<f64>() / 2.0;
        let sick = newest && each().count() > 2;
        for a in each().filter(|a| !sick || bad(a) <= most) {
            let kept = if newest || a.aside.is_none() {
                1.0
            } else {
                0.0
            };
            sum.iter_mut().zip(&a.counts).for_each(|(s, c)| {
                s.mix(
                    1.0,
                    &Count {
                        lost: c.lost * kept,
                        ..*c
                    },
                )
            });
        }
        sum
    }
}

/// Whether the build on trial regressed a class that the earlier build satisfies: by its share, and
/// beyond what chance would show at any of the agents. `ease` is less where a hold stands.
fn regressed([t, b, base]: [&Count; 3], worth: f64, least: f64, ease: f64) -> Option<&'static str> {
    let strange = |of: fn(&Count) -> (f64, f64)| apart(of(t), of(base)) > least;
    // Answers that came and failed; lost ones do not blur this baseline.
    let came = |c: &Count| (c.failed + c.flagged * worth, c.succeeded + c.failed);
    let ((bad, all), (failed, of)) = (came(t), came(b));
    let seen = t.failed + t.flagged;
    let grave = seen >= LEAST_FAILURES * ease
        && bad > FAILED_SHARE * ease * all
        && failed < BASE_SHARE * of;
    if grave && strange(|c| (c.failed + c.flagged, c.succeeded + c.failed)) {
        return Some("failed");
    }
    // Guards against dead machines and lossy ways: what the earlier build loses, too, is not the
    // trial's.
    let lost = t.bad() > LEAST_FAILURES * 2.0 * ease && t.bad() > LOST_SHARE * ease * t.all();
    (lost && strange(|c| (c.bad(), c.all())) && b.bad() < BASE_SHARE * b.all()).then_some("lost")
}
