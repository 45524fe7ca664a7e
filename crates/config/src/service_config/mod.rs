//! The settings that the platform provides for a service, with the names behind the indices that
//! the balancer uses.

mod sections;
mod validation;

use crate::error::ConfigError;
use crate::fields::Fields;
use sections::{Classes, Sections, Tenants, Zones};
use std::collections::HashMap;
use std::time::Duration;
use tulipwall::{Idempotency, Settings};

/// The settings of a service: the balancer's settings, the names of request classes, tenants and
/// zones, and the timeouts and price of connections.
///
/// Classes, tenants and zones are numbered. A configuration reload keeps these indices (see
/// [`ServiceConfig::renumbered_after`]), so some may belong to names that have been removed.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// The balancer's settings, in which names are replaced by indices.
    pub settings: Settings,
    /// The names of the request classes by index, including removed ones.
    pub classes: Vec<String>,
    /// The names of the zones by index, including removed ones.
    pub zones: Vec<String>,
    /// The timeout for opening a connection to an endpoint.
    pub connect_timeout: Duration,
    /// The time after which an endpoint closes an idle connection.
    pub endpoint_idle_timeout: Duration,
    /// What it would cost to open a connection for each request, in points of the service's score;
    /// 0 if opening connections is free.
    pub handshake_price: f64,
    /// The longest request timeout of any class.
    pub longest_timeout: Duration,
    pub(crate) class_indices: HashMap<String, usize>,
    pub(crate) tenant_indices: HashMap<String, usize>,
    pub(crate) zone_indices: HashMap<String, usize>,
    /// The indices of classes that the settings no longer have, but to which requests in flight
    /// still belong.
    pub(crate) retired_classes: Vec<usize>,
}

/// The numbers of classes, tenants and zones that the settings name, without removed ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameCounts {
    /// The number of request classes.
    pub classes: usize,
    /// The number of tenants.
    pub tenants: usize,
    /// The number of zones.
    pub zones: usize,
}

impl ServiceConfig {
    /// Reads and validates the settings from their JSON object. `seed` is the seed of the
    /// balancer's random number generator.
    pub fn read(service: &Fields, seed: u64) -> Result<ServiceConfig, ConfigError> {
        let zones = Zones::read(service)?;
        let classes = Classes::read(service)?;
        let tenants = Tenants::read(service)?;
        let sections = Sections::read(service)?;
        let caps = sections.exposure_caps()?;
        validation::check_ranges(&sections, caps.len())?;
        Ok(ServiceConfig {
            settings: sections.settings(
                seed,
                zones.local_zone,
                classes.classes,
                tenants.tenants,
                caps,
            )?,
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

    /// The index of the request class with this name; `None` if the settings do not have it.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.class_indices.get(name).copied()
    }

    /// The index of the tenant with this name; `None` if the settings do not have it.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.tenant_indices.get(name).copied()
    }

    /// The index of the zone with this name; `None` if the settings do not have it.
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

    /// Counts the classes, tenants and zones that the settings name.
    pub fn named_counts(&self) -> NameCounts {
        NameCounts {
            classes: self.class_indices.len(),
            tenants: self.tenant_indices.len(),
            zones: self.zone_indices.len(),
        }
    }
}
