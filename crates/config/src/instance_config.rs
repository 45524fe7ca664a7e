//! The configuration that the platform provides for one agent: its addresses, its limits, the
//! settings of the service, and the last known endpoint list and rollout status.

use crate::error::InstanceConfigError;
use crate::fields::{FieldError, Fields};
use crate::service_config::ServiceConfig;
use serde_json::Value;
use std::net::SocketAddr;

/// The agent's name if the configuration sets none.
const DEFAULT_NAME: &str = "agent";
/// The number of sockets that an agent may have open if the configuration sets no limit.
const DEFAULT_MAX_SOCKETS: u64 = 1024;
/// The memory that an agent may use if the configuration sets no limit, in MiB.
const DEFAULT_MEMORY_LIMIT_MIB: u64 = 192;
const BYTES_PER_MIB: usize = 1024 * 1024;
const HEX_RADIX: u32 = 16;

/// The configuration of one agent.
#[derive(Debug)]
pub struct InstanceConfig<'a> {
    /// The agent's name in logs and votes.
    pub name: String,
    /// The address on which the agent accepts client connections.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address of the rollout platform; `None` if there is none.
    pub platform: Option<SocketAddr>,
    /// The maximum number of sockets that the agent may have open at once.
    pub max_sockets: usize,
    /// The maximum memory that the agent may use, in bytes.
    pub memory_limit: usize,
    /// The settings of the service that the agent balances.
    pub service: ServiceConfig,
    /// The last known endpoint list, in the format of discovery's responses; `None` if there is
    /// none.
    pub known_list: Option<Fields<'a>>,
    /// The last known rollout status, in the format of the platform's messages; `None` if there is
    /// none.
    pub rollout_status: Option<Fields<'a>>,
}

impl<'a> InstanceConfig<'a> {
    /// Reads and validates the configuration from its JSON object.
    pub fn read(value: &'a Value) -> Result<InstanceConfig<'a>, InstanceConfigError> {
        let fields = Fields::new(value, "configuration")?;
        let service = read_service(&fields)?;
        let limits = fields.optional_object("limits")?;
        let platform = fields.optional_object("deployer")?;
        let rollout_status = platform.as_ref().and_then(|p| p.optional("news"));
        let name = fields.optional_text("name").unwrap_or(DEFAULT_NAME);
        Ok(InstanceConfig {
            name: name.to_owned(),
            listen: read_address(&fields, "listen")?,
            discovery: read_address(&fields, "discovery")?,
            platform: read_platform_address(platform.as_ref())?,
            max_sockets: read_limit(limits.as_ref(), "sockets", DEFAULT_MAX_SOCKETS)?,
            memory_limit: read_memory_limit(limits.as_ref())?,
            known_list: fields.optional_object("known")?,
            rollout_status: rollout_status
                .map(|status| Fields::new(status, "deployer.news"))
                .transpose()?,
            service,
        })
    }
}

fn read_service(fields: &Fields) -> Result<ServiceConfig, InstanceConfigError> {
    let seed = u64::from_str_radix(fields.text("seed")?, HEX_RADIX)
        .map_err(|_| InstanceConfigError::InvalidSeed)?;
    let service_fields = fields.object("settings")?;
    let mut service =
        ServiceConfig::read(&service_fields, seed).map_err(InstanceConfigError::Settings)?;
    // An agent on real sockets always polls the endpoint list, whatever the simulator does with the
    // same settings.
    service.settings.list_polled = true;
    // Nor can it probe an endpoint for its load; endpoints report their load in responses.
    service.settings.load_probes = false;
    Ok(service)
}

fn read_memory_limit(limits: Option<&Fields>) -> Result<usize, InstanceConfigError> {
    let limit_mib = read_limit(limits, "memory_mb", DEFAULT_MEMORY_LIMIT_MIB)?;
    Ok(limit_mib.saturating_mul(BYTES_PER_MIB))
}

fn read_limit(
    limits: Option<&Fields>,
    key: &str,
    default: u64,
) -> Result<usize, InstanceConfigError> {
    let limit = match limits {
        Some(limits) => limits
            .unsigned_or(key, default)
            .map_err(InstanceConfigError::Limits)?,
        None => default,
    };
    Ok(limit as usize)
}

fn read_platform_address(
    platform: Option<&Fields>,
) -> Result<Option<SocketAddr>, InstanceConfigError> {
    platform
        .map(|fields| read_address(fields, "address"))
        .transpose()
        .map_err(InstanceConfigError::Platform)
}

fn read_address(fields: &Fields, key: &str) -> Result<SocketAddr, FieldError> {
    let text = fields.text(key)?;
    text.parse().map_err(|_| FieldError::InvalidAddress {
        key: key.to_owned(),
        expected: "address with a port",
        found: text.to_owned(),
    })
}
