//! Small stand-ins for the parties around an agent, on loopback and with blocking sockets: appliances,
//! discovery, the platform and clients. They share no code with the project.

pub mod agent;
pub mod appliance;
pub mod client;
pub mod discovery;
pub mod platform;
pub mod record;
pub mod settings;
pub mod wire;

/// Whether the disruption is played. `TROUBLE=0` runs the same scenario without it.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
