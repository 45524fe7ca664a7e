//! The counts that the demo prints each second.

use super::NEW_BUILD;
use tulipwall_zones::Document;

/// Totals of requests and attempts since the agent's start.
#[derive(Clone, Copy, Default)]
pub struct Totals {
    pub requests: u64,
    pub local_attempts: u64,
    pub cross_zone_attempts: u64,
    pub over_budget: u64,
    pub new_build_attempts: u64,
}

impl Totals {
    /// Sums up a report on cross-zone traffic.
    pub fn of(report: &Document) -> Totals {
        let requests = report.heads.iter().flat_map(|head| head.requests.values());
        let mut totals = Totals {
            requests: requests.sum(),
            ..Totals::default()
        };
        for link in &report.links {
            if link.from == link.to {
                totals.local_attempts += link.attempts;
            } else {
                totals.cross_zone_attempts += link.attempts;
            }
            totals.over_budget += link.over_budget_total();
            if link.build == NEW_BUILD {
                totals.new_build_attempts += link.attempts;
            }
        }
        totals
    }
}
