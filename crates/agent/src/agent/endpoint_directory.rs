//! The known endpoints.

use event_listener::Event;
use std::cell::RefCell;
use std::collections::BTreeSet;
use tulipwall::EndpointEntry;
use tulipwall_config::ServiceConfig;
use tulipwall_discovery::clock::Clock;
use tulipwall_discovery::endpoint_table::{AttemptTarget, EndpointTable, IndexGuard};
use tulipwall_discovery::list_response::ListResponse;

/// The endpoint list as discovery last reported it.
///
/// The discovery watch writes it, and so does a configuration reload that changes zone indices;
/// every attempt reads it.
#[derive(Default)]
pub struct EndpointDirectory {
    list: RefCell<EndpointTable>,
    first_usable: Event,
}

/// The changes that a response of discovery made to the endpoint list.
pub struct ListUpdate {
    /// The entries that differ from the previous list, for the balancer. Endpoints that are missing
    /// from a complete list are included as gone.
    pub changes: Vec<EndpointEntry>,
    /// The indices of the endpoints whose pooled connections can no longer be used.
    pub stale_endpoints: Vec<usize>,
    /// Whether the update removed the last usable endpoint.
    pub became_unusable: bool,
}

impl EndpointDirectory {
    /// Applies a response of discovery to the list and returns the changes.
    pub fn update(
        &self,
        response: ListResponse,
        config: &ServiceConfig,
        clock: &Clock,
    ) -> ListUpdate {
        let mut list = self.list.borrow_mut();
        let was_usable = list.has_running();
        let mut applied = list.apply(response, config, clock);
        ListUpdate {
            stale_endpoints: std::mem::take(&mut applied.stale_endpoints),
            changes: applied.into_changes(),
            became_unusable: was_usable && !list.has_running(),
        }
    }

    /// Wakes all tasks that wait for endpoints, if at least one endpoint is usable.
    pub fn announce_usable(&self) {
        if self.list.borrow().has_running() {
            self.first_usable.notify(usize::MAX);
        }
    }

    /// Assigns zone indices according to `config`. Returns each endpoint whose zone index changed,
    /// with the new index.
    pub fn reassign_zones(&self, config: &ServiceConfig) -> Vec<(usize, usize)> {
        self.list.borrow_mut().update_zones(config)
    }

    /// Waits until at least one endpoint is usable, and returns all usable ones.
    pub async fn usable_targets(&self) -> Vec<AttemptTarget> {
        loop {
            let usable = self.first_usable.listen();
            let targets = self.list.borrow().targets();
            if !targets.is_empty() {
                return targets;
            }
            usable.await;
        }
    }

    /// Returns the number of known endpoints, usable or not.
    pub fn len(&self) -> usize {
        self.list.borrow().len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the version of the known list.
    pub fn version(&self) -> u64 {
        self.list.borrow().version
    }

    /// Returns the version of the known list if it has a usable endpoint. On `None` the complete
    /// list is requested, as no usable endpoint can be lost by starting over.
    pub fn usable_version(&self) -> Option<u64> {
        let list = self.list.borrow();
        list.has_running().then_some(list.version)
    }

    /// Returns the builds of all known endpoints.
    pub fn builds(&self) -> BTreeSet<u32> {
        self.list.borrow().builds()
    }

    /// Returns the index of the endpoint with this id; `None` if it is unknown.
    pub fn index_of(&self, id: &str) -> Option<usize> {
        self.list.borrow().index(id)
    }

    /// Returns the id of an endpoint.
    pub fn name(&self, endpoint: usize) -> String {
        self.list.borrow().id(endpoint).to_owned()
    }

    /// Prevents an endpoint's index from being assigned to another endpoint until the returned
    /// guard is dropped.
    pub fn retain_index(&self, endpoint: usize) -> Option<IndexGuard> {
        self.list.borrow().hold_index(endpoint)
    }

    /// Returns where an attempt to this endpoint is sent; `None` if the endpoint is not usable.
    pub fn target(&self, endpoint: usize) -> Option<AttemptTarget> {
        self.list.borrow().target(endpoint)
    }

    /// Returns whether the endpoint still runs the same build at the same address.
    pub fn is_current(&self, target: AttemptTarget) -> bool {
        self.target(target.endpoint) == Some(target)
    }
}
