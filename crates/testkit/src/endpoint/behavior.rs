//! The configurable behavior of a fake endpoint and of the links to it.

use std::collections::BTreeMap;
use std::time::Duration;

/// What an endpoint does with a query that it has received in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseBehavior {
    /// Runs the query and answers with a value.
    Answer,
    /// Runs the query and answers with an error.
    Fail,
    /// Rejects the query at once with SQLSTATE 53300. The query never runs.
    Reject,
    /// Rejects the query with SQLSTATE 57P03, as a server that shuts down does, and closes the
    /// connection. The query never runs.
    RejectAndClose,
    /// Runs the query and closes the connection instead of answering.
    Close,
    /// Closes the connection directly after the answer.
    AnswerAndClose,
    /// Sends the answer twice in a row.
    AnswerTwice,
    /// Sends a second answer with a different value, this many milliseconds after the first.
    AnswerAgainAfterMs(u16),
    /// Sends this many bytes of the answer and closes the connection.
    CloseAfterBytes(u16),
    /// Sends the answer one byte at a time, with this many milliseconds between bytes.
    ByteEveryMs(u16),
    /// Sends the beginning of an answer and stops; the connection stays open.
    StallMidAnswer,
    /// Sends the beginning of an answer and closes the connection.
    CloseMidAnswer,
    /// Sends bytes that are not a valid protocol message.
    Garbage,
    /// Runs the query and never answers.
    NeverAnswer,
}

impl ResponseBehavior {
    /// Whether the endpoint runs the query, even if the answer is never sent.
    pub fn runs_query(self) -> bool {
        !matches!(
            self,
            ResponseBehavior::Reject | ResponseBehavior::RejectAndClose
        )
    }

    /// Whether the endpoint closes the connection after it has sent the answer.
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

/// How an endpoint behaves. Can be changed at any time.
#[derive(Clone, Debug)]
pub struct EndpointBehavior {
    /// Mean run time of a query.
    pub work: Duration,
    /// Mean run time by class, for classes where it differs from `work`.
    pub work_by_class: BTreeMap<String, Duration>,
    /// Constant share of the run time, 0 to 1; the rest is exponentially distributed. Real run
    /// times vary between requests, and decisions that compare fast answers with the median take
    /// equal run times for a stall.
    pub fixed_work_share: f64,
    /// Number of queries that run concurrently; further ones wait.
    pub cores: usize,
    /// What the endpoint does with a query.
    pub response: ResponseBehavior,
    /// Behaviors that replace `response` at random, each with its probability.
    pub random_responses: Vec<(ResponseBehavior, f64)>,
    /// Size of the returned value in bytes.
    pub value_bytes: usize,
    /// Whether the endpoint accepts connections but sends nothing on them.
    pub unresponsive: bool,
}

impl EndpointBehavior {
    /// Returns the mean run time of a query of this class.
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

/// The network link between one zone and an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Delay added to each query.
    pub request_delay: Duration,
    /// Delay added to each answer.
    pub reply_delay: Duration,
    /// Whether the link is cut: no data passes, but connections stay open.
    pub cut: bool,
}
