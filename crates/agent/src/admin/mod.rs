//! The operators' door: the account of what crosses and the watch's counts, on an address that only
//! this machine reaches.
//!
//! It speaks as much of HTTP/1.1 as it takes to be asked by a browser or by `tulipwall-agent
//! report`: `GET /zones` is answered by lines of JSON, the last of which says that it is the last,
//! `GET /watch` by one. Nothing it does may slow a request: one line is made and written at a time,
//! others have their turn between two, and a reader that does not read is dropped.

use crate::agent::Agent;
use crate::runtime::reactor::{Source, Timer};
use futures_lite::future::{self, FutureExt};
use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tulipwall_config::Door;
use tulipwall_zones::ReportCursor;

/// Readers at once; who comes beyond waits in the queue of connections.
const READERS_MOST: usize = 4;
/// A question is no longer, and is whole within this time.
const QUESTION_MOST: usize = 4096;
const ASKED_WITHIN: Duration = Duration::from_secs(2);
/// A reader takes what was written within this time, and all of it within that.
const READ_WITHIN: Duration = Duration::from_secs(2);
const ALL_WITHIN: Duration = Duration::from_secs(30);
/// How soon a listener that failed is tried again.
const AGAIN: Duration = Duration::from_millis(200);

/// A socket that listens, and its file where it has one.
pub enum AdminListener {
    Tcp(Source<TcpListener>),
    Unix(Source<UnixListener>, SocketFileGuard),
}

/// Removes the socket's file at the end.
pub struct SocketFileGuard(PathBuf);

impl Drop for SocketFileGuard {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Opens the door. A Unix socket is its owner's alone; one that a program left behind which no
/// longer listens is taken over, any other file is not.
pub fn open(door: &Door) -> io::Result<AdminListener> {
    match door {
        Door::Tcp(address) => {
            let listener = TcpListener::bind(address)?;
            listener.set_nonblocking(true)?;
            Ok(AdminListener::Tcp(Source::new(listener)?))
        }
        Door::Unix(path) => {
            clear(path)?;
            let listener = UnixListener::bind(path)?;
            let remove = SocketFileGuard(path.clone());
            std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
            listener.set_nonblocking(true)?;
            Ok(AdminListener::Unix(Source::new(listener)?, remove))
        }
    }
}

fn clear(path: &Path) -> io::Result<()> {
    use std::os::unix::fs::FileTypeExt;
    match std::fs::symlink_metadata(path) {
        Ok(meta) if meta.file_type().is_socket() && UnixStream::connect(path).is_err() => {
            std::fs::remove_file(path)
        }
        Ok(_) => Err(io::ErrorKind::AddrInUse.into()),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        Err(e) => Err(e),
    }
}

/// Answers whoever asks, for as long as the program runs.
pub async fn run(agent: &Rc<Agent>, listening: AdminListener) {
    let readers = Rc::new(Cell::new(0));
    loop {
        if readers.get() >= READERS_MOST {
            Timer::after(AGAIN).await;
            continue;
        }
        let came = match &listening {
            AdminListener::Tcp(l) => l.read(|| l.get().accept()).await.and_then(|(stream, _)| {
                stream.set_nonblocking(true)?;
                welcome(agent, &readers, stream)
            }),
            AdminListener::Unix(l, _) => {
                l.read(|| l.get().accept()).await.and_then(|(stream, _)| {
                    stream.set_nonblocking(true)?;
                    welcome(agent, &readers, stream)
                })
            }
        };
        if let Err(e) = came {
            log::warn!("door: {e}");
            Timer::after(AGAIN).await;
        }
        future::yield_now().await;
    }
}

/// What a reader's socket does.
trait Speaks: AsFd + 'static {
    fn take(&self, room: &mut [u8]) -> io::Result<usize>;
    fn give(&self, bytes: &[u8]) -> io::Result<usize>;
}

impl Speaks for TcpStream {
    fn take(&self, room: &mut [u8]) -> io::Result<usize> {
        (&mut &*self).read(room)
    }
    fn give(&self, bytes: &[u8]) -> io::Result<usize> {
        (&mut &*self).write(bytes)
    }
}

impl Speaks for UnixStream {
    fn take(&self, room: &mut [u8]) -> io::Result<usize> {
        (&mut &*self).read(room)
    }
    fn give(&self, bytes: &[u8]) -> io::Result<usize> {
        (&mut &*self).write(bytes)
    }
}

/// One of the readers for as long as this lives.
struct Reader(Rc<Cell<usize>>);

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn welcome<S: Speaks>(agent: &Rc<Agent>, readers: &Rc<Cell<usize>>, stream: S) -> io::Result<()> {
    let source = Source::new(stream)?;
    readers.set(readers.get() + 1);
    let reader = Reader(readers.clone());
    let shared = agent.clone();
    let task = async move {
        if let Err(e) = within(ALL_WITHIN, serve(&shared, &source)).await {
            log::debug!("door: {e}; its reader is dropped");
            shared.counters.admin_dropped.increment();
        }
        drop(reader);
    };
    agent.executors.tasks.spawn(task).detach();
    Ok(())
}

async fn within<T>(
    span: Duration,
    work: impl std::future::Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let late = async {
        Timer::after(span).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(late).await
}

async fn serve<S: Speaks>(agent: &Agent, reader: &Source<S>) -> io::Result<()> {
    let question = within(ASKED_WITHIN, question(reader)).await?;
    let mut words = question.split(' ');
    let (method, path) = (
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let path = path.split('?').next().unwrap_or_default();
    let watched = agent.balancer.divergences();
    let refusal = match (method, path) {
        ("GET", "/zones") if agent.zone_traffic.is_enabled() => None,
        ("GET", "/zones") => Some(("404 Not Found", "the installation says nothing of zones")),
        ("GET", "/watch") if watched.is_some() => None,
        ("GET", "/watch") => Some((
            "404 Not Found",
            "the installation names no settings to watch",
        )),
        ("GET", _) => Some(("404 Not Found", "known are /zones and /watch")),
        _ => Some(("405 Method Not Allowed", "only GET is known")),
    };
    if let Some((status, why)) = refusal {
        let head =
            format!("HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n");
        return write(reader, format!("{head}{why}\n").as_bytes()).await;
    }
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nConnection: close\r\n\r\n";
    write(reader, head.as_bytes()).await?;
    if let Some(counts) = watched.filter(|_| path == "/watch") {
        let line: serde_json::Map<_, _> = counts
            .named()
            .map(|(k, n)| (k.to_owned(), n.into()))
            .into_iter()
            .collect();
        return write(
            reader,
            format!("{}\n", serde_json::Value::Object(line)).as_bytes(),
        )
        .await;
    }
    let mut place = ReportCursor::default();
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let now = agent.clock.now();
    while place != ReportCursor::Finished {
        // A new configuration may have ended the account meanwhile.
        let Some((lines, next)) = agent.zone_traffic.report_lines(now, unix, place) else {
            return Ok(());
        };
        place = next;
        for line in lines {
            let mut text = serde_json::to_vec(&line).map_err(io::Error::other)?;
            text.push(b'\n');
            write(reader, &text).await?;
        }
        future::yield_now().await;
    }
    Ok(())
}

/// The first line of what is asked, once its head is whole.
async fn question<S: Speaks>(reader: &Source<S>) -> io::Result<String> {
    let mut head = Vec::new();
    let mut room = [0; 1024];
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        let got = reader.read(|| reader.get().take(&mut room)).await?;
        if got == 0 || head.len() + got > QUESTION_MOST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        head.extend_from_slice(&room[..got]);
    }
    let line = head.split(|b| *b == b'\r').next().unwrap_or_default();
    Ok(String::from_utf8_lossy(line).into_owned())
}

async fn write<S: Speaks>(reader: &Source<S>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match within(READ_WITHIN, reader.write(|| reader.get().give(bytes))).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            wrote => bytes = &bytes[wrote..],
        }
    }
    Ok(())
}
