//! Problems of a KDL document and their locations.

use crate::admin_address::AdminAddressError;
use std::cmp::Ordering;
use std::fmt;
use thiserror::Error;

/// A position in a document. Lines and columns count from 1; 0 in both refers to the document as a
/// whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    /// Line number, from 1.
    pub line: usize,
    /// Column number in characters, from 1.
    pub column: usize,
}

impl SourceLocation {
    /// The position of the first character of a document.
    pub const START: SourceLocation = SourceLocation { line: 1, column: 1 };
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}:{}", self.line, self.column)
    }
}

/// One problem in a document. Diagnostics are ordered by location, then key, then message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigDiagnostic {
    /// Where in the document the problem is.
    pub location: SourceLocation,
    /// The name of the node or property that has the problem.
    pub key: String,
    /// What is wrong there.
    pub problem: ConfigProblem,
}

impl ConfigDiagnostic {
    /// Creates a diagnostic for `key` at `location`.
    pub fn new(location: SourceLocation, key: &str, problem: ConfigProblem) -> ConfigDiagnostic {
        ConfigDiagnostic {
            location,
            key: key.to_owned(),
            problem,
        }
    }
}

impl fmt::Display for ConfigDiagnostic {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "{}: {}: {}",
            self.location, self.key, self.problem
        )
    }
}

impl Ord for ConfigDiagnostic {
    fn cmp(&self, other: &ConfigDiagnostic) -> Ordering {
        self.location
            .cmp(&other.location)
            .then_with(|| self.key.cmp(&other.key))
            .then_with(|| self.problem.to_string().cmp(&other.problem.to_string()))
    }
}

impl PartialOrd for ConfigDiagnostic {
    fn partial_cmp(&self, other: &ConfigDiagnostic) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// What can be wrong with a node, a property or a whole document.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigProblem {
    /// The document exceeds the maximum length.
    #[error("the document is longer than the maximum of {max_bytes} bytes")]
    DocumentTooLong {
        /// The maximum length in bytes.
        max_bytes: usize,
    },
    /// Nodes are nested deeper than the maximum.
    #[error("braces are nested deeper than the maximum of {max_depth} levels")]
    NestedTooDeep {
        /// The maximum number of braces that may be open at once.
        max_depth: usize,
    },
    /// The text is not valid KDL.
    #[error("{message}")]
    Syntax {
        /// The message of the KDL parser.
        message: String,
    },
    /// An unknown node or property whose name is close to a known one.
    #[error("unknown in {context}; did you mean '{suggestion}'?")]
    MisspelledName {
        /// The enclosing node, or "the file".
        context: String,
        /// The known name with the smallest edit distance.
        suggestion: String,
    },
    /// An unknown node or property whose name is not close to any known one.
    #[error("unknown in {context}; expected one of {known}")]
    UnknownName {
        /// The enclosing node, or "the file".
        context: String,
        /// The names that are allowed there, separated by commas.
        known: String,
    },
    /// A node that may occur once occurs again.
    #[error("specified more than once in {context}")]
    DuplicateNode {
        /// The enclosing node, or "the file".
        context: String,
    },
    /// Two nodes of the same kind have the same name.
    #[error("duplicate name '{name}'")]
    DuplicateName {
        /// The name that both have.
        name: String,
    },
    /// Two links have the same source zone and the same destination zone.
    #[error("duplicate link from {from} to {to}")]
    DuplicateLink {
        /// The source zone of the link.
        from: String,
        /// The destination zone of the link.
        to: String,
    },
    /// A link has the same zone as source and destination.
    #[error("expected two different zones, found '{zone}' twice")]
    LinkToSameZone {
        /// The name of the zone.
        zone: String,
    },
    /// A property is set on a node that accepts none.
    #[error("{node} accepts no properties")]
    UnexpectedProperty {
        /// The name of the node.
        node: String,
    },
    /// A node that takes only a value has child nodes.
    #[error("unexpected child nodes")]
    UnexpectedChildren,
    /// A node has the wrong number of values.
    #[error("expected {}, found {found}", expected_count(*.expected))]
    WrongValueCount {
        /// The number of values that the node must have.
        expected: usize,
        /// The number of values that it has.
        found: usize,
    },
    /// A value has the wrong type or is out of range.
    #[error("expected {expected}, found {found}")]
    WrongValue {
        /// A description of the values that are allowed.
        expected: String,
        /// The value in the document, shortened if it is long.
        found: String,
    },
    /// A string is not an IP address with a port.
    #[error("expected an address with a port, found '{found}'")]
    InvalidAddress {
        /// The string in the document.
        found: String,
    },
    /// The address of the admin endpoint cannot be used.
    #[error(transparent)]
    InvalidAdminAddress(#[from] AdminAddressError),
    /// A number has a fractional part where an integer is required.
    #[error("expected an integer")]
    NotInteger,
    /// A required node or value is missing.
    #[error("{expected}")]
    Missing {
        /// The whole message, which says what is required.
        expected: &'static str,
    },
    /// The lower bound of a range (`least`) exceeds its upper bound (`most`).
    #[error("least is greater than most")]
    EmptyRange,
    /// A zone is referenced that the settings do not define.
    #[error("undefined zone '{name}'; the settings define {known}")]
    UndefinedZone {
        /// The name of the zone.
        name: String,
        /// The zones that the settings define, separated by commas.
        known: String,
    },
    /// A request class is referenced that the settings do not define.
    #[error("undefined request class '{name}'; the settings define {known}")]
    UndefinedClass {
        /// The name of the class.
        name: String,
        /// The classes that the settings define, separated by commas.
        known: String,
    },
    /// The number of guarded stages exceeds the number of rollout stages.
    #[error("expected at most {stages}, the number of rollout stages")]
    TooManyGuardedStages {
        /// The number of rollout stages.
        stages: usize,
    },
    /// Any other problem, with its message, such as one specific to a single kind of document.
    #[error("{0}")]
    Other(String),
}

impl From<String> for ConfigProblem {
    fn from(message: String) -> ConfigProblem {
        ConfigProblem::Other(message)
    }
}

impl From<&str> for ConfigProblem {
    fn from(message: &str) -> ConfigProblem {
        ConfigProblem::Other(message.to_owned())
    }
}

fn expected_count(count: usize) -> String {
    match count {
        0 => "no values".to_owned(),
        1 => "one value".to_owned(),
        n => format!("{n} values"),
    }
}
