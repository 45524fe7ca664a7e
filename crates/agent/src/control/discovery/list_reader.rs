//! Parses endpoint lists. A long list is parsed on a thread of its own, so that no request waits
//! for the parsing of tens of thousands of entries. The known list stays in use until the new one
//! is parsed completely.

use crate::runtime::reactor::Source;
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use tulipwall_discovery::list_response::{ListResponse, ListResponseError};

/// The longest body that is parsed on the event loop's thread, in bytes: some 450 entries, which
/// take less than half a millisecond.
pub const MAX_INLINE_LENGTH: usize = 64 * 1024;

/// Why a list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body is not a valid endpoint list.
    #[error(transparent)]
    List(#[from] ListResponseError),
    /// The thread that parsed the list panicked.
    #[error("list: the parser thread panicked")]
    ReaderPanicked,
}

/// Parses the body of a response, on a separate thread if it is longer than
/// [`MAX_INLINE_LENGTH`].
pub async fn parse(body: Vec<u8>) -> Result<ListResponse, ReadError> {
    if body.len() <= MAX_INLINE_LENGTH {
        return Ok(ListResponse::parse(&body)?);
    }
    let body = Arc::new(body);
    match PendingList::begin(&body) {
        Ok(pending) => pending.finished().await,
        // No thread or descriptor is available: the event loop blocks while it parses the list.
        Err(_) => Ok(ListResponse::parse(&body)?),
    }
}

/// A list that is being parsed on a thread. If this is dropped first, the thread finishes parsing,
/// discards the result and exits.
struct PendingList {
    parsed: Receiver<Result<ListResponse, ListResponseError>>,
    /// The thread closes its end of this socket pair when it is done, which wakes the waiting task.
    done: Source<UnixStream>,
}

impl PendingList {
    fn begin(body: &Arc<Vec<u8>>) -> io::Result<PendingList> {
        let (agent_end, thread_end) = UnixStream::pair()?;
        agent_end.set_nonblocking(true)?;
        let done = Source::new(agent_end)?;
        let (sender, parsed) = channel();
        let body = Arc::clone(body);
        std::thread::Builder::new()
            .name("list".into())
            .spawn(move || {
                // Sending fails if the receiver was dropped, as nobody waits for the list then.
                let _ = sender.send(ListResponse::parse(&body));
                drop(thread_end);
            })?;
        Ok(PendingList { parsed, done })
    }

    async fn finished(self) -> Result<ListResponse, ReadError> {
        self.done.peer_closed().await;
        let parsed = self.parsed.try_recv();
        Ok(parsed.map_err(|_| ReadError::ReaderPanicked)??)
    }
}
