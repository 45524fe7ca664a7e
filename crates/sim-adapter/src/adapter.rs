//! Dispatches the simulator's messages to the simulated agents of this process.

use crate::error::AdapterError;
use crate::instance::Instance;
use crate::wire::{AgentReply, Command, EndpointLists, Reply, IGNORED_WITHOUT_INSTANCE};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall_config::{ConfigError, Fields};

/// The state of this process: one instance for each running agent, by the agent's number, and the
/// endpoint lists that they share.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<i64, Instance>,
    endpoint_lists: EndpointLists,
    /// The time in the first message; `None` before it. The times of all instances are relative to
    /// it.
    start: Option<Duration>,
}

impl Adapter {
    /// Handles the messages of one line and returns the reply.
    pub fn handle_line(&mut self, line: &[u8]) -> Result<Value, AdapterError> {
        let batch: Value = serde_json::from_slice(line).map_err(AdapterError::NotJson)?;
        let batch = Fields::new(&batch, "batch")?;
        let now = batch.duration_ms("t-ms")?;
        let start = *self.start.get_or_insert(now);
        let mut reply = Reply { agents: Vec::new() };
        for messages in batch.array("agents")? {
            let messages = Fields::new(messages, "agents")?;
            let agent = messages.integer("agent-id")?;
            let commands = self.handle_agent(agent, &messages, now, start)?;
            if !commands.is_empty() {
                reply.agents.push(AgentReply { agent, commands });
            }
        }
        reply.to_json()
    }

    /// Handles the messages to one agent, then polls it for actions that are due.
    fn handle_agent(
        &mut self,
        agent: i64,
        messages: &Fields,
        now: Duration,
        start: Duration,
    ) -> Result<Vec<Command>, AdapterError> {
        let mut commands = Vec::new();
        for message in messages.array("items")? {
            let message = Fields::new(message, "items")?;
            match message.text("t")? {
                "Sheet" => self.store_list(&message)?,
                "OpenInstance" => {
                    let opened = Instance::open(now, start, &message);
                    self.add_instance(agent, opened, &mut commands)?;
                }
                "Down" => {
                    self.instances.remove(&agent);
                }
                kind => self.forward(agent, kind, &message, now, &mut commands)?,
            }
        }
        if let Some(instance) = self.instances.get_mut(&agent) {
            instance.poll(now, &mut commands);
        }
        Ok(commands)
    }

    fn store_list(&mut self, message: &Fields) -> Result<(), AdapterError> {
        let number = message.unsigned("buffer")?;
        let entries = message.array("nodes-list")?.clone();
        self.endpoint_lists.insert(number, entries);
        Ok(())
    }

    fn add_instance(
        &mut self,
        agent: i64,
        opened: Result<Instance, ConfigError>,
        commands: &mut Vec<Command>,
    ) -> Result<(), AdapterError> {
        match opened {
            Ok(instance) => {
                self.instances.insert(agent, instance);
            }
            // An error of the simulator: the settings use a name that they do not define.
            Err(error) if error.is_undefined_name() => {
                commands.push(Command::fatal(error.to_string()));
            }
            Err(error) => return Err(error.into()),
        }
        Ok(())
    }

    /// Forwards a message to the agent's instance. Without an instance, some kinds of message are
    /// ignored and all others are errors.
    fn forward(
        &mut self,
        agent: i64,
        kind: &str,
        message: &Fields,
        now: Duration,
        commands: &mut Vec<Command>,
    ) -> Result<(), AdapterError> {
        match self.instances.get_mut(&agent) {
            Some(instance) => {
                instance.handle_message(now, kind, message, &self.endpoint_lists, commands)
            }
            None if IGNORED_WITHOUT_INSTANCE.contains(&kind) => Ok(()),
            None => Err(AdapterError::UnknownMessage {
                found: kind.to_owned(),
            }),
        }
    }
}
