//! Serves one connection to a fake endpoint.

use super::{EndpointBehavior, ReceivedQuery, ResponseBehavior, Shared, CONNECTIONS};
use crate::pg;
use crate::runtime::{lock_unpoisoned, sleep};
use async_io::Async;
use futures_lite::future::{pending, FutureExt};
use futures_lite::AsyncWriteExt;
use rand::Rng;
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which a session checks whether a cut link has been restored.
const LINK_POLL: Duration = Duration::from_millis(5);
/// Length of a truncated answer, which ends within its first message.
const TRUNCATED_BYTES: usize = 20;
/// All bytes of a value but the last.
const VALUE_FILL: u8 = 0x9f;
/// The last byte of a value.
const VALUE_END: u8 = 3;
/// The value of an unsolicited second answer.
const UNSOLICITED_VALUE: u8 = 0xee;

/// Serves a connection until the caller or this side closes it.
pub(super) async fn serve(shared: Arc<Shared>, zone: usize, stream: Async<TcpStream>) {
    let mut session = Session {
        shared: &shared,
        zone,
        stream,
    };
    // The caller sees the end of the connection, so the error needs no report.
    let _ = session.run().await;
}

struct Session<'a> {
    shared: &'a Shared,
    /// Index of the caller's zone.
    zone: usize,
    stream: Async<TcpStream>,
}

/// A query that was received and is not yet answered.
struct PendingQuery {
    /// Index among the recorded queries.
    index: usize,
    class: String,
    response: ResponseBehavior,
}

impl Session<'_> {
    async fn run(&mut self) -> io::Result<()> {
        self.accept_startup().await?;
        while let Some(query) = self.receive_query().await? {
            let Some(answer) = self.work_on(&query).await else {
                return Ok(());
            };
            let started = Instant::now();
            self.send_answer(&query, &answer).await?;
            if query.response.closes_after_answer() {
                return Ok(());
            }
            if let ResponseBehavior::AnswerAgainAfterMs(gap) = query.response {
                self.answer_again(&query, started, gap).await?;
            }
        }
        Ok(())
    }

    async fn accept_startup(&mut self) -> io::Result<()> {
        let read = pg::read_startup(&mut self.stream).await?;
        self.shared
            .count(self.zone, CONNECTIONS, |counts| counts.read += read as u64);
        if self.shared.state().behavior.unresponsive {
            pending::<()>().await;
        }
        let link = self.shared.link(self.zone);
        let delayed = async {
            self.wait_while_cut().await;
            sleep(link.request_delay + link.reply_delay).await;
            Ok(())
        };
        // Nothing is written once the caller has closed the connection.
        let caller_closed = async {
            wait_for_close(&self.stream).await;
            Err(io::Error::from(io::ErrorKind::ConnectionAborted))
        };
        caller_closed.or(delayed).await?;
        let reply = pg::startup_reply();
        self.stream.write_all(&reply).await?;
        self.shared.count(self.zone, CONNECTIONS, |counts| {
            counts.written += reply.len() as u64;
        });
        Ok(())
    }

    /// Reads the next query; `None` if the caller sends any other message.
    async fn receive_query(&mut self) -> io::Result<Option<PendingQuery>> {
        let (tag, body) = pg::read(&mut self.stream).await?;
        if tag != pg::QUERY {
            return Ok(None);
        }
        let at = Instant::now();
        let response = self.shared.draw_response();
        let received = received_query(at, self.zone, &body, response);
        let class = received.class.clone();
        let index = self.shared.record(received);
        self.shared.count(self.zone, &class, |counts| {
            counts.attempts += 1;
            counts.read += (pg::HEADER_BYTES + body.len()) as u64;
        });
        Ok(Some(PendingQuery {
            index,
            class,
            response,
        }))
    }

    /// Runs a query and returns the answer; `None` if the connection is to be closed instead, or if
    /// the caller has closed it, in which case nothing may be written.
    async fn work_on(&self, query: &PendingQuery) -> Option<Vec<u8>> {
        let work = async {
            self.wait_while_cut().await;
            sleep(self.shared.link(self.zone).request_delay).await;
            let answer = self.shared.answer(&query.class, query.response).await;
            self.wait_while_cut().await;
            sleep(self.shared.link(self.zone).reply_delay).await;
            answer
        };
        let caller_closed = async {
            wait_for_close(&self.stream).await;
            None
        };
        // `caller_closed` is polled first: if this task runs late, the caller may already have
        // closed the connection when the work is done.
        caller_closed.or(work).await
    }

    async fn send_answer(&mut self, query: &PendingQuery, answer: &[u8]) -> io::Result<()> {
        if let ResponseBehavior::ByteEveryMs(gap) = query.response {
            for byte in answer {
                self.stream.write_all(&[*byte]).await?;
                sleep(Duration::from_millis(gap.into())).await;
            }
        } else {
            self.stream.write_all(answer).await?;
        }
        self.shared.count(self.zone, &query.class, |counts| {
            counts.written += answer.len() as u64;
        });
        Ok(())
    }

    async fn answer_again(
        &mut self,
        query: &PendingQuery,
        started: Instant,
        gap_ms: u16,
    ) -> io::Result<()> {
        sleep(Duration::from_millis(gap_ms.into())).await;
        let written = self
            .stream
            .write_all(&pg::value_reply(&[UNSOLICITED_VALUE]))
            .await;
        self.shared.state().received[query.index].duplicate_delay = Some(started.elapsed());
        written
    }

    async fn wait_while_cut(&self) {
        while self.shared.link(self.zone).cut {
            sleep(LINK_POLL).await;
        }
    }
}

/// Builds the record of a received query from the fields of its comment.
fn received_query(
    at: Instant,
    from_zone: usize,
    body: &[u8],
    response: ResponseBehavior,
) -> ReceivedQuery {
    let text = body.strip_suffix(b"\0").unwrap_or(body);
    let statement = String::from_utf8_lossy(text).into_owned();
    let named = |name| {
        let mut fields = pg::comment_fields(&statement);
        let found = fields.find(|(field, _)| *field == name);
        found.map(|(_, value)| value.to_owned())
    };
    ReceivedQuery {
        at,
        from_zone,
        class: named("c").unwrap_or_default(),
        id: named("id").unwrap_or_default(),
        key: named("k"),
        ran: response.runs_query(),
        duplicate_delay: None,
        statement,
    }
}

/// Completes once the caller has closed its end of the connection.
async fn wait_for_close(stream: &Async<TcpStream>) {
    let mut byte = [0; 1];
    let has_written = matches!(stream.peek(&mut byte).await, Ok(read) if read > 0);
    if has_written {
        // A later close cannot be detected while unread bytes are pending.
        pending::<()>().await;
    }
}

impl Shared {
    /// Returns the bytes of an answer; `None` if the connection is to be closed instead.
    async fn answer(&self, class: &str, response: ResponseBehavior) -> Option<Vec<u8>> {
        match response {
            ResponseBehavior::Reject => return Some(pg::error_reply("53300", "full")),
            ResponseBehavior::RejectAndClose => return Some(pg::error_reply("57P03", "leaving")),
            _ => {}
        }
        let behavior = self.state().behavior.clone();
        let work = self.draw_work(&behavior, class);
        let core = self.cores.acquire().await;
        sleep(work).await;
        drop(core);
        let mut answer = pg::value_reply(&value(behavior.value_bytes));
        match response {
            ResponseBehavior::Fail => return Some(pg::error_reply("XX000", "failed")),
            ResponseBehavior::Garbage => return Some(b"\0\xff\xff no answer at all".to_vec()),
            ResponseBehavior::Close => return None,
            ResponseBehavior::NeverAnswer => pending().await,
            ResponseBehavior::AnswerTwice => answer.extend(answer.clone()),
            ResponseBehavior::StallMidAnswer | ResponseBehavior::CloseMidAnswer => {
                answer.truncate(TRUNCATED_BYTES);
            }
            ResponseBehavior::CloseAfterBytes(bytes) => answer.truncate(bytes.into()),
            ResponseBehavior::Answer
            | ResponseBehavior::AnswerAndClose
            | ResponseBehavior::AnswerAgainAfterMs(_)
            | ResponseBehavior::ByteEveryMs(_)
            | ResponseBehavior::Reject
            | ResponseBehavior::RejectAndClose => {}
        }
        Some(answer)
    }

    /// Draws the run time of one query.
    fn draw_work(&self, behavior: &EndpointBehavior, class: &str) -> Duration {
        let drawn = lock_unpoisoned(&self.random).gen_range(0.0..1.0f64);
        let fixed = behavior.fixed_work_share;
        let factor = fixed - (1.0 - fixed) * (1.0 - drawn).ln();
        behavior.work_of(class).mul_f64(factor.max(0.0))
    }
}

fn value(bytes: usize) -> Vec<u8> {
    let mut value = vec![VALUE_FILL; bytes];
    if let Some(last) = value.last_mut() {
        *last = VALUE_END;
    }
    value
}
