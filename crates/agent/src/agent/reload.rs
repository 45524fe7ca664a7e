//! Configuration reload, which applies either all of a new configuration or nothing of it.

use super::{has_room_for_huge_pages, report_names, Agent};
use crate::lifecycle::phase::ControlService;
use crate::lifecycle::start::StartupConfig;
use crate::runtime::process_memory;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tulipwall::{AlternativeSettings, CrossZonePolicy, IndexMapping};
use tulipwall_config::{ConfigDiagnostic, Installation, NameCounts, ServiceConfig};
use tulipwall_zones::ZoneConfig;

/// The parts of a configuration on which decisions about requests depend. All of them are checked
/// before any is applied.
struct DecisionConfig<'a> {
    agent_name: &'a str,
    service: ServiceConfig,
    installation: &'a Installation,
    alternative: Option<&'a AlternativeSettings>,
}

/// The effect of a reload on the settings.
enum SettingsChange {
    Unchanged,
    Replaced {
        classes: usize,
        tenants: usize,
        zones: usize,
    },
}

impl fmt::Display for SettingsChange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SettingsChange::Unchanged => f.write_str("settings as before"),
            SettingsChange::Replaced {
                classes,
                tenants,
                zones,
            } => write!(
                f,
                "new settings: {classes} classes, {tenants} tenants, {zones} zones"
            ),
        }
    }
}

impl Agent {
    /// Applies a new configuration, all of it or nothing. Changes that need a restart are logged
    /// and not applied. If the address of discovery or of the platform changed, its task
    /// reconnects. The endpoint list and the rollout status in the file are ignored, as they are no
    /// newer than what these services report. The times within which the agent must comply with
    /// what the services hold at new addresses run from `requested_at`.
    pub fn reload(&self, start: StartupConfig, requested_at: Duration) {
        let before = self.service_config();
        let applied = self.apply_decision_config(DecisionConfig {
            agent_name: &start.name,
            service: start.service,
            installation: &start.installation,
            alternative: start.alternative_settings.as_ref(),
        });
        let change = match applied {
            Ok(change) => change,
            Err(diagnostics) => {
                for diagnostic in &diagnostics {
                    log::error!("installation: {diagnostic}; the configuration read before stays");
                }
                return;
            }
        };
        let name = start.name.as_str();
        let discovery = start.discovery;
        log::info!(agent = name, discovery:% = discovery;
            "{name}: a new configuration; discovery at {discovery}; {change}");
        if start.listen != self.start_addresses.listen {
            let listen = self.start_addresses.listen;
            log::warn!("field listen: {listen} stays until a restart");
        }
        if start.admin_address != self.start_addresses.admin {
            log::warn!("installation: door stays as it was until a restart");
        }
        self.config.replace_installation(start.installation);
        self.limits.resize(start.max_sockets, start.memory_limit);
        process_memory::allow_huge_pages(has_room_for_huge_pages(start.memory_limit));
        self.report_memory_limit();
        self.update_discovery_address(discovery, &before, requested_at);
        self.update_platform_address(start.platform, requested_at);
    }

    /// Restarts the discovery watch if the address or the polling settings changed.
    fn update_discovery_address(
        &self,
        address: SocketAddr,
        before: &ServiceConfig,
        requested_at: Duration,
    ) {
        let poll_settings =
            |c: &ServiceConfig| (c.settings.shared_discovery, c.settings.max_poll_interval);
        let address_changed = self.control.discovery.replace(address);
        if address_changed || poll_settings(before) != poll_settings(&self.service_config()) {
            self.lifecycle
                .on_address_change(ControlService::Discovery, false);
            self.control.discovery.announce_change(requested_at);
        }
    }

    /// Restarts the platform session if the address changed, and ends it if there is none.
    fn update_platform_address(&self, address: Option<SocketAddr>, requested_at: Duration) {
        if self.control.platform.replace(address) {
            self.lifecycle
                .on_address_change(ControlService::Platform, address.is_none());
            self.control.platform.announce_change(requested_at);
        }
    }

    /// Applies settings, installation and alternative settings, and returns what changed. Active
    /// requests and everything learned so far are kept. Nothing is changed if the installation
    /// refers to a name that the settings do not define.
    fn apply_decision_config(
        &self,
        new: DecisionConfig,
    ) -> Result<SettingsChange, Vec<ConfigDiagnostic>> {
        let before = self.service_config();
        let (service, mapping) = new
            .service
            .renumbered_after(&before, &self.balancer.indices_in_use());
        let zoning = new.installation.zone_config(&service)?;
        let unchanged = service.is_unchanged_from(&before, &mapping);
        if !unchanged {
            self.replace_service_config(service, &mapping);
        }
        self.replace_alternative(new.alternative);
        self.reload_zone_traffic(new.agent_name, zoning, &mapping);
        if unchanged {
            return Ok(SettingsChange::Unchanged);
        }
        let NameCounts {
            classes,
            tenants,
            zones,
        } = self.service_config().named_counts();
        Ok(SettingsChange::Replaced {
            classes,
            tenants,
            zones,
        })
    }

    fn replace_service_config(&self, service: ServiceConfig, mapping: &IndexMapping) {
        let moved_zones = self.endpoints.reassign_zones(&service);
        self.pool
            .set_endpoint_idle_timeout(service.endpoint_idle_timeout);
        self.config.replace_service(self.clock.now(), service);
        self.balancer.reload(
            &self.service_config().settings,
            mapping,
            &moved_zones,
            self.config.alternative().as_ref(),
        );
    }

    fn replace_alternative(&self, alternative: Option<&AlternativeSettings>) {
        if alternative != self.config.alternative().as_ref() {
            self.balancer
                .evaluate_alternative(&self.service_config().settings, alternative);
            self.config.replace_alternative(alternative.cloned());
        }
    }

    fn reload_zone_traffic(
        &self,
        agent_name: &str,
        zoning: Option<ZoneConfig>,
        mapping: &IndexMapping,
    ) {
        let names = report_names(agent_name, &self.service_config());
        let continued = self
            .zone_traffic
            .reload(self.clock.now(), zoning, names, &mapping.classes);
        if !continued {
            log::warn!("zones: changed; the cross-zone account begins anew");
        }
        if !self.zone_traffic.is_enabled() {
            self.balancer
                .set_cross_zone_policy(CrossZonePolicy::default());
        }
        self.apply_cross_zone_policy();
    }

    /// Drops the classes that were kept only for active requests, once these have ended.
    pub fn drop_retired_classes(&self) {
        let service = self.service_config();
        if !service.has_retired_indices()
            || !service.can_free_indices(&self.balancer.indices_in_use())
        {
            return;
        }
        // The names are those already in force, so the checks can't fail.
        let _ = self.apply_decision_config(DecisionConfig {
            agent_name: &self.zone_traffic.agent_name(),
            service: Rc::unwrap_or_clone(service),
            installation: &self.config.installation(),
            alternative: self.config.alternative().as_ref(),
        });
    }
}
