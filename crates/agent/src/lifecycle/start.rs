//! What is read at the start and again at each new configuration. A message names the key that is
//! at fault.

use crate::protocol::platform::{self, Told};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tulipwall::AlternativeSettings;
use tulipwall_config::{ConfigDiagnostic, Door, Installation, Instance, LogForm, ServiceConfig};
use tulipwall_discovery::listing::Listing;
use tulipwall_zones::ZoneConfig;

/// Which files are read.
#[derive(Clone, Debug, Default)]
pub struct Files {
    /// The platform's; PROXY_CONFIG names it otherwise.
    pub configuration: Option<PathBuf>,
    /// The installation's own; none where none is named.
    pub installation: Option<PathBuf>,
}

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub platform: Option<SocketAddr>,
    pub sockets: usize,
    pub memory: usize, // in bytes
    pub known: Option<Listing>,
    pub rollout_status: Option<Told>,
    pub site: ServiceConfig,
    pub log: Option<LogForm>,
    pub door: Option<Door>,
    pub installation: Installation,
    pub watch: Option<AlternativeSettings>,
}

impl Start {
    /// Reads the files; every mistake in them otherwise, a line each.
    pub fn read(files: &Files) -> Result<Start, Vec<String>> {
        let variable = || std::env::var_os("PROXY_CONFIG").map(PathBuf::from);
        let Some(path) = files.configuration.clone().or_else(variable) else {
            return Err(vec!["variable PROXY_CONFIG: missing".into()]);
        };
        let bytes = std::fs::read(&path).map_err(|e| vec![format!("{}: {e}", path.display())])?;
        let start = Start::parse(&bytes).map_err(|e| vec![format!("{}: {e}", path.display())])?;
        let Some(path) = &files.installation else {
            return Ok(start);
        };
        let installation = read_installation(path)?;
        let named = |mistakes| named(path, mistakes);
        installation.zoning(&start.site).map_err(named)?;
        let watch = installation.watch(&start.site).map_err(named)?;
        let (log, door) = (installation.log, installation.door.clone());
        Ok(Start {
            log,
            door,
            installation,
            watch,
            ..start
        })
    }

    /// What the installation says of zones, in the numbers of these settings; looked at for
    /// mistakes as it was read.
    pub fn zoning(&self) -> Option<ZoneConfig> {
        self.installation.zoning(&self.site).unwrap_or_default()
    }

    pub fn parse(bytes: &[u8]) -> Result<Start, String> {
        let value: Value = serde_json::from_slice(bytes).map_err(|e| format!("not JSON: {e}"))?;
        let i = Instance::read(&value)?;
        let known = i
            .known_list
            .as_ref()
            .map(Listing::read)
            .transpose()
            .map_err(|e| format!("known: {e}"))?;
        let rollout_status = i.rollout_status.as_ref().map(platform::told).transpose();
        let rollout_status = rollout_status.map_err(|e| format!("deployer.news: {e}"))?;
        let Instance {
            name,
            listen,
            discovery,
            platform,
            max_sockets: sockets,
            memory_limit: memory,
            service: site,
            ..
        } = i;
        let (log, door, installation, watch) = (None, None, Installation::default(), None);
        Ok(Start {
            name,
            listen,
            discovery,
            platform,
            sockets,
            memory,
            known,
            rollout_status,
            site,
            log,
            door,
            installation,
            watch,
        })
    }
}

/// Reads an installation's file; every mistake in it otherwise, with file, line and column.
pub fn read_installation(path: &Path) -> Result<Installation, Vec<String>> {
    let text =
        std::fs::read_to_string(path).map_err(|e| vec![format!("{}: {e}", path.display())])?;
    Installation::read(&text).map_err(|mistakes| named(path, mistakes))
}

fn named(path: &Path, mistakes: Vec<ConfigDiagnostic>) -> Vec<String> {
    mistakes
        .into_iter()
        .map(|m| format!("{}:{m}", path.display()))
        .collect()
}
