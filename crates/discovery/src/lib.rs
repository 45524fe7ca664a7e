//! An agent's view of the endpoint list, without socket I/O: parsing discovery's responses, storing
//! the endpoints, timing the calls to discovery, and limiting how long the list may be used. The
//! agent adds the sockets; experiments run hundreds of agents in one process.
//!
//! - [`list_response`] parses discovery's responses.
//! - [`endpoint_table`] keeps the endpoints and assigns their indices.
//! - [`watch_timer`] decides when discovery is called and when a call has failed.
//! - [`list_lease`] tracks until when the current list may be used.
//! - [`clock`] maps the Unix times in responses to the agent's monotonic clock.

#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

pub mod clock;
pub mod endpoint_table;
mod list_document;
pub mod list_lease;
pub mod list_response;
pub mod watch_timer;
