//! What a caller asks, and what it gets for it.

use crate::attempt_summary::AttemptSummary;
use crate::error::InvalidCall;
use crate::limits::{MAX_NAME_BYTES, MAX_VALUE_BYTES};
use std::time::Duration;

/// What a name may consist of beside ASCII letters and digits.
const NAME_PUNCTUATION: &str = "_-.:";

/// One call.
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
    /// What is written; `None` reads.
    pub value: Option<Vec<u8>>,
    /// The tenant on whose behalf the call is made.
    pub tenant: Option<String>,
    /// The key by which the service recognizes a repeat of a deduplicated request; drawn where it
    /// is not given.
    pub key: Option<String>,
    /// How long the caller waits. No call outlives it.
    pub timeout: Duration,
    /// An estimate of the work, where the caller has one.
    pub estimated_work: Option<Duration>,
}

impl Call {
    /// Reads an object.
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

    /// Writes an object.
    pub fn write(class: &str, object: &str, value: Vec<u8>, timeout: Duration) -> Call {
        Call {
            value: Some(value),
            ..Call::read(class, object, timeout)
        }
    }

    /// The same call on behalf of this tenant.
    pub fn tenant(self, name: &str) -> Call {
        Call {
            tenant: Some(name.to_owned()),
            ..self
        }
    }

    /// The same call with this deduplication key.
    pub fn key(self, key: &str) -> Call {
        Call {
            key: Some(key.to_owned()),
            ..self
        }
    }

    /// Rejects what cannot be sent: names go into a statement as they are.
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

/// `field` is the name of the name in the input of `tulipwall-call`.
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
    /// The value of the object.
    pub value: Vec<u8>,
    /// The attempts that it took.
    pub attempts: AttemptSummary,
}
