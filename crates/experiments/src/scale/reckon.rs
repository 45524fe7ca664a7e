//! From measured lines to sizes that no run here reaches.

use super::report::Swept;
use super::size::{Size, CORE_MOST, MEMORY_MOST};
use serde::Serialize;

/// A figure as a sum of slopes times counts: by endpoints, classes, both together, and tenants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Plane {
    pub base: f64,
    #[serde(rename = "appliance")]
    pub endpoint: f64,
    #[serde(rename = "lane")]
    pub class: f64,
    #[serde(rename = "appliance_and_lane")]
    pub endpoint_and_class: f64,
    pub tenant: f64,
    at: [f64; 3], // where the slopes meet: endpoints, classes, tenants
}

impl Plane {
    /// From four sweeps that share all counts but one, the two over classes at few and at many
    /// endpoints.
    pub fn of(figure: &str, by: [&Swept; 4]) -> Option<Plane> {
        let line = |s: &Swept| s.curve(figure).and_then(|c| c.line);
        let [endpoints, classes, far, tenants] = by;
        let at = [
            classes.size.endpoints,
            endpoints.size.classes,
            endpoints.size.tenants,
        ]
        .map(|n| n as f64);
        let (a, l, f, t) = (line(endpoints)?, line(classes)?, line(far)?, line(tenants)?);
        let both = (f.slope - l.slope) / (far.size.endpoints as f64 - at[0]);
        // As measured where the slopes meet: a line through large counts says little of a small
        // one.
        let base = endpoints.curve(figure)?.points.first()?.1;
        let (endpoint, class, tenant) = (a.slope, l.slope, t.slope);
        Some(Plane {
            base,
            endpoint,
            class,
            endpoint_and_class: both,
            tenant,
            at,
        })
    }

    pub fn at(&self, size: &Size) -> f64 {
        let counts = [size.endpoints, size.classes, size.tenants].map(|n| n as f64);
        let [a, l, t] = [0, 1, 2].map(|n| counts[n] - self.at[n]);
        self.base
            + self.endpoint * a
            + (self.class + self.endpoint_and_class * a) * l
            + self.tenant * t
    }
}

/// One agent of a size, reckoned.
#[derive(Clone, Debug, Serialize)]
pub struct Reckoned {
    pub reading: &'static str,
    pub size: Size,
    pub memory: f64,
    pub decision_us: f64,
    pub survey_us: f64,
    pub tenant_us: f64,
    /// Share of a core at the size's load, and without what each request takes.
    pub core: f64,
    pub control_core: f64,
}

/// The sizes that the operators' letter may mean, as one agent meets them.
pub fn readings() -> [(&'static str, Size); 3] {
    let mean = Size {
        agents: 6,
        ..Size::default()
    };
    let largest = Size {
        agents: 77,
        endpoints: 770,
        classes: 160,
        tenants: 5600,
        ..mean
    };
    let all = Size {
        agents: 770,
        endpoints: 7700,
        classes: 1600,
        tenants: 56_000,
        ..mean
    };
    [
        ("mean service", mean),
        ("largest service", largest),
        ("every agent fronts all", all),
    ]
}

pub fn reckon(sweeps: &[Swept]) -> Vec<Reckoned> {
    let named = |name: &str| sweeps.iter().find(|s| s.name == name);
    let plane = |figure: &str, names: [&str; 4]| {
        let [a, l, f, t] = names.map(named);
        Plane::of(figure, [a?, l?, f?, t?])
    };
    let runs = ["appliances", "lanes", "lanes of many appliances", "tenants"];
    let held = [
        "memory by appliances",
        "memory by lanes",
        "memory by lanes of many appliances",
        "memory by tenants",
    ];
    let memory = plane("memory, bytes an agent", held);
    let (decision, survey) = (
        plane("decisions, us a command", runs),
        plane("survey, us each", runs),
    );
    let name = named("tenants").and_then(|s| s.curve("tenant's name, us a command"));
    let (Some(memory), Some(decision), Some(survey), Some(name)) = (memory, decision, survey, name)
    else {
        return Vec::new();
    };
    let one = |(reading, size): (&'static str, Size)| {
        let (decision_us, survey_us) = (decision.at(&size), survey.at(&size));
        let known = name
            .points
            .iter()
            .find(|p| p.0 == size.tenants as f64)
            .map(|p| p.1);
        let tenant_us = known
            .or(name.line.map(|l| l.at(size.tenants as f64)))
            .unwrap_or_default();
        let control_core = survey_us * 10.0 / 1e6;
        let core = control_core + (decision_us + tenant_us) * size.rate / 1e6;
        let memory = memory.at(&size);
        Reckoned {
            reading,
            size,
            memory,
            decision_us,
            survey_us,
            tenant_us,
            core,
            control_core,
        }
    };
    readings().into_iter().map(one).collect()
}

impl Reckoned {
    pub fn line(&self) -> String {
        format!(
            "| {} | {} | {} | {} | {:.1} | {:.2} | {:.1} | {:.2} | {:.2}% | {:.2}% |",
            self.reading,
            self.size.endpoints,
            self.size.classes,
            self.size.tenants,
            self.memory / 1e6,
            self.decision_us,
            self.survey_us,
            self.tenant_us,
            self.core * 100.0,
            self.control_core * 100.0
        )
    }

    pub fn beyond(&self) -> Vec<String> {
        let all = [
            ("memory, MB", self.memory / 1e6, MEMORY_MOST / 1e6),
            ("core, percent", self.core * 100.0, CORE_MOST * 100.0),
        ];
        let over = all.into_iter().filter(|(_, is, most)| is > most);
        over.map(|(what, is, most)| {
            format!(
                "{}, reckoned: {what} {is:.2} beyond {most:.1}",
                self.reading
            )
        })
        .collect()
    }
}

pub const HEAD: &str = "\
| one agent, reckoned | appliances | lanes | tenants | memory, MB | us a command | us a survey | us a tenant's name | core | \
surveys alone |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";
