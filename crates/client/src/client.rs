//! The handle of a client.

use crate::attempts::CallRun;
use crate::call::{Call, CallResponse};
use crate::deadline::with_deadline;
use crate::error::{CallError, InvalidCall};
use crate::shared::Shared;
use crate::stats::ClientStats;
use std::sync::Arc;
use std::time::Instant;
use tulipwall_client_policy::ClientConfig;

/// Shared by all calls of a process; clones are the same client.
#[derive(Clone, Debug)]
pub struct Client(Arc<Shared>);

impl Client {
    /// A client of this service. Nothing is opened before the first call, or [`Client::warm`].
    pub fn new(config: ClientConfig) -> Client {
        Client(Arc::new(Shared::new(config)))
    }

    /// Opens the least number of connections to each agent, as far as reconnect times and rates
    /// let it. Returns how many are open.
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

    /// Makes one call and returns its value. Dropping the future closes the connection of an
    /// attempt that is out.
    ///
    /// # Errors
    ///
    /// Why there is no value; see [`CallError`] for what may be asked again.
    pub async fn call(&self, call: Call) -> Result<CallResponse, CallError> {
        let started = Instant::now();
        let result = match self.validate(&call) {
            Ok(class) => CallRun::execute(&self.0, &call, class, started).await,
            Err(invalid) => Err(invalid.into()),
        };
        self.0.state().counters.record_call(&result);
        result
    }

    /// The index of the call's class, if the call is valid.
    fn validate(&self, call: &Call) -> Result<usize, InvalidCall> {
        call.validate()?;
        let class = self.0.config.class_index(&call.class);
        class.ok_or_else(|| InvalidCall::UnknownClass {
            class: call.class.clone(),
        })
    }

    /// The counters and gauges of the client as they stand.
    pub fn stats(&self) -> ClientStats {
        self.0.state().snapshot()
    }

    /// The configuration of the client.
    pub fn config(&self) -> &ClientConfig {
        &self.0.config
    }
}
