//! What comes from clients: their connections, and the life of each request.

pub mod connection;
pub mod request;
