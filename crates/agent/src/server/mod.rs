//! The clients' side: their connections, and the life of each request.
//!
//! A connection ([`connection`]) takes messages one after the other ([`message`]); a statement
//! becomes a request ([`request`]), which ends with one final response ([`response`]).

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
