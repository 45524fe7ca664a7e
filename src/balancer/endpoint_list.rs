//! What the endpoint list says, and when it is asked for again.

use super::*;

impl Balancer {
    /// Entries of the list; `complete` when whatever it lacks is gone.
    pub fn update_endpoints(&mut self, now: Duration, entries: &[EndpointEntry], complete: bool) {
        self.watch_gap = GAP;
        if complete {
            let named: BTreeSet<usize> = entries.iter().map(|e| e.endpoint).collect();
            (0..self.fleet.len())
                .filter(|i| !named.contains(i))
                .for_each(|i| self.retire(i, EndpointState::Gone));
        }
        for e in entries {
            self.fleet
                .resize_with(self.fleet.len().max(e.endpoint + 1), Endpoint::default);
            self.kinds
                .resize(self.kinds.len().max(e.endpoint_type + 1), Kind::default());
            let (a, runs) = (&self.fleet[e.endpoint], e.state == EndpointState::Running);
            let same =
                (a.standing, a.build, a.started, a.zone) == (e.state, e.build, e.started, e.zone);
            if !runs || !same {
                self.retire(e.endpoint, e.state);
            }
            if runs && !same {
                let cold = e.started.filter(|s| *s + self.at.warm_up > now);
                self.fleet[e.endpoint].start(e, self.classes.len(), cold, chance(&mut self.rng));
                let b = self.build(e.build);
                b.newest = b.newest.max(e.started.unwrap_or_default());
            }
        }
        self.oldest = self.running().map(|(_, a)| a.build).min().unwrap_or(0);
        self.set_caps();
    }

    /// A list call failed, or the watch broke: ask again, less and less often, down to the agent's
    /// share of the calls. Guards against a discovery that all keep overbooked. May delay a list
    /// beyond `list_valid_until`.
    pub fn on_list_failure(&mut self, now: Duration) {
        let gap = self
            .watch_gap
            .max(GAP)
            .max(self.at.list_call_interval() / 4);
        self.watch_at = Some(now + gap.mul_f64(0.7 + 0.6 * chance(&mut self.rng)));
        self.watch_gap = (gap * 3 / 2).min(self.at.list_call_interval().max(GAP * 8));
    }

    fn retire(&mut self, i: usize, standing: EndpointState) {
        let a = &mut self.fleet[i];
        let was = std::mem::replace(&mut a.standing, standing);
        if was == EndpointState::Running && a.aside.is_none() {
            let (past, counts) = (self.builds.get_mut(&a.build), std::mem::take(&mut a.counts));
            past.into_iter()
                .flat_map(|b| &mut b.past)
                .zip(&counts)
                .for_each(|(p, c)| p.mix(1.0, c));
        }
    }
}
