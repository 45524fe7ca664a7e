//! Configuration reload: a new configuration is put in force, all of it or none.

use super::{has_room_for_huge_pages, report_names, Agent};
use crate::lifecycle::phase::ControlService;
use crate::lifecycle::start::StartupConfig;
use crate::runtime::process_memory;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use tulipwall::{AlternativeSettings, CrossZonePolicy, IndexMapping};
use tulipwall_config::{ConfigDiagnostic, Installation, NameCounts, ServiceConfig};
use tulipwall_zones::ZoneConfig;

/// What of a configuration decides requests: all that is checked before any of it is in force.
struct DecisionConfig<'a> {
    agent_name: &'a str,
    service: ServiceConfig,
    installation: &'a Installation,
    alternative: Option<&'a AlternativeSettings>,
}

/// What a reload changed in the settings.
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
    /// Puts a new configuration in force, all of it or none, but for what only a restart can change,
    /// which is logged. A peer whose address changed is contacted there; the list and the rollout
    /// status in the file are no newer than what the peers report, and are ignored.
    pub fn reload(&self, start: StartupConfig) {
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
        self.move_discovery(discovery, &before);
        self.move_platform(start.platform);
    }

    /// Restarts the watch if discovery has another address, or is to be asked at other times.
    fn move_discovery(&self, address: SocketAddr, before: &ServiceConfig) {
        let poll_settings =
            |c: &ServiceConfig| (c.settings.shared_discovery, c.settings.max_poll_interval);
        let moved = self.control.discovery.replace(address);
        if moved || poll_settings(before) != poll_settings(&self.service_config()) {
            self.lifecycle
                .on_address_change(ControlService::Discovery, false);
            self.control.discovery.announce_change();
        }
    }

    /// Restarts the session if the platform has another address; ends it if there is none.
    fn move_platform(&self, address: Option<SocketAddr>) {
        if self.control.platform.replace(address) {
            self.lifecycle
                .on_address_change(ControlService::Platform, address.is_none());
            self.control.platform.announce_change();
        }
    }

    /// Puts settings, installation and alternative settings in force; active requests and all that
    /// was learned are kept. Returns what changed. Nothing changes if the installation names what
    /// the settings do not.
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

    /// Drops classes that were kept for active requests alone, once these are over.
    pub fn drop_retired_classes(&self) {
        let service = self.service_config();
        if !service.has_retired_indices()
            || !service.can_free_indices(&self.balancer.indices_in_use())
        {
            return;
        }
        // The same names, so that nothing can be wrong with them.
        let _ = self.apply_decision_config(DecisionConfig {
            agent_name: &self.zone_traffic.agent_name(),
            service: Rc::unwrap_or_clone(service),
            installation: &self.config.installation(),
            alternative: self.config.alternative().as_ref(),
        });
    }
}
