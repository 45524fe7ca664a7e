//! The platform's settings of a service, with the names behind the indices that the balancer uses.

mod sections;
mod validation;

use crate::error::ConfigError;
use crate::fields::Fields;
use sections::{Classes, Sections, Tenants, Zones};
use std::collections::HashMap;
use std::time::Duration;
use tulipwall::{Idempotency, Settings};

/// The settings of a service: what the balancer decides by, the names of its classes, tenants and
/// zones, and the limits on connections.
///
/// Classes, tenants and zones are numbered. A configuration reload keeps these indices (see
/// [`ServiceConfig::renumbered_after`]), so some may belong to names that are gone.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// What the balancer decides by; names are replaced by indices.
    pub settings: Settings,
    /// Names of the request classes by index, with those whose names have gone.
    pub classes: Vec<String>,
    /// Names of the zones by index, with those whose names have gone.
    pub zones: Vec<String>,
    /// How long opening a connection to an endpoint may take.
    pub connect_timeout: Duration,
    /// How long an idle connection to an endpoint is kept.
    pub endpoint_idle_timeout: Duration,
    /// What opening a connection for each request would cost, in points of the service's score; 0
    /// where connections cost nothing.
    pub handshake_price: f64,
    /// The longest timeout of any class.
    pub longest_timeout: Duration,
    pub(crate) class_indices: HashMap<String, usize>,
    pub(crate) tenant_indices: HashMap<String, usize>,
    pub(crate) zone_indices: HashMap<String, usize>,
    /// Classes that the settings no longer have, and that requests in flight still count in.
    pub(crate) retired_classes: Vec<usize>,
}

/// How many classes, tenants and zones have names in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameCounts {
    /// Request classes.
    pub classes: usize,
    /// Tenants.
    pub tenants: usize,
    /// Zones.
    pub zones: usize,
}

impl ServiceConfig {
    /// Reads the settings from their JSON object. `seed` is that of the balancer's random draws.
    pub fn read(service: &Fields, seed: u64) -> Result<ServiceConfig, ConfigError> {
        let zones = Zones::read(service)?;
        let classes = Classes::read(service)?;
        let tenants = Tenants::read(service)?;
        let sections = Sections::read(service)?;
        let caps = sections.exposure_caps()?;
        validation::check_ranges(&sections, caps.len())?;
        Ok(ServiceConfig {
            settings: sections.settings(seed, zones.own, classes.classes, tenants.tenants, caps)?,
            classes: classes.names,
            zones: zones.names,
            connect_timeout: sections.connect_timeout()?,
            endpoint_idle_timeout: sections.endpoint_idle_timeout()?,
            handshake_price: sections.handshake_price()?,
            longest_timeout: classes.longest_timeout,
            class_indices: classes.indices,
            tenant_indices: tenants.indices,
            zone_indices: zones.indices,
            retired_classes: Vec::new(),
        })
    }

    /// The index of the request class with this name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.class_indices.get(name).copied()
    }

    /// The index of the tenant with this name.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.tenant_indices.get(name).copied()
    }

    /// The index of the zone with this name.
    pub fn zone_index(&self, name: &str) -> Option<usize> {
        self.zone_indices.get(name).copied()
    }

    /// Whether requests of this class carry a key by which endpoints recognize repeats.
    pub fn is_keyed(&self, class: usize) -> bool {
        matches!(
            self.settings.classes[class].idempotency,
            Idempotency::Keyed { .. }
        )
    }

    /// How many classes, tenants and zones have names.
    pub fn named_counts(&self) -> NameCounts {
        NameCounts {
            classes: self.class_indices.len(),
            tenants: self.tenant_indices.len(),
            zones: self.zone_indices.len(),
        }
    }
}
