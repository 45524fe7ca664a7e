//! Reads KDL documents and collects every problem of a document with its location and key, so that
//! an operator sees all problems at once.

mod values;

use crate::diagnostic::{ConfigDiagnostic, ConfigProblem, SourceLocation};
use kdl::{KdlDiagnostic, KdlDocument, KdlEntry, KdlNode};
use std::collections::BTreeSet;

/// The maximum length of a document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;
/// The maximum number of braces that may be open at once. The parser is recursive, so unlimited
/// nesting would overflow the stack.
const MAX_DEPTH: usize = 32;
/// A known name is suggested for an unknown one if their edit distance is at most this, or at most
/// half the length of the unknown name.
const MAX_SUGGESTION_DISTANCE: usize = 2;
/// The key under which problems of the document as a whole are reported.
const DOCUMENT_KEY: &str = "file";
const SYNTAX_KEY: &str = "syntax";
const NOT_KDL: &str = "not a KDL document";

/// Reads one document and collects its problems. Methods that read a value return `None` if it is
/// invalid, and report the problem.
pub struct KdlReader<'a> {
    text: &'a str,
    diagnostics: Vec<ConfigDiagnostic>,
}

impl<'a> KdlReader<'a> {
    /// Creates a reader of the document with this text.
    pub fn new(text: &'a str) -> KdlReader<'a> {
        KdlReader {
            text,
            diagnostics: Vec::new(),
        }
    }

    /// Parses the document. If it is too long, nested too deeply or not valid KDL, reports that and
    /// returns `None`.
    pub fn document(&mut self) -> Option<KdlDocument> {
        if let Err(problem) = check_size(self.text) {
            self.report(SourceLocation::START, DOCUMENT_KEY, problem);
            return None;
        }
        match KdlDocument::parse(self.text) {
            Ok(document) => Some(document),
            Err(error) => {
                self.report_syntax(&error.diagnostics);
                None
            }
        }
    }

    fn report_syntax(&mut self, diagnostics: &[KdlDiagnostic]) {
        for diagnostic in diagnostics {
            let location = self.location_at(diagnostic.span.offset());
            let message = syntax_message(diagnostic);
            self.report(location, SYNTAX_KEY, ConfigProblem::Syntax { message });
        }
        if diagnostics.is_empty() {
            let message = NOT_KDL.to_owned();
            let problem = ConfigProblem::Syntax { message };
            self.report(SourceLocation::START, SYNTAX_KEY, problem);
        }
    }

    /// Records a problem of `key` at `location`.
    pub fn report(&mut self, location: SourceLocation, key: &str, problem: ConfigProblem) {
        self.diagnostics
            .push(ConfigDiagnostic::new(location, key, problem));
    }

    /// Whether any problem has been reported.
    pub fn has_diagnostics(&self) -> bool {
        !self.diagnostics.is_empty()
    }

    /// Whether a problem has been reported under `key`.
    pub fn has_diagnostics_for(&self, key: &str) -> bool {
        self.diagnostics.iter().any(|d| d.key == key)
    }

    /// Returns `value` if no problem has been reported, and otherwise all problems, sorted by
    /// location.
    pub fn finish<T>(self, value: T) -> Result<T, Vec<ConfigDiagnostic>> {
        if self.has_diagnostics() {
            return Err(self.into_diagnostics());
        }
        Ok(value)
    }

    /// All problems, sorted by location.
    pub fn into_diagnostics(mut self) -> Vec<ConfigDiagnostic> {
        self.diagnostics.sort();
        self.diagnostics
    }

    /// The location of a node's name.
    pub fn location(&self, node: &KdlNode) -> SourceLocation {
        self.location_at(node.name().span().offset())
    }

    fn entry_location(&self, entry: &KdlEntry) -> SourceLocation {
        // The span of an entry includes the white space before it.
        let offset = entry.span().offset();
        let text = self.text.get(offset..).unwrap_or_default();
        let white_space = text.len() - text.trim_start().len();
        self.location_at(offset + white_space)
    }

    fn location_at(&self, offset: usize) -> SourceLocation {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let last_line = before.rsplit('\n').next().unwrap_or_default();
        let column = last_line.chars().count() + 1;
        SourceLocation { line, column }
    }

    /// The nodes of a document whose names are in `single` or `repeated`. Any other node is
    /// reported as unknown in `context`. A name in `single` may occur once; each further
    /// occurrence is reported and left out.
    pub fn nodes<'d>(
        &mut self,
        document: Option<&'d KdlDocument>,
        context: &str,
        single: &[&str],
        repeated: &[&str],
    ) -> Vec<&'d KdlNode> {
        let mut seen = BTreeSet::new();
        let mut nodes = Vec::new();
        for node in document.map_or(&[][..], KdlDocument::nodes) {
            let name = node.name().value();
            let location = self.location(node);
            let is_single = single.contains(&name);
            if !is_single && !repeated.contains(&name) {
                let known: Vec<&str> = single.iter().chain(repeated).copied().collect();
                self.report(location, name, unknown_name(name, context, &known));
            } else if is_single && !seen.insert(name) {
                let context = context.to_owned();
                self.report(location, name, ConfigProblem::DuplicateNode { context });
            } else {
                nodes.push(node);
            }
        }
        nodes
    }

    /// The values of a node, which must have exactly `count` of them and may have the known
    /// properties only. Returns no values if their number differs from `count`.
    pub fn arguments<'d>(
        &mut self,
        node: &'d KdlNode,
        count: usize,
        known_properties: &[&str],
    ) -> Vec<&'d KdlEntry> {
        self.check_properties(node, known_properties);
        let arguments: Vec<&KdlEntry> = node
            .entries()
            .iter()
            .filter(|entry| entry.name().is_none())
            .collect();
        if arguments.len() == count {
            return arguments;
        }
        let problem = ConfigProblem::WrongValueCount {
            expected: count,
            found: arguments.len(),
        };
        self.report(self.location(node), node.name().value(), problem);
        Vec::new()
    }

    fn check_properties(&mut self, node: &KdlNode, known: &[&str]) {
        let node_name = node.name().value();
        for entry in node.entries() {
            let Some(key) = entry.name().map(|name| name.value()) else {
                continue;
            };
            if known.contains(&key) {
                continue;
            }
            let problem = match known {
                [] => ConfigProblem::UnexpectedProperty {
                    node: node_name.to_owned(),
                },
                _ => unknown_name(key, node_name, known),
            };
            self.report(self.entry_location(entry), key, problem);
        }
    }
}

fn check_size(text: &str) -> Result<(), ConfigProblem> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(ConfigProblem::DocumentTooLong {
            max_bytes: MAX_DOCUMENT_BYTES,
        });
    }
    let mut depth = 0usize;
    for byte in text.bytes() {
        match byte {
            b'{' => depth += 1,
            b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Err(ConfigProblem::NestedTooDeep {
                max_depth: MAX_DEPTH,
            });
        }
    }
    Ok(())
}

fn syntax_message(diagnostic: &KdlDiagnostic) -> String {
    let message = diagnostic.message.as_deref().unwrap_or(NOT_KDL);
    match &diagnostic.help {
        Some(help) => format!("{message} ({help})"),
        None => message.to_owned(),
    }
}

fn unknown_name(name: &str, context: &str, known: &[&str]) -> ConfigProblem {
    let distance = |known: &&&str| strsim::damerau_levenshtein(name, known);
    let max_distance = MAX_SUGGESTION_DISTANCE.max(name.len() / 2);
    let closest = known.iter().min_by_key(distance);
    match closest.filter(|closest| distance(closest) <= max_distance) {
        Some(suggestion) => ConfigProblem::MisspelledName {
            context: context.to_owned(),
            suggestion: (*suggestion).to_owned(),
        },
        None => ConfigProblem::UnknownName {
            context: context.to_owned(),
            known: known.join(", "),
        },
    }
}
