//! How a fake endpoint behaves, and the links to it.

use std::collections::BTreeMap;
use std::time::Duration;

/// What it does with a query that has come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseBehavior {
    /// Runs it and answers with a value.
    Answer,
    /// Runs it and answers with an error.
    Fail,
    /// Rejects it at once (53300): it never runs.
    Reject,
    /// Rejects it as a server that shuts down (57P03), and closes the connection.
    RejectAndClose,
    /// Runs it and closes the connection in place of an answer.
    Close,
    /// Closes the connection right behind its answer.
    AnswerAndClose,
    /// Sends a copy of its answer right behind it.
    AnswerTwice,
    /// Sends another value behind its answer, so many milliseconds later.
    AnswerAgainAfterMs(u16),
    /// Sends so many bytes of its answer and closes the connection.
    CloseAfterBytes(u16),
    /// Sends its answer byte by byte, one in so many milliseconds.
    ByteEveryMs(u16),
    /// Sends an answer that stops short of its end; the connection stays open.
    StallMidAnswer,
    /// The same, and closes the connection.
    CloseMidAnswer,
    /// Sends bytes that are no answer.
    Garbage,
    /// Never answers.
    NeverAnswer,
}

impl ResponseBehavior {
    /// Whether the query is run, whatever becomes of its answer.
    pub fn runs_query(self) -> bool {
        !matches!(
            self,
            ResponseBehavior::Reject | ResponseBehavior::RejectAndClose
        )
    }

    /// Whether the connection is closed once the answer is sent.
    pub fn closes_after_answer(self) -> bool {
        matches!(
            self,
            ResponseBehavior::AnswerAndClose
                | ResponseBehavior::CloseMidAnswer
                | ResponseBehavior::RejectAndClose
                | ResponseBehavior::CloseAfterBytes(_)
        )
    }
}

/// How an endpoint behaves, which may change at any time.
#[derive(Clone, Debug)]
pub struct EndpointBehavior {
    /// What one query takes, in the mean.
    pub work: Duration,
    /// The same of single classes, where it differs.
    pub work_by_class: BTreeMap<String, Duration>,
    /// The share of the work that is always the same, 0 to 1; the rest is exponential. Real work
    /// differs from request to request, and decisions that compare fast answers with the median
    /// take equal ones for a standstill.
    pub fixed_work_share: f64,
    /// Queries that run at once; the others wait.
    pub cores: usize,
    /// What it does with queries.
    pub response: ResponseBehavior,
    /// What it does in place of `response`, each with its probability.
    pub random_responses: Vec<(ResponseBehavior, f64)>,
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Accepts connections and sends nothing on them.
    pub unresponsive: bool,
}

impl EndpointBehavior {
    /// What a query of this class takes, in the mean.
    pub fn work_of(&self, class: &str) -> Duration {
        self.work_by_class.get(class).copied().unwrap_or(self.work)
    }
}

impl Default for EndpointBehavior {
    fn default() -> EndpointBehavior {
        EndpointBehavior {
            work: Duration::ZERO,
            work_by_class: BTreeMap::new(),
            fixed_work_share: 1.0,
            cores: 64,
            response: ResponseBehavior::Answer,
            random_responses: Vec::new(),
            value_bytes: 2,
            unresponsive: false,
        }
    }
}

/// The link from one zone to an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Delay of each query.
    pub request_delay: Duration,
    /// Delay of each answer.
    pub reply_delay: Duration,
    /// Nothing passes; connections stay open.
    pub cut: bool,
}
