//! The command line of `tulipwall-call`.

use clap::Parser;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;
use tulipwall_client::{Call, ClientConfig, Idempotency, RequestClass};
use tulipwall_config::ConfigDiagnostic;

/// The accepted range of a call's timeout, in milliseconds.
pub const TIMEOUT_RANGE_MS: RangeInclusive<u64> = 1..=3_600_000;

const AFTER_HELP: &str = "\
Each call prints one line of JSON with these fields, where they apply: line (the number of the input line), answer,
value (hex) or code, text, come_back_ms, tries, agents, may_have_run, took_ms.

Standard input has one call per line: {\"lane\":\"view\",\"object\":\"a1\",\"expiry_ms\":800,\"value\":\"9f03\",
\"customer\":\"acme\",\"key\":\"c0ffee\"}. Only lane and object are required.

Exit codes: 0 every call returned a value; 1 invalid service file; 2 invalid command line; 4 denied or shed;
5 scrapped; 6 expired; 7 faulty call. With several calls, the highest code of all.";

/// Calls the agents of a service.
#[derive(Parser)]
#[command(name = "tulipwall-call", version, after_help = AFTER_HELP)]
pub struct Arguments {
    /// Service file (KDL) with agents, classes and limits.
    #[arg(
        long,
        value_name = "FILE",
        env = "TULIPWALL_CLIENT",
        required_unless_present = "agent"
    )]
    service: Option<PathBuf>,
    /// Address of an agent, used instead of those in the service file; may be repeated.
    #[arg(long, value_name = "ADDRESS")]
    agent: Vec<SocketAddr>,
    /// Request class; without it, calls are read from standard input.
    #[arg(value_name = "LANE", requires = "object")]
    class: Option<String>,
    /// Object to read or write.
    object: Option<String>,
    /// Value to write, in hex; without it, the object is read.
    #[arg(long, value_parser = parse_hex)]
    value: Option<HexBytes>,
    /// Tenant on whose behalf the call is made.
    #[arg(long = "customer", value_name = "CUSTOMER")]
    tenant: Option<String>,
    /// Deduplication key; generated if not given.
    #[arg(long)]
    key: Option<String>,
    /// Timeout of a call, in milliseconds.
    #[arg(
        long = "expiry",
        value_name = "MS",
        default_value_t = 1500,
        value_parser = clap::value_parser!(u64).range(TIMEOUT_RANGE_MS)
    )]
    timeout_ms: u64,
    /// Without a service file: treat the class as idempotent; the default is non-idempotent.
    #[arg(long)]
    idempotent: bool,
    /// Number of calls from standard input that are made concurrently.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u16).range(1..=1024))]
    pub at_once: u16,
    /// Print the client's counters to standard error at the end.
    #[arg(long)]
    pub counters: bool,
}

/// Why the service file cannot be used.
#[derive(Debug, Error)]
pub enum ServiceFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file is invalid. The message has one line for each diagnostic.
    #[error("{}", DiagnosticLines { path, diagnostics })]
    Invalid {
        path: PathBuf,
        diagnostics: Vec<ConfigDiagnostic>,
    },
}

/// Prints a line for each diagnostic, prefixed with the path of the file.
struct DiagnosticLines<'a> {
    path: &'a PathBuf,
    diagnostics: &'a [ConfigDiagnostic],
}

impl fmt::Display for DiagnosticLines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (number, diagnostic) in self.diagnostics.iter().enumerate() {
            let separator = if number == 0 { "" } else { "\n" };
            write!(f, "{separator}{}:{diagnostic}", self.path.display())?;
        }
        Ok(())
    }
}

/// Bytes that were given as pairs of hex digits.
#[derive(Clone)]
pub struct HexBytes(pub Vec<u8>);

/// The error for a text that is not a sequence of pairs of hex digits.
#[derive(Debug, Error)]
#[error("expected pairs of hex digits")]
pub struct InvalidHex;

/// Parses pairs of hex digits.
pub fn parse_hex(text: &str) -> Result<HexBytes, InvalidHex> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return Err(InvalidHex);
    }
    let parse_pair = |start| {
        let pair: &str = &text[start..start + 2];
        u8::from_str_radix(pair, 16).map_err(|_| InvalidHex)
    };
    let bytes: Result<Vec<u8>, InvalidHex> = (0..text.len()).step_by(2).map(parse_pair).collect();
    bytes.map(HexBytes)
}

impl Arguments {
    /// Returns the timeout of the calls that do not set their own.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns the call on the command line, or `None` if calls are read from standard input.
    pub fn single_call(&self) -> Option<Call> {
        let class = self.class.as_ref()?;
        let object = self.object.as_ref()?;
        Some(Call {
            value: self.value.clone().map(|HexBytes(bytes)| bytes),
            tenant: self.tenant.clone(),
            key: self.key.clone(),
            ..Call::read(class, object, self.timeout())
        })
    }

    /// Returns the configuration of the service file. Agents on the command line replace its own.
    /// Without a file, the class on the command line is the only one.
    pub fn client_config(&self) -> Result<ClientConfig, ServiceFileError> {
        let mut config = match &self.service {
            Some(path) => read_service_file(path)?,
            None => ClientConfig::new(Vec::new(), Vec::new()),
        };
        if !self.agent.is_empty() {
            config.agents.clone_from(&self.agent);
        }
        if let (None, Some(name)) = (&self.service, &self.class) {
            config.classes.push(self.ad_hoc_class(name));
        }
        Ok(config)
    }

    fn ad_hoc_class(&self, name: &str) -> RequestClass {
        let idempotency = if self.idempotent {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        };
        RequestClass {
            name: name.to_owned(),
            idempotency,
            latency_objective: self.timeout(),
            priority_weight: 1.0,
        }
    }
}

fn read_service_file(path: &PathBuf) -> Result<ClientConfig, ServiceFileError> {
    let text = std::fs::read_to_string(path).map_err(|source| ServiceFileError::Unreadable {
        path: path.clone(),
        source,
    })?;
    tulipwall_config::read_client_file(&text).map_err(|diagnostics| ServiceFileError::Invalid {
        path: path.clone(),
        diagnostics,
    })
}
