//! The command line.

use clap::Parser;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;
use tulipwall_client::{Call, ClientConfig, Idempotency, RequestClass};
use tulipwall_config::ConfigDiagnostic;

/// Milliseconds that a caller may wait for a call.
pub const TIMEOUT_RANGE_MS: RangeInclusive<u64> = 1..=3_600_000;

const AFTER_HELP: &str = "\
Each answer is a line of JSON: the call's line number, answer, value (hex) or code, come_back_ms, tries, agents,
may_have_run, took_ms.

From standard input, a line a call: {\"lane\":\"view\",\"object\":\"a1\",\"expiry_ms\":800,\"value\":\"9f03\",
\"customer\":\"acme\",\"key\":\"c0ffee\"}; only lane and object are needed.

Exit codes: 0 a value (all, of many); 1 the file of the service is wrong; 2 the command line is wrong; 4 denied or
shed; 5 scrapped; 6 expired; 7 a faulty call. Of many, the highest.";

/// Calls the agents of a service.
#[derive(Parser)]
#[command(name = "tulipwall-call", version, after_help = AFTER_HELP)]
pub struct Arguments {
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
    #[arg(long, value_parser = parse_hex)]
    value: Option<HexBytes>,
    #[arg(long = "customer", value_name = "CUSTOMER")]
    tenant: Option<String>,
    /// By which repeats are told; drawn otherwise.
    #[arg(long)]
    key: Option<String>,
    /// How long to wait, in milliseconds.
    #[arg(
        long = "expiry",
        value_name = "MS",
        default_value_t = 1500,
        value_parser = clap::value_parser!(u64).range(TIMEOUT_RANGE_MS)
    )]
    timeout_ms: u64,
    /// How the class repeats, where no file says so: idempotent, or else unrepeatable.
    #[arg(long)]
    idempotent: bool,
    /// Calls from standard input that are in hand at once.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u16).range(1..=1024))]
    pub at_once: u16,
    /// The client's counters on standard error at the end.
    #[arg(long)]
    pub counters: bool,
}

/// Why the file of the service cannot be used.
#[derive(Debug, Error)]
pub enum ServiceFileError {
    /// It cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        path: PathBuf,
        source: std::io::Error,
    },
    /// It can be read, but not understood; a line for each mistake.
    #[error("{}", DiagnosticLines { path, diagnostics })]
    Invalid {
        path: PathBuf,
        diagnostics: Vec<ConfigDiagnostic>,
    },
}

/// Prints a line for each diagnostic, headed by the file.
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

/// Bytes that are written as pairs of hex digits.
#[derive(Clone)]
pub struct HexBytes(pub Vec<u8>);

/// Why a text is no [`HexBytes`].
#[derive(Debug, Error)]
#[error("pairs of hex digits are wanted")]
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
    /// How long a call may take unless its line says otherwise.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// The call on the command line; `None` where calls are read from standard input.
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

    /// The configuration in the file, with the agents of the command line in the place of its own.
    /// Without a file, the class of the command line is the only one.
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
