//! The same client for code that blocks.

use crate::{Call, CallError, CallResponse, ClientConfig, ClientStats};

/// A client whose calls block the calling thread, never for longer than their expiry.
///
/// ```no_run
/// use std::time::Duration;
/// use tulipwall_client::{blocking, Call, ClientConfig};
///
/// let client = blocking::Client::new(ClientConfig::new(vec!["127.0.0.1:6543".parse().unwrap()], vec![]));
/// let answer = client.call(Call::read("view", "7f3a", Duration::from_secs(1)));
/// ```
#[derive(Clone, Debug)]
pub struct Client(crate::Client);

impl Client {
    pub fn new(service: ClientConfig) -> Client {
        Client(crate::Client::new(service))
    }

    pub fn call(&self, call: Call) -> Result<CallResponse, CallError> {
        futures_lite::future::block_on(self.0.call(call))
    }

    pub fn stats(&self) -> ClientStats {
        self.0.stats()
    }
}
