//! A client that writes chosen bytes in pieces and never blocks, so that one thread can drive
//! hundreds of them.

use rustix::net::{ipproto, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// Size of the buffer for one read, in bytes.
const READ_SIZE: usize = 64 * 1024;

/// A non-blocking client that writes given bytes, whatever the agent answers.
pub struct RawClient {
    stream: TcpStream,
    bytes: Arc<[u8]>,
    written: usize,
    is_closed: bool,
}

impl RawClient {
    /// Begins to connect to an agent, without waiting for it to accept. `bytes` is what the client
    /// writes once it is connected, startup message included.
    pub fn connect(address: SocketAddr, bytes: Arc<[u8]>) -> io::Result<RawClient> {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let family = AddressFamily::INET;
        let socket =
            rustix::net::socket_with(family, SocketType::STREAM, flags, Some(ipproto::TCP))?;
        sockopt::set_tcp_nodelay(&socket, true)?;
        match rustix::net::connect(&socket, &address) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        Ok(RawClient {
            stream: TcpStream::from(socket),
            bytes,
            written: 0,
            is_closed: false,
        })
    }

    /// Writes up to `count` of the bytes that are left, as far as the socket accepts them.
    pub fn write(&mut self, count: usize) {
        let end = (self.written + count).min(self.bytes.len());
        match self.stream.write(&self.bytes[self.written..end]) {
            Ok(written) => self.written += written,
            Err(error) => self.on_error(&error),
        }
    }

    /// Reads and discards what has arrived. Returns the number of bytes.
    pub fn discard_received(&mut self) -> usize {
        let mut buffer = vec![0; READ_SIZE];
        let mut received = 0;
        while !self.is_closed {
            match self.stream.read(&mut buffer) {
                Ok(0) => self.is_closed = true,
                Ok(count) => received += count,
                Err(error) => {
                    self.on_error(&error);
                    break;
                }
            }
        }
        received
    }

    /// Whether all bytes are written.
    pub fn has_written_all(&self) -> bool {
        self.written == self.bytes.len()
    }

    /// Whether the agent was seen to have closed the connection.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    fn on_error(&mut self, error: &io::Error) {
        let temporary = matches!(
            error.kind(),
            ErrorKind::WouldBlock | ErrorKind::Interrupted | ErrorKind::NotConnected
        );
        self.is_closed |= !temporary;
    }
}
