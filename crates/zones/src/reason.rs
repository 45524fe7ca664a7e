//! The reasons for which an attempt crosses to another zone although a budget is exhausted.

use tulipwall::ZoneCounts;

/// The reason why an attempt crossed to another zone although a budget was exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverBudgetReason {
    /// It went to a canary, which needs traffic to be evaluated; the canary's cap bounds that
    /// traffic.
    Canary,
    /// Its request is deduplicated only within a group of endpoints in that zone, where it may
    /// already have run.
    DeduplicationScope,
    /// The local zone has no endpoint.
    NoLocalEndpoint,
    /// All local endpoints are draining.
    LocalDraining,
    /// All local endpoints are ejected or unresponsive.
    LocalUnavailable,
    /// All responsive local endpoints are in slow start and have received their share.
    LocalWarmingUp,
    /// Local responses would miss the latency objective.
    LocalSaturated,
    /// Every local endpoint that could serve the request has already failed it.
    LocalAlreadyTried,
    /// The cap of a canary or the builds allowed for the key excluded all local endpoints.
    LocalExcluded,
}

impl OverBudgetReason {
    /// The number of reasons.
    pub const COUNT: usize = Self::ALL.len();

    /// All reasons, in the order of their discriminants.
    pub const ALL: [OverBudgetReason; 9] = [
        OverBudgetReason::Canary,
        OverBudgetReason::DeduplicationScope,
        OverBudgetReason::NoLocalEndpoint,
        OverBudgetReason::LocalDraining,
        OverBudgetReason::LocalUnavailable,
        OverBudgetReason::LocalWarmingUp,
        OverBudgetReason::LocalSaturated,
        OverBudgetReason::LocalAlreadyTried,
        OverBudgetReason::LocalExcluded,
    ];

    /// The label of the reason in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            OverBudgetReason::Canary => "trial",
            OverBudgetReason::DeduplicationScope => "group",
            OverBudgetReason::NoLocalEndpoint => "no_near",
            OverBudgetReason::LocalDraining => "drained",
            OverBudgetReason::LocalUnavailable => "aside",
            OverBudgetReason::LocalWarmingUp => "cold",
            OverBudgetReason::LocalSaturated => "full",
            OverBudgetReason::LocalAlreadyTried => "tried",
            OverBudgetReason::LocalExcluded => "barred",
        }
    }

    /// Derives the reason from the state of the local zone, for an attempt that goes neither to a
    /// canary nor to the deduplication scope of its request.
    ///
    /// `saturated` says whether local responses of its class are close to being late,
    /// `previous_attempts` is the number of earlier attempts of the same request.
    pub fn for_counts(
        local: &ZoneCounts,
        saturated: bool,
        previous_attempts: usize,
    ) -> OverBudgetReason {
        match local {
            ZoneCounts {
                running: 0,
                draining: 0,
                ..
            } => OverBudgetReason::NoLocalEndpoint,
            ZoneCounts { running: 0, .. } => OverBudgetReason::LocalDraining,
            ZoneCounts { responsive: 0, .. } => OverBudgetReason::LocalUnavailable,
            ZoneCounts { warm: 0, .. } => OverBudgetReason::LocalWarmingUp,
            _ if saturated => OverBudgetReason::LocalSaturated,
            _ if previous_attempts > 0 => OverBudgetReason::LocalAlreadyTried,
            _ => OverBudgetReason::LocalExcluded,
        }
    }
}
