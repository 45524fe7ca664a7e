//! Parses the section `vary`: a parameter and the values it takes.

use super::MAX_AGENTS;
use crate::scenario::{Parameter, Value, Variation};
use kdl::{KdlEntry, KdlNode};
use tulipwall_config::KdlReader;

/// Largest number that any parameter accepts.
const MAX_NUMBER: f64 = 1e7;

pub(super) fn variation(reader: &mut KdlReader, node: &KdlNode) -> Option<Variation> {
    let mut entries = node.entries().iter().filter(|e| e.name().is_none());
    let location = reader.location(node);
    let key = entries.next().and_then(|e| reader.entry_text(e, "vary"));
    let Some(key) = key else {
        let text = "expected a key and its values";
        reader.report(location, "vary", text.into());
        return None;
    };
    let Some(parameter) = Parameter::from_key(&key) else {
        let text = format!(
            "unknown parameter '{key}'; expected one of {}",
            Parameter::KEYS.map(|k| k.0).join(", ")
        );
        reader.report(location, "vary", text.into());
        return None;
    };
    let mut values = Vec::new();
    for entry in entries {
        let value = value(reader, entry, parameter);
        if value.is_none() && !parameter.words().is_empty() {
            let text = format!("unknown value of parameter '{key}'");
            reader.report(location, "vary", text.into());
        }
        values.extend(value);
    }
    if values.is_empty() {
        let text = "expected one or more values";
        reader.report(location, "vary", text.into());
        return None;
    }
    Some(Variation { parameter, values })
}

fn value(reader: &mut KdlReader, entry: &KdlEntry, parameter: Parameter) -> Option<Value> {
    let words = parameter.words();
    if !words.is_empty() {
        let word = entry.value().as_string()?;
        return words.contains(&word).then(|| Value::Word(word.to_owned()));
    }
    let number = match parameter {
        Parameter::Agents => reader.entry_number(entry, "vary", 1.0, MAX_AGENTS),
        _ => reader.entry_number(entry, "vary", 0.0, MAX_NUMBER),
    };
    number.map(Value::Number)
}
