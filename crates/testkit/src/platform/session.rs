//! Serves one connection to the fake platform: calls, and notifications after a subscription.

use super::{notification, Shared};
use async_io::Async;
use futures_lite::future::FutureExt;
use futures_lite::io::BufReader;
use futures_lite::{AsyncBufReadExt, AsyncWriteExt};
use serde_json::Value;
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

/// The next thing that a session handles.
enum Input {
    /// A line from the caller; empty at the end of the connection.
    Line(String),
    /// Notifications are waiting to be sent.
    Notifications,
}

struct Session<'a> {
    shared: &'a Shared,
    stream: Arc<Async<TcpStream>>,
    /// Index of the next notification to send; `None` until the caller subscribes.
    next_notification: Option<usize>,
}

/// Serves a connection until the caller or this side closes it.
pub(super) async fn serve(shared: &Shared, stream: Async<TcpStream>) -> io::Result<()> {
    let stream = Arc::new(stream);
    let mut lines = BufReader::new(&*stream);
    let mut session = Session {
        shared,
        stream: stream.clone(),
        next_notification: None,
    };
    loop {
        match session.next_input(&mut lines).await? {
            Input::Line(line) if line.is_empty() => return Ok(()),
            Input::Line(line) => session.handle_line(&line).await?,
            Input::Notifications => session.send_notifications().await?,
        }
    }
}

impl Session<'_> {
    async fn next_input(&self, lines: &mut BufReader<&Async<TcpStream>>) -> io::Result<Input> {
        let mut line = String::new();
        let read = async { lines.read_line(&mut line).await.map(Some) };
        let next_notification = async {
            self.wait_for_notifications().await;
            Ok(None)
        };
        let read = read.or(next_notification).await?;
        Ok(match read {
            Some(_) => Input::Line(line),
            None => Input::Notifications,
        })
    }

    async fn wait_for_notifications(&self) {
        loop {
            let listener = self.shared.changed.listen();
            let sent = self.next_notification;
            if sent.is_some_and(|sent| sent < self.shared.state().notifications.len()) {
                return;
            }
            listener.await;
        }
    }

    async fn handle_line(&mut self, line: &str) -> io::Result<()> {
        let call: Value = serde_json::from_str(line).map_err(|_| io::ErrorKind::InvalidData)?;
        let result = self
            .shared
            .state()
            .service
            .handle_call(Instant::now(), &call);
        // The lock is released by now: `set_rollout_status` takes it again.
        if let Some(status) = result.rollout_status {
            self.shared.set_rollout_status(status);
        }
        self.send(&result.reply).await?;
        if result.subscribes {
            self.subscribe().await?;
        }
        Ok(())
    }

    /// Subscribes the caller to notifications and sends the current status.
    async fn subscribe(&mut self) -> io::Result<()> {
        let status = {
            let state = self.shared.state();
            self.next_notification = Some(state.notifications.len());
            state.service.rollout_status.value()
        };
        self.send(&notification("ROLLOUT", status)).await
    }

    async fn send_notifications(&mut self) -> io::Result<()> {
        let from = self.next_notification.unwrap_or_default();
        let new: Vec<Value> = self.shared.state().notifications[from..].to_vec();
        self.next_notification = Some(from + new.len());
        for notification in new {
            self.send(&notification).await?;
        }
        Ok(())
    }

    async fn send(&self, message: &Value) -> io::Result<()> {
        let line = format!("{message}\n");
        (&*self.stream).write_all(line.as_bytes()).await
    }
}
