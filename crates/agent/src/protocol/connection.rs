//! A TCP connection with its receive buffer.

use super::arrivals::ArrivalTracker;
use super::buffer::Buffer;
use crate::runtime::reactor::Source;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

const SOCKET_FLAGS: SocketFlags = SocketFlags::NONBLOCK.union(SocketFlags::CLOEXEC);

/// Bytes that went over one connection, and those of them that were accounted for.
#[derive(Default)]
pub struct SocketTraffic {
    written: Cell<u64>,
    read: Cell<u64>,
    charged_written: Cell<u64>,
    charged_read: Cell<u64>,
}

impl SocketTraffic {
    /// All bytes written so far.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Bytes written and read since the last call of this.
    pub fn take_uncharged(&self) -> (u64, u64) {
        let written = self.written.get();
        let read = self.read.get();
        let new_written = written - self.charged_written.replace(written);
        let new_read = read - self.charged_read.replace(read);
        (new_written, new_read)
    }

    fn add_written(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
    }

    fn add_read(&self, bytes: usize) {
        self.read.set(self.read.get() + bytes as u64);
    }
}

/// A non-blocking TCP connection.
pub struct Connection {
    source: Source<TcpStream>,
    /// What was received and not consumed yet.
    pub receive_buffer: Buffer,
    /// The bytes that went over it.
    pub traffic: Rc<SocketTraffic>,
    /// When each unread message became whole, where that is tracked.
    pub arrivals: Option<ArrivalTracker>,
}

impl Connection {
    fn new(stream: TcpStream) -> io::Result<Connection> {
        // A response must not wait for more data to fill a segment; a socket that cannot do this
        // still works.
        let _ = stream.set_nodelay(true);
        Ok(Connection {
            source: Source::new(stream)?,
            receive_buffer: Buffer::default(),
            traffic: Rc::default(),
            arrivals: None,
        })
    }

    /// Connects to `address`, without a timeout of its own.
    pub async fn open(address: SocketAddr) -> io::Result<Connection> {
        let family = if address.is_ipv4() {
            AddressFamily::INET
        } else {
            AddressFamily::INET6
        };
        let socket = rustix::net::socket_with(family, SocketType::STREAM, SOCKET_FLAGS, None)?;
        let connecting = rustix::net::connect(&socket, &address);
        let connection = Connection::new(TcpStream::from(socket))?;
        match connecting {
            Ok(()) => return Ok(connection),
            Err(rustix::io::Errno::INPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        let stream = connection.source.get();
        connection.source.write(|| check_connected(stream)).await?;
        Ok(connection)
    }

    /// The next client that has connected; fails with `WouldBlock` where there is none.
    pub fn accept(listener: &TcpListener) -> io::Result<Connection> {
        let socket = rustix::net::accept_with(listener, SOCKET_FLAGS)?;
        Connection::new(TcpStream::from(socket))
    }

    /// Reads what is there, at least a byte, and returns how much; 0 at the end. Nothing is lost
    /// when the future is dropped before it is ready.
    pub async fn read_more(&mut self) -> io::Result<usize> {
        let Connection {
            source,
            receive_buffer,
            ..
        } = self;
        let offered_space = Cell::new(0);
        let read = |space: &mut [u8]| {
            offered_space.set(space.len());
            source.get().read(space)
        };
        let received = source.read(|| receive_buffer.fill(read)).await;
        if let Ok(length) = received {
            // Less than there was space for: the socket is empty, the next read would block.
            if length < offered_space.get() {
                source.clear_read_readiness();
            }
            self.traffic.add_read(length);
        }
        if let Some(arrivals) = &mut self.arrivals {
            arrivals.on_data(self.receive_buffer.unread(), Instant::now());
        }
        received
    }

    /// Ready once there may be something to read.
    pub async fn readable(&self) {
        self.source.readable().await;
    }

    /// Writes all of `bytes`.
    pub async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            // Mostly there is space in the socket: it is tried before it is waited for.
            let written = match self.source.get().write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.source.write(|| self.source.get().write(bytes)).await?
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => 0,
                outcome => outcome?,
            };
            self.traffic.add_written(written);
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// From now on [`Connection::arrivals`] is kept.
    pub fn track_arrivals(&mut self) {
        let mut arrivals = ArrivalTracker::default();
        arrivals.on_data(self.receive_buffer.unread(), Instant::now());
        self.arrivals = Some(arrivals);
    }

    /// Drops the first message, of `length` bytes, and returns when it became whole, where that is
    /// tracked.
    pub fn consume(&mut self, length: usize) -> Option<Instant> {
        self.receive_buffer.consume(length);
        self.arrivals.as_mut()?.on_consumed(length)
    }

    /// Ready once the peer has closed its sending direction, or all of the connection.
    pub async fn peer_closed(&self) {
        self.source.peer_closed().await;
    }

    /// Closes the sending direction.
    pub fn shutdown_write(&self) {
        let _ = self.source.get().shutdown(Shutdown::Write);
    }

    /// Whether it is open with nothing to read: what an idle connection should be.
    pub fn is_open_and_quiet(&self) -> bool {
        let peeked = self.source.get().peek(&mut [0]);
        let would_block = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        if would_block {
            self.source.clear_read_readiness();
        }
        self.receive_buffer.is_empty() && would_block
    }
}

/// Whether a connection in progress is established; `WouldBlock` while that is not known.
fn check_connected(stream: &TcpStream) -> io::Result<()> {
    if let Some(error) = stream.take_error()? {
        return Err(error);
    }
    match stream.peer_addr() {
        Ok(_) => Ok(()),
        Err(e) if e.kind() == io::ErrorKind::NotConnected => Err(io::ErrorKind::WouldBlock.into()),
        Err(e) => Err(e),
    }
}
