//! Events that affect an installation from outside.

/// A change or failure of the installation.
#[derive(Clone, Debug)]
pub enum InstallationEvent {
    /// SIGHUP is sent to the agents with these numbers.
    Reload(Vec<usize>),
    /// The agents with these numbers end, and new processes start in their places.
    Restart(Vec<usize>),
    /// The machines of these endpoints go down (`true`) or are up again (`false`).
    Down(Vec<usize>, bool),
    /// Discovery changes its entries of some endpoints.
    List {
        /// Numbers of the endpoints.
        endpoints: Vec<usize>,
        /// Their new state, as discovery writes it.
        state: &'static str,
        /// Their new build; `None` if it does not change.
        build: Option<u32>,
        /// Whether their start time is set to the time of the event.
        started: bool,
    },
    /// The platforms of all services report a new rollout status.
    RolloutStatus {
        /// Build that is rolled out.
        build: u32,
        /// Index of the stage.
        stage: usize,
        /// Phase of the rollout, as the platform writes it.
        phase: &'static str,
        /// Maximum share of the load that the build may take, from 0 to 1.
        cap: f64,
    },
    /// The two regions are partitioned (`true`) or connected again (`false`).
    Partition(bool),
}
