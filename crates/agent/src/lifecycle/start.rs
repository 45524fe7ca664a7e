//! Reads the configuration at the start and at each reload. Errors name the faulty key.

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

/// The environment variable that names the configuration file if the command line does not.
const CONFIGURATION_VARIABLE: &str = "PROXY_CONFIG";

/// The files from which the configuration is read.
#[derive(Clone, Debug, Default)]
pub struct ConfigPaths {
    /// The platform's configuration; `None` to use the file that PROXY_CONFIG names.
    pub configuration: Option<PathBuf>,
    /// The installation's own file; `None` if it has none.
    pub installation: Option<PathBuf>,
}

/// Why the agent could not start or reload; each value describes one error.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The signal handlers could not be registered.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// Neither the command line nor the environment names a configuration file.
    #[error("variable {CONFIGURATION_VARIABLE}: missing")]
    MissingVariable,
    /// A file could not be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The platform's configuration is invalid.
    #[error("{}: {source}", path.display())]
    Configuration {
        /// The file.
        path: PathBuf,
        /// The error in the file.
        source: ConfigurationError,
    },
    /// The installation's file is invalid.
    #[error("{}:{diagnostic}", path.display())]
    Installation {
        /// The file.
        path: PathBuf,
        /// The error, with its line and column.
        diagnostic: ConfigDiagnostic,
    },
    /// The thread that read the files for a reload panicked.
    #[error("configuration: the reader thread panicked")]
    ReaderPanicked,
}

/// An error in the platform's configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// The file is not valid JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A setting is missing or invalid; the message names its key.
    #[error("{0}")]
    Settings(String),
    /// The last known endpoint list (setting `known`) is invalid.
    #[error("known: {0}")]
    KnownList(String),
    /// The last known rollout status (setting `deployer.news`) is invalid.
    #[error("deployer.news: {0}")]
    RolloutStatus(#[source] PlatformError),
}

/// The configuration of one agent, read at its start or at a reload.
pub struct StartupConfig {
    /// The agent's name, as it appears in logs and reports.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address of the rollout platform; `None` if there is none.
    pub platform: Option<SocketAddr>,
    /// The maximum number of open sockets.
    pub max_sockets: usize,
    /// The memory limit of the process, in bytes.
    pub memory_limit: usize,
    /// The endpoint list known from before the start; `None` if the configuration contains none.
    pub known_list: Option<ListResponse>,
    /// The rollout status known from before the start; `None` if the configuration contains none.
    pub rollout_status: Option<RolloutReport>,
    /// The settings of the service: its classes, tenants, zones and parameters.
    pub service: ServiceConfig,
    /// The format of log lines that the installation sets; `None` if it sets none.
    pub log_format: Option<LogFormat>,
    /// The address of the admin endpoint; `None` if the installation sets none.
    pub admin_address: Option<AdminAddress>,
    /// The installation's own settings; the defaults if it has no file.
    pub installation: Installation,
    /// Settings that are only evaluated in shadow, beside those in force; `None` if the installation
    /// names none.
    pub alternative_settings: Option<AlternativeSettings>,
}

impl StartupConfig {
    /// Reads the files. If the installation's file has errors, returns all of them.
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

    /// The installation's zone settings, with zones and classes as indices into the service
    /// settings; `None` if it has none. The installation was validated when it was read.
    pub fn zone_config(&self) -> Option<ZoneConfig> {
        self.installation
            .zone_config(&self.service)
            .unwrap_or_default()
    }

    /// Parses the platform's configuration, without an installation's file.
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

/// Reads an installation's file, or returns every error in it with file, line and column.
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
