//! What an installation sets beside the platform's configuration: one KDL file for all its agents.

mod alternative_settings;
mod zone_config;
mod zones;

use crate::admin_address::AdminAddress;
use crate::diagnostic::{ConfigDiagnostic, ConfigProblem, SourceLocation};
use crate::kdl_reader::KdlReader;
use crate::service_config::ServiceConfig;
use kdl::KdlNode;
use tulipwall::AlternativeSettings;
use tulipwall_zones::ZoneConfig;
use zones::ZonesSection;

pub use zone_config::UNNAMED_ZONE;

/// The installation file. Names of zones and classes in it are resolved against the settings of a
/// service by [`Installation::zone_config`], since these come from the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Installation {
    /// The form of log lines, where the file sets one.
    pub log: Option<LogFormat>,
    /// Where operators may ask for reports; nowhere if not given.
    pub admin: Option<AdminAddress>,
    zones: Option<ZonesSection>,
    alternative: Option<(SourceLocation, AlternativeSettings)>,
}

/// The form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text a record.
    Text,
    /// One JSON object a record.
    Json,
}

impl Installation {
    /// Reads the file's text; all its problems otherwise, in the order of their locations.
    pub fn read(text: &str) -> Result<Installation, Vec<ConfigDiagnostic>> {
        let mut reader = KdlReader::new(text);
        let mut installation = Installation::default();
        let document = reader.document();
        let known = ["log", "door", "zones", "watch"];
        for node in reader.nodes(document.as_ref(), "the file", &known, &[]) {
            match node.name().value() {
                "log" => installation.log = read_log_format(&mut reader, node),
                "door" => installation.admin = read_admin_address(&mut reader, node),
                "watch" => {
                    let location = reader.location(node);
                    let settings = alternative_settings::read(&mut reader, node);
                    installation.alternative = Some((location, settings));
                }
                _ => installation.zones = Some(ZonesSection::read(&mut reader, node)),
            }
        }
        reader.finish(installation)
    }

    /// The settings whose decisions are compared with those in force; `None` unless the file has
    /// some. They must fit the rollout stages of `service`.
    pub fn alternative_settings(
        &self,
        service: &ServiceConfig,
    ) -> Result<Option<AlternativeSettings>, Vec<ConfigDiagnostic>> {
        let Some((location, alternative)) = &self.alternative else {
            return Ok(None);
        };
        let stages = match &alternative.caps {
            Some(caps) => caps.len(),
            None => service.settings.rollout.caps.len(),
        };
        if alternative.guarded_stages.is_some_and(|n| n > stages) {
            let problem = ConfigProblem::TooManyGuardedStages { stages };
            let diagnostic = ConfigDiagnostic::new(*location, "guarded-stages", problem);
            return Err(vec![diagnostic]);
        }
        Ok(Some(alternative.clone()))
    }

    /// Whether the file has a section on zones.
    pub fn has_zones(&self) -> bool {
        self.zones.is_some()
    }

    /// The section on zones with names replaced by the indices of `service`; `None` where the file
    /// has no such section. Names that the service does not have are problems.
    pub fn zone_config(
        &self,
        service: &ServiceConfig,
    ) -> Result<Option<ZoneConfig>, Vec<ConfigDiagnostic>> {
        self.zones
            .as_ref()
            .map(|section| zone_config::resolve(section, service))
            .transpose()
    }
}

fn read_log_format(reader: &mut KdlReader, node: &KdlNode) -> Option<LogFormat> {
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    reader.choice(node, &formats)
}

fn read_admin_address(reader: &mut KdlReader, node: &KdlNode) -> Option<AdminAddress> {
    let text = reader.text(node)?;
    match AdminAddress::parse(&text) {
        Ok(address) => Some(address),
        Err(error) => {
            reader.report(reader.location(node), "door", error.into());
            None
        }
    }
}
