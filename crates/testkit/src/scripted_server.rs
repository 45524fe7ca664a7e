//! Takes connections, hears what is asked first, and says what it is given: for what no fake would
//! say.

use crate::runtime::{self, TerminationSignal};
use async_executor::Task;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;

pub struct ScriptedServer {
    pub address: SocketAddr,
    /// What was asked first on each connection.
    pub requests: Receiver<String>,
    _task: Task<()>,
}

impl ScriptedServer {
    /// Says `what` on each connection once anything was asked there, and nothing more; it stays
    /// open.
    pub fn start(what: &str) -> io::Result<ScriptedServer> {
        let (tell, asked) = channel();
        let what = what.to_owned();
        let (address, task) =
            runtime::listen(&Arc::<TerminationSignal>::default(), move |mut stream| {
                let (what, tell) = (what.clone(), tell.clone());
                async move {
                    let mut first = [0; 1024];
                    let got = stream.read(&mut first).await.unwrap_or_default();
                    let _ = tell.send(String::from_utf8_lossy(&first[..got]).into());
                    let _ = stream.write_all(what.as_bytes()).await;
                    futures_lite::future::pending::<()>().await;
                }
            })?;
        Ok(ScriptedServer {
            address,
            requests: asked,
            _task: task,
        })
    }

    /// An HTTP answer with this body.
    pub fn http_response(body: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}
