//! What is wrong with a KDL document, and where.

use crate::admin_address::AdminAddressError;
use std::cmp::Ordering;
use std::fmt;
use thiserror::Error;

/// A position in a document. Lines and columns count from 1, columns in characters; 0 stands for
/// the document as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

impl SourceLocation {
    /// The first character of a document.
    pub const START: SourceLocation = SourceLocation { line: 1, column: 1 };
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}:{}", self.line, self.column)
    }
}

/// One problem of a document. Diagnostics are ordered by location, then key, then message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigDiagnostic {
    /// Where the problem is.
    pub location: SourceLocation,
    /// The node or property with the problem.
    pub key: String,
    /// What the problem is.
    pub problem: ConfigProblem,
}

impl ConfigDiagnostic {
    /// A problem of `key` at `location`.
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
    /// The document is longer than is read.
    #[error("the document is longer than the maximum of {max_bytes} bytes")]
    DocumentTooLong {
        /// The longest document that is read.
        max_bytes: usize,
    },
    /// Nodes stand within nodes deeper than is read.
    #[error("braces are nested deeper than the maximum of {max_depth} levels")]
    NestedTooDeep {
        /// The deepest nesting that is read.
        max_depth: usize,
    },
    /// The document is no KDL.
    #[error("{message}")]
    Syntax {
        /// The parser's message.
        message: String,
    },
    /// A node or property that is not known here, but is close to one that is.
    #[error("unknown in {context}; did you mean '{suggestion}'?")]
    MisspelledName {
        /// The enclosing node.
        context: String,
        /// The closest known name.
        suggestion: String,
    },
    /// A node or property that is not known here.
    #[error("unknown in {context}; expected one of {known}")]
    UnknownName {
        /// The enclosing node.
        context: String,
        /// The known names, separated by commas.
        known: String,
    },
    /// A node that may stand once stands twice.
    #[error("specified more than once in {context}")]
    DuplicateNode {
        /// The enclosing node.
        context: String,
    },
    /// Two nodes of a kind have the same name.
    #[error("duplicate name '{name}'")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// Two links join the same zones in the same direction.
    #[error("duplicate link from {from} to {to}")]
    DuplicateLink {
        /// The zone where the link begins.
        from: String,
        /// The zone where it ends.
        to: String,
    },
    /// A link leads from a zone to itself.
    #[error("expected two different zones, found '{zone}' twice")]
    LinkToSameZone {
        /// The zone.
        zone: String,
    },
    /// A property stands on a node that has none.
    #[error("{node} accepts no properties")]
    UnexpectedProperty {
        /// The node.
        node: String,
    },
    /// Nodes stand within a node that holds a value only.
    #[error("unexpected child nodes")]
    UnexpectedChildren,
    /// A node has more or fewer values than it must have.
    #[error("expected {}, found {found}", expected_count(*.expected))]
    WrongValueCount {
        /// How many values the node must have.
        expected: usize,
        /// How many it has.
        found: usize,
    },
    /// A value is of the wrong type or out of range.
    #[error("expected {expected}, found {found}")]
    WrongValue {
        /// What the value must be.
        expected: String,
        /// The value as it stands there.
        found: String,
    },
    /// A text is no network address.
    #[error("expected an address with a port, found '{found}'")]
    InvalidAddress {
        /// The text.
        found: String,
    },
    /// The address of the admin endpoint cannot be used.
    #[error(transparent)]
    InvalidAdminAddress(#[from] AdminAddressError),
    /// A number has a fraction where none may be.
    #[error("expected an integer")]
    NotInteger,
    /// Something required is absent.
    #[error("{expected}")]
    Missing {
        /// What is required, as a sentence.
        expected: &'static str,
    },
    /// A lower bound exceeds its upper bound.
    #[error("least is greater than most")]
    EmptyRange,
    /// A zone is named that the settings do not have.
    #[error("undefined zone '{name}'; the settings define {known}")]
    UndefinedZone {
        /// The name.
        name: String,
        /// The zones of the settings, separated by commas.
        known: String,
    },
    /// A request class is named that the settings do not have.
    #[error("undefined request class '{name}'; the settings define {known}")]
    UndefinedClass {
        /// The name.
        name: String,
        /// The classes of the settings, separated by commas.
        known: String,
    },
    /// More guarded stages are wanted than the rollout has stages.
    #[error("expected at most {stages}, the number of rollout stages")]
    TooManyGuardedStages {
        /// How many stages the rollout has.
        stages: usize,
    },
    /// A problem that only the reader of one kind of document knows.
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
