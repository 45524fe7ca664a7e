//! The program's log on standard error: a line for each record, as text or as JSON, with its
//! key-values.

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;
use std::io::Write;
use tulipwall_config::LogFormat;

/// Target of what a verdict on a build rests on, a line each at `debug`: how attempts and requests
/// ended, flags, news and votes, with the Unix time in milliseconds. Off unless `RUST_LOG` sets it
/// (`info,evidence=debug`, or `debug` for all).
pub const EVIDENCE: &str = "evidence";

/// Begins to log; `RUST_LOG` sets what, `info` unless set. Only the first call counts.
pub fn begin(form: LogFormat) {
    let mut builder =
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"));
    if form == LogFormat::Json {
        builder.format(|out, record| {
            let at = out.timestamp_micros().to_string();
            writeln!(out, "{}", json(&at, record))
        });
    }
    // A second call finds a logger in its place, which is what is wanted.
    let _ = builder.try_init();
}

/// One record as an object: `at`, `level`, `target`, `text`, and its key-values under their own
/// names. A key that has one of these names gets an underscore behind it.
pub fn json(at: &str, record: &log::Record) -> serde_json::Value {
    let mut object = Map::new();
    object.insert("at".into(), at.into());
    object.insert("level".into(), record.level().as_str().into());
    object.insert("target".into(), record.target().into());
    object.insert("text".into(), record.args().to_string().into());
    // Visiting a map cannot fail.
    let _ = record.key_values().visit(&mut Fields(&mut object));
    object.into()
}

struct Fields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let mut name = key.as_str().to_owned();
        if self.0.contains_key(&name) {
            name.push('_');
        }
        let value = if let Some(n) = value.to_u64() {
            n.into()
        } else if let Some(n) = value.to_i64() {
            n.into()
        } else if let Some(n) = value.to_f64() {
            n.into()
        } else if let Some(b) = value.to_bool() {
            b.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(name, value);
        Ok(())
    }
}
