//! A stand-in for the rollout platform: build 41 is released, and nothing else is offered.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The state of the newest build.
pub const NEWS: &str =
    "{\"image\":41,\"ring\":3,\"progress\":\"released\",\"ceiling\":1.0,\"lag_ms\":60000}";

/// Starts the platform and returns its address.
pub fn start() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

fn serve(stream: TcpStream) -> Option<()> {
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    for line in BufReader::new(stream).lines() {
        let line = line.ok()?;
        let id: String = line
            .split("\"id\":")
            .nth(1)?
            .chars()
            .take_while(char::is_ascii_digit)
            .collect();
        let is_watch = line.contains("Events.Watch");
        let result = if is_watch { "true" } else { NEWS };
        let reply = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{result}}}\n");
        writer.lock().unwrap().write_all(reply.as_bytes()).ok()?;
        if is_watch {
            let news =
                format!("{{\"jsonrpc\":\"2.0\",\"method\":\"ROLLOUT\",\"params\":{NEWS}}}\n");
            writer.lock().unwrap().write_all(news.as_bytes()).ok()?;
            let pinging = writer.clone();
            thread::spawn(move || {
                let ping = b"{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
                while pinging.lock().unwrap().write_all(ping).is_ok() {
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
    }
    Some(())
}
