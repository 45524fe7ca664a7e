//! The address of the admin endpoint.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use thiserror::Error;

/// Prefix of an address that is the path of a Unix socket.
const UNIX_PREFIX: &str = "unix:";

/// The address of the admin endpoint. Either kind can be reached from the agent's own machine only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminAddress {
    /// A loopback address with a port.
    Tcp(SocketAddr),
    /// The path of a Unix socket.
    Unix(PathBuf),
}

/// Why a string is not a valid address of the admin endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AdminAddressError {
    /// The address is not a loopback address, so other machines could reach it.
    #[error("expected a loopback address, found {address}")]
    NotLoopback {
        /// The IP address that was given.
        address: IpAddr,
    },
    /// The string is neither an IP address with a port nor `unix:` with a path.
    #[error("expected \"127.0.0.1:PORT\" or \"unix:PATH\"")]
    Malformed,
}

impl AdminAddress {
    /// Parses `127.0.0.1:9190`, `[::1]:9190` or `unix:/run/tulipwall/admin`.
    pub fn parse(text: &str) -> Result<AdminAddress, AdminAddressError> {
        let path = text.strip_prefix(UNIX_PREFIX);
        if let Some(path) = path.filter(|path| !path.is_empty()) {
            return Ok(AdminAddress::Unix(path.into()));
        }
        let Ok(address) = text.parse::<SocketAddr>() else {
            return Err(AdminAddressError::Malformed);
        };
        if !address.ip().is_loopback() {
            let address = address.ip();
            return Err(AdminAddressError::NotLoopback { address });
        }
        Ok(AdminAddress::Tcp(address))
    }
}
