//! Groups of running endpoints that are equivalent for the selection of an endpoint.

use super::EndpointKey;

/// Ejection state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EjectionPhase {
    /// It is not ejected.
    InService,
    /// The ejection has ended, but the endpoint has not responded successfully since, and it has no
    /// attempts in flight.
    IdleProbation,
    /// As `IdleProbation`, but with attempts in flight.
    BusyProbation,
    /// It is ejected.
    Ejected,
}

/// A group of running endpoints that may receive requests and differ only in latency, attempts in
/// flight and age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EndpointGroup {
    /// Number of the build that they run.
    pub build: u32,
    /// Index of their zone.
    pub zone: usize,
    /// Index of their hardware type.
    pub endpoint_type: usize,
    /// Whether they are past slow start. If not, their quota limits the attempts.
    pub is_warm: bool,
    /// Their ejection state.
    pub ejection: EjectionPhase,
    /// Whether they have lost more than one attempt since their last response.
    pub has_repeated_faults: bool,
}

impl EndpointGroup {
    /// Returns the group of an endpoint, or `None` if the endpoint must not receive any request.
    pub fn of(key: &EndpointKey, is_ejected: bool) -> Option<EndpointGroup> {
        if !key.is_running() || !key.is_warm && !key.has_quota {
            return None;
        }
        let ejection = match (key.ejected_until, is_ejected) {
            (None, _) => EjectionPhase::InService,
            (Some(_), true) => EjectionPhase::Ejected,
            (Some(_), false) if key.is_busy => EjectionPhase::BusyProbation,
            (Some(_), false) => EjectionPhase::IdleProbation,
        };
        Some(EndpointGroup {
            build: key.build,
            zone: key.zone,
            endpoint_type: key.endpoint_type,
            is_warm: key.is_warm,
            ejection,
            has_repeated_faults: key.has_repeated_faults,
        })
    }
}
