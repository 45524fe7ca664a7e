//! The installations whose rows are simulated.

use super::Options;
use crate::scale::extrapolation::{
    every_agent_fronts_all, largest_service, mean_service, measured_agent_memory,
    SizeInterpretation,
};
use crate::scale::report::SweepResult;
use crate::scale::size::Size;

/// Load of all rows but the peak and the calm one, in requests a second for each agent.
const QUIET_RATE: f64 = 14.3;
/// The same where every agent fronts all endpoints, which takes long.
const QUIET_RATE_ALL_ENDPOINTS: f64 = 1.0;
/// Counts of classes that are tried where every agent fronts all endpoints, largest first.
const CLASS_COUNTS: [usize; 3] = [1600, 160, 11];

/// An installation whose rows are simulated.
pub(super) struct Installation {
    /// Name in reports.
    pub(super) reading: String,
    pub(super) size: Size,
    /// The load of all rows but the peak and the calm one, in requests a second for each agent.
    pub(super) quiet_rate: Option<f64>,
}

impl Options {
    /// Whether any size is on the command line.
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

    /// The size on the command line, with defaults.
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

    /// The installations whose rows are simulated in so many bytes of memory, by the sweeps that
    /// were run before.
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

    /// The readings of the operators' size.
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

/// As many classes of a reading as fit in memory, then as many agents; extrapolation covers the
/// rest.
///
/// Guards against an estimate of an earlier version, by which fewer classes would be simulated than
/// fit. Does harm where requests leave more than in the sweeps, which are short.
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
