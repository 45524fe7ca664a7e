//! Where the admin endpoint listens, and the sockets of its readers.

use crate::runtime::reactor::Source;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use tulipwall_config::AdminAddress;

/// Only the owner may connect to a Unix socket.
const SOCKET_FILE_MODE: u32 = 0o600;

/// A socket that listens, and its file where it has one.
pub enum AdminListener {
    /// On a loopback address.
    Tcp(Source<TcpListener>),
    /// On a Unix socket.
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
    /// Begins to listen. A Unix socket is its owner's alone; the file of one that a program left
    /// behind which no longer listens is replaced, any other file is not.
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

fn remove_stale_socket(path: &Path) -> io::Result<()> {
    match std::fs::symlink_metadata(path) {
        Ok(meta) if meta.file_type().is_socket() && UnixStream::connect(path).is_err() => {
            std::fs::remove_file(path)
        }
        Ok(_) => Err(io::ErrorKind::AddrInUse.into()),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        Err(e) => Err(e),
    }
}

/// A reader's socket, which is read and written through a shared reference.
pub trait AdminStream: AsFd + 'static {
    /// Reads what is there into `space`.
    fn read_some(&self, space: &mut [u8]) -> io::Result<usize>;
    /// Writes as much of `bytes` as there is space for.
    fn write_some(&self, bytes: &[u8]) -> io::Result<usize>;
}

impl AdminStream for TcpStream {
    fn read_some(&self, space: &mut [u8]) -> io::Result<usize> {
        (&mut &*self).read(space)
    }

    fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        (&mut &*self).write(bytes)
    }
}

impl AdminStream for UnixStream {
    fn read_some(&self, space: &mut [u8]) -> io::Result<usize> {
        (&mut &*self).read(space)
    }

    fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        (&mut &*self).write(bytes)
    }
}
