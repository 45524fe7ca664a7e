//! Ranks endpoints by their suitability for a request.

use super::selection::{BuildStatus, Selection};
use super::Balancer;
use crate::model::{EjectionPhase, Endpoint, EndpointGroup};

/// Suitability of an endpoint for a request. Only the best preference that has any candidates is
/// used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Preference {
    /// The endpoint is expected to respond.
    Usable,
    /// The endpoint is expected to respond, but its zone is used only if no local endpoint can take
    /// the request.
    LastResort,
    /// The endpoint has already been tried for this request, or is likely to fail it.
    Doubtful,
    /// The endpoint is ejected or unresponsive.
    Unavailable,
}

impl Preference {
    /// All preferences, best first.
    pub const ALL: [Preference; 4] = [
        Preference::Usable,
        Preference::LastResort,
        Preference::Doubtful,
        Preference::Unavailable,
    ];
}

impl Balancer {
    /// Preference of an endpoint for this request.
    ///
    /// Protects requests that are not idempotent from endpoints that may lose or fail them: such
    /// endpoints come last for these requests. Does harm if these are the only endpoints with
    /// capacity left, as the others then get all of the load.
    pub(super) fn preference(
        &self,
        selection: &Selection,
        status: BuildStatus,
        index: usize,
        endpoint: &Endpoint,
    ) -> Preference {
        let ejection = &endpoint.ejection;
        let has_effect = selection.has_effect;
        let is_ejected = ejection.until.is_some_and(|until| selection.now < until)
            || has_effect && endpoint.health.has_repeated_faults();
        if is_ejected || endpoint.is_unresponsive(selection.now, selection.stall_timeout) {
            return Preference::Unavailable;
        }
        let is_on_probation = ejection.until.is_some() && (has_effect || endpoint.in_flight > 0);
        if is_on_probation || is_tried(selection, index) {
            return Preference::Doubtful;
        }
        self.preference_in_service(selection, status, endpoint.zone)
    }

    /// Upper bound of the preferences of a group's members for this request: the
    /// [`preference`](Self::preference) of each member is this one or a later one.
    pub(super) fn best_preference(
        &self,
        selection: &Selection,
        status: BuildStatus,
        group: &EndpointGroup,
    ) -> Preference {
        let has_effect = selection.has_effect;
        match group.ejection {
            EjectionPhase::Ejected => Preference::Unavailable,
            _ if has_effect && group.has_repeated_faults => Preference::Unavailable,
            EjectionPhase::BusyProbation => Preference::Doubtful,
            EjectionPhase::IdleProbation if has_effect => Preference::Doubtful,
            EjectionPhase::IdleProbation | EjectionPhase::InService => {
                self.preference_in_service(selection, status, group.zone)
            }
        }
    }

    fn preference_in_service(
        &self,
        selection: &Selection,
        status: BuildStatus,
        zone: usize,
    ) -> Preference {
        if status.is_canary {
            // A cross-zone budget must not deprive a canary of evidence, so no zone is a last
            // resort here.
            let is_risky = status.is_regressed && selection.has_effect;
            return if is_risky {
                Preference::Doubtful
            } else {
                Preference::Usable
            };
        }
        let class = selection.request.class;
        if self.is_last_resort(zone, class, selection.is_retry) {
            Preference::LastResort
        } else {
            Preference::Usable
        }
    }
}

/// Whether the request has already had an attempt at this endpoint.
pub(super) fn is_tried(selection: &Selection, index: usize) -> bool {
    let mut attempts = selection.request.attempts.iter();
    attempts.any(|attempt| attempt.endpoint == index)
}
