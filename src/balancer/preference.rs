//! How readily an endpoint is used for a request.

use super::selection::{BuildStatus, Selection};
use super::Balancer;
use crate::model::{EjectionPhase, Endpoint, EndpointGroup};

/// How readily an endpoint is used; the first that has any candidates wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Preference {
    /// It is expected to answer.
    Usable,
    /// The same, in a zone that is used only where no local endpoint can take the request.
    LastResort,
    /// It was tried for this request, or is likely to fail it.
    Doubtful,
    /// It is ejected or unresponsive.
    Unavailable,
}

impl Preference {
    /// All of them, the best first.
    pub const ALL: [Preference; 4] = [
        Preference::Usable,
        Preference::LastResort,
        Preference::Doubtful,
        Preference::Unavailable,
    ];
}

impl Balancer {
    /// How readily an endpoint is used for this request.
    ///
    /// Guards requests that are not idempotent against endpoints that may lose or fail them: those
    /// come last for them. Does harm where they are the only ones with room, as the others get all.
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

    /// How readily the endpoints of a group are used for this request at the best: each one's
    /// [`preference`](Self::preference) is this one or a later one.
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
            // No budget for crossing zones may leave a canary without evidence.
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

/// Whether the request had an attempt at this endpoint before.
pub(super) fn is_tried(selection: &Selection, index: usize) -> bool {
    let mut attempts = selection.request.attempts.iter();
    attempts.any(|attempt| attempt.endpoint == index)
}
