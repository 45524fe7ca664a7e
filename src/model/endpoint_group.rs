//! What running endpoints have in common as far as the choice of an endpoint is concerned.

use super::EndpointKey;

/// How far the ejection of an endpoint has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EjectionPhase {
    /// It is not ejected.
    InService,
    /// Its ejection is over, it has not answered well since, and has nothing in flight.
    IdleProbation,
    /// The same, with attempts in flight.
    BusyProbation,
    /// It is ejected.
    Ejected,
}

/// A group of running endpoints that may get a request at all and are alike but for their latency,
/// what they have in flight, and their age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EndpointGroup {
    /// The build that they run.
    pub build: u32,
    /// Index of their zone.
    pub zone: usize,
    /// Index of their hardware type.
    pub endpoint_type: usize,
    /// Whether they are past slow start; those that are not may get an attempt by their quota.
    pub is_warm: bool,
    /// How far their ejection has come.
    pub ejection: EjectionPhase,
    /// Whether they lost more than one attempt since their last answer.
    pub has_repeated_faults: bool,
}

impl EndpointGroup {
    /// The group of an endpoint, `None` where it may get no request whatever that is.
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
