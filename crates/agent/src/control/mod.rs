//! What changes the agent's course: the balancer's poll, the discovery service, the rollout
//! platform, and configuration reloads.

pub mod balancer_poll;
pub mod discovery;
pub mod platform;
pub mod reload;
