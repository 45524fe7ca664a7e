//! Settings taken over while commands are in hand. What is known of lanes, customers, builds and appliances is carried
//! over by number; nothing is decided here, and no chance is drawn for settings that are the same.

use super::*;

impl Choice {
    /// What commands in hand count in: those numbers may not be given to others.
    pub fn in_hand(&self) -> InHand {
        let mut held = InHand::default();
        for c in self.commands.values() {
            held.lanes.insert(c.lane);
            held.customers.extend(c.customer);
            held.zones.extend(c.deliveries.iter().map(|d| d.zone));
        }
        held
    }

    /// From now on these settings decide, numbered as `by` says. Commands in hand keep their numbers, and with them
    /// their rules of repeats; evidence and what was exposed stay.
    pub fn renew(&mut self, now: Duration, d: &Deployment, by: &Numbering) {
        let (at, lanes) = (Bounds::of(d), Carry::of(&by.lanes));
        let was = std::mem::replace(&mut self.at, at);
        self.renew_lanes(d, by, &lanes);
        for a in self.fleet.iter_mut().filter(|a| !a.counts.is_empty()) {
            lanes.carry(&mut a.counts);
        }
        lanes.carry(&mut self.beside.counts);
        for b in self.builds.values_mut() {
            lanes.carry(&mut b.past);
            lanes.carry(&mut b.tallied);
            b.tokens = tokens(std::mem::take(&mut b.tokens), &was, &self.at, &lanes);
        }
        self.set_caps();
        Carry::of(&by.customers).carry(&mut self.customer_load);
        if !self.at.one_way {
            self.bound.clear();
        }
        // A longer time to warm holds for who has not had it.
        let cold_for = self.at.cold_for;
        for a in self
            .fleet
            .iter_mut()
            .filter(|a| a.cold_since.is_none() && cold_for > was.cold_for)
        {
            a.cold_since = a.started.filter(|s| *s + cold_for > now);
        }
        if was.ask_within.is_none() && self.at.ask_within.is_some() {
            self.watch_at = Some(now + self.at.call_share().mul_f64(chance(&mut self.rng)));
        }
    }

    /// These appliances' zones have other numbers now.
    pub fn rezone(&mut self, zones: &[(usize, usize)]) {
        for (appliance, zone) in zones {
            self.fleet
                .get_mut(*appliance)
                .into_iter()
                .for_each(|a| a.zone = *zone);
        }
    }

    fn renew_lanes(&mut self, d: &Deployment, by: &Numbering, lanes: &Carry) {
        let old = std::mem::take(&mut self.lanes);
        let known = |n: usize, l: &Lane| match old.get(n) {
            // Nothing was answered yet: a guess from the former quoted time is none from this one.
            Some(o) if o.seen <= LaneView::UNSEEN && o.quoted != l.quoted.as_secs_f64() => {
                LaneView::new(l, FIRST_GUESS)
            }
            Some(o) => LaneView {
                quoted: l.quoted.as_secs_f64(),
                benefit: l.benefit,
                repeats: l.repeats,
                ..o.clone()
            },
            None => LaneView::new(l, FIRST_GUESS),
        };
        let view = |(n, (l, origin)): (usize, (&Lane, &Origin))| match *origin {
            Origin::Same => known(n, l),
            Origin::Was(n) => known(n, l),
            Origin::New => LaneView::new(l, FIRST_GUESS),
            Origin::Over if lanes.from[n].is_some() => known(n, l),
            // What it was answered goes on under its new number; here it would count twice.
            Origin::Over => {
                let LaneView {
                    quoted,
                    benefit,
                    repeats,
                    seen,
                    usual,
                    least,
                    half,
                    high,
                    ..
                } = known(n, l);
                LaneView {
                    quoted,
                    benefit,
                    repeats,
                    seen,
                    usual,
                    least,
                    half,
                    high,
                    ..LaneView::default()
                }
            }
            // One that takes part in no sum, and is never slow.
            Origin::Free => LaneView {
                quoted: 1.0,
                ..LaneView::default()
            },
        };
        self.lanes = d
            .lanes
            .iter()
            .zip(&by.lanes)
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
    fn of(by: &[Origin]) -> Carry {
        let mut moved = vec![false; by.len()];
        for o in by {
            if let Origin::Was(n) = o {
                moved.get_mut(*n).into_iter().for_each(|m| *m = true);
            }
        }
        let from = |(n, o): (usize, &Origin)| match o {
            Origin::Same => Some(n),
            Origin::Over if !moved[n] => Some(n),
            Origin::Was(n) => Some(*n),
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

/// What may still be exposed. A renewal never adds to it: what a lower bound allows less is owed, a lane that is new
/// earns its own, and what all lanes had is shared out, or owed together, where the cap counts otherwise from now on.
/// So the bound holds in each window across the change, but for single lanes that were not counted before. May leave a
/// build on trial unexposed for a while.
fn tokens(mut old: Vec<f64>, was: &Bounds, at: &Bounds, lanes: &Carry) -> Vec<f64> {
    let less = (was.free - at.free).max(0.0);
    match (was.by_lane, at.by_lane) {
        (true, false) => old = vec![was.free - old.iter().map(|t| was.free - t).sum::<f64>()],
        (false, true) => {
            let each = old.iter().sum::<f64>() / lanes.from.len().max(1) as f64;
            old = vec![each; lanes.from.len()];
        }
        _ => {}
    }
    old.iter_mut().for_each(|t| *t = (*t - less).min(at.free));
    if was.by_lane && at.by_lane {
        lanes.carry(&mut old);
    }
    old
}
