//! The configuration in force, with which a reload compares a new one.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tulipwall::AlternativeSettings;
use tulipwall_config::{Installation, ServiceConfig};

/// The configuration in force.
///
/// Only `Agent::start` and a configuration reload write it; every task reads it.
pub struct ConfigState {
    service: RefCell<Rc<ServiceConfig>>,
    installation: RefCell<Installation>,
    alternative: RefCell<Option<AlternativeSettings>>,
    earlier_requests_end: Cell<Duration>,
}

impl ConfigState {
    /// Creates the state from the configuration that was read at startup.
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

    /// Returns the service configuration in force. The indices of active requests stay valid in
    /// every later configuration.
    pub fn service(&self) -> Rc<ServiceConfig> {
        self.service.borrow().clone()
    }

    /// Returns the installation's settings in force.
    pub fn installation(&self) -> Installation {
        self.installation.borrow().clone()
    }

    /// Returns the settings under shadow evaluation; `None` if there are none.
    pub fn alternative(&self) -> Option<AlternativeSettings> {
        self.alternative.borrow().clone()
    }

    /// Returns the time on the agent's clock by which all requests end that were accepted under a
    /// longer timeout than the current one; zero if there were none.
    pub fn earlier_requests_end(&self) -> Duration {
        self.earlier_requests_end.get()
    }

    /// Replaces the service configuration. If the longest timeout shrinks, `earlier_requests_end`
    /// is moved so that it covers the requests that were accepted before.
    pub fn replace_service(&self, now: Duration, service: ServiceConfig) {
        let longest_before = self.service.borrow().longest_timeout;
        if service.longest_timeout < longest_before {
            let end = self.earlier_requests_end.get().max(now + longest_before);
            self.earlier_requests_end.set(end);
        }
        *self.service.borrow_mut() = Rc::new(service);
    }

    /// Replaces the installation's settings.
    pub fn replace_installation(&self, installation: Installation) {
        *self.installation.borrow_mut() = installation;
    }

    /// Replaces the settings under shadow evaluation; `None` means that there are none.
    pub fn replace_alternative(&self, alternative: Option<AlternativeSettings>) {
        *self.alternative.borrow_mut() = alternative;
    }
}
