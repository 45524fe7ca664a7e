//! Non-blocking TCP connections with a receive buffer.

use super::arrivals::ArrivalTracker;
use super::buffer::{Buffer, MemoryReservation, BASE_CAPACITY};
use crate::runtime::reactor::Source;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

static CONNECTIONS_CREATED: AtomicU64 = AtomicU64::new(0);
const SOCKET_FLAGS: SocketFlags = SocketFlags::NONBLOCK.union(SocketFlags::CLOEXEC);

/// The numbers of bytes that were transferred over one connection, and of those already accounted
/// for.
#[derive(Default)]
pub struct SocketTraffic {
    written: Cell<u64>,
    read: Cell<u64>,
    charged_written: Cell<u64>,
    charged_read: Cell<u64>,
}

impl SocketTraffic {
    /// Returns the number of bytes written so far.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Returns the numbers of bytes written and read since the last call of this method.
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

/// The state of a connection on which no data is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// The connection is open and there is nothing to read.
    Quiet,
    /// The peer has closed the connection, or the connection has failed.
    Closed,
    /// The peer has sent data that nothing asked for.
    DataReceived,
}

/// What a socket holds behind the data that was read from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// More data. Whether the peer has closed the connection behind it is not known.
    Data,
    /// The end of the stream or an error.
    Closed,
}

/// A non-blocking TCP connection.
pub struct Connection {
    /// The number of connections that this process had opened or accepted before this one, which
    /// identifies it in log lines.
    pub number: u64,
    source: Source<TcpStream>,
    /// The bytes that were received and not yet consumed.
    pub receive_buffer: Buffer,
    /// The numbers of bytes transferred over the connection.
    pub traffic: Rc<SocketTraffic>,
    /// Counts the copy that is made of a long message when it is handled.
    copy_reservation: MemoryReservation,
    /// When each unread message became complete; `None` unless [`Connection::track_arrivals`] was
    /// called.
    pub arrivals: Option<ArrivalTracker>,
}

impl Connection {
    fn new(stream: TcpStream) -> io::Result<Connection> {
        // Without TCP_NODELAY, a response could wait for more data to fill a segment. A failure is
        // ignored, as the socket works without the option.
        let _ = stream.set_nodelay(true);
        Ok(Connection {
            number: CONNECTIONS_CREATED.fetch_add(1, Ordering::Relaxed),
            source: Source::new(stream)?,
            receive_buffer: Buffer::default(),
            traffic: Rc::default(),
            copy_reservation: MemoryReservation::default(),
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
            // An interrupted connect goes on in the background, too.
            Err(rustix::io::Errno::INPROGRESS | rustix::io::Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
        let stream = connection.source.get();
        connection.source.write(|| check_connected(stream)).await?;
        Ok(connection)
    }

    /// Accepts the next client. Fails with `WouldBlock` if none is waiting.
    pub fn accept(listener: &TcpListener) -> io::Result<Connection> {
        let socket = rustix::net::accept_with(listener, SOCKET_FLAGS)?;
        Connection::new(TcpStream::from(socket))
    }

    /// Reads the available bytes into the receive buffer, waiting for at least one, and returns
    /// their number; 0 at the end of the stream. Nothing is lost if the future is dropped before it
    /// is ready.
    ///
    /// A read that does not fill the free space says nothing about what is left: a signal or the
    /// kernel may cut it short. Only a read that would block marks the socket as not readable.
    pub async fn read_more(&mut self) -> io::Result<usize> {
        let Connection {
            source,
            receive_buffer,
            ..
        } = self;
        let read = |space: &mut [u8]| source.get().read(space);
        let received = source.read(|| receive_buffer.fill(read)).await;
        if let Ok(length) = received {
            self.traffic.add_read(length);
        }
        if let Some(arrivals) = &mut self.arrivals {
            arrivals.on_data(self.receive_buffer.unread(), Instant::now());
        }
        received
    }

    /// Waits until the socket holds data that does not fit into the receive buffer, or until the
    /// peer has closed its sending direction behind data that was read.
    pub async fn unread_or_closed(&self) -> Unread {
        let peek = || self.source.get().peek(&mut [0]);
        match self.source.read(peek).await {
            Ok(count) if count > 0 => Unread::Data,
            _ => Unread::Closed,
        }
    }

    /// Waits until there may be something to read.
    pub async fn readable(&self) {
        self.source.readable().await;
    }

    /// Writes all of `bytes`.
    pub async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            // The socket buffer usually has space, so a write is tried before waiting.
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

    /// Starts to record arrival times in [`Connection::arrivals`]. Messages that were already
    /// received count as arriving now.
    pub fn track_arrivals(&mut self) {
        let mut arrivals = ArrivalTracker::default();
        arrivals.on_data(self.receive_buffer.unread(), Instant::now());
        self.arrivals = Some(arrivals);
    }

    /// Returns by how many bytes the counted memory grows at most if a message of `length` bytes is
    /// to be received; 0 if it has space.
    pub fn growth_for(&self, length: usize) -> usize {
        match self.receive_buffer.growth_for(length) {
            0 => 0,
            growth => 2 * (growth + BASE_CAPACITY),
        }
    }

    /// Grows the receive buffer for a message of `length` bytes. From then on the copy counts, too,
    /// that is made of the message when it is handled.
    pub fn reserve(&mut self, length: usize) {
        self.receive_buffer.reserve(length);
        self.update_copy_reservation();
    }

    fn update_copy_reservation(&mut self) {
        let counted = self.receive_buffer.counted_bytes();
        self.copy_reservation.resize(counted);
    }

    /// Removes the first message, of `length` bytes, and returns when it became complete; `None` if
    /// arrival times are not recorded.
    pub fn consume(&mut self, length: usize) -> Option<Instant> {
        self.receive_buffer.consume(length);
        self.update_copy_reservation();
        self.arrivals.as_mut()?.on_consumed(length)
    }

    /// Waits until the peer has closed its sending direction or the whole connection.
    pub async fn peer_closed(&self) {
        self.source.peer_closed().await;
    }

    /// Closes the sending direction. Errors are ignored.
    pub fn shutdown_write(&self) {
        let _ = self.source.get().shutdown(Shutdown::Write);
    }

    /// Returns whether the connection is open and there is nothing to read, as is expected of an
    /// idle connection.
    pub fn is_open_and_quiet(&self) -> bool {
        self.idle_state() == IdleState::Quiet
    }

    /// Returns the state of a connection on which no data is due.
    pub fn idle_state(&self) -> IdleState {
        if !self.receive_buffer.is_empty() {
            return IdleState::DataReceived;
        }
        loop {
            match self.source.get().peek(&mut [0]) {
                Ok(0) => return IdleState::Closed,
                Ok(_) => return IdleState::DataReceived,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.source.clear_read_readiness();
                    return IdleState::Quiet;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return IdleState::Closed,
            }
        }
    }
}

/// Checks whether a connection in progress is established. Fails with `WouldBlock` while that is
/// not known.
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
