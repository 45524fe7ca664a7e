//! What is read at the start and again at each reload. An error names the key that is at fault.

use crate::protocol::error::PlatformError;
use crate::protocol::platform::{self, RolloutReport};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tulipwall::AlternativeSettings;
use tulipwall_config::{
    AdminAddress, ConfigDiagnostic, Installation, InstanceConfig, LogFormat, ServiceConfig,
};
use tulipwall_discovery::list_response::ListResponse;
use tulipwall_zones::ZoneConfig;

/// The environment variable that names the configuration where the command line does not.
const CONFIGURATION_VARIABLE: &str = "PROXY_CONFIG";

/// Which files are read.
#[derive(Clone, Debug, Default)]
pub struct ConfigPaths {
    /// The platform's configuration; PROXY_CONFIG names it where this is `None`.
    pub configuration: Option<PathBuf>,
    /// The installation's own file, if there is one.
    pub installation: Option<PathBuf>,
}

/// Why the files could not be read: one fault in one of them.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The signal handlers could not be registered.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// Neither the command line nor the environment names a configuration.
    #[error("variable {CONFIGURATION_VARIABLE}: missing")]
    MissingVariable,
    /// A file could not be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the operating system says.
        source: io::Error,
    },
    /// The platform's configuration has a fault.
    #[error("{}: {source}", path.display())]
    Configuration {
        /// The file.
        path: PathBuf,
        /// The fault.
        source: ConfigurationError,
    },
    /// The installation's file has a fault; its place in the file is part of the diagnostic.
    #[error("{}:{diagnostic}", path.display())]
    Installation {
        /// The file.
        path: PathBuf,
        /// Line, column and fault.
        diagnostic: ConfigDiagnostic,
    },
    /// The thread that read a configuration anew panicked.
    #[error("configuration: not read")]
    ReaderPanicked,
}

/// A fault in the platform's configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// It is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A setting is missing or wrong; the message names its key.
    #[error("{0}")]
    Settings(String),
    /// The endpoint list known from before is wrong.
    #[error("known: {0}")]
    KnownList(String),
    /// The rollout status known from before is wrong.
    #[error("deployer.news: {0}")]
    RolloutStatus(#[source] PlatformError),
}

/// All that one agent starts with, or goes on with after a reload.
pub struct StartupConfig {
    /// The agent's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the discovery service is.
    pub discovery: SocketAddr,
    /// Where the rollout platform is, if there is one.
    pub platform: Option<SocketAddr>,
    /// The limit on sockets.
    pub max_sockets: usize,
    /// The limit on memory, in bytes.
    pub memory_limit: usize,
    /// The endpoint list known from before.
    pub known_list: Option<ListResponse>,
    /// The rollout status known from before.
    pub rollout_status: Option<RolloutReport>,
    /// The settings of the service.
    pub service: ServiceConfig,
    /// The format of log lines that the installation sets.
    pub log_format: Option<LogFormat>,
    /// Where the admin endpoint listens, if the installation sets one.
    pub admin_address: Option<AdminAddress>,
    /// The installation's own settings.
    pub installation: Installation,
    /// Settings that are only evaluated beside those in force.
    pub alternative_settings: Option<AlternativeSettings>,
}

impl StartupConfig {
    /// Reads the files, or names every fault in them.
    pub fn read(paths: &ConfigPaths) -> Result<StartupConfig, Vec<StartupError>> {
        let from_environment = || std::env::var_os(CONFIGURATION_VARIABLE).map(PathBuf::from);
        let path = paths
            .configuration
            .clone()
            .or_else(from_environment)
            .ok_or_else(|| vec![StartupError::MissingVariable])?;
        let config = StartupConfig::read_configuration(path).map_err(|error| vec![error])?;
        match &paths.installation {
            Some(path) => config.with_installation(path),
            None => Ok(config),
        }
    }

    fn read_configuration(path: PathBuf) -> Result<StartupConfig, StartupError> {
        match std::fs::read(&path) {
            Ok(bytes) => StartupConfig::parse(&bytes)
                .map_err(|source| StartupError::Configuration { path, source }),
            Err(source) => Err(StartupError::Unreadable { path, source }),
        }
    }

    fn with_installation(self, path: &Path) -> Result<StartupConfig, Vec<StartupError>> {
        let installation = read_installation(path)?;
        let in_file = |diagnostics| in_installation_file(path, diagnostics);
        installation.zone_config(&self.service).map_err(in_file)?;
        let alternative_settings = installation
            .alternative_settings(&self.service)
            .map_err(in_file)?;
        Ok(StartupConfig {
            log_format: installation.log,
            admin_address: installation.admin.clone(),
            installation,
            alternative_settings,
            ..self
        })
    }

    /// What the installation says of zones, in the indices of these settings. The installation was
    /// checked for faults when it was read.
    pub fn zone_config(&self) -> Option<ZoneConfig> {
        self.installation
            .zone_config(&self.service)
            .unwrap_or_default()
    }

    /// Reads the platform's configuration, without an installation's file.
    pub fn parse(bytes: &[u8]) -> Result<StartupConfig, ConfigurationError> {
        let value: Value = serde_json::from_slice(bytes).map_err(ConfigurationError::NotJson)?;
        let instance = InstanceConfig::read(&value)
            .map_err(|error| ConfigurationError::Settings(error.to_string()))?;
        let known_list = match &instance.known_list {
            Some(fields) => {
                let list = ListResponse::read(fields);
                Some(list.map_err(|error| ConfigurationError::KnownList(error.to_string()))?)
            }
            None => None,
        };
        let rollout_status = match &instance.rollout_status {
            Some(fields) => Some(
                platform::parse_rollout_report(fields)
                    .map_err(ConfigurationError::RolloutStatus)?,
            ),
            None => None,
        };
        Ok(StartupConfig {
            name: instance.name,
            listen: instance.listen,
            discovery: instance.discovery,
            platform: instance.platform,
            max_sockets: instance.max_sockets,
            memory_limit: instance.memory_limit,
            known_list,
            rollout_status,
            service: instance.service,
            log_format: None,
            admin_address: None,
            installation: Installation::default(),
            alternative_settings: None,
        })
    }
}

/// Reads an installation's file, or names every fault in it with file, line and column.
pub fn read_installation(path: &Path) -> Result<Installation, Vec<StartupError>> {
    let text = std::fs::read_to_string(path).map_err(|source| {
        vec![StartupError::Unreadable {
            path: path.to_owned(),
            source,
        }]
    })?;
    Installation::read(&text).map_err(|diagnostics| in_installation_file(path, diagnostics))
}

fn in_installation_file(path: &Path, diagnostics: Vec<ConfigDiagnostic>) -> Vec<StartupError> {
    let in_file = |diagnostic| StartupError::Installation {
        path: path.to_owned(),
        diagnostic,
    };
    diagnostics.into_iter().map(in_file).collect()
}
