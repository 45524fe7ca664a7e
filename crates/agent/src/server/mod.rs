//! The server side of the agent: client connections and the processing of their requests.
//!
//! A connection ([`connection`]) handles messages one after the other ([`message`]). A statement
//! that is admitted becomes a request ([`request`]), which ends with one final response
//! ([`response`]).

pub mod admission;
pub mod connection;
pub mod input;
pub mod limits;
pub mod message;
pub mod output;
pub mod overflow;
pub mod request;
pub mod response;
pub mod startup;
