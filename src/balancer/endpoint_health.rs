//! What each answer, and each one that does not come, says of its endpoint.

use super::*;

const BESIDE: f64 = 3.0; // outcomes of the earlier build set against one of the trial of the same time
const ASIDE_FIRST: Duration = ms(500);
const ASIDE_MOST: Duration = ms(4000);
const FORGIVE: f64 = 0.01; // each survey, of what sets an endpoint off from its fellows
const SICK_SHARE: f64 = 0.3;
const SICK_FOR: Duration = ms(8000);

impl Balancer {
    /// Guards against this agent's own stalls: what is found at once after one says nothing of
    /// anyone else.
    pub(super) fn resume(&mut self, now: Duration) {
        if now > self.next_evaluation + EVALUATION_INTERVAL * 2 && self.resumed < now {
            self.resumed = now;
            self.fleet
                .iter_mut()
                .for_each(|a| a.unheard = a.unheard.map(|_| now));
        }
    }

    /// An endpoint answered, and told or did not tell what it holds.
    pub fn on_load_report(&mut self, now: Duration, i: usize, outcome: Outcome, held: Option<f64>) {
        let Some(a) = self.fleet.get_mut(i) else {
            return;
        };
        a.asked = a.asked.filter(|_| outcome == Outcome::TimedOut);
        let Some(held) = held.filter(|h| (0.0..1e6).contains(h)) else {
            return;
        };
        (a.held, a.since) = (Some((held, now)), 0.0);
        if a.warming_since.is_none() && a.standing == EndpointState::Running {
            self.kinds[a.kind].held.follow(held, KIND_GAIN);
        }
    }

    /// Each survey: what each may draw, by its answer times against its fellows', and its quota
    /// while cold.
    pub(super) fn weigh(&mut self, now: Duration) {
        let trial = self.rollout_status.as_ref().map_or(0, |n| n.build);
        let warm = self
            .running()
            .filter(|(_, a)| a.warming_since.is_none())
            .count() as f64;
        let (done, window) = (
            std::mem::take(&mut self.load.done),
            self.at.fall_for.div_duration_f64(EVALUATION_INTERVAL),
        );
        if warm * 4.0 > self.running().count() as f64 {
            self.carried.follow(done / warm, KIND_GAIN);
        }
        let median = |of: &dyn Fn(&Endpoint) -> bool| {
            let warm = self
                .running()
                .filter(|(_, a)| a.warming_since.is_none() && of(a));
            let highs = sorted(warm.map(|(_, a)| a.high));
            highs
                .get(highs.len() / 2)
                .copied()
                .filter(|_| highs.len() > 2)
        };
        let all = median(&|_| true).unwrap_or(1.0);
        let side = |kind, newest| {
            median(&|a| a.kind == kind && (a.build >= trial) == newest).unwrap_or(all)
        };
        let fellows: Vec<_> = (0..self.kinds.len())
            .map(|k| [side(k, false), side(k, true)])
            .collect();
        Kind::weigh(&mut self.kinds);
        let carried = self.carried.now * self.crossings.slow_start_factor * self.at.cold_part;
        for a in &mut self.fleet {
            a.warming_since = a.warming_since.filter(|t| now < *t + self.at.warm_up);
            // Cold: its part of what a warm one answers here, beginning by chance, so that the sum
            // over all agents keeps to it. Guards against a first attempt of each. Denies where
            // nearly all are cold.
            let turns = self.at.ramp(now, a) * self.kinds[a.kind].rate * carried * window;
            let begins = if a.turns > 0.0 { 0.0 } else { turns };
            a.quota = (a.quota.max(-1.0) + begins + turns / window).min(1.0 + turns);
            a.turns = turns;
            let median = fellows[a.kind][usize::from(a.build >= trial)];
            let pace = (a.high / median).max(0.3);
            a.weight = if pace < 1.5 {
                pace.powf(-0.5)
            } else {
                1.5f64.powf(1.5) * pace.powi(-2)
            };
            a.high += (median - a.high) * FORGIVE;
        }
    }

    pub(super) fn learn(
        &mut self,
        now: Duration,
        i: usize,
        build: u32,
        class: usize,
        end: &AttemptEnd,
        blame: f64,
    ) {
        let newest = self
            .rollout_status
            .as_ref()
            .is_some_and(|n| build >= n.build);
        let round =
            self.fleet.len() as f64 / self.classes.iter().map(|l| l.rate).sum::<f64>().max(1.0);
        let round = Duration::from_secs_f64(round).clamp(ASIDE_FIRST, ASIDE_MOST * 2);
        let way = self
            .crossings
            .zones
            .get(self.fleet[i].zone)
            .map_or(0.0, |t| t.added_latency.as_secs_f64());
        let (judged, trial, took) = (
            self.judged(now),
            self.on_trial(build),
            end.latency.as_secs_f64(),
        );
        let (a, l) = (&mut self.fleet[i], &mut self.classes[class]);
        a.in_flight = a.in_flight.saturating_sub(1);
        if a.build != build || a.standing != EndpointState::Running {
            return;
        }
        // The earlier build's outcomes are weighed by what the trial gets at the same time.
        self.beside.late[usize::from(newest)] += 1.0;
        let [base, tried] = self.beside.late;
        let weight = if newest {
            0.0
        } else {
            (BESIDE * tried / base.max(1.0)).min(1.0)
        };
        let beside = &mut self.beside.counts[class];
        // Lost, unless the endpoint has answered others since: then this one was only heavy.
        let stalled = self.resumed == now;
        let mute = !stalled
            && a.unheard
                .is_some_and(|t| t + end.latency <= now + self.at.tick);
        let mut lost = end.outcome == Outcome::ConnectFailed;
        match end.outcome {
            Outcome::Succeeded | Outcome::Failed | Outcome::Rejected => {
                if a.strikes > 2 && a.warming_since.is_none() {
                    // Back from silence: it may be a restart that the list has not told yet.
                    (a.warming_since, a.quota) = (Some(now), chance(&mut self.rng));
                }
                (a.unheard, a.strikes) = (Some(now), 0);
            }
            o if o == Outcome::NotSent
                || !mute && matches!(o, Outcome::TimedOut | Outcome::Cancelled) => {}
            _ => {
                a.strikes += 1;
                a.counts[class].lost += 1.0;
                beside.lost += weight;
                lost |= a.strikes > 1;
            }
        }
        let vain = !stalled && matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        l.waited += if vain { took } else { 0.0 };
        // Nothing out, nothing owed: after its rest one request tries whether it is back.
        a.unheard = a.unheard.filter(|_| a.in_flight > 0);
        l.done += if matches!(end.outcome, Outcome::Succeeded | Outcome::Failed) {
            1.0
        } else {
            0.0
        };
        if end.outcome == Outcome::Failed {
            a.failing += 0.15 * blame * (1.0 - a.failing);
            // Guards against machines that fail whatever they run: while some of the earlier build
            // do, one of the trial that fails as badly says nothing of its build. May let a bad
            // build on for that time.
            let sick = newest && now < self.sick_until && a.failing > SICK_SHARE;
            a.counts
                .iter_mut()
                .filter(|_| sick)
                .for_each(|c| c.failed = 0.0);
            a.counts[class].failed += if sick { 0.0 } else { blame };
            beside.failed += weight * blame;
            self.sick_until = if !newest && a.failing > SICK_SHARE {
                now + SICK_FOR
            } else {
                self.sick_until
            };
        }
        if end.outcome == Outcome::Succeeded {
            a.counts[class].succeeded += 1.0;
            beside.succeeded += weight;
            a.failing *= 0.85;
            let x = (took / l.usual).min(10.0);
            if !stalled {
                follow(&mut l.high, took);
                follow(&mut a.high, x);
            }
            self.load.done += if a.warming_since.is_none() { 1.0 } else { 0.0 };
            if a.warming_since.is_none() && !stalled {
                self.kinds[a.kind].pace.follow(x, KIND_GAIN);
                // Guards a build that only other zones hold, as the way there is not its work, and
                // agents that some troubles leave the slower kind of machines only.
                let alike = (took - way).max(0.0) / self.kinds[a.kind].slower;
                (if judged { &mut l.late } else { &mut l.calm }).add(alike);
                if !trial {
                    l.seen = (l.seen + 1.0).min(50.0);
                    l.usual += (took.min(l.usual * 10.0) - l.usual) / l.seen;
                    let side = if a.zone == self.at.zone {
                        &mut self.load.near
                    } else {
                        &mut self.load.far
                    };
                    *side += (x - *side) * 0.03;
                }
            }
            if a.failing < SICK_SHARE && a.aside.take().is_some() {
                a.aside_for = ASIDE_FIRST;
                self.notes.extend(
                    std::mem::take(&mut a.noted).then(|| format!("readmitted: endpoint {i}")),
                );
            }
        }
        // A build on trial must be heard before its endpoints rest, or it would never be judged.
        let heard = !newest || Count::sum(&a.counts).all() >= LEAST_OUTCOMES;
        if (lost || heard && a.failing > SICK_SHARE) && a.aside.is_none_or(|t| now >= t) {
            if a.aside_for > ASIDE_FIRST && !std::mem::replace(&mut a.noted, true) {
                self.notes.push(format!(
                    "ejected: endpoint {i}, build {build}, after {:?}",
                    end.outcome
                ));
            }
            // Guards a quiet agent against dead machines whose rest is over whenever their turn
            // comes.
            let dead = if end.outcome == Outcome::ConnectFailed {
                round
            } else {
                ASIDE_FIRST
            };
            a.aside = Some(now + a.aside_for.max(dead));
            a.aside_for = (a.aside_for * 2).clamp(ASIDE_FIRST * 2, ASIDE_MOST);
        }
    }
}

fn follow(high: &mut f64, x: f64) {
    *high = (*high * if x > *high { 1.135 } else { 0.985 }).clamp(0.001, 1000.0);
}
