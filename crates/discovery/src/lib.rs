//! The endpoint list of an agent, without sockets: what discovery's responses say, what is kept of
//! them, when discovery is called, and until when the list may be trusted. The agent puts sockets
//! around it; experiments run hundreds of agents in one process.
//!
//! - [`list_response`] parses discovery's responses.
//! - [`endpoint_table`] keeps the endpoints and assigns their indices.
//! - [`watch_timer`] says when discovery is called and when a call has failed.
//! - [`list_lease`] says until when the list that is known may be acted on.
//! - [`clock`] maps the times of responses to the agent's monotonic clock.

#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

pub mod clock;
pub mod endpoint_table;
mod list_document;
pub mod list_lease;
pub mod list_response;
pub mod watch_timer;
