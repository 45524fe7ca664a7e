//! Points of a scenario: every combination of the parameters that vary.

use super::{ClientKind, Scenario, ROUTING_NAMES};
use std::fmt;
use std::time::Duration;

/// A parameter that may vary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parameter {
    /// Number of agents.
    Agents,
    /// Requests a second.
    Rate,
    /// Slowness of the build that is rolled out.
    Slowness,
    /// Failure rate of the build that is rolled out.
    FailureRate,
    /// How clients retry.
    Clients,
    /// Whether the local zone is preferred.
    Routing,
    /// Budget for cross-zone traffic.
    CrossZoneShare,
    /// Duration of a rollout stage, in seconds.
    StageDuration,
    /// Inequality of the agents' loads.
    LoadSpread,
    /// Share of messages lost between zones.
    Loss,
    /// Notification delay, in milliseconds.
    NotificationDelayMs,
}

impl Parameter {
    /// All parameters, with the keys they have in scenario documents and records.
    pub const KEYS: [(&'static str, Parameter); 11] = [
        ("agents", Parameter::Agents),
        ("rate", Parameter::Rate),
        ("slowness", Parameter::Slowness),
        ("fails", Parameter::FailureRate),
        ("clients", Parameter::Clients),
        ("routing", Parameter::Routing),
        ("share", Parameter::CrossZoneShare),
        ("step", Parameter::StageDuration),
        ("spread", Parameter::LoadSpread),
        ("loss", Parameter::Loss),
        ("told-late-ms", Parameter::NotificationDelayMs),
    ];

    /// The parameter with this key.
    pub fn from_key(key: &str) -> Option<Parameter> {
        let found = Parameter::KEYS.iter().find(|(known, _)| *known == key);
        found.map(|(_, parameter)| *parameter)
    }

    /// Its key in scenario documents and records.
    pub fn key(self) -> &'static str {
        let found = Parameter::KEYS.iter().find(|(_, known)| *known == self);
        found.map_or("", |(key, _)| key)
    }

    /// The words it takes; none where it takes numbers.
    pub(super) fn words(self) -> &'static [&'static str] {
        match self {
            Parameter::Clients => &ClientKind::NAMES,
            Parameter::Routing => &ROUTING_NAMES,
            _ => &[],
        }
    }

    /// Whether it changes the rollout, which the scenario then has to have.
    pub(super) fn needs_rollout(self) -> bool {
        matches!(
            self,
            Parameter::Slowness | Parameter::FailureRate | Parameter::StageDuration
        )
    }
}

/// A parameter and the values it takes, one after another.
#[derive(Clone, Debug, PartialEq)]
pub struct Variation {
    /// What varies.
    pub parameter: Parameter,
    /// Its values; never empty.
    pub values: Vec<Value>,
}

/// A value of a parameter.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number, in the unit of its parameter.
    Number(f64),
    /// One of the parameter's words.
    Word(String),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Value::Number(number) => write!(f, "{number}"),
            Value::Word(word) => f.write_str(word),
        }
    }
}

/// A parameter with the value it has at one point.
#[derive(Clone, Debug, PartialEq)]
pub struct ParameterValue {
    /// What varies.
    pub parameter: Parameter,
    /// Its value at the point.
    pub value: Value,
}

impl fmt::Display for ParameterValue {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}", self.parameter.key(), self.value)
    }
}

impl Scenario {
    /// Every combination of what varies, the first parameter slowest. One empty point where nothing
    /// varies.
    pub fn points(&self) -> Vec<Vec<ParameterValue>> {
        let mut points = vec![Vec::new()];
        for variation in &self.variations {
            points = points
                .iter()
                .flat_map(|point| extended(point, variation))
                .collect();
        }
        points
    }

    /// The same scenario at one point.
    pub fn at(&self, point: &[ParameterValue]) -> Scenario {
        let mut scenario = self.clone();
        for ParameterValue { parameter, value } in point {
            match value {
                Value::Number(number) => scenario.set_number(*parameter, *number),
                Value::Word(word) => scenario.set_word(*parameter, word),
            }
        }
        scenario
    }

    fn set_number(&mut self, parameter: Parameter, number: f64) {
        match parameter {
            Parameter::Agents => self.agents = number as usize,
            Parameter::Rate => self.rate = number,
            Parameter::LoadSpread => self.load_spread = number,
            Parameter::Loss => self.loss = number.min(1.0),
            Parameter::CrossZoneShare => self.cross_zone_share = Some(number),
            Parameter::NotificationDelayMs => {
                self.notification_delay = Duration::from_secs_f64(number / 1000.0);
            }
            Parameter::Slowness | Parameter::FailureRate | Parameter::StageDuration => {
                self.set_rollout_number(parameter, number);
            }
            Parameter::Clients | Parameter::Routing => {}
        }
    }

    fn set_rollout_number(&mut self, parameter: Parameter, number: f64) {
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        match parameter {
            Parameter::Slowness => rollout.slowness = number,
            Parameter::FailureRate => rollout.failure_rate = number,
            Parameter::StageDuration => rollout.stage_duration = Duration::from_secs_f64(number),
            _ => {}
        }
    }

    fn set_word(&mut self, parameter: Parameter, word: &str) {
        match parameter {
            Parameter::Clients => {
                self.clients = ClientKind::from_name(word).unwrap_or(self.clients);
            }
            Parameter::Routing => self.prefer_local_zone = word == ROUTING_NAMES[1],
            _ => {}
        }
    }
}

/// A point with each value of a further parameter.
fn extended(point: &[ParameterValue], variation: &Variation) -> Vec<Vec<ParameterValue>> {
    let with = |value: &Value| {
        let mut point = point.to_vec();
        point.push(ParameterValue {
            parameter: variation.parameter,
            value: value.clone(),
        });
        point
    };
    variation.values.iter().map(with).collect()
}
