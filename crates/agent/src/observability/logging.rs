//! Logging to standard error, with one line for each record as text or as JSON, including its
//! key-value pairs.
//!
//! The target of a line is the module that logs it, so that a filter such as
//! `RUST_LOG=info,tulipwall_agent::control=debug` selects a subsystem.

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;
use std::io::Write;
use tulipwall_config::LogFormat;

/// Log target of the lines with which the evaluation of a build can be verified: outcomes of
/// attempts and requests, client-reported errors, rollout reports and votes. Each line has level
/// `debug` and begins with the Unix time in milliseconds. Off unless enabled by `RUST_LOG`
/// (`info,evidence=debug`, or `debug` for all targets).
pub const EVIDENCE: &str = "evidence";

/// Log target of the lines with which the exchanges on a connection to an endpoint can be followed:
/// each request that is written, and how its response ended. Each line has level `debug` and names
/// the connection by its number. Off unless enabled by `RUST_LOG` (`info,exchange=debug`).
pub const EXCHANGE: &str = "exchange";

/// Log target of the lines with which a client's connection can be followed: when it begins and why
/// it ends, and why a request was refused, by the connection's number and the request's id. Each
/// line has level `debug`. Off unless enabled by `RUST_LOG` (`info,client=debug`).
pub const CLIENT: &str = "client";

/// Logs a line to the target [`EVIDENCE`], preceded by the clock's current time.
macro_rules! log_evidence {
    ($clock:expr, $($line:tt)+) => {
        log::debug!(
            target: $crate::observability::logging::EVIDENCE,
            "{} {}",
            $clock.to_unix_ms($clock.now()),
            format_args!($($line)+)
        )
    };
}
pub(crate) use log_evidence;

/// Initializes logging. `RUST_LOG` sets the filter, by default `info`. Only the first call has an
/// effect.
pub fn begin(format: LogFormat) {
    let filter = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(filter);
    if format == LogFormat::Json {
        builder.format(|out, record| {
            let timestamp = out.timestamp_micros().to_string();
            writeln!(out, "{}", json(&timestamp, record))
        });
    }
    // This fails if a logger is already installed, which then stays in use.
    let _ = builder.try_init();
}

/// Formats a record as a JSON object with `at`, `level`, `target`, `text` and the record's
/// key-value pairs under their own keys. A key that is already in use gets an underscore appended.
pub fn json(timestamp: &str, record: &log::Record) -> serde_json::Value {
    let mut object = Map::new();
    object.insert("at".into(), timestamp.into());
    object.insert("level".into(), record.level().as_str().into());
    object.insert("target".into(), record.target().into());
    object.insert("text".into(), record.args().to_string().into());
    // Visiting a map cannot fail.
    let _ = record.key_values().visit(&mut KeyValues(&mut object));
    object.into()
}

struct KeyValues<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for KeyValues<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let mut name = key.as_str().to_owned();
        if self.0.contains_key(&name) {
            name.push('_');
        }
        self.0.insert(name, to_json(&value));
        Ok(())
    }
}

fn to_json(value: &Value) -> serde_json::Value {
    if let Some(number) = value.to_u64() {
        number.into()
    } else if let Some(number) = value.to_i64() {
        number.into()
    } else if let Some(number) = value.to_f64() {
        number.into()
    } else if let Some(boolean) = value.to_bool() {
        boolean.into()
    } else {
        value.to_string().into()
    }
}
