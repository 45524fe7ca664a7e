//! Reads the installation file: one KDL file for all agents of an installation, which adds to the
//! platform's configuration.

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

/// The contents of the installation file. The zones and request classes are defined by the
/// platform's settings of a service, so [`Installation::zone_config`] resolves their names against
/// these.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Installation {
    /// The format of log lines; `None` if the file sets none.
    pub log: Option<LogFormat>,
    /// The address of the admin endpoint, where operators request reports; `None` if the agent is
    /// to have no such endpoint.
    pub admin: Option<AdminAddress>,
    zones: Option<ZonesSection>,
    alternative: Option<(SourceLocation, AlternativeSettings)>,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Each record is one line of text.
    Text,
    /// Each record is one JSON object.
    Json,
}

impl Installation {
    /// Reads the text of the file. If it is invalid, returns all problems, sorted by location.
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

    /// The alternative settings for the shadow evaluation; `None` if the file has none. Their
    /// number of guarded stages must not exceed the number of rollout stages of `service`, or of
    /// the alternative caps if the file sets these.
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

    /// Whether the file has a section `zones`.
    pub fn has_zones(&self) -> bool {
        self.zones.is_some()
    }

    /// The section `zones`, with names replaced by the indices of `service`; `None` if the file has
    /// no such section. Returns a problem for each name that the service does not define.
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
