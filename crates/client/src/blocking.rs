//! A blocking wrapper around the asynchronous client.

use crate::{Call, CallError, CallResponse, ClientConfig, ClientStats};

/// A client whose calls block the calling thread, for at most their timeout.
///
/// ```no_run
/// use std::time::Duration;
/// use tulipwall_client::{blocking, Call, ClientConfig};
///
/// let agent = "127.0.0.1:6543".parse().unwrap();
/// let client = blocking::Client::new(ClientConfig::new(vec![agent], vec![]));
/// let response = client.call(Call::read("view", "7f3a", Duration::from_secs(1)));
/// ```
#[derive(Clone, Debug)]
pub struct Client(crate::Client);

impl Client {
    /// Creates a client of this service. It opens no connection before the first call.
    pub fn new(config: ClientConfig) -> Client {
        Client(crate::Client::new(config))
    }

    /// Makes one call and blocks until it ends.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Client::call`](crate::Client::call).
    pub fn call(&self, call: Call) -> Result<CallResponse, CallError> {
        futures_lite::future::block_on(self.0.call(call))
    }

    /// Returns a snapshot of the counters and gauges of the client.
    pub fn stats(&self) -> ClientStats {
        self.0.stats()
    }
}
