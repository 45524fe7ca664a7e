//! Outcomes of one endpoint, by request class.

use crate::stats::OutcomeCounts;

/// How outcomes decay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutcomeDecay {
    /// Factor that each evaluation interval applies to all counts.
    pub factor: f64,
    /// Number of outcomes of a class below which an endpoint may drop them.
    pub negligible: f64,
}

impl OutcomeDecay {
    /// Returns the decay factor after this many intervals. It underflows to 0 after very many.
    pub fn factor_after(&self, intervals: u64) -> f64 {
        match intervals {
            0 => 1.0,
            1 => self.factor,
            _ => self.factor.powf(intervals as f64),
        }
    }
}

/// Outcomes of one class.
#[derive(Clone, Copy, Debug)]
struct ClassOutcomes {
    class: usize,
    /// Value of the endpoint's `decays` up to which the decay has been applied to `counts`.
    decays: u64,
    counts: OutcomeCounts,
}

/// Outcomes of one endpoint. Classes of which it was sent no request take no space. The cost of a
/// decay does not depend on the number of classes, because it is applied to a class only when that
/// class is read or changed.
#[derive(Debug, Default)]
pub(crate) struct EndpointOutcomes {
    /// Outcomes of the classes, sorted by class index.
    entries: Vec<ClassOutcomes>,
    /// Sum over all classes, including those that were pruned.
    total: OutcomeCounts,
    /// Number of decays since the endpoint was started.
    decays: u64,
    has_failures: bool,
    /// Whether a pruned class had failed responses.
    pruned_failed: bool,
    /// Whether a pruned class had lost attempts or client-reported errors.
    pruned_others: bool,
    /// Pruning is worthwhile once there are more entries than this.
    prune_above: usize,
}

impl EndpointOutcomes {
    /// Returns the sum over all classes.
    pub fn total(&self) -> &OutcomeCounts {
        &self.total
    }

    /// Returns whether there were failures, losses or client-reported errors in any class, however
    /// long ago.
    pub fn has_failures(&self) -> bool {
        self.has_failures
    }

    /// Returns the number of classes that have an entry, not counting pruned ones.
    #[cfg(test)]
    pub fn tracked_classes(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the number of classes has more than doubled since the last pruning. The cost
    /// of pruning per new class is then constant, however many classes there are.
    pub fn needs_pruning(&self) -> bool {
        self.entries.len() > self.prune_above.max(1)
    }

    /// Applies this number of decays to all counts.
    pub fn decay(&mut self, times: u64, decay: &OutcomeDecay) {
        self.decays += times;
        self.total.decay(decay.factor_after(times));
    }

    /// Adds outcomes of a class and returns whether the class had no entry before.
    pub fn add(&mut self, class: usize, added: &OutcomeCounts, decay: &OutcomeDecay) -> bool {
        self.total.decay_and_add(1.0, added);
        self.has_failures |= added.has_failures();
        match self.entries.binary_search_by_key(&class, |e| e.class) {
            Ok(position) => {
                let entry = &mut self.entries[position];
                let factor = decay.factor_after(self.decays - entry.decays);
                entry.counts.decay_and_add(factor, added);
                entry.decays = self.decays;
                false
            }
            Err(position) => {
                let entry = ClassOutcomes {
                    class,
                    decays: self.decays,
                    counts: *added,
                };
                self.entries.insert(position, entry);
                true
            }
        }
    }

    /// Returns the outcomes by class, with the decay applied.
    pub fn by_class<'a>(
        &'a self,
        decay: &'a OutcomeDecay,
    ) -> impl Iterator<Item = (usize, OutcomeCounts)> + 'a {
        // Most entries have the same age, so the factor is computed once for consecutive equal
        // ages.
        let mut age = 0;
        let mut factor = 1.0;
        self.entries.iter().map(move |entry| {
            let entry_age = self.decays - entry.decays;
            if entry_age != age {
                age = entry_age;
                factor = decay.factor_after(age);
            }
            (entry.class, entry.counts.scaled(factor))
        })
    }

    /// Removes one failed response of a class, as far as it has not decayed.
    pub fn retract_failure(&mut self, class: usize, decay: &OutcomeDecay) {
        self.apply_pending_decay(decay);
        if let Ok(position) = self.entries.binary_search_by_key(&class, |e| e.class) {
            let failed = &mut self.entries[position].counts.failed;
            *failed = (*failed - 1.0).max(0.0);
        }
        self.recompute_failed();
    }

    /// Removes all failed responses.
    pub fn clear_failed(&mut self, decay: &OutcomeDecay) {
        self.apply_pending_decay(decay);
        for entry in &mut self.entries {
            entry.counts.failed = 0.0;
        }
        self.pruned_failed = false;
        self.recompute_failed();
    }

    /// Drops the classes whose outcomes have decayed to a negligible number.
    pub fn prune_negligible(&mut self, decay: &OutcomeDecay) {
        self.apply_pending_decay(decay);
        let mut pruned_failed = self.pruned_failed;
        let mut pruned_others = self.pruned_others;
        self.entries.retain(|entry| {
            let counts = &entry.counts;
            let is_kept = counts.total() + counts.reported >= decay.negligible;
            if !is_kept {
                pruned_failed |= counts.failed > 0.0;
                pruned_others |= counts.lost + counts.reported > 0.0;
            }
            is_kept
        });
        self.pruned_failed = pruned_failed;
        self.pruned_others = pruned_others;
        self.prune_above = 2 * self.entries.len();
        self.entries.shrink_to(self.prune_above);
    }

    /// Moves the outcomes of each class to all indices that `targets` lists for it. Classes without
    /// a target are dropped.
    pub fn renumber(&mut self, targets: &[Vec<usize>], decay: &OutcomeDecay) {
        self.apply_pending_decay(decay);
        let before = std::mem::take(&mut self.entries);
        for entry in before {
            for class in targets.get(entry.class).into_iter().flatten() {
                self.entries.push(ClassOutcomes {
                    class: *class,
                    ..entry
                });
            }
        }
        self.entries.sort_by_key(|entry| entry.class);
        self.total = self.sum();
        self.recompute_failed();
    }

    /// Applies the outstanding decay to every class.
    fn apply_pending_decay(&mut self, decay: &OutcomeDecay) {
        for entry in &mut self.entries {
            entry
                .counts
                .decay(decay.factor_after(self.decays - entry.decays));
            entry.decays = self.decays;
        }
    }

    fn sum(&self) -> OutcomeCounts {
        let mut sum = OutcomeCounts::default();
        for entry in &self.entries {
            sum.decay_and_add(1.0, &entry.counts);
        }
        sum
    }

    /// Recomputes the total of failed responses from the classes. If it were computed by
    /// subtraction, the rounding error would look like failures.
    fn recompute_failed(&mut self) {
        self.total.failed = self.sum().failed;
        let is_any_failing = self.entries.iter().any(|e| e.counts.has_failures());
        self.has_failures = is_any_failing || self.pruned_failed || self.pruned_others;
    }
}
