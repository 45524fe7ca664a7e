//! The calls that a client makes, and their responses.

use crate::attempt_summary::AttemptSummary;
use crate::error::InvalidCall;
use crate::limits::{MAX_NAME_BYTES, MAX_VALUE_BYTES};
use std::time::Duration;

/// The characters that a name may contain besides ASCII letters and digits.
const NAME_PUNCTUATION: &str = "_-.:";

/// A call that reads or writes one object.
///
/// ```
/// use std::time::Duration;
/// use tulipwall_client::Call;
///
/// let call = Call::write("send", "a1", b"text".to_vec(), Duration::from_secs(1))
///     .tenant("acme")
///     .key("c0ffee");
/// assert_eq!(call.object, "a1");
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The name of the request class.
    pub class: String,
    /// The name of the object that is read or written.
    pub object: String,
    /// The value to write; `None` reads the object.
    pub value: Option<Vec<u8>>,
    /// The tenant on whose behalf the call is made; `None` sends no tenant.
    pub tenant: Option<String>,
    /// The key by which the service recognizes a repeat of a deduplicated request. With `None` the
    /// client generates one.
    pub key: Option<String>,
    /// How long the caller waits. Every call ends by then.
    pub timeout: Duration,
    /// The estimated processing time of the request; `None` if the caller has no estimate.
    pub estimated_work: Option<Duration>,
}

impl Call {
    /// Creates a call that reads an object.
    pub fn read(class: &str, object: &str, timeout: Duration) -> Call {
        Call {
            class: class.to_owned(),
            object: object.to_owned(),
            value: None,
            tenant: None,
            key: None,
            timeout,
            estimated_work: None,
        }
    }

    /// Creates a call that writes an object.
    pub fn write(class: &str, object: &str, value: Vec<u8>, timeout: Duration) -> Call {
        Call {
            value: Some(value),
            ..Call::read(class, object, timeout)
        }
    }

    /// Sets the tenant of the call.
    pub fn tenant(self, name: &str) -> Call {
        Call {
            tenant: Some(name.to_owned()),
            ..self
        }
    }

    /// Sets the deduplication key of the call.
    pub fn key(self, key: &str) -> Call {
        Call {
            key: Some(key.to_owned()),
            ..self
        }
    }

    /// Checks that the call can be sent. Names are inserted into the statement without escaping, so
    /// that only harmless characters are accepted.
    pub(crate) fn validate(&self) -> Result<(), InvalidCall> {
        check_name("lane", &self.class)?;
        check_name("object", &self.object)?;
        if let Some(tenant) = &self.tenant {
            check_name("customer", tenant)?;
        }
        if let Some(key) = &self.key {
            check_name("key", key)?;
        }
        let value_bytes = self.value.as_ref().map_or(0, Vec::len);
        if value_bytes > MAX_VALUE_BYTES {
            return Err(InvalidCall::ValueTooLong);
        }
        if self.timeout.is_zero() {
            return Err(InvalidCall::ZeroTimeout);
        }
        Ok(())
    }
}

/// Checks the length and the characters of a name. `field` is the field of the name in the input of
/// `tulipwall-call`.
fn check_name(field: &'static str, name: &str) -> Result<(), InvalidCall> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || NAME_PUNCTUATION.contains(c);
    let length_fits = (1..=MAX_NAME_BYTES).contains(&name.len());
    if length_fits && name.chars().all(allowed) {
        Ok(())
    } else {
        Err(InvalidCall::Name { field })
    }
}

/// The value that a call returned.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResponse {
    /// The value of the object; after a write, the value that the service returned.
    pub value: Vec<u8>,
    /// The attempts that the call took.
    pub attempts: AttemptSummary,
}
