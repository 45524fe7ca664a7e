//! The decision logic of an agent that load-balances requests over the endpoints of a service while
//! an earlier and a newer build of the service run side by side.
//!
//! A [`Balancer`] decides where to forward a request, what to do after an attempt, and when to be
//! asked again, from the events that the caller passes to it. Nothing in this crate opens sockets,
//! reads files, starts threads or reads a clock: times are durations since the start of the
//! process, and the same sequence of calls gives the same decisions.
//!
//! - `interface`: the input and output types, plain data
//! - `balancer`: all decisions, one file per concern
//! - `model`: the state that a balancer keeps
//! - `stats`: averages, histograms, significance tests and hashing
//! - `shadow`: counts of the attempts that alternative settings would have routed differently
//!
//! ```
//! use std::time::Duration;
//! use tulipwall::{
//!     AttemptEnd, Balancer, Decision, EndpointEntry, EndpointState, Idempotency, Outcome, Request,
//!     RequestClass, RolloutPolicy, Settings,
//! };
//!
//! # fn settings() -> Settings {
//! #     Settings {
//! #         seed: 1,
//! #         agents: 1,
//! #         zone: 0,
//! #         classes: vec![RequestClass {
//! #             latency_objective: Duration::from_millis(400),
//! #             priority_weight: 1.0,
//! #             idempotency: Idempotency::Idempotent,
//! #         }],
//! #         tenants: Vec::new(),
//! #         weight_by_work: false,
//! #         list_polled: false,
//! #         shared_discovery: false,
//! #         max_poll_interval: Duration::from_secs(10),
//! #         hedging: false,
//! #         cancellation: true,
//! #         retry_after: None,
//! #         max_attempts: 3,
//! #         cross_zone_price: 0.0,
//! #         slow_start_share: 0.3,
//! #         slow_start_duration: Duration::from_secs(4),
//! #         overload_window: Duration::from_secs(2),
//! #         overload_factor: 3.0,
//! #         load_probes: false,
//! #         key_affinity: false,
//! #         timer_granularity: Duration::from_millis(1),
//! #         rollout: RolloutPolicy {
//! #             caps: vec![0.1, 1.0],
//! #             exposure_burst: 2.0,
//! #             cap_per_class: false,
//! #             guarded_stages: 0,
//! #             sticky_builds: false,
//! #             timed_stages: true,
//! #             in_place: false,
//! #             votes_to_roll_back: 1,
//! #             votes_to_hold: 1,
//! #             platform_counts: false,
//! #             vote_ttl: Duration::from_secs(30),
//! #             vote_timeout: Duration::from_secs(1),
//! #             votes_per_second: 10.0,
//! #             reported_error_share: 1.0,
//! #         },
//! #     }
//! # }
//! let mut now = Duration::from_secs(1);
//! let mut balancer = Balancer::new(now, settings());
//!
//! let entry = EndpointEntry {
//!     endpoint: 0,
//!     zone: 0,
//!     cell: 0,
//!     identity: 17,
//!     endpoint_type: 0,
//!     build: 7,
//!     state: EndpointState::Running,
//!     started: None,
//! };
//! balancer.update_endpoints(now, &[entry], true);
//! balancer.poll(now);
//!
//! let request = Request {
//!     class: 0,
//!     tenant: None,
//!     key: None,
//!     time_left: Duration::from_secs(1),
//!     estimated_work: None,
//!     is_retry: false,
//! };
//! balancer.on_request(now, 1, request);
//! let decision = balancer.route(now, 1);
//! assert!(matches!(decision, Decision::Forward { endpoint: 0, .. }));
//!
//! now += Duration::from_millis(20);
//! let end = AttemptEnd {
//!     outcome: Outcome::Succeeded,
//!     latency: Duration::from_millis(20),
//!     request_closed: true,
//!     reported_load: None,
//! };
//! assert_eq!(balancer.on_attempt_end(now, 1, 0, end), Decision::Await);
//! ```

#![warn(missing_docs)]
#![warn(clippy::too_many_lines)]

mod balancer;
mod interface;
mod model;
mod shadow;
mod stats;

pub use balancer::{list_call_interval, Balancer};
pub use interface::*;
pub use shadow::{AlternativeSettings, Divergences, ShadowEvaluator};
