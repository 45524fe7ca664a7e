//! Reads typed values of KDL nodes: text, numbers, durations, sizes, booleans and keywords.

use super::KdlReader;
use crate::diagnostic::ConfigProblem;
use kdl::{KdlEntry, KdlNode, KdlValue};
use std::time::Duration;

/// The maximum length of a text value, in bytes.
const MAX_TEXT_BYTES: usize = 256;
/// The longest duration, in seconds: a leap year. A longer one is assumed to be a mistake in this
/// kind of file.
const MAX_DURATION_SECONDS: f64 = 366.0 * 86_400.0;
/// The largest size, in bytes. Up to this size a floating-point number is precise enough.
const MAX_SIZE_BYTES: f64 = 1e18;
/// The maximum number of characters of an invalid value that a message shows.
const MAX_SHOWN_CHARACTERS: usize = 40;

/// The units of durations, with their lengths in seconds.
const DURATION_UNITS: [(&str, f64); 6] = [
    ("us", 1e-6),
    ("ms", 1e-3),
    ("s", 1.0),
    ("m", 60.0),
    ("h", 3600.0),
    ("d", 86_400.0),
];

const KIB: f64 = 1024.0;
/// The units of sizes, with their numbers of bytes.
const SIZE_UNITS: [(&str, f64); 5] = [
    ("KiB", KIB),
    ("MiB", KIB * KIB),
    ("GiB", KIB * KIB * KIB),
    ("TiB", KIB * KIB * KIB * KIB),
    ("B", 1.0),
];

impl KdlReader<'_> {
    /// The only value of a node, which may have neither properties nor children.
    fn value<'d>(&mut self, node: &'d KdlNode) -> Option<&'d KdlEntry> {
        let has_children = node
            .children()
            .is_some_and(|children| !children.nodes().is_empty());
        if has_children {
            let problem = ConfigProblem::UnexpectedChildren;
            self.report(self.location(node), node.name().value(), problem);
        }
        self.arguments(node, 1, &[]).first().copied()
    }

    fn report_wrong_value(&mut self, entry: &KdlEntry, key: &str, expected: String) {
        let found = display_value(entry.value());
        let problem = ConfigProblem::WrongValue { expected, found };
        self.report(self.entry_location(entry), key, problem);
    }

    /// The text of an entry, which must be neither empty nor longer than the maximum length. Problems
    /// are reported under `key`.
    pub fn entry_text(&mut self, entry: &KdlEntry, key: &str) -> Option<String> {
        match entry.value() {
            KdlValue::String(text) if !text.is_empty() && text.len() <= MAX_TEXT_BYTES => {
                Some(text.clone())
            }
            _ => {
                self.report_wrong_value(entry, key, "text".to_owned());
                None
            }
        }
    }

    /// The text that a node has as its value.
    pub fn text(&mut self, node: &KdlNode) -> Option<String> {
        let entry = self.value(node)?;
        self.entry_text(entry, node.name().value())
    }

    /// The number of an entry, from `min` to `max`. Problems are reported under `key`.
    pub fn entry_number(&mut self, entry: &KdlEntry, key: &str, min: f64, max: f64) -> Option<f64> {
        let number = match entry.value() {
            KdlValue::Integer(number) => Some(*number as f64),
            KdlValue::Float(number) => Some(*number),
            _ => None,
        };
        let number = number.filter(|n| n.is_finite() && (min..=max).contains(n));
        if number.is_none() {
            self.report_wrong_value(entry, key, format!("a number from {min} to {max}"));
        }
        number
    }

    /// The number that a node has as its value, from `min` to `max`.
    pub fn number(&mut self, node: &KdlNode, min: f64, max: f64) -> Option<f64> {
        let entry = self.value(node)?;
        self.entry_number(entry, node.name().value(), min, max)
    }

    /// The numbers that a node has as its values, at least one, each from `min` to `max`. Invalid
    /// ones are reported and left out.
    pub fn numbers(&mut self, node: &KdlNode, min: f64, max: f64) -> Vec<f64> {
        let key = node.name().value();
        let entries: Vec<&KdlEntry> = node
            .entries()
            .iter()
            .filter(|entry| entry.name().is_none())
            .collect();
        if entries.is_empty() {
            let problem = ConfigProblem::Missing {
                expected: "expected at least one number",
            };
            self.report(self.location(node), key, problem);
        }
        entries
            .into_iter()
            .filter_map(|entry| self.entry_number(entry, key, min, max))
            .collect()
    }

    /// The number that a node has as the property `key`, from 0 to `max`; `default` if it is absent
    /// or invalid.
    pub fn property(&mut self, node: &KdlNode, key: &str, default: f64, max: f64) -> f64 {
        match node.entry(key) {
            Some(entry) => self.entry_number(entry, key, 0.0, max).unwrap_or(default),
            None => default,
        }
    }

    /// The duration that a node has as its value, `min` or longer, written with a unit: us, ms, s,
    /// m, h or d.
    pub fn duration(&mut self, node: &KdlNode, min: Duration) -> Option<Duration> {
        let entry = self.value(node)?;
        let range = min.as_secs_f64()..=MAX_DURATION_SECONDS;
        let seconds = entry
            .value()
            .as_string()
            .and_then(|text| parse_quantity(text, &DURATION_UNITS))
            .filter(|seconds| range.contains(seconds));
        if seconds.is_none() {
            let bound = match min {
                Duration::ZERO => String::new(),
                min => format!(" of {min:?} or more"),
            };
            let expected = format!("a duration{bound} with a unit, as in \"250ms\" or \"1h\"");
            self.report_wrong_value(entry, node.name().value(), expected);
        }
        seconds.map(Duration::from_secs_f64)
    }

    /// The size in bytes that a node has as its value, written as a number of bytes or with a unit:
    /// B, KiB, MiB, GiB or TiB.
    pub fn byte_size(&mut self, node: &KdlNode) -> Option<f64> {
        let entry = self.value(node)?;
        let bytes = match entry.value() {
            KdlValue::Integer(bytes) => Some(*bytes as f64),
            KdlValue::String(text) => parse_quantity(text, &SIZE_UNITS),
            _ => None,
        };
        let bytes = bytes.filter(|n| n.is_finite() && (0.0..=MAX_SIZE_BYTES).contains(n));
        if bytes.is_none() {
            let expected = "a size in bytes or with a unit, as in \"64MiB\"".to_owned();
            self.report_wrong_value(entry, node.name().value(), expected);
        }
        bytes
    }

    /// The boolean that a node has as its value: `#true` or `#false`.
    pub fn boolean(&mut self, node: &KdlNode) -> Option<bool> {
        let entry = self.value(node)?;
        let value = entry.value().as_bool();
        if value.is_none() {
            let expected = "#true or #false".to_owned();
            self.report_wrong_value(entry, node.name().value(), expected);
        }
        value
    }

    /// The index in `words` of the word that the node has as its value.
    pub fn keyword(&mut self, node: &KdlNode, words: &[&str]) -> Option<usize> {
        let text = self.text(node)?;
        let index = words.iter().position(|word| *word == text);
        if index.is_none() {
            let problem = ConfigProblem::WrongValue {
                expected: format!("one of {}", words.join(", ")),
                found: format!("\"{text}\""),
            };
            self.report(self.location(node), node.name().value(), problem);
        }
        index
    }

    /// The item of `choices` whose word the node has as its value.
    pub fn choice<T: Copy>(&mut self, node: &KdlNode, choices: &[(&str, T)]) -> Option<T> {
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        self.keyword(node, &words).map(|index| choices[index].1)
    }
}

/// Parses a number with one of these units and converts it to the unit whose scale is 1.
fn parse_quantity(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(unit_start);
    let (_, scale) = units.iter().find(|(name, _)| *name == unit.trim())?;
    let number: f64 = number.parse().ok()?;
    number.is_finite().then_some(number * scale)
}

fn display_value(value: &KdlValue) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_SHOWN_CHARACTERS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
