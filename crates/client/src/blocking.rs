//! The same client for code that blocks.

use crate::{Answered, Call, Seen, Service, Unanswered};

/// A client whose calls block the calling thread, never for longer than their expiry.
///
/// ```no_run
/// use std::time::Duration;
/// use tulipwall_client::{blocking, Call, Service};
///
/// let client = blocking::Client::new(Service::new(vec!["127.0.0.1:6543".parse().unwrap()], vec![]));
/// let answer = client.call(Call::read("view", "7f3a", Duration::from_secs(1)));
/// ```
#[derive(Clone, Debug)]
pub struct Client(crate::Client);

impl Client {
    pub fn new(service: Service) -> Client {
        Client(crate::Client::new(service))
    }

    pub fn call(&self, call: Call) -> Result<Answered, Unanswered> {
        futures_lite::future::block_on(self.0.call(call))
    }

    pub fn seen(&self) -> Seen {
        self.0.seen()
    }
}
