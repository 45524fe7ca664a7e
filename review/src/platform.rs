//! A stand-in for the rollout platform: tells the state of the newest build, sends a sign of life every
//! second, and answers each vote with that state.

use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Platform {
    pub address: SocketAddr,
}

impl Platform {
    /// Starts a platform whose newest build stays in `state`.
    pub fn start(state: Value) -> io::Result<Platform> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                std::thread::spawn(move || {
                    let _ = serve(stream, &state);
                });
            }
        });
        Ok(Platform { address })
    }
}

fn serve(stream: TcpStream, state: &Value) -> io::Result<()> {
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let mut watched = false;
    for line in BufReader::new(stream).lines() {
        let call: Value = serde_json::from_str(&line?).unwrap_or_default();
        let id = call["id"].clone();
        let send = |line: Value| {
            writer
                .lock()
                .unwrap()
                .write_all(format!("{line}\n").as_bytes())
        };
        match call["method"].as_str() {
            Some("Events.Watch") => {
                send(json!({"jsonrpc": "2.0", "id": id, "result": true}))?;
                send(json!({"jsonrpc": "2.0", "method": "ROLLOUT", "params": state}))?;
                if !std::mem::replace(&mut watched, true) {
                    let writer = writer.clone();
                    std::thread::spawn(move || loop {
                        std::thread::sleep(Duration::from_secs(1));
                        let ping = b"{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
                        if writer.lock().unwrap().write_all(ping).is_err() {
                            return;
                        }
                    });
                }
            }
            _ => send(json!({"jsonrpc": "2.0", "id": id, "result": state}))?,
        }
    }
    Ok(())
}
