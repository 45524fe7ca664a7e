//! A small deployment: appliances, discovery, the platform, and the configuration of one agent.

use crate::agent::{Agent, Configuration};
use crate::appliance::{Appliance, Received};
use crate::discovery::Discovery;
use crate::record::Record;
use crate::{free_address, platform};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

pub struct Deployment {
    pub record: Record,
    pub appliances: Vec<Appliance>,
    pub discovery: Discovery,
    platform: SocketAddr,
    listen: SocketAddr,
    settings: &'static str,
    /// The agents' limit on descriptors.
    pub sockets: u32,
}

impl Deployment {
    /// Starts `count` appliances `s-0`, `s-1` and so on, and the services that list them.
    pub fn start(
        record: &Record,
        count: usize,
        zone: &str,
        kind: &str,
        settings: &'static str,
        work: impl Fn(&str) -> Duration + Send + Sync + Clone + 'static,
    ) -> io::Result<Deployment> {
        let discovery = Discovery::start(record)?;
        let mut appliances = Vec::new();
        for n in 0..count {
            let appliance = Appliance::start(&format!("s-{n}"), record, work.clone())?;
            discovery.add(&appliance.id, appliance.address, zone, kind);
            appliances.push(appliance);
        }
        Ok(Deployment {
            record: record.clone(),
            appliances,
            discovery,
            platform: platform::start()?,
            listen: free_address()?,
            settings,
            sockets: 512,
        })
    }

    /// Starts the agent with this copy of the list.
    pub fn start_agent(&self, known: String) -> io::Result<Agent> {
        self.start_agent_as("n1", self.listen, known)
    }

    /// Starts one of several agents.
    pub fn start_agent_as(
        &self,
        name: &str,
        listen: SocketAddr,
        known: String,
    ) -> io::Result<Agent> {
        Agent::start(
            &self.record,
            &Configuration {
                name: name.to_owned(),
                listen,
                discovery: self.discovery.address,
                platform: self.platform,
                known,
                settings: self.settings.to_owned(),
                sockets: self.sockets,
            },
        )
    }

    /// The queries that one appliance received.
    pub fn received_by(&self, id: &str) -> Vec<Received> {
        let found = self.appliances.iter().find(|a| a.id == id);
        found.map(Appliance::received).unwrap_or_default()
    }
}
