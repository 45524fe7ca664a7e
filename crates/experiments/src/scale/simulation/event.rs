//! What happens to an installation from outside.

/// A change of the installation.
#[derive(Clone, Debug)]
pub enum InstallationEvent {
    /// SIGHUP to these agents.
    Reload(Vec<usize>),
    /// These agents end, and others begin in their places.
    Restart(Vec<usize>),
    /// The machines of these endpoints vanish (`true`), or are back.
    Down(Vec<usize>, bool),
    /// Discovery lists endpoints differently.
    List {
        /// The endpoints.
        endpoints: Vec<usize>,
        /// Their state, as discovery writes it.
        state: &'static str,
        /// Their new build, if it changes.
        build: Option<u32>,
        /// Whether they started just now.
        started: bool,
    },
    /// The platforms of all services report a rollout.
    RolloutStatus {
        /// The build.
        build: u32,
        /// Its stage.
        stage: usize,
        /// Its phase, as the platform writes it.
        phase: &'static str,
        /// Highest share of the load that it may take.
        cap: f64,
    },
    /// The regions cannot reach each other (`true`), or can again.
    Partition(bool),
}
