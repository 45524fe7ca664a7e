//! An endpoint whose every byte is chosen by a test, for orders of messages that the fake endpoint
//! never sends.

use crate::pg;
use async_io::Async;
use futures_lite::future::block_on;
use futures_lite::AsyncWriteExt;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

/// An endpoint that runs a test's script on each connection.
pub struct ScriptedEndpoint {
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

/// A query that was received in full.
#[derive(Clone, Debug)]
pub struct ScriptedQuery {
    /// The request id in the query's comment; empty if it names none.
    pub id: String,
    /// The object that the statement names; empty if it names none.
    pub object: String,
}

/// A connection to a scripted endpoint.
pub struct ScriptedConnection {
    /// The number of connections that were accepted before this one.
    pub index: usize,
    stream: Async<TcpStream>,
}

impl ScriptedEndpoint {
    /// Starts an endpoint that runs `script` on each connection, in a thread of its own. The
    /// connection is closed when the script returns.
    pub fn start(
        script: impl Fn(ScriptedConnection) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<ScriptedEndpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let connections = Arc::<AtomicUsize>::default();
        let script = Arc::new(script);
        let accepted = connections.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let index = accepted.fetch_add(1, Ordering::SeqCst);
                let script = script.clone();
                thread::spawn(move || ScriptedConnection::new(index, stream).and_then(&*script));
            }
        });
        Ok(ScriptedEndpoint {
            address,
            connections,
        })
    }

    /// Returns the number of connections that were accepted so far.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

impl ScriptedConnection {
    fn new(index: usize, stream: TcpStream) -> io::Result<ScriptedConnection> {
        stream.set_nodelay(true)?;
        let stream = Async::new(stream)?;
        Ok(ScriptedConnection { index, stream })
    }

    /// Reads the caller's startup message.
    pub fn read_startup(&mut self) -> io::Result<()> {
        block_on(pg::read_startup(&mut self.stream)).map(drop)
    }

    /// Completes the startup as PostgreSQL does.
    pub fn complete_startup(&mut self) -> io::Result<()> {
        self.read_startup()?;
        self.send(&pg::startup_reply())
    }

    /// Reads the next query. Fails if the caller sends any other message or closes the connection.
    pub fn read_query(&mut self) -> io::Result<ScriptedQuery> {
        let (tag, body) = block_on(pg::read(&mut self.stream))?;
        if tag != pg::QUERY {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let text = body.strip_suffix(b"\0").unwrap_or(&body);
        let statement = String::from_utf8_lossy(text);
        let mut fields = pg::comment_fields(&statement);
        let id = fields.find(|(name, _)| *name == "id");
        let object = statement.split('\'').nth(1);
        Ok(ScriptedQuery {
            id: id.map(|(_, value)| value.to_owned()).unwrap_or_default(),
            object: object.unwrap_or_default().to_owned(),
        })
    }

    /// Sends these bytes at once.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        block_on(self.stream.write_all(bytes))
    }

    /// Answers every further query with the name of its object, until the caller closes the
    /// connection.
    pub fn answer_with_objects(&mut self) -> io::Result<()> {
        loop {
            let query = self.read_query()?;
            self.send(&pg::value_reply(query.object.as_bytes()))?;
        }
    }
}
