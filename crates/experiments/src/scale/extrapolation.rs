//! Extrapolates the fitted lines of sweeps to installation sizes that are not simulated.

use super::report::SweepResult;
use super::size::{Size, MAX_CORE_SHARE, MAX_MEMORY};

/// Number of times that an agent polls its balancer in a second.
const POLLS_PER_SECOND: f64 = 10.0;
const MEGABYTE: f64 = 1e6;
const MICROSECONDS: f64 = 1e6;
const PERCENT: f64 = 100.0;

/// A model of a figure that is linear in the numbers of endpoints, classes and tenants, with one
/// further term for the product of endpoints and classes.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Plane {
    /// The figure at the origin.
    base: f64,
    per_endpoint: f64,
    per_class: f64,
    per_endpoint_and_class: f64,
    per_tenant: f64,
    /// The counts that the sweeps have in common, from which the slopes are applied.
    origin: Counts,
}

/// The counts of a size, as floating-point numbers.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Counts {
    endpoints: f64,
    classes: f64,
    tenants: f64,
}

/// The four sweeps that a [`Plane`] is fitted to; each varies one count and shares the others.
#[derive(Clone, Copy)]
struct Sweeps<'a> {
    endpoints: &'a SweepResult,
    classes: &'a SweepResult,
    classes_of_many_endpoints: &'a SweepResult,
    tenants: &'a SweepResult,
}

impl Plane {
    /// Fits the model of a figure; `None` if a sweep lacks the figure or its line.
    fn through(figure: &str, sweeps: Sweeps) -> Option<Plane> {
        let slope = |sweep: &SweepResult| Some(sweep.curve(figure)?.line?.slope);
        let origin = Counts {
            endpoints: sweeps.classes.size.endpoints as f64,
            classes: sweeps.endpoints.size.classes as f64,
            tenants: sweeps.endpoints.size.tenants as f64,
        };
        let per_class = slope(sweeps.classes)?;
        let many = sweeps.classes_of_many_endpoints;
        let more_endpoints = many.size.endpoints as f64 - origin.endpoints;
        Some(Plane {
            // The measured value rather than the line's: a line through large counts is inaccurate
            // at small ones.
            base: sweeps.endpoints.curve(figure)?.points.first()?.1,
            per_endpoint: slope(sweeps.endpoints)?,
            per_class,
            per_endpoint_and_class: (slope(many)? - per_class) / more_endpoints,
            per_tenant: slope(sweeps.tenants)?,
            origin,
        })
    }

    /// Evaluates the model at a size.
    fn at(&self, size: &Size) -> f64 {
        let endpoints = size.endpoints as f64 - self.origin.endpoints;
        let classes = size.classes as f64 - self.origin.classes;
        let tenants = size.tenants as f64 - self.origin.tenants;
        self.base
            + self.per_endpoint * endpoints
            + (self.per_class + self.per_endpoint_and_class * endpoints) * classes
            + self.per_tenant * tenants
    }
}

/// The extrapolated cost of one agent in an installation of a size.
#[derive(Clone, Debug)]
pub struct AgentCost {
    /// Name of the interpretation of the operators' size.
    pub reading: &'static str,
    /// Size of the installation.
    pub size: Size,
    /// Memory, in bytes.
    pub memory: f64,
    /// Processor time of decisions for a request, in microseconds.
    pub decision_us: f64,
    /// Processor time of a poll, in microseconds.
    pub poll_us: f64,
    /// Processor time to look up a tenant by name, in microseconds.
    pub tenant_lookup_us: f64,
    /// Share of a core at the load of the size.
    pub core: f64,
    /// Share of a core without the work for each request.
    pub control_core: f64,
}

/// A possible interpretation of the operators' stated size, as the service that one agent belongs
/// to.
#[derive(Clone, Copy, Debug)]
pub struct SizeInterpretation {
    /// Name of the interpretation in reports.
    pub name: &'static str,
    /// Size of the service.
    pub size: Size,
}

/// Returns the size of a mean service in an installation of 140 services.
pub fn mean_service() -> SizeInterpretation {
    SizeInterpretation {
        name: "mean service",
        size: Size {
            agents: 6,
            ..Size::default()
        },
    }
}

/// Returns the size of the largest service.
pub fn largest_service() -> SizeInterpretation {
    SizeInterpretation {
        name: "largest service",
        size: Size {
            agents: 77,
            endpoints: 770,
            classes: 160,
            tenants: 5600,
            ..Size::default()
        },
    }
}

/// Returns the size of a single service in which every agent fronts all endpoints.
pub fn every_agent_fronts_all() -> SizeInterpretation {
    SizeInterpretation {
        name: "every agent fronts all",
        size: Size {
            agents: 770,
            endpoints: 7700,
            classes: 1600,
            tenants: 56_000,
            ..Size::default()
        },
    }
}

/// Extrapolates the cost of an agent for each interpretation of the operators' size; empty if a
/// sweep is missing.
pub fn agent_costs(results: &[SweepResult]) -> Vec<AgentCost> {
    let Some(model) = CostModel::of(results) else {
        return Vec::new();
    };
    [mean_service(), largest_service(), every_agent_fronts_all()]
        .into_iter()
        .map(|reading| model.cost(reading))
        .collect()
}

/// Models the memory of an agent that does not share its settings; `None` if a sweep is missing.
fn memory_plane(results: &[SweepResult]) -> Option<Plane> {
    let find = |name: &str| results.iter().find(|result| result.name == name);
    let sweeps = Sweeps {
        endpoints: find("memory by appliances")?,
        classes: find("memory by lanes")?,
        classes_of_many_endpoints: find("memory by lanes of many appliances")?,
        tenants: find("memory by tenants")?,
    };
    Plane::through("memory, bytes an agent", sweeps)
}

/// Returns the memory in bytes of an agent that does not share its settings, by the results of the
/// sweeps, or `None` if a sweep is missing. The size is that of one service.
pub fn measured_agent_memory(results: &[SweepResult], size: &Size) -> Option<f64> {
    let plane = memory_plane(results)?;
    Some(plane.at(size).max(plane.base))
}

/// Models of all figures that make up the cost of an agent.
struct CostModel<'a> {
    memory: Plane,
    decision: Plane,
    poll: Plane,
    tenant_lookup: &'a super::report::Curve,
}

impl<'a> CostModel<'a> {
    /// Fits the models to the results of the sweeps; `None` if a sweep is missing.
    fn of(results: &'a [SweepResult]) -> Option<CostModel<'a>> {
        let find = |name: &str| results.iter().find(|result| result.name == name);
        let processor_sweeps = Sweeps {
            endpoints: find("appliances")?,
            classes: find("lanes")?,
            classes_of_many_endpoints: find("lanes of many appliances")?,
            tenants: find("tenants")?,
        };
        Some(CostModel {
            memory: memory_plane(results)?,
            decision: Plane::through("decisions, us a command", processor_sweeps)?,
            poll: Plane::through("survey, us each", processor_sweeps)?,
            tenant_lookup: processor_sweeps
                .tenants
                .curve("tenant's name, us a command")?,
        })
    }

    /// Extrapolates the cost of an agent.
    fn cost(&self, reading: SizeInterpretation) -> AgentCost {
        let size = reading.size;
        let decision_us = self.decision.at(&size);
        let poll_us = self.poll.at(&size);
        let tenant_lookup_us = self.tenant_lookup_us(size.tenants as f64);
        let control_core = poll_us * POLLS_PER_SECOND / MICROSECONDS;
        let request_us = decision_us + tenant_lookup_us;
        AgentCost {
            reading: reading.name,
            size,
            memory: self.memory.at(&size),
            decision_us,
            poll_us,
            tenant_lookup_us,
            core: control_core + request_us * size.rate / MICROSECONDS,
            control_core,
        }
    }

    /// Returns the time to look up a tenant: the measured value if a point has this number of
    /// tenants, otherwise the value on the line.
    fn tenant_lookup_us(&self, tenants: f64) -> f64 {
        let curve = self.tenant_lookup;
        let measured = curve.points.iter().find(|point| point.0 == tenants);
        let on_line = || curve.line.map(|line| line.at(tenants));
        measured
            .map(|point| point.1)
            .or_else(on_line)
            .unwrap_or_default()
    }
}

/// Markdown table head for the rows of [`AgentCost::line`].
pub const TABLE_HEAD: &str = "\
| one agent, reckoned | appliances | lanes | tenants | memory, MB | us a command | us a survey | us a tenant's name | core | \
surveys alone |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

impl AgentCost {
    /// Formats the cost as a row of a Markdown table.
    pub fn line(&self) -> String {
        format!(
            "| {} | {} | {} | {} | {:.1} | {:.2} | {:.1} | {:.2} | {:.2}% | {:.2}% |",
            self.reading,
            self.size.endpoints,
            self.size.classes,
            self.size.tenants,
            self.memory / MEGABYTE,
            self.decision_us,
            self.poll_us,
            self.tenant_lookup_us,
            self.core * PERCENT,
            self.control_core * PERCENT
        )
    }

    /// Returns a line for each figure that exceeds an operators' limit.
    pub fn beyond(&self) -> Vec<String> {
        let memory = self.beyond_limit("memory, MB", self.memory / MEGABYTE, MAX_MEMORY / MEGABYTE);
        let max_core = MAX_CORE_SHARE * PERCENT;
        let core = self.beyond_limit("core, percent", self.core * PERCENT, max_core);
        memory.into_iter().chain(core).collect()
    }

    /// Describes a value that exceeds its limit; `None` if it does not.
    fn beyond_limit(&self, what: &str, value: f64, limit: f64) -> Option<String> {
        let reading = self.reading;
        (value > limit).then(|| format!("{reading}, reckoned: {what} {value:.2} beyond {limit:.1}"))
    }
}
