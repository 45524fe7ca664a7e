//! Selects the installations whose measurement scenarios (rows) are simulated.

use super::Options;
use crate::scale::extrapolation::{
    every_agent_fronts_all, largest_service, mean_service, measured_agent_memory,
    SizeInterpretation,
};
use crate::scale::report::SweepResult;
use crate::scale::size::Size;

/// Load of all rows except `peak` and `calm`, in requests a second for each agent.
const QUIET_RATE: f64 = 14.3;
/// The same load where every agent fronts all endpoints. It is lower, because simulating such an
/// installation takes long.
const QUIET_RATE_ALL_ENDPOINTS: f64 = 1.0;
/// Numbers of classes to try where every agent fronts all endpoints, largest first.
const CLASS_COUNTS: [usize; 3] = [1600, 160, 11];

/// An installation whose measurement scenarios are simulated.
pub(super) struct Installation {
    /// Name of the installation in reports.
    pub(super) reading: String,
    pub(super) size: Size,
    /// Load of all rows except `peak` and `calm`, in requests a second for each agent; `None` for
    /// the rate of the size.
    pub(super) quiet_rate: Option<f64>,
}

impl Options {
    /// Returns whether any option on the command line sets a size.
    pub(super) fn has_size_options(&self) -> bool {
        let counts = [
            self.services,
            self.agents,
            self.endpoints,
            self.classes,
            self.tenants,
        ];
        let has_count_option = counts.iter().any(Option::is_some);
        has_count_option || self.rate.is_some() || self.calls.is_some() || self.every_call
    }

    /// Returns the size set on the command line, with defaults for the options that are missing.
    fn size(&self) -> Size {
        let default = Size::default();
        Size {
            services: self.services.unwrap_or(default.services),
            agents: self.agents.unwrap_or(default.agents),
            endpoints: self.endpoints.unwrap_or(default.endpoints),
            classes: self.classes.unwrap_or(default.classes),
            tenants: self.tenants.unwrap_or(default.tenants),
            rate: self.rate.unwrap_or(default.rate),
            calls: self.calls.unwrap_or(default.calls),
            every_call: self.every_call,
            ..default
        }
    }

    /// Returns the installations whose rows are simulated. With `--full`, the largest is reduced to
    /// `allowed_memory` bytes, by the memory measured in the sweeps that were run before.
    pub(super) fn installations(
        &self,
        allowed_memory: f64,
        measured: &[SweepResult],
    ) -> Vec<Installation> {
        if self.has_size_options() {
            return vec![Installation {
                reading: "as told".into(),
                size: self.size(),
                quiet_rate: self.quiet,
            }];
        }
        if self.full {
            return self.full_installations(allowed_memory, measured);
        }
        vec![Installation {
            reading: "two mean services".into(),
            size: Size {
                services: 2,
                agents: 12,
                endpoints: 110,
                ..mean_service().size
            },
            quiet_rate: self.quiet,
        }]
    }

    /// Returns the installations for the interpretations of the operators' size.
    fn full_installations(
        &self,
        allowed_memory: f64,
        measured: &[SweepResult],
    ) -> Vec<Installation> {
        let mean = mean_service();
        let largest = largest_service();
        let quiet = self.quiet.or(Some(QUIET_RATE));
        let all_services = Size {
            services: 140,
            agents: 770,
            endpoints: 7700,
            ..mean.size
        };
        let every = every_agent_fronts_all();
        let fitting = fitting_size(every, allowed_memory, measured);
        let fitting_reading = format!(
            "{}, {} agents, {} lanes",
            every.name, fitting.agents, fitting.classes
        );
        vec![
            Installation {
                reading: format!("140 of the {}", mean.name),
                size: all_services,
                quiet_rate: quiet,
            },
            Installation {
                reading: largest.name.into(),
                size: largest.size,
                quiet_rate: quiet,
            },
            Installation {
                reading: fitting_reading,
                size: fitting,
                quiet_rate: self.quiet.or(Some(QUIET_RATE_ALL_ENDPOINTS)),
            },
        ]
    }
}

/// Returns the largest size that fits in memory: first as many classes as fit, then as many agents.
/// Extrapolation covers the rest.
///
/// Uses the memory per agent that the sweeps measured, because the constants of
/// [`Size::estimated_memory`] may come from an earlier version and would then allow fewer classes
/// than fit. The result is too large where requests leave behind more memory than in the sweeps,
/// which are short.
fn fitting_size(
    reading: SizeInterpretation,
    allowed_memory: f64,
    measured: &[SweepResult],
) -> Size {
    let memory = |size: &Size| {
        measured_agent_memory(measured, size).map_or_else(
            || size.estimated_memory(false),
            |agent| size.memory_by_measured_agent(agent),
        )
    };
    let fits = |size: &Size| memory(size) <= allowed_memory;
    let with_classes = |classes| Size {
        classes,
        ..reading.size
    };
    let fewest = with_classes(CLASS_COUNTS[CLASS_COUNTS.len() - 1]);
    let mut size = CLASS_COUNTS
        .into_iter()
        .map(with_classes)
        .find(fits)
        .unwrap_or(fewest);
    while !fits(&size) && size.agents > 1 {
        size.agents -= 1;
    }
    size
}
