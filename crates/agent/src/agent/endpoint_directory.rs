//! The endpoints that are known, and when requests may go by them.

use event_listener::Event;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use tulipwall::EndpointEntry;
use tulipwall_config::ServiceConfig;
use tulipwall_discovery::clock::Clock;
use tulipwall_discovery::endpoint_table::{AttemptTarget, EndpointTable, IndexGuard};
use tulipwall_discovery::list_response::ListResponse;

/// The endpoint list as discovery last reported it.
///
/// Written by the discovery watch, and by a configuration reload where zones have other indices;
/// read by every attempt.
#[derive(Default)]
pub struct EndpointDirectory {
    list: RefCell<EndpointTable>,
    first_usable: Event,
    serving_allowed: Cell<bool>, // discovery has responded, or has not in time
    serving_changed: Event,
}

/// What a response of discovery changed.
pub struct ListUpdate {
    /// What differs from the list before, for the balancer; endpoints that a complete list lacks
    /// are among it as gone.
    pub changes: Vec<EndpointEntry>,
    /// Endpoints whose pooled connections are of no more use.
    pub stale_endpoints: Vec<usize>,
    /// The last usable endpoint has gone with it.
    pub became_unusable: bool,
}

impl EndpointDirectory {
    /// Takes a response of discovery in.
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

    /// Wakes whoever waits for endpoints, if any can be used.
    pub fn announce_usable(&self) {
        if self.list.borrow().has_running() {
            self.first_usable.notify(usize::MAX);
        }
    }

    /// Gives zones their indices under another configuration: the endpoints with another zone index
    /// than before, with it.
    pub fn reassign_zones(&self, config: &ServiceConfig) -> Vec<(usize, usize)> {
        self.list.borrow_mut().update_zones(config)
    }

    /// Discovery has responded, or the start need not wait for it any longer.
    pub fn allow_serving(&self) {
        if !self.serving_allowed.replace(true) {
            self.serving_changed.notify(usize::MAX);
        }
    }

    /// Ready once requests may go by the list that is known, as far as the balancer holds it for valid.
    /// Guards a new process that was given an old list.
    pub async fn serving_allowed(&self) {
        while !self.serving_allowed.get() {
            self.serving_changed.listen().await;
        }
    }

    /// The endpoints to serve from, once some are known.
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

    /// How many endpoints are known.
    pub fn len(&self) -> usize {
        self.list.borrow().len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The version of the list that is known.
    pub fn version(&self) -> u64 {
        self.list.borrow().version
    }

    /// The version of the list that is known, where one is to serve from: who has nothing to lose
    /// asks for all of it.
    pub fn usable_version(&self) -> Option<u64> {
        let list = self.list.borrow();
        list.has_running().then_some(list.version)
    }

    /// The builds of all endpoints that are known.
    pub fn builds(&self) -> BTreeSet<u32> {
        self.list.borrow().builds()
    }

    /// The index of the endpoint with this id.
    pub fn index_of(&self, id: &str) -> Option<usize> {
        self.list.borrow().index(id)
    }

    /// The id of an endpoint.
    pub fn name(&self, endpoint: usize) -> String {
        self.list.borrow().id(endpoint).to_owned()
    }

    /// Keeps an endpoint's index from being given to another for as long as the result lives.
    pub fn retain_index(&self, endpoint: usize) -> Option<IndexGuard> {
        self.list.borrow().hold_index(endpoint)
    }

    /// Where an attempt to this endpoint goes, while it is usable.
    pub fn target(&self, endpoint: usize) -> Option<AttemptTarget> {
        self.list.borrow().target(endpoint)
    }

    /// Whether the endpoint still runs the same build at the same address.
    pub fn is_current(&self, target: AttemptTarget) -> bool {
        self.target(target.endpoint) == Some(target)
    }
}
