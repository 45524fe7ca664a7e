//! What is read at the start and again at each new configuration. A message names the key that is at fault.

use crate::wire::listing::Listing;
use crate::wire::platform::{self, Told};
use serde_json::Value;
use std::net::SocketAddr;
use tulipwall_deployment::{Instance, Site};

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub platform: Option<SocketAddr>,
    pub sockets: usize,
    pub memory: usize, // in bytes
    pub known: Option<Listing>,
    pub news: Option<Told>,
    pub site: Site,
}

impl Start {
    /// Reads the file that PROXY_CONFIG names.
    pub fn read() -> Result<Start, String> {
        let path = std::env::var("PROXY_CONFIG").map_err(|_| "variable PROXY_CONFIG: missing")?;
        let bytes = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
        Start::parse(&bytes).map_err(|e| format!("{path}: {e}"))
    }

    pub fn parse(bytes: &[u8]) -> Result<Start, String> {
        let value: Value = serde_json::from_slice(bytes).map_err(|e| format!("not JSON: {e}"))?;
        let i = Instance::read(&value)?;
        let known = i.known.as_ref().map(Listing::read).transpose().map_err(|e| format!("known: {e}"))?;
        let news = i.news.as_ref().map(platform::told).transpose();
        let news = news.map_err(|e| format!("deployer.news: {e}"))?;
        let Instance { name, listen, discovery, platform, sockets, memory, site, .. } = i;
        Ok(Start { name, listen, discovery, platform, sockets, memory, known, news, site })
    }
}
