//! `tulipwall-call`: calls by hand, on the client library.

use clap::Parser;
use serde_json::{json, Value};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tulipwall_client::{Call, CallError, Client, ClientConfig, Idempotency, RequestClass};

const EXITS: &str = "\
Each answer is a line of JSON: the call's line number, answer, value (hex) or code, come_back_ms, tries, agents,
may_have_run, took_ms.

From standard input, a line a call: {\"lane\":\"view\",\"object\":\"a1\",\"expiry_ms\":800,\"value\":\"9f03\",
\"customer\":\"acme\",\"key\":\"c0ffee\"}; only lane and object are needed.

Exit codes: 0 a value (all, of many); 1 the file of the service is wrong; 2 the command line is wrong; 4 denied or
shed; 5 scrapped; 6 expired; 7 a faulty call. Of many, the highest.";

/// Calls the agents of a service.
#[derive(Parser)]
#[command(name = "tulipwall-call", version, after_help = EXITS)]
struct Line {
    /// The client's file, KDL: agents, classes and limits.
    #[arg(
        long,
        value_name = "FILE",
        env = "TULIPWALL_CLIENT",
        required_unless_present = "agent"
    )]
    service: Option<PathBuf>,
    /// An agent in the place of those in the file; may come again.
    #[arg(long, value_name = "ADDRESS")]
    agent: Vec<SocketAddr>,
    /// The class; without one, calls are read from standard input.
    #[arg(value_name = "LANE", requires = "object")]
    class: Option<String>,
    /// The object it is about.
    object: Option<String>,
    /// What is written, in hex; it reads otherwise.
    #[arg(long, value_parser = hex)]
    value: Option<Bytes>,
    #[arg(long = "customer", value_name = "CUSTOMER")]
    tenant: Option<String>,
    /// By which repeats are told; drawn otherwise.
    #[arg(long)]
    key: Option<String>,
    /// How long to wait, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 1500, value_parser = clap::value_parser!(u64).range(1..=3_600_000))]
    expiry: u64,
    /// How the class repeats, where no file says so: idempotent, or else unrepeatable.
    #[arg(long)]
    idempotent: bool,
    /// Calls from standard input that are in hand at once.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u16).range(1..=1024))]
    at_once: u16,
    /// The client's counters on standard error at the end.
    #[arg(long)]
    counters: bool,
}

#[derive(Clone)]
struct Bytes(Vec<u8>);

fn hex(text: &str) -> Result<Bytes, String> {
    let none = || "pairs of hex digits are wanted".to_owned();
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return Err(none());
    }
    let pair = |n: usize| u8::from_str_radix(&text[n * 2..n * 2 + 2], 16).map_err(|_| none());
    (0..text.len() / 2)
        .map(pair)
        .collect::<Result<_, _>>()
        .map(Bytes)
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let line = Line::parse();
    let service = match service(&line) {
        Ok(service) => service,
        Err(mistakes) => {
            mistakes.iter().for_each(|m| eprintln!("{m}"));
            return ExitCode::FAILURE;
        }
    };
    let client = Client::new(service);
    let worst = match (&line.class, &line.object) {
        (Some(class), Some(object)) => {
            let call = Call {
                value: line.value.clone().map(|v| v.0),
                tenant: line.tenant.clone(),
                key: line.key.clone(),
                ..Call::read(class, object, Duration::from_millis(line.expiry))
            };
            futures_lite::future::block_on(one(&client, call, 1))
        }
        _ => many(&client, line.at_once, line.expiry),
    };
    if line.counters {
        let seen = client.stats();
        eprintln!(
            "{:?}; bound {:.0}, tokens {:.1}",
            seen.counters, seen.concurrency_limit, seen.retry_tokens
        );
    }
    worst.into()
}

fn service(line: &Line) -> Result<ClientConfig, Vec<String>> {
    let mut service = match &line.service {
        Some(path) => {
            let text = std::fs::read_to_string(path)
                .map_err(|e| vec![format!("{}: {e}", path.display())])?;
            let named = |m: &tulipwall_config::ConfigDiagnostic| format!("{}:{m}", path.display());
            tulipwall_config::read_client_file(&text)
                .map_err(|all| all.iter().map(named).collect::<Vec<_>>())?
        }
        None => ClientConfig::new(Vec::new(), Vec::new()),
    };
    if !line.agent.is_empty() {
        service.agents.clone_from(&line.agent);
    }
    if let (None, Some(name)) = (&line.service, &line.class) {
        let idempotency = if line.idempotent {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        };
        let latency_objective = Duration::from_millis(line.expiry);
        service.classes.push(RequestClass {
            name: name.clone(),
            idempotency,
            latency_objective,
            priority_weight: 1.0,
        });
    }
    Ok(service)
}

/// One call; its exit code.
async fn one(client: &Client, call: Call, number: usize) -> u8 {
    let ended = client.call(call).await;
    let (mut told, code) = match &ended {
        Ok(answer) => {
            let value: String = answer.value.iter().map(|b| format!("{b:02x}")).collect();
            (json!({"answer": "value", "value": value}), 0)
        }
        Err(e) => {
            let code = match e {
                CallError::Rejected { .. } | CallError::Overloaded => 4,
                CallError::Failed { .. } => 5,
                CallError::DeadlineExceeded { .. } => 6,
                CallError::InvalidCall(_) => 7,
                _ => 5,
            };
            let mut told = json!({"answer": e.as_str(), "text": e.to_string()});
            match e {
                CallError::Rejected {
                    retry_after: Some(t),
                    ..
                } => told["come_back_ms"] = json!(t.as_millis() as u64),
                CallError::Failed { code, .. } => told["code"] = json!(code),
                _ => {}
            }
            (told, code)
        }
    };
    let tried = match &ended {
        Ok(answer) => Some(&answer.attempts),
        Err(e) => e.attempts(),
    };
    if let Some(t) = tried {
        told["tries"] = json!(t.agents.len());
        told["agents"] = json!(t
            .agents
            .iter()
            .map(SocketAddr::to_string)
            .collect::<Vec<_>>());
        told["may_have_run"] = json!(t.may_have_executed);
        told["took_ms"] = json!(t.elapsed.as_micros() as f64 / 1000.0);
    }
    told["line"] = json!(number);
    let mut out = std::io::stdout().lock();
    // A reader that has gone wants nothing more.
    let _ = writeln!(out, "{told}").and_then(|()| out.flush());
    code
}

/// Calls from standard input, some at once; the highest exit code.
fn many(client: &Client, at_once: u16, expiry: u64) -> u8 {
    let read = Arc::new(Mutex::new(0));
    // The next line, with its number.
    let next = |read: &Mutex<usize>| {
        let mut number = read.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut text = String::new();
        *number += 1;
        let got = std::io::stdin().read_line(&mut text);
        got.is_ok_and(|n| n > 0).then_some((*number, text))
    };
    let work = move |client: Client, read: Arc<Mutex<usize>>| {
        let mut worst = 0;
        while let Some((n, text)) = next(&read) {
            if text.trim().is_empty() {
                continue;
            }
            worst = worst.max(match call(&text, expiry) {
                Ok(call) => futures_lite::future::block_on(one(&client, call, n)),
                Err(what) => {
                    println!("{}", json!({"answer": "faulty", "text": what, "line": n}));
                    7
                }
            });
        }
        worst
    };
    let threads: Vec<_> = (0..at_once)
        .map(|_| {
            let (client, read) = (client.clone(), read.clone());
            std::thread::spawn(move || work(client, read))
        })
        .collect();
    threads
        .into_iter()
        .map(|t| t.join().unwrap_or(7))
        .max()
        .unwrap_or(0)
}

fn call(text: &str, expiry: u64) -> Result<Call, String> {
    let line: Value = serde_json::from_str(text).map_err(|e| format!("no JSON: {e}"))?;
    let text = |key: &str| match &line[key] {
        Value::Null => Ok(None),
        Value::String(s) => Ok(Some(s.clone())),
        _ => Err(format!("{key}: text is wanted")),
    };
    let need = |key: &str| text(key)?.ok_or_else(|| format!("{key}: missing"));
    let expiry = match &line["expiry_ms"] {
        Value::Null => expiry,
        v => v
            .as_u64()
            .filter(|ms| (1..=3_600_000).contains(ms))
            .ok_or("expiry_ms: 1 to 3600000 is wanted")?,
    };
    Ok(Call {
        value: text("value")?
            .map(|v| hex(&v))
            .transpose()
            .map_err(|e| format!("value: {e}"))?
            .map(|b| b.0),
        tenant: text("customer")?,
        key: text("key")?,
        ..Call::read(
            &need("lane")?,
            &need("object")?,
            Duration::from_millis(expiry),
        )
    })
}
