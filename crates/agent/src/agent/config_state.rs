//! The settings in force, and what a reload compares a new configuration with.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tulipwall::AlternativeSettings;
use tulipwall_config::{Installation, ServiceConfig};

/// The configuration that decides at present.
///
/// Written by `Agent::start` and by a configuration reload alone; read by every task.
pub struct ConfigState {
    service: RefCell<Rc<ServiceConfig>>,
    installation: RefCell<Installation>,
    alternative: RefCell<Option<AlternativeSettings>>,
    earlier_requests_end: Cell<Duration>,
}

impl ConfigState {
    /// The configuration that was read at the start.
    pub fn new(
        service: ServiceConfig,
        installation: Installation,
        alternative: Option<AlternativeSettings>,
    ) -> ConfigState {
        ConfigState {
            service: RefCell::new(Rc::new(service)),
            installation: RefCell::new(installation),
            alternative: RefCell::new(alternative),
            earlier_requests_end: Cell::default(),
        }
    }

    /// The platform's settings in force. The indices of active requests stay valid in each later
    /// one.
    pub fn service(&self) -> Rc<ServiceConfig> {
        self.service.borrow().clone()
    }

    /// The installation's own settings in force.
    pub fn installation(&self) -> Installation {
        self.installation.borrow().clone()
    }

    /// The alternative settings that are evaluated beside those in force.
    pub fn alternative(&self) -> Option<AlternativeSettings> {
        self.alternative.borrow().clone()
    }

    /// When the last request ends that was taken under a longer timeout than today's.
    pub fn earlier_requests_end(&self) -> Duration {
        self.earlier_requests_end.get()
    }

    /// Puts new settings in force; requests that were taken before end at `earlier_requests_end`
    /// at the latest, where their timeouts were longer.
    pub fn replace_service(&self, now: Duration, service: ServiceConfig) {
        let longest_before = self.service.borrow().longest_timeout;
        if service.longest_timeout < longest_before {
            let end = self.earlier_requests_end.get().max(now + longest_before);
            self.earlier_requests_end.set(end);
        }
        *self.service.borrow_mut() = Rc::new(service);
    }

    /// Puts another installation in force.
    pub fn replace_installation(&self, installation: Installation) {
        *self.installation.borrow_mut() = installation;
    }

    /// From now on these alternative settings are evaluated, or none.
    pub fn replace_alternative(&self, alternative: Option<AlternativeSettings>) {
        *self.alternative.borrow_mut() = alternative;
    }
}
