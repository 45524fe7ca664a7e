//! What tells the agent about the installation: the discovery service and the rollout platform.

pub mod discovery;
pub mod platform;
