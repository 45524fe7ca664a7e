//! What one agent is told of itself and of its parties, beside the deployment's settings.

use crate::{Fields, ServiceConfig};
use serde_json::Value;
use std::net::SocketAddr;

const SOCKETS: u64 = 1024;
const MEMORY_MB: u64 = 192;

#[derive(Debug)]
pub struct Instance<'a> {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub platform: Option<SocketAddr>,
    pub max_sockets: usize,
    pub memory_limit: usize, // in bytes
    pub service: ServiceConfig,
    /// The last copy of the list and the last news, in their wires' own forms.
    pub known_list: Option<Fields<'a>>,
    pub rollout_status: Option<Fields<'a>>,
}

impl<'a> Instance<'a> {
    pub fn read(value: &'a Value) -> Result<Instance<'a>, String> {
        let c = Fields::of(value, "configuration")?;
        let seed = c.text("seed")?;
        let seed = u64::from_str_radix(seed, 16)
            .map_err(|_| "field seed: up to 16 hex digits are wanted")?;
        let mut site = ServiceConfig::read(&c.inner("settings")?, seed)
            .map_err(|f| format!("settings: {f}"))?;
        // On sockets the list is always asked for, whatever the simulator does here.
        site.settings.list_polled = true;
        // Nor is there a way to ask an endpoint for its load; what it tells in its answers is
        // heard.
        site.settings.load_probes = false;
        let limits = c
            .maybe("limits")
            .map(|l| Fields::of(l, "limits"))
            .transpose()?;
        let limit = |name: &str, other: u64| {
            let read = limits
                .as_ref()
                .map_or(Ok(other), |l| l.whole_or(name, other));
            read.map(|n| n as usize).map_err(|e| format!("limits: {e}"))
        };
        let platform = c
            .maybe("deployer")
            .map(|d| Fields::of(d, "deployer"))
            .transpose()?;
        let rollout_status = platform.as_ref().and_then(|p| p.maybe("news"));
        Ok(Instance {
            name: c
                .maybe("name")
                .and_then(Value::as_str)
                .unwrap_or("agent")
                .to_owned(),
            listen: address(&c, "listen")?,
            discovery: address(&c, "discovery")?,
            platform: platform
                .as_ref()
                .map(|p| address(p, "address"))
                .transpose()
                .map_err(|e| format!("deployer: {e}"))?,
            max_sockets: limit("sockets", SOCKETS)?,
            memory_limit: limit("memory_mb", MEMORY_MB)?.saturating_mul(1024 * 1024),
            known_list: c
                .maybe("known")
                .map(|k| Fields::of(k, "known"))
                .transpose()?,
            rollout_status: rollout_status
                .map(|n| Fields::of(n, "deployer.news"))
                .transpose()?,
            service: site,
        })
    }
}

fn address(c: &Fields, key: &str) -> Result<SocketAddr, String> {
    let text = c.text(key)?;
    text.parse()
        .map_err(|_| format!("field {key}: '{text}' is no address with a port"))
}
