//! Outcomes of one endpoint, by the classes that it was sent requests of.

use crate::stats::OutcomeCounts;

/// How outcomes lose weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutcomeDecay {
    /// Factor on all counts, each evaluation interval.
    pub factor: f64,
    /// Outcomes of a class below which an endpoint need not remember them.
    pub negligible: f64,
}

impl OutcomeDecay {
    /// Factor on all counts after so many intervals: 0 after very many.
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
    /// Decays of the endpoint that the counts have been through.
    decays: u64,
    counts: OutcomeCounts,
}

/// Outcomes of one endpoint. Classes that it was sent no request of take no space, and a decay costs
/// the same however many there are: it is applied to a class when that is read or changed.
#[derive(Debug, Default)]
pub(crate) struct EndpointOutcomes {
    /// Sorted by class.
    entries: Vec<ClassOutcomes>,
    /// Sum over all classes, also those that were forgotten.
    total: OutcomeCounts,
    /// Decays since the start.
    decays: u64,
    has_failures: bool,
    /// Whether a class was forgotten that had answers that failed.
    forgot_failed: bool,
    /// Whether a class was forgotten that had lost or reported ones.
    forgot_others: bool,
    /// Entries from which on it is worth while to look for negligible ones.
    crowded_from: usize,
}

impl EndpointOutcomes {
    /// Sum over all classes.
    pub fn total(&self) -> &OutcomeCounts {
        &self.total
    }

    /// Whether anything went wrong in any class, however long ago.
    pub fn has_failures(&self) -> bool {
        self.has_failures
    }

    /// Classes that are remembered.
    #[cfg(test)]
    pub fn remembered(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are twice as many classes as were left when negligible ones were last looked
    /// for. Looking for them then costs each new class the same, however many there are.
    pub fn needs_pruning(&self) -> bool {
        self.entries.len() > self.crowded_from.max(1)
    }

    /// Lets all counts decay so many times.
    pub fn decay(&mut self, times: u64, decay: &OutcomeDecay) {
        self.decays += times;
        self.total.decay(decay.factor_after(times));
    }

    /// Adds outcomes of a class. Whether the class was not remembered before.
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

    /// Outcomes by class, as they are now.
    pub fn by_class<'a>(
        &'a self,
        decay: &'a OutcomeDecay,
    ) -> impl Iterator<Item = (usize, OutcomeCounts)> + 'a {
        // Most entries are of the same age: its factor is not taken anew for each.
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

    /// Takes one failed answer of a class back, as far as it still counts.
    pub fn take_back_failure(&mut self, class: usize, decay: &OutcomeDecay) {
        self.settle(decay);
        if let Ok(position) = self.entries.binary_search_by_key(&class, |e| e.class) {
            let failed = &mut self.entries[position].counts.failed;
            *failed = (*failed - 1.0).max(0.0);
        }
        self.recount_failed();
    }

    /// Takes all failed answers back.
    pub fn clear_failed(&mut self, decay: &OutcomeDecay) {
        self.settle(decay);
        for entry in &mut self.entries {
            entry.counts.failed = 0.0;
        }
        self.forgot_failed = false;
        self.recount_failed();
    }

    /// Forgets classes of which hardly anything is left.
    pub fn prune_negligible(&mut self, decay: &OutcomeDecay) {
        self.settle(decay);
        let mut forgot_failed = self.forgot_failed;
        let mut forgot_others = self.forgot_others;
        self.entries.retain(|entry| {
            let counts = &entry.counts;
            let is_kept = counts.total() + counts.reported >= decay.negligible;
            if !is_kept {
                forgot_failed |= counts.failed > 0.0;
                forgot_others |= counts.lost + counts.reported > 0.0;
            }
            is_kept
        });
        self.forgot_failed = forgot_failed;
        self.forgot_others = forgot_others;
        self.crowded_from = 2 * self.entries.len();
        self.entries.shrink_to(self.crowded_from);
    }

    /// Gives each class the indices that `targets` has for it; one without any is dropped.
    pub fn renumber(&mut self, targets: &[Vec<usize>], decay: &OutcomeDecay) {
        self.settle(decay);
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
        self.recount_failed();
    }

    /// Applies all decays to all classes.
    fn settle(&mut self, decay: &OutcomeDecay) {
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

    /// Takes the sum of failed answers from the classes: what rounding leaves of a difference would
    /// pass for failures.
    fn recount_failed(&mut self) {
        self.total.failed = self.sum().failed;
        let is_any_failing = self.entries.iter().any(|e| e.counts.has_failures());
        self.has_failures = is_any_failing || self.forgot_failed || self.forgot_others;
    }
}
