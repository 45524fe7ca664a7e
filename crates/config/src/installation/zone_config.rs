//! Resolves the names of the section `zones` against the settings of a service.

use super::zones::{BudgetEntry, LinkEntry, NameEntry, ZonesSection};
use crate::diagnostic::{ConfigDiagnostic, ConfigProblem, SourceLocation};
use crate::service_config::ServiceConfig;
use tulipwall_zones::{Budget, ClassProfile, Link, ZoneConfig};

/// The name by which the file refers to the zone of any endpoint whose zone the settings do not
/// define.
pub const UNNAMED_ZONE: &str = "(unnamed)";

/// Replaces the names of the section by the indices of `service`. Returns a problem for each name
/// that the service does not define.
pub(super) fn resolve(
    section: &ZonesSection,
    service: &ServiceConfig,
) -> Result<ZoneConfig, Vec<ConfigDiagnostic>> {
    let mut resolver = Resolver {
        service,
        diagnostics: Vec::new(),
    };
    let links = resolver.links(&section.links);
    let budgets = resolver.budgets(&section.budgets);
    if !resolver.diagnostics.is_empty() {
        return Err(resolver.diagnostics);
    }
    Ok(ZoneConfig {
        local_zone: service.settings.zone,
        zone_count: service.zones.len(),
        classes: class_profiles(service),
        links,
        budgets,
        routing: section.routing,
    })
}

fn class_profiles(service: &ServiceConfig) -> Vec<ClassProfile> {
    service
        .settings
        .classes
        .iter()
        .map(|class| ClassProfile {
            priority_weight: class.priority_weight,
            latency_objective: class.latency_objective,
        })
        .collect()
}

struct Resolver<'a> {
    service: &'a ServiceConfig,
    diagnostics: Vec<ConfigDiagnostic>,
}

impl Resolver<'_> {
    /// The links from the agent's own zone, by the index of their destination zone. All zones
    /// without a name share the index after the last named zone.
    fn links(&mut self, entries: &[LinkEntry]) -> Vec<Link> {
        let mut links = vec![Link::default(); self.service.zones.len() + 1];
        for entry in entries {
            let from = self.zone(entry.location, "link", &entry.from);
            let to = self.zone(entry.location, "link", &entry.to);
            let (Some(from), Some(to)) = (from, to) else {
                continue;
            };
            if from == self.service.settings.zone {
                links[to] = entry.link;
            }
        }
        links
    }

    /// The budgets that apply to this agent. A budget for traffic to its own zone applies only to
    /// agents in other zones.
    fn budgets(&mut self, entries: &[BudgetEntry]) -> Vec<Budget> {
        let agents = self.service.settings.agents.max(1);
        let equal_fraction = 1.0 / f64::from(agents);
        let mut budgets = Vec::new();
        for entry in entries {
            let to = self.budget_zone(entry.to.as_ref());
            let class = self.budget_class(entry.class.as_ref());
            if to == Some(self.service.settings.zone) {
                continue;
            }
            budgets.extend(entry.limits.iter().map(|limit| Budget {
                name: entry.name.clone(),
                to,
                class,
                limit: *limit,
                window: entry.window,
                agent_fraction: entry.fraction.unwrap_or(equal_fraction),
            }));
        }
        budgets
    }

    fn budget_zone(&mut self, entry: Option<&NameEntry>) -> Option<usize> {
        let entry = entry?;
        self.zone(entry.location, "to", &entry.name)
    }

    fn budget_class(&mut self, entry: Option<&NameEntry>) -> Option<usize> {
        let entry = entry?;
        let class = self.service.class_index(&entry.name);
        if class.is_none() {
            let problem = ConfigProblem::UndefinedClass {
                name: entry.name.clone(),
                known: self.service.classes.join(", "),
            };
            self.report(entry.location, "lane", problem);
        }
        class
    }

    /// The index of the zone with this name. A name that the service does not define is reported
    /// under `key`.
    fn zone(&mut self, location: SourceLocation, key: &str, name: &str) -> Option<usize> {
        if name == UNNAMED_ZONE {
            return Some(self.service.zones.len());
        }
        let zone = self.service.zone_index(name);
        if zone.is_none() {
            let problem = ConfigProblem::UndefinedZone {
                name: name.to_owned(),
                known: self.service.zones.join(", "),
            };
            self.report(location, key, problem);
        }
        zone
    }

    fn report(&mut self, location: SourceLocation, key: &str, problem: ConfigProblem) {
        self.diagnostics
            .push(ConfigDiagnostic::new(location, key, problem));
    }
}
