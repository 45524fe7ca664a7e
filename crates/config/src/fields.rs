//! Typed access to the fields of a JSON object. An error names the field that is missing or has an
//! invalid value.

use serde_json::{Map, Value};
use std::time::Duration;
use thiserror::Error;

const STRING: &str = "text";
const INTEGER: &str = "an integer";
const UNSIGNED: &str = "a non-negative integer";
const NUMBER: &str = "a number";
const BOOLEAN: &str = "true or false";
const ARRAY: &str = "an array";
const OBJECT: &str = "an object";

/// Why a field could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FieldError {
    /// A required field is absent or null.
    #[error("field {key}: missing")]
    Missing {
        /// The field's name.
        key: String,
    },
    /// The field's value has another JSON type, or is outside the range of the expected type.
    #[error("field {key}: expected {expected}")]
    WrongType {
        /// The field's name.
        key: String,
        /// A description of the expected value.
        expected: &'static str,
    },
    /// The field is an array that has an element of the wrong type.
    #[error("field {key}: expected an array of {expected}")]
    WrongElements {
        /// The field's name.
        key: String,
        /// A description of the expected elements, in the plural.
        expected: &'static str,
    },
    /// The field is a string, but not one of the values that are allowed there.
    #[error("field {key}: unknown value '{found}'")]
    UnknownValue {
        /// The field's name.
        key: String,
        /// The field's value.
        found: String,
    },
    /// The field must contain a network address, but its value cannot be parsed as one.
    #[error("field {key}: '{found}' is not a valid {expected}")]
    InvalidAddress {
        /// The field's name.
        key: String,
        /// A description of the expected value.
        expected: &'static str,
        /// The field's value.
        found: String,
    },
    /// The field's number is too large for the type that it is converted to.
    #[error("field {key}: too large")]
    TooLarge {
        /// The field's name.
        key: String,
    },
}

impl FieldError {
    /// The error for a value of the wrong type under `key`.
    pub fn wrong_type(key: &str, expected: &'static str) -> FieldError {
        FieldError::WrongType {
            key: key.to_owned(),
            expected,
        }
    }

    /// The error for an array under `key` that has an element of the wrong type.
    pub fn wrong_elements(key: &str, expected: &'static str) -> FieldError {
        FieldError::WrongElements {
            key: key.to_owned(),
            expected,
        }
    }

    /// The error for a string under `key` that is not one of the allowed values.
    pub fn unknown_value(key: &str, found: &str) -> FieldError {
        FieldError::UnknownValue {
            key: key.to_owned(),
            found: found.to_owned(),
        }
    }
}

/// The fields of one JSON object. A field whose value is null counts as absent.
#[derive(Debug)]
pub struct Fields<'a>(&'a Map<String, Value>);

impl<'a> Fields<'a> {
    /// The fields of `value`, which must be an object. An error refers to it as `name`.
    pub fn new(value: &'a Value, name: &str) -> Result<Fields<'a>, FieldError> {
        value
            .as_object()
            .map(Fields)
            .ok_or_else(|| FieldError::wrong_type(name, OBJECT))
    }

    /// The raw value of an optional field; `None` when absent or null.
    pub fn optional(&self, name: &str) -> Option<&'a Value> {
        self.0.get(name).filter(|value| !value.is_null())
    }

    fn required<T>(
        &self,
        name: &str,
        expected: &'static str,
        convert: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, FieldError> {
        let Some(value) = self.optional(name) else {
            return Err(FieldError::Missing {
                key: name.to_owned(),
            });
        };
        convert(value).ok_or_else(|| FieldError::wrong_type(name, expected))
    }

    fn with_default<T>(
        &self,
        name: &str,
        expected: &'static str,
        default: T,
        convert: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, FieldError> {
        if self.optional(name).is_none() {
            return Ok(default);
        }
        self.required(name, expected, convert)
    }

    /// A required string.
    pub fn text(&self, name: &str) -> Result<&'a str, FieldError> {
        self.required(name, STRING, Value::as_str)
    }

    /// An optional string; `None` when absent or of another type.
    pub fn optional_text(&self, name: &str) -> Option<&'a str> {
        self.optional(name).and_then(Value::as_str)
    }

    /// A required integer, which may be negative.
    pub fn integer(&self, name: &str) -> Result<i64, FieldError> {
        self.required(name, INTEGER, Value::as_i64)
    }

    /// A required non-negative integer.
    pub fn unsigned(&self, name: &str) -> Result<u64, FieldError> {
        self.required(name, UNSIGNED, Value::as_u64)
    }

    /// A non-negative integer; `default` when absent.
    pub fn unsigned_or(&self, name: &str, default: u64) -> Result<u64, FieldError> {
        self.with_default(name, UNSIGNED, default, Value::as_u64)
    }

    /// A required number, which may have a fractional part.
    pub fn number(&self, name: &str) -> Result<f64, FieldError> {
        self.required(name, NUMBER, Value::as_f64)
    }

    /// A number; `default` when absent.
    pub fn number_or(&self, name: &str, default: f64) -> Result<f64, FieldError> {
        self.with_default(name, NUMBER, default, Value::as_f64)
    }

    /// A required boolean.
    pub fn boolean(&self, name: &str) -> Result<bool, FieldError> {
        self.required(name, BOOLEAN, Value::as_bool)
    }

    /// A boolean; false when absent.
    pub fn boolean_or_false(&self, name: &str) -> Result<bool, FieldError> {
        self.with_default(name, BOOLEAN, false, Value::as_bool)
    }

    /// The elements of a required array.
    pub fn array(&self, name: &str) -> Result<&'a Vec<Value>, FieldError> {
        self.required(name, ARRAY, Value::as_array)
    }

    /// The elements of an array; empty when absent.
    pub fn array_or_empty(&self, name: &str) -> Result<&'a [Value], FieldError> {
        let empty: &[Value] = &[];
        self.with_default(name, ARRAY, empty, |value| {
            value.as_array().map(Vec::as_slice)
        })
    }

    /// The fields of a required object.
    pub fn object(&self, name: &str) -> Result<Fields<'a>, FieldError> {
        self.required(name, OBJECT, |value| value.as_object().map(Fields))
    }

    /// The fields of an optional object; `None` when absent.
    pub fn optional_object(&self, name: &str) -> Result<Option<Fields<'a>>, FieldError> {
        self.optional(name)
            .map(|value| Fields::new(value, name))
            .transpose()
    }

    /// A required duration in milliseconds; zero when negative.
    pub fn duration_ms(&self, name: &str) -> Result<Duration, FieldError> {
        self.number(name).map(duration_from_ms)
    }

    /// A duration in milliseconds; `default_ms` when absent, and zero when negative.
    pub fn duration_ms_or(&self, name: &str, default_ms: f64) -> Result<Duration, FieldError> {
        self.number_or(name, default_ms).map(duration_from_ms)
    }
}

/// The duration of `ms` milliseconds, rounded to whole microseconds; zero when negative.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_micros((ms.max(0.0) * 1000.0).round() as u64)
}

/// The duration in milliseconds, truncated to whole microseconds.
pub fn duration_to_ms(duration: Duration) -> f64 {
    duration.as_micros() as f64 / 1000.0
}
