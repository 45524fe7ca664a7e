//! Reads the wire's fields, naming the field that is missing or of the wrong form.

use serde_json::{Map, Value};
use std::time::Duration;

#[derive(Debug)]
pub struct Fields<'a>(&'a Map<String, Value>);

impl<'a> Fields<'a> {
    pub fn of(value: &'a Value, name: &str) -> Result<Fields<'a>, String> {
        value
            .as_object()
            .map(Fields)
            .ok_or_else(|| format!("field {name}: an object is wanted"))
    }

    /// A field that may be left out; null counts as left out.
    pub fn maybe(&self, name: &str) -> Option<&'a Value> {
        self.0.get(name).filter(|v| !v.is_null())
    }

    fn need<T>(
        &self,
        name: &str,
        form: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, String> {
        let value = self
            .maybe(name)
            .ok_or_else(|| format!("field {name}: missing"))?;
        read(value).ok_or_else(|| format!("field {name}: {form} is wanted"))
    }

    fn or<T>(
        &self,
        name: &str,
        form: &str,
        other: T,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, String> {
        if self.maybe(name).is_none() {
            return Ok(other);
        }
        self.need(name, form, read)
    }

    pub fn text(&self, name: &str) -> Result<&'a str, String> {
        self.need(name, "text", Value::as_str)
    }

    pub fn integer(&self, name: &str) -> Result<i64, String> {
        self.need(name, "a whole number", Value::as_i64)
    }

    pub fn whole(&self, name: &str) -> Result<u64, String> {
        self.need(name, "a whole number from 0", Value::as_u64)
    }

    pub fn whole_or(&self, name: &str, other: u64) -> Result<u64, String> {
        self.or(name, "a whole number from 0", other, Value::as_u64)
    }

    pub fn number(&self, name: &str) -> Result<f64, String> {
        self.need(name, "a number", Value::as_f64)
    }

    pub fn number_or(&self, name: &str, other: f64) -> Result<f64, String> {
        self.or(name, "a number", other, Value::as_f64)
    }

    pub fn flag(&self, name: &str) -> Result<bool, String> {
        self.or(name, "true or false", false, Value::as_bool)
    }

    /// A flag that may not be left out.
    pub fn truth(&self, name: &str) -> Result<bool, String> {
        self.need(name, "true or false", Value::as_bool)
    }

    pub fn array(&self, name: &str) -> Result<&'a Vec<Value>, String> {
        self.need(name, "an array", Value::as_array)
    }

    pub fn array_or_none(&self, name: &str) -> Result<&'a [Value], String> {
        self.or(name, "an array", &[][..], |v| {
            v.as_array().map(Vec::as_slice)
        })
    }

    pub fn inner(&self, name: &str) -> Result<Fields<'a>, String> {
        self.need(name, "an object", |v| v.as_object().map(Fields))
    }

    /// A span in milliseconds; what lies before zero is zero.
    pub fn span(&self, name: &str) -> Result<Duration, String> {
        self.number(name).map(span)
    }

    pub fn span_or(&self, name: &str, other: f64) -> Result<Duration, String> {
        self.number_or(name, other).map(span)
    }
}

pub fn span(ms: f64) -> Duration {
    Duration::from_micros((ms.max(0.0) * 1000.0).round() as u64)
}

pub fn millis(span: Duration) -> f64 {
    span.as_micros() as f64 / 1000.0
}
