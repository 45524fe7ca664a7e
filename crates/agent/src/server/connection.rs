//! A client's connection, from the startup message until it is closed.

use super::input::{read_input, ReadEvent};
use super::limits::RECEIVE_TIMEOUT;
use super::message::handle_message;
use super::output::{close_gracefully, write_reply};
use super::startup::{Startup, Step};
use crate::agent::Agent;
use crate::observability::logging::CLIENT;
use crate::protocol::connection::Connection;
use crate::protocol::counted_bytes::CountedBytes;
use crate::protocol::error::PostgresError;
use crate::protocol::postgres;
use crate::protocol::ProtocolError;
use crate::upstream::limits::ConnectionPermit;
use futures_lite::future;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

/// Serves a client until it disconnects, violates the protocol, exceeds a timeout, or is closed
/// while idle because the agent needs its slot or terminates.
pub async fn serve(agent: Rc<Agent>, client: Connection, _permit: ConnectionPermit) {
    let number = client.number;
    let _registration = agent.open_requests.register_client(number);
    log::debug!(target: CLIENT, "connection {number} begins");
    Session::new(&agent, client).run().await;
}

/// The state of a client's connection.
struct Session<'a> {
    agent: &'a Rc<Agent>,
    client: Connection,
    /// The bytes to write next.
    reply: CountedBytes,
    startup: Startup,
    /// When the first request, and later each message that has begun, must be complete; `None`
    /// while nothing is due.
    receive_deadline: Option<Duration>,
}

/// What happens to a connection after a step.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flow {
    Continue,
    /// The connection is closed once the reply is written.
    Close,
    /// The connection is already closed, and no reply is written.
    Closed,
}

impl Session<'_> {
    fn new(agent: &Rc<Agent>, client: Connection) -> Session<'_> {
        Session {
            agent,
            client,
            reply: CountedBytes::default(),
            startup: Startup::default(),
            receive_deadline: Some(agent.clock.now() + RECEIVE_TIMEOUT),
        }
    }

    async fn run(mut self) {
        loop {
            let flow = match self.handle_input().await {
                Ok(Step::NeedMore) => self.read().await,
                Ok(step) => self.on_step(&step),
                Err(error) => self.on_protocol_error(&error),
            };
            if flow == Flow::Closed {
                return;
            }
            if !self.reply.is_empty() {
                if let Err(error) = self.write_reply().await {
                    return self.log_end(&error);
                }
            }
            self.reply.clear();
            if flow == Flow::Close {
                return close_gracefully(self.agent, self.client).await;
            }
            // Lets other tasks run, however much this client writes and however fast it reads.
            future::yield_now().await;
        }
    }

    async fn handle_input(&mut self) -> Result<Step, ProtocolError> {
        if self.startup.is_complete() {
            handle_message(self.agent, &mut self.client, &mut self.reply).await
        } else {
            let client = &mut self.client;
            let startup = &mut self.startup;
            self.reply.write_with(|reply| startup.handle(client, reply))
        }
    }

    fn on_step(&mut self, step: &Step) -> Flow {
        match step {
            Step::Reply => {
                if self.startup.is_complete() {
                    self.receive_deadline = None;
                }
                Flow::Continue
            }
            Step::StartupComplete | Step::NeedMore => Flow::Continue,
            Step::Close => {
                self.log_end(&"by the client's message, or as it left during a request");
                Flow::Close
            }
        }
    }

    fn log_end(&self, reason: &dyn Display) {
        log::debug!(target: CLIENT, "connection {} ends: {reason}", self.client.number);
    }

    fn on_protocol_error(&mut self, error: &ProtocolError) -> Flow {
        self.log_end(error);
        self.agent.counters.requests_invalid.increment();
        self.reply
            .write_with(|reply| postgres::write_fatal(reply, error));
        Flow::Close
    }

    async fn read(&mut self) -> Flow {
        if !self.client.receive_buffer.is_empty() {
            self.receive_deadline
                .get_or_insert(self.agent.clock.now() + RECEIVE_TIMEOUT);
        }
        let length = self.announced_length();
        match read_input(self.agent, &mut self.client, length, self.receive_deadline).await {
            ReadEvent::Data => Flow::Continue,
            ReadEvent::Closed => {
                self.log_end(&"closed between two requests by either side");
                self.agent.counters.clients_closed.increment();
                Flow::Closed
            }
            ReadEvent::TimedOut => {
                self.on_receive_timeout();
                Flow::Close
            }
            ReadEvent::OutOfMemory => {
                self.log_end(&"no memory for a long message");
                self.agent.counters.requests_without_memory.increment();
                self.reply.write_with(postgres::write_out_of_memory);
                Flow::Close
            }
        }
    }

    /// Returns the length of the message that has begun to arrive; `None` if it is not known.
    fn announced_length(&self) -> Option<usize> {
        let unread = self.client.receive_buffer.unread();
        if self.startup.is_complete() {
            postgres::announced_length(unread)
        } else {
            postgres::announced_startup_length(unread)
        }
    }

    fn on_receive_timeout(&mut self) {
        self.agent.counters.clients_timed_out.increment();
        let missing = if self.client.receive_buffer.is_empty() {
            "command"
        } else {
            "message"
        };
        let error = PostgresError::ReceiveTimeout { missing };
        self.log_end(&error);
        self.reply
            .write_with(|reply| postgres::write_fatal(reply, &error.into()));
    }

    async fn write_reply(&mut self) -> std::io::Result<()> {
        write_reply(self.agent, &mut self.client, &self.reply).await
    }
}
