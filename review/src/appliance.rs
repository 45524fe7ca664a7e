//! A stand-in for an appliance: one thread for each connection, one request at a time on each.

use crate::wire;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A statement that has arrived up to its last byte.
pub struct Query {
    pub appliance: String,
    /// A number for the connection, unique among all of this appliance.
    pub connection: usize,
    pub statement: String,
    pub id: String,
    pub class: String,
    pub key: Option<String>,
    pub object: String,
}

/// What an appliance does with a statement. An error ends the connection.
pub type Handler = dyn Fn(&Query, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// Starts an appliance on a free port and returns its address.
pub fn start(name: &str, handler: Arc<Handler>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let name = name.to_owned();
    std::thread::spawn(move || {
        for (connection, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { continue };
            let (name, handler) = (name.clone(), handler.clone());
            std::thread::spawn(move || {
                let _ = serve(&name, connection, stream, &*handler);
            });
        }
    });
    Ok(address)
}

fn serve(
    name: &str,
    connection: usize,
    mut stream: TcpStream,
    handler: &Handler,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    wire::read_startup(&mut stream)?;
    wire::write(&mut stream, &wire::startup_reply())?;
    loop {
        let (tag, body) = wire::read_message(&mut stream)?;
        if tag != b'Q' {
            return Ok(());
        }
        let text = body.split_last().map_or(&[][..], |(_, text)| text);
        let statement = String::from_utf8_lossy(text).into_owned();
        let field = |name| wire::comment_field(&statement, name);
        let query = Query {
            appliance: name.to_owned(),
            connection,
            id: field("id").unwrap_or_default(),
            class: field("c").unwrap_or_default(),
            key: field("k"),
            object: wire::object_of(&statement),
            statement,
        };
        handler(&query, &mut stream)?;
    }
}

/// Works for this long. Returns false if the caller closed the connection meanwhile: the work stops then.
pub fn work(stream: &TcpStream, duration: Duration) -> bool {
    let end = Instant::now() + duration;
    loop {
        if wire::is_closed(stream) {
            return false;
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        std::thread::sleep(left.min(Duration::from_millis(5)));
    }
}
