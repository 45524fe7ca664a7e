//! The asynchronous client.

use crate::attempts::CallRun;
use crate::call::{Call, CallResponse};
use crate::deadline::with_deadline;
use crate::error::{CallError, InvalidCall};
use crate::shared::Shared;
use crate::stats::ClientStats;
use std::sync::Arc;
use std::time::Instant;
use tulipwall_client_policy::ClientConfig;

/// An asynchronous client that all calls of a process share. Clones are handles to the same client.
#[derive(Clone, Debug)]
pub struct Client(Arc<Shared>);

impl Client {
    /// Creates a client of this service. It opens no connection before the first call or
    /// [`Client::warm`].
    pub fn new(config: ClientConfig) -> Client {
        Client(Arc::new(Shared::new(config)))
    }

    /// Opens `min_connections` connections to each agent, as far as reconnect times and rate limits
    /// allow. Returns the total number of open connections.
    pub async fn warm(&self) -> usize {
        for agent in 0..self.0.config.agents.len() {
            self.warm_agent(agent).await;
        }
        self.0.state().pools.iter().map(|pool| pool.open).sum()
    }

    async fn warm_agent(&self, agent: usize) {
        let policy = &self.0.config.connections;
        for _ in 0..policy.min_connections {
            if self.0.state().pools[agent].open >= policy.min_connections {
                break;
            }
            let deadline = Instant::now() + policy.connect_timeout;
            let acquired = with_deadline(deadline, self.0.acquire_connection(agent, deadline));
            if let Some(Ok(connection)) = acquired.await {
                self.0.put_back(connection);
            }
        }
    }

    /// Makes one call and returns its response. Dropping the future closes the connection of an
    /// attempt in progress.
    ///
    /// # Errors
    ///
    /// Returns why the call has no value. [`CallError`] says which calls may be repeated.
    pub async fn call(&self, call: Call) -> Result<CallResponse, CallError> {
        let started = Instant::now();
        let result = match self.validate(&call) {
            Ok(class) => CallRun::execute(&self.0, &call, class, started).await,
            Err(invalid) => Err(invalid.into()),
        };
        self.0.state().counters.record_call(&result);
        result
    }

    /// Validates the call and returns the index of its class.
    fn validate(&self, call: &Call) -> Result<usize, InvalidCall> {
        call.validate()?;
        let class = self.0.config.class_index(&call.class);
        class.ok_or_else(|| InvalidCall::UnknownClass {
            class: call.class.clone(),
        })
    }

    /// Returns a snapshot of the counters and gauges of the client.
    pub fn stats(&self) -> ClientStats {
        self.0.state().snapshot()
    }

    /// Returns the configuration that the client was created with.
    pub fn config(&self) -> &ClientConfig {
        &self.0.config
    }
}
