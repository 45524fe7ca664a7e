//! Points of a scenario: every combination of the parameters that vary.

use super::{ClientKind, Scenario, ROUTING_NAMES};
use std::fmt;
use std::time::Duration;

/// A parameter of a scenario that may vary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parameter {
    /// Number of agents.
    Agents,
    /// Requests per second, over all agents.
    Rate,
    /// Processing time of the build that is rolled out, as a multiple of the usual time.
    Slowness,
    /// Share of requests that fail at the build that is rolled out, 0 to 1.
    FailureRate,
    /// Retry behavior of the clients.
    Clients,
    /// Routing policy: whether the local zone is preferred.
    Routing,
    /// Budget for cross-zone traffic, as a share of all requests.
    CrossZoneShare,
    /// Duration of a rollout stage, in seconds.
    StageDuration,
    /// Spread of the agents' loads: 0 if they are equal, 1 if the largest is twice the mean.
    LoadSpread,
    /// Share of messages that are lost between zones, 0 to 1.
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

    /// Returns the parameter with this key; `None` if the key is unknown.
    pub fn from_key(key: &str) -> Option<Parameter> {
        let found = Parameter::KEYS.iter().find(|(known, _)| *known == key);
        found.map(|(_, parameter)| *parameter)
    }

    /// Returns the key of the parameter in scenario documents and records.
    pub fn key(self) -> &'static str {
        let found = Parameter::KEYS.iter().find(|(_, known)| *known == self);
        found.map_or("", |(key, _)| key)
    }

    /// Returns the words that the parameter accepts; empty if it accepts numbers.
    pub(super) fn words(self) -> &'static [&'static str] {
        match self {
            Parameter::Clients => &ClientKind::NAMES,
            Parameter::Routing => &ROUTING_NAMES,
            _ => &[],
        }
    }

    /// Returns whether the parameter changes the rollout, which the scenario must then contain.
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
    /// The parameter that varies.
    pub parameter: Parameter,
    /// Values of the parameter; never empty.
    pub values: Vec<Value>,
}

/// A value of a parameter.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number, in the unit of the parameter.
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
    /// The parameter that varies.
    pub parameter: Parameter,
    /// Value of the parameter at the point.
    pub value: Value,
}

impl fmt::Display for ParameterValue {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}", self.parameter.key(), self.value)
    }
}

impl Scenario {
    /// Returns every combination of the values that vary; the first parameter changes slowest. If
    /// no parameter varies, there is one empty point.
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

    /// Returns the scenario with the parameter values of one point.
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

/// Extends a point by each value of a further parameter.
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
