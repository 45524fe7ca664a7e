//! A TCP connection with its buffer.

use super::arrivals::ArrivalTracker;
use super::buffer::Buffer;
use crate::runtime::reactor::Source;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Bytes that went over one connection, and those of them that are accounted for.
#[derive(Default)]
pub struct SocketTraffic {
    out: Cell<u64>,
    back: Cell<u64>,
    charged: Cell<(u64, u64)>,
}

impl SocketTraffic {
    pub fn written(&self) -> u64 {
        self.out.get()
    }

    /// Bytes written and read since this was asked last.
    pub fn take_uncharged(&self) -> (u64, u64) {
        let (all, before) = ((self.out.get(), self.back.get()), self.charged.get());
        self.charged.set(all);
        (all.0 - before.0, all.1 - before.1)
    }
}

pub struct Connection {
    source: Source<TcpStream>,
    pub inbox: Buffer,
    pub traffic: Rc<SocketTraffic>,
    /// When each message that is unread was whole, where that is wanted.
    pub arrivals: Option<ArrivalTracker>,
}

impl Connection {
    fn new(stream: TcpStream) -> io::Result<Connection> {
        // An answer must not wait for more to fill a segment; a socket that cannot do this still
        // serves.
        let _ = stream.set_nodelay(true);
        let (source, inbox, traffic) = (Source::new(stream)?, Buffer::default(), Rc::default());
        Ok(Connection {
            source,
            inbox,
            traffic,
            arrivals: None,
        })
    }

    pub async fn open(address: SocketAddr) -> io::Result<Connection> {
        let family = if address.is_ipv4() {
            AddressFamily::INET
        } else {
            AddressFamily::INET6
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        let begun = rustix::net::connect(&socket, &address);
        let connection = Connection::new(TcpStream::from(socket))?;
        match begun {
            Ok(()) => return Ok(connection),
            Err(rustix::io::Errno::INPROGRESS) => {}
            Err(e) => return Err(e.into()),
        }
        let stream = connection.source.get();
        let connected = || match stream.take_error()? {
            Some(e) => Err(e),
            None => match stream.peer_addr() {
                Err(e) if e.kind() == io::ErrorKind::NotConnected => {
                    Err(io::ErrorKind::WouldBlock.into())
                }
                other => other.map(drop),
            },
        };
        connection.source.write(connected).await?;
        Ok(connection)
    }

    /// The next client that has connected.
    pub fn accept(listener: &TcpListener) -> io::Result<Connection> {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        Connection::new(TcpStream::from(rustix::net::accept_with(listener, flags)?))
    }

    /// Reads what is there, at least a byte, or 0 at the end. Nothing is lost when this is dropped
    /// unready.
    pub async fn read_more(&mut self) -> io::Result<usize> {
        let Connection { source, inbox, .. } = self;
        let room_for = Cell::new(0);
        let read = |room: &mut [u8]| {
            room_for.set(room.len());
            source.get().read(room)
        };
        let got = source.read(|| inbox.fill(read)).await;
        if got.as_ref().is_ok_and(|n| *n < room_for.get()) {
            source.clear_read_readiness();
        }
        if let Some(arrivals) = &mut self.arrivals {
            arrivals.on_data(self.inbox.unread(), Instant::now());
        }
        self.traffic
            .back
            .set(self.traffic.back.get() + *got.as_ref().unwrap_or(&0) as u64);
        got
    }

    pub async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            // Mostly there is room: it is tried before it is waited for.
            let wrote = match self.source.get().write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.source.write(|| self.source.get().write(bytes)).await?
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => 0,
                outcome => outcome?,
            };
            self.traffic.out.set(self.traffic.out.get() + wrote as u64);
            bytes = &bytes[wrote..];
        }
        Ok(())
    }

    /// From now on it is noted when each message was whole.
    pub fn track_arrivals(&mut self) {
        let mut arrivals = ArrivalTracker::default();
        arrivals.on_data(self.inbox.unread(), Instant::now());
        self.arrivals = Some(arrivals);
    }

    /// The first message, of so many bytes, is done with: when it was whole, where that was noted.
    pub fn consume(&mut self, bytes: usize) -> Option<Instant> {
        self.inbox.consume(bytes);
        self.arrivals.as_mut()?.on_consumed(bytes)
    }

    /// Ready once the other side has ended its sending, or all of the connection.
    pub async fn peer_closed(&self) {
        self.source.peer_closed().await;
    }

    /// Says that nothing more will be written here.
    pub fn shutdown_write(&self) {
        let _ = self.source.get().shutdown(Shutdown::Write);
    }

    /// Whether it is open with nothing to read: what an idle connection should be.
    pub fn is_open_and_quiet(&self) -> bool {
        let read = self.source.get().peek(&mut [0]);
        let empty = read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        if empty {
            self.source.clear_read_readiness();
        }
        self.inbox.is_empty() && empty
    }
}
