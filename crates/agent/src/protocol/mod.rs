//! What is spoken: PostgreSQL v3 to clients and endpoints, HTTP/1.1 to discovery, JSON-RPC to the
//! platform. The parsers are pure over bytes and bounded; the kit's words end here.

pub mod arrivals;
pub mod buffer;
pub mod connection;
pub mod http;
pub mod platform;
pub mod postgres;
pub mod statement;

/// What is wrong with bytes that came in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<tulipwall_config::FieldError> for Malformed {
    fn from(error: tulipwall_config::FieldError) -> Malformed {
        Malformed(error.to_string())
    }
}

impl From<String> for Malformed {
    fn from(what: String) -> Malformed {
        Malformed(what)
    }
}

pub fn malformed<T>(what: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(what.into()))
}
