//! The tasks that control the agent: polling the balancer, watching the discovery service, talking
//! to the rollout platform, and reloading the configuration.

pub mod balancer_poll;
pub mod discovery;
pub mod platform;
pub mod reload;
