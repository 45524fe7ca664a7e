//! KDL documents read against what is known of them, with all mistakes at once: line, column, key,
//! and what is wanted there.

use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

const LENGTH_MOST: usize = 1024 * 1024;
/// Of braces open at once. Guards against a document that nests without end.
const DEPTH_MOST: usize = 32;
/// A year: longer spans say nothing here.
const SPAN_MOST: f64 = 366.0 * 86_400.0;

/// One thing that is wrong, and where. Lines and columns count from 1, columns in characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigDiagnostic {
    pub line: usize,
    pub column: usize,
    pub key: String,
    pub what: String,
}

impl fmt::Display for ConfigDiagnostic {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{}:{}: {}: {}",
            self.line, self.column, self.key, self.what
        )
    }
}

/// Where something stands in the document.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SourceLocation {
    pub line: usize,
    pub column: usize,
}

/// What is read, and the mistakes met on the way.
pub struct Reader<'a> {
    text: &'a str,
    pub mistakes: Vec<ConfigDiagnostic>,
}

impl<'a> Reader<'a> {
    pub fn new(text: &'a str) -> Reader<'a> {
        Reader {
            text,
            mistakes: Vec::new(),
        }
    }

    /// The document, unless it is no KDL.
    pub fn document(&mut self) -> Option<KdlDocument> {
        let start = SourceLocation { line: 1, column: 1 };
        if self.text.len() > LENGTH_MOST {
            self.wrong(
                start,
                "file",
                format!("at most {LENGTH_MOST} bytes are read"),
            );
            return None;
        }
        let mut depth = 0usize;
        for b in self.text.bytes() {
            depth = if b == b'{' {
                depth + 1
            } else {
                depth.saturating_sub(usize::from(b == b'}'))
            };
            if depth > DEPTH_MOST {
                self.wrong(
                    start,
                    "file",
                    format!("braces stand at most {DEPTH_MOST} deep"),
                );
                return None;
            }
        }
        match KdlDocument::parse(self.text) {
            Ok(document) => Some(document),
            Err(e) => {
                for d in &e.diagnostics {
                    let what = d.message.clone().unwrap_or_else(|| "no KDL".into());
                    let help = d
                        .help
                        .as_ref()
                        .map(|h| format!(" ({h})"))
                        .unwrap_or_default();
                    self.wrong(
                        self.place(d.span.offset()),
                        "syntax",
                        format!("{what}{help}"),
                    );
                }
                if e.diagnostics.is_empty() {
                    self.wrong(start, "syntax", "no KDL".into());
                }
                None
            }
        }
    }

    fn place(&self, offset: usize) -> SourceLocation {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before
            .rsplit('\n')
            .next()
            .unwrap_or_default()
            .chars()
            .count()
            + 1;
        SourceLocation { line, column }
    }

    pub fn of(&self, node: &KdlNode) -> SourceLocation {
        self.place(node.name().span().offset())
    }

    fn of_entry(&self, entry: &KdlEntry) -> SourceLocation {
        // An entry's span takes in the space before it.
        let span = entry.span();
        let text = self.text.get(span.offset()..).unwrap_or_default();
        self.place(span.offset() + text.len() - text.trim_start().len())
    }

    pub fn wrong(&mut self, at: SourceLocation, key: &str, what: String) {
        self.mistakes.push(ConfigDiagnostic {
            line: at.line,
            column: at.column,
            key: key.to_owned(),
            what,
        });
    }

    /// The nodes of a document that are known here; the others are mistakes, and so are those that
    /// may come once and come again.
    pub fn nodes<'d>(
        &mut self,
        document: Option<&'d KdlDocument>,
        within: &str,
        once: &[&str],
        many: &[&str],
    ) -> Vec<&'d KdlNode> {
        let (mut seen, mut nodes) = (BTreeSet::new(), Vec::new());
        for node in document.map_or(&[][..], KdlDocument::nodes) {
            let name = node.name().value();
            if !once.contains(&name) && !many.contains(&name) {
                let known: Vec<&str> = once.iter().chain(many).copied().collect();
                self.unknown(self.of(node), name, within, &known);
            } else if once.contains(&name) && !seen.insert(name) {
                self.wrong(self.of(node), name, format!("stands twice in {within}"));
            } else {
                nodes.push(node);
            }
        }
        nodes
    }

    fn unknown(&mut self, at: SourceLocation, name: &str, within: &str, known: &[&str]) {
        let distance = |k: &&&str| strsim::damerau_levenshtein(name, k);
        let near = known
            .iter()
            .min_by_key(distance)
            .filter(|k| distance(k) <= 2.max(name.len() / 2));
        let what = match near {
            Some(k) => format!("unknown in {within}; did you mean '{k}'?"),
            None => format!("unknown in {within}; known are {}", known.join(", ")),
        };
        self.wrong(at, name, what);
    }

    /// The arguments of a node, of which there must be so many, and no properties but these.
    pub fn arguments<'d>(
        &mut self,
        node: &'d KdlNode,
        count: usize,
        known: &[&str],
    ) -> Vec<&'d KdlEntry> {
        let name = node.name().value();
        let mut arguments = Vec::new();
        for entry in node.entries() {
            match entry.name() {
                None => arguments.push(entry),
                Some(key) if known.contains(&key.value()) => {}
                Some(key) if known.is_empty() => {
                    let what = format!("no properties are known in {name}");
                    self.wrong(self.of_entry(entry), key.value(), what);
                }
                Some(key) => self.unknown(self.of_entry(entry), key.value(), name, known),
            }
        }
        if arguments.len() != count {
            let wanted = match count {
                0 => "no value is wanted".to_owned(),
                1 => "one value is wanted".to_owned(),
                n => format!("{n} values are wanted"),
            };
            self.wrong(
                self.of(node),
                name,
                format!("{wanted}, {} given", arguments.len()),
            );
            arguments.clear();
        }
        arguments
    }

    /// The one value of a node without properties.
    fn value<'d>(&mut self, node: &'d KdlNode) -> Option<&'d KdlEntry> {
        if node.children().is_some_and(|c| !c.nodes().is_empty()) {
            self.wrong(
                self.of(node),
                node.name().value(),
                "nothing stands within it".into(),
            );
        }
        self.arguments(node, 1, &[]).first().copied()
    }

    pub fn text_of(&mut self, entry: &KdlEntry, key: &str) -> Option<String> {
        match entry.value() {
            KdlValue::String(s) if !s.is_empty() && s.len() <= 256 => Some(s.clone()),
            other => {
                self.wrong(
                    self.of_entry(entry),
                    key,
                    format!("text is wanted, not {}", shown(other)),
                );
                None
            }
        }
    }

    pub fn text(&mut self, node: &KdlNode) -> Option<String> {
        let entry = self.value(node)?;
        self.text_of(entry, node.name().value())
    }

    pub fn number_of(&mut self, entry: &KdlEntry, key: &str, least: f64, most: f64) -> Option<f64> {
        let number = match entry.value() {
            KdlValue::Integer(n) => Some(*n as f64),
            KdlValue::Float(n) => Some(*n),
            _ => None,
        };
        let number = number.filter(|n| n.is_finite() && (least..=most).contains(n));
        if number.is_none() {
            let what = format!(
                "a number from {least} to {most} is wanted, not {}",
                shown(entry.value())
            );
            self.wrong(self.of_entry(entry), key, what);
        }
        number
    }

    pub fn number(&mut self, node: &KdlNode, least: f64, most: f64) -> Option<f64> {
        let entry = self.value(node)?;
        self.number_of(entry, node.name().value(), least, most)
    }

    /// The numbers of a node, one or more.
    pub fn numbers(&mut self, node: &KdlNode, least: f64, most: f64) -> Vec<f64> {
        let key = node.name().value();
        let entries: Vec<&KdlEntry> = node
            .entries()
            .iter()
            .filter(|e| e.name().is_none())
            .collect();
        if entries.is_empty() {
            self.wrong(self.of(node), key, "one number or more are wanted".into());
        }
        entries
            .into_iter()
            .filter_map(|e| self.number_of(e, key, least, most))
            .collect()
    }

    /// A number given as a property; `other` where it is not.
    pub fn property(&mut self, node: &KdlNode, key: &str, other: f64, most: f64) -> f64 {
        match node.entry(key) {
            Some(entry) => self.number_of(entry, key, 0.0, most).unwrap_or(other),
            None => other,
        }
    }

    /// A span with its unit: us, ms, s, m, h or d.
    pub fn span(&mut self, node: &KdlNode, least: Duration) -> Option<Duration> {
        let entry = self.value(node)?;
        let units = [
            ("us", 1e-6),
            ("ms", 1e-3),
            ("s", 1.0),
            ("m", 60.0),
            ("h", 3600.0),
            ("d", 86_400.0),
        ];
        let read = entry.value().as_string().and_then(|s| measure(s, &units));
        let span = read.filter(|s| (least.as_secs_f64()..=SPAN_MOST).contains(s));
        if span.is_none() {
            let from = if least.is_zero() {
                String::new()
            } else {
                format!(" of {least:?} or more")
            };
            let what = format!(
                "a span{from} like \"250ms\" or \"1h\" is wanted, not {}",
                shown(entry.value())
            );
            self.wrong(self.of_entry(entry), node.name().value(), what);
        }
        span.map(Duration::from_secs_f64)
    }

    /// A size in bytes, as a number or with B, KiB, MiB, GiB or TiB.
    pub fn size(&mut self, node: &KdlNode) -> Option<f64> {
        let entry = self.value(node)?;
        let units = [
            ("KiB", 1024.0),
            ("MiB", 1024.0f64.powi(2)),
            ("GiB", 1024.0f64.powi(3)),
            ("TiB", 1024.0f64.powi(4)),
            ("B", 1.0),
        ];
        let read = match entry.value() {
            KdlValue::Integer(n) => Some(*n as f64),
            KdlValue::String(s) => measure(s, &units),
            _ => None,
        };
        let size = read.filter(|n| n.is_finite() && (0.0..=1e18).contains(n));
        if size.is_none() {
            let what = format!(
                "a size like \"64MiB\" is wanted, not {}",
                shown(entry.value())
            );
            self.wrong(self.of_entry(entry), node.name().value(), what);
        }
        size
    }

    /// `#true` or `#false`.
    pub fn flag(&mut self, node: &KdlNode) -> Option<bool> {
        let entry = self.value(node)?;
        let flag = entry.value().as_bool();
        if flag.is_none() {
            let what = format!("#true or #false is wanted, not {}", shown(entry.value()));
            self.wrong(self.of_entry(entry), node.name().value(), what);
        }
        flag
    }

    /// One of these words.
    pub fn word(&mut self, node: &KdlNode, words: &[&str]) -> Option<usize> {
        let text = self.text(node)?;
        let found = words.iter().position(|w| *w == text);
        if found.is_none() {
            let (at, name) = (self.of(node), node.name().value());
            self.wrong(
                at,
                name,
                format!("one of {} is wanted, not \"{text}\"", words.join(", ")),
            );
        }
        found
    }
}

fn measure(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(digits);
    let scale = units.iter().find(|u| u.0 == unit.trim())?.1;
    number
        .parse::<f64>()
        .ok()
        .filter(|n| n.is_finite())
        .map(|n| n * scale)
}

fn shown(value: &KdlValue) -> String {
    let text = value.to_string();
    match text.char_indices().nth(40) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
