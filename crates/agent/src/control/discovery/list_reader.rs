//! Parses lists. A long one is parsed in a thread of its own, so that no request waits for tens of
//! thousands of entries; what is known stays in force until all of it was parsed.

use crate::runtime::reactor::Source;
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use tulipwall_discovery::list_response::{ListResponse, ListResponseError};

/// The longest body that is parsed in the agent's own thread, in bytes: some 450 entries, which
/// take less than half a millisecond.
pub const MAX_INLINE_LENGTH: usize = 64 * 1024;

/// Why a list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It is no list.
    #[error(transparent)]
    List(#[from] ListResponseError),
    /// The thread that parsed it panicked.
    #[error("list: not read")]
    ReaderPanicked,
}

/// Parses the body of a response.
pub async fn parse(body: Vec<u8>) -> Result<ListResponse, ReadError> {
    if body.len() <= MAX_INLINE_LENGTH {
        return Ok(ListResponse::parse(&body)?);
    }
    let body = Arc::new(body);
    match PendingList::begin(&body) {
        Ok(pending) => pending.finished().await,
        // There is no thread or no descriptor to be had: all else waits for it.
        Err(_) => Ok(ListResponse::parse(&body)?),
    }
}

/// A list that a thread parses. Its thread ends by itself where nobody waits for it any more.
struct PendingList {
    parsed: Receiver<Result<ListResponse, ListResponseError>>,
    /// The thread closes its end when it is done, which wakes the agent's.
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
                // It fails where nobody waits for it any more.
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
