//! Settings taken over while requests are in hand. What is known of classes, tenants, builds and
//! endpoints is carried over by number; nothing is decided here, and no chance is drawn for
//! settings that are the same.

use super::*;

impl Balancer {
    /// What requests in hand count in: those numbers may not be given to others.
    pub fn indices_in_use(&self) -> IndicesInUse {
        let mut held = IndicesInUse::default();
        for c in self.commands.values() {
            held.classes.insert(c.class);
            held.tenants.extend(c.tenant);
            held.zones.extend(c.attempts.iter().map(|d| d.zone));
        }
        held
    }

    /// From now on these settings decide, numbered as `by` says. Requests in hand keep their
    /// numbers, and with them their rules of repeats; evidence and what was exposed stay.
    pub fn reload(&mut self, now: Duration, d: &Settings, by: &IndexMapping) {
        let (at, classes) = (Bounds::of(d), Carry::of(&by.classes));
        let was = std::mem::replace(&mut self.at, at);
        self.reload_classes(d, by, &classes);
        for a in self.fleet.iter_mut().filter(|a| !a.counts.is_empty()) {
            classes.carry(&mut a.counts);
        }
        classes.carry(&mut self.beside.counts);
        for b in self.builds.values_mut() {
            classes.carry(&mut b.past);
            classes.carry(&mut b.tallied);
            b.tokens = tokens(std::mem::take(&mut b.tokens), &was, &self.at, &classes);
        }
        self.set_caps();
        Carry::of(&by.tenants).carry(&mut self.tenant_load);
        if !self.at.one_way {
            self.bound.clear();
        }
        // A longer time to warm holds for who has not had it.
        let warm_up = self.at.warm_up;
        for a in self
            .fleet
            .iter_mut()
            .filter(|a| a.warming_since.is_none() && warm_up > was.warm_up)
        {
            a.warming_since = a.started.filter(|s| *s + warm_up > now);
        }
        if was.ask_within.is_none() && self.at.ask_within.is_some() {
            self.watch_at = Some(now + self.at.list_call_interval().mul_f64(chance(&mut self.rng)));
        }
    }

    /// These endpoints' zones have other numbers now.
    pub fn reassign_zones(&mut self, zones: &[(usize, usize)]) {
        for (endpoint, zone) in zones {
            self.fleet
                .get_mut(*endpoint)
                .into_iter()
                .for_each(|a| a.zone = *zone);
        }
    }

    fn reload_classes(&mut self, d: &Settings, by: &IndexMapping, classes: &Carry) {
        let old = std::mem::take(&mut self.classes);
        let known = |n: usize, l: &RequestClass| match old.get(n) {
            // Nothing was answered yet: a guess from the former latency objective is none from this
            // one.
            Some(o)
                if o.seen <= ClassState::UNSEEN
                    && o.latency_objective != l.latency_objective.as_secs_f64() =>
            {
                ClassState::new(l, FIRST_GUESS)
            }
            Some(o) => ClassState {
                latency_objective: l.latency_objective.as_secs_f64(),
                priority_weight: l.priority_weight,
                idempotency: l.idempotency,
                ..o.clone()
            },
            None => ClassState::new(l, FIRST_GUESS),
        };
        let view = |(n, (l, origin)): (usize, (&RequestClass, &IndexOrigin))| match *origin {
            IndexOrigin::Same => known(n, l),
            IndexOrigin::MovedFrom(n) => known(n, l),
            IndexOrigin::New => ClassState::new(l, FIRST_GUESS),
            IndexOrigin::Retired if classes.from[n].is_some() => known(n, l),
            // What it was answered goes on under its new number; here it would count twice.
            IndexOrigin::Retired => {
                let ClassState {
                    latency_objective,
                    priority_weight,
                    idempotency,
                    seen,
                    usual,
                    least,
                    half,
                    high,
                    ..
                } = known(n, l);
                ClassState {
                    latency_objective,
                    priority_weight,
                    idempotency,
                    seen,
                    usual,
                    least,
                    half,
                    high,
                    ..ClassState::default()
                }
            }
            // One that takes part in no sum, and is never slow.
            IndexOrigin::Unused => ClassState {
                latency_objective: 1.0,
                ..ClassState::default()
            },
        };
        self.classes = d
            .classes
            .iter()
            .zip(&by.classes)
            .enumerate()
            .map(view)
            .collect();
    }
}

/// Under which number each number's evidence was kept.
struct Carry {
    from: Vec<Option<usize>>,
    same: bool,
}

impl Carry {
    fn of(by: &[IndexOrigin]) -> Carry {
        let mut moved = vec![false; by.len()];
        for o in by {
            if let IndexOrigin::MovedFrom(n) = o {
                moved.get_mut(*n).into_iter().for_each(|m| *m = true);
            }
        }
        let from = |(n, o): (usize, &IndexOrigin)| match o {
            IndexOrigin::Same => Some(n),
            IndexOrigin::Retired if !moved[n] => Some(n),
            IndexOrigin::MovedFrom(n) => Some(*n),
            _ => None,
        };
        let from: Vec<_> = by.iter().enumerate().map(from).collect();
        Carry {
            same: from.iter().enumerate().all(|(n, f)| *f == Some(n)),
            from,
        }
    }

    fn carry<T: Clone + Default>(&self, kept: &mut Vec<T>) {
        if self.same && kept.len() == self.from.len() {
            return;
        }
        let of = |n: &Option<usize>| n.and_then(|n| kept.get(n)).cloned().unwrap_or_default();
        *kept = self.from.iter().map(of).collect();
    }
}

/// What may still be exposed. A renewal never adds to it: what a lower bound allows less is owed, a
/// class that is new earns its own, and what all classes had is shared out, or owed together, where
/// the cap counts otherwise from now on. So the bound holds in each window across the change, but
/// for single classes that were not counted before. May leave a build on trial unexposed for a
/// while.
fn tokens(mut old: Vec<f64>, was: &Bounds, at: &Bounds, classes: &Carry) -> Vec<f64> {
    let less = (was.free - at.free).max(0.0);
    match (was.by_class, at.by_class) {
        (true, false) => old = vec![was.free - old.iter().map(|t| was.free - t).sum::<f64>()],
        (false, true) => {
            let each = old.iter().sum::<f64>() / classes.from.len().max(1) as f64;
            old = vec![each; classes.from.len()];
        }
        _ => {}
    }
    old.iter_mut().for_each(|t| *t = (*t - less).min(at.free));
    if was.by_class && at.by_class {
        classes.carry(&mut old);
    }
    old
}
