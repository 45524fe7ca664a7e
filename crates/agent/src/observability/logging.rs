//! The log on standard error: a line for each record, as text or as JSON, with its key-values.
//!
//! The target of a line is the module that it comes from, so that a filter such as
//! `RUST_LOG=info,tulipwall_agent::control=debug` selects a subsystem.

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;
use std::io::Write;
use tulipwall_config::LogFormat;

/// Target of the lines that the evaluation of a build can be checked by, each at `debug` with the
/// Unix time in milliseconds: how attempts and requests ended, client-reported errors, rollout
/// reports and votes. Off unless `RUST_LOG` sets it (`info,evidence=debug`, or `debug` for all).
pub const EVIDENCE: &str = "evidence";

/// Logs a line of the target [`EVIDENCE`] with the present time of a clock in front.
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

/// Begins to log; `RUST_LOG` sets the filter, `info` where it is unset. Only the first call counts.
pub fn begin(format: LogFormat) {
    let filter = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(filter);
    if format == LogFormat::Json {
        builder.format(|out, record| {
            let timestamp = out.timestamp_micros().to_string();
            writeln!(out, "{}", json(&timestamp, record))
        });
    }
    // A second call finds a logger in its place, which is what is wanted.
    let _ = builder.try_init();
}

/// One record as an object: `at`, `level`, `target`, `text`, and its key-values under their own
/// names. A key that has one of these names gets an underscore behind it.
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
    } else if let Some(truth) = value.to_bool() {
        truth.into()
    } else {
        value.to_string().into()
    }
}
