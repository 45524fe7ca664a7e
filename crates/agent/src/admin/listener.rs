//! The admin endpoint's listener and the sockets of its readers.

use crate::runtime::reactor::Source;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use tulipwall_config::AdminAddress;

/// File mode of the Unix socket: only its owner may connect.
const SOCKET_FILE_MODE: u32 = 0o600;

/// The admin endpoint's listening socket.
pub enum AdminListener {
    /// Listens on a loopback TCP address.
    Tcp(Source<TcpListener>),
    /// Listens on a Unix socket, whose file the guard removes.
    Unix(Source<UnixListener>, SocketFileGuard),
}

/// Removes the file of a Unix socket when dropped.
pub struct SocketFileGuard(PathBuf);

impl Drop for SocketFileGuard {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

impl AdminListener {
    /// Binds the listener. Only the owner may connect to a Unix socket. A socket file that a
    /// stopped program left behind is replaced; any other existing file is an error.
    pub fn bind(address: &AdminAddress) -> io::Result<AdminListener> {
        match address {
            AdminAddress::Tcp(address) => {
                let listener = TcpListener::bind(address)?;
                listener.set_nonblocking(true)?;
                Ok(AdminListener::Tcp(Source::new(listener)?))
            }
            AdminAddress::Unix(path) => {
                remove_stale_socket(path)?;
                let listener = UnixListener::bind(path)?;
                let file_guard = SocketFileGuard(path.clone());
                let permissions = std::fs::Permissions::from_mode(SOCKET_FILE_MODE);
                std::fs::set_permissions(path, permissions)?;
                listener.set_nonblocking(true)?;
                Ok(AdminListener::Unix(Source::new(listener)?, file_guard))
            }
        }
    }
}

/// Removes a socket file on which no program listens; any other file is `AddrInUse`.
fn remove_stale_socket(path: &Path) -> io::Result<()> {
    match std::fs::symlink_metadata(path) {
        Ok(metadata) if metadata.file_type().is_socket() && UnixStream::connect(path).is_err() => {
            std::fs::remove_file(path)
        }
        Ok(_) => Err(io::ErrorKind::AddrInUse.into()),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        Err(e) => Err(e),
    }
}

/// A reader's socket, readable and writable through a shared reference.
pub trait AdminStream: AsFd + 'static {
    /// Reads available bytes into `buffer` and returns their number, 0 at the end of the stream.
    fn read_some(&self, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes as many of `bytes` as the socket accepts and returns their number.
    fn write_some(&self, bytes: &[u8]) -> io::Result<usize>;
}

impl AdminStream for TcpStream {
    fn read_some(&self, buffer: &mut [u8]) -> io::Result<usize> {
        (&mut &*self).read(buffer)
    }

    fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        (&mut &*self).write(bytes)
    }
}

impl AdminStream for UnixStream {
    fn read_some(&self, buffer: &mut [u8]) -> io::Result<usize> {
        (&mut &*self).read(buffer)
    }

    fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        (&mut &*self).write(bytes)
    }
}
