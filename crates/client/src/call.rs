//! What is asked, and what comes of it.

use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// Of an object, a key or a tenant's name.
const NAME_MOST: usize = 256;
/// Of a value that is written.
const VALUE_MOST: usize = 64 * 1024;

/// One call.
///
/// ```
/// use std::time::Duration;
/// use tulipwall_client::Call;
///
/// let call = Call::write("send", "a1", b"text".to_vec(), Duration::from_secs(1)).tenant("acme").key("c0ffee");
/// assert_eq!(call.object, "a1");
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub class: String,
    pub object: String,
    /// What is written; nothing where it reads.
    pub value: Option<Vec<u8>>,
    pub tenant: Option<String>,
    /// By which repeats of a deduplicated request are told; drawn where it is not given.
    pub key: Option<String>,
    /// How long the caller waits. No call outlives it.
    pub timeout: Duration,
    /// An estimate of the work, where clients supply one.
    pub estimated_work: Option<Duration>,
}

impl Call {
    /// Reads an object.
    pub fn read(class: &str, object: &str, expiry: Duration) -> Call {
        Call {
            class: class.to_owned(),
            object: object.to_owned(),
            value: None,
            tenant: None,
            key: None,
            timeout: expiry,
            estimated_work: None,
        }
    }

    /// Writes an object.
    pub fn write(class: &str, object: &str, value: Vec<u8>, expiry: Duration) -> Call {
        Call {
            value: Some(value),
            ..Call::read(class, object, expiry)
        }
    }

    pub fn tenant(self, name: &str) -> Call {
        Call {
            tenant: Some(name.to_owned()),
            ..self
        }
    }

    pub fn key(self, key: &str) -> Call {
        Call {
            key: Some(key.to_owned()),
            ..self
        }
    }

    /// What is wrong with it, if anything: names go into a statement as they are.
    pub(crate) fn check(&self) -> Result<(), String> {
        let plain = |s: &str| {
            let known = |c: char| c.is_ascii_alphanumeric() || "_-.:".contains(c);
            !s.is_empty() && s.len() <= NAME_MOST && s.chars().all(known)
        };
        let named = [
            ("lane", Some(&self.class)),
            ("object", Some(&self.object)),
            ("customer", self.tenant.as_ref()),
            ("key", self.key.as_ref()),
        ];
        for (what, text) in named {
            if text.is_some_and(|t| !plain(t)) {
                return Err(format!(
                    "{what}: 1 to {NAME_MOST} letters, digits or any of _-.: are wanted"
                ));
            }
        }
        match &self.value {
            Some(v) if v.len() > VALUE_MOST => {
                Err(format!("value: {VALUE_MOST} bytes at most are wanted"))
            }
            _ if self.timeout.is_zero() => Err("expiry: more than nothing is wanted".into()),
            _ => Ok(()),
        }
    }

    /// The statement of one try, with what is really left of its time.
    pub(crate) fn statement(
        &self,
        id: &str,
        key: Option<&str>,
        left: Duration,
        again: bool,
    ) -> String {
        let mut text = match &self.value {
            None => format!("SELECT body FROM objects WHERE oid = '{}'", self.object),
            Some(value) => {
                let mut text = format!(
                    "INSERT INTO objects (oid, body) VALUES ('{}', '\\x",
                    self.object
                );
                for b in value {
                    // Writing to a string cannot fail.
                    let _ = write!(text, "{b:02x}");
                }
                text + "') RETURNING body"
            }
        };
        let _ = write!(text, " /* id={id},c={}", self.class);
        if let Some(tenant) = &self.tenant {
            let _ = write!(text, ",t={tenant}");
        }
        let _ = write!(text, ",d={}", left.as_millis().max(1));
        if let Some(key) = key {
            let _ = write!(text, ",k={key}");
        }
        if again {
            text += ",r=1";
        }
        if let Some(h) = self.estimated_work {
            let _ = write!(text, ",h={}", h.as_micros());
        }
        text + " */"
    }
}

/// What was tried for a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptSummary {
    /// The agents that were tried, in their order; one may come again.
    pub agents: Vec<SocketAddr>,
    /// How each try but the last ended.
    pub failures: Vec<&'static str>,
    /// It may have run at some of them.
    pub may_have_executed: bool,
    pub elapsed: Duration,
}

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResponse {
    pub value: Vec<u8>,
    pub attempts: AttemptSummary,
}

/// No value, and why.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum CallError {
    /// It did not run, or a repeat is harmless: the caller may ask again, not before `retry_after`
    /// where that is given.
    Rejected {
        retry_after: Option<Duration>,
        attempts: AttemptSummary,
    },
    /// It failed. Where `tried.may_have_run` is set and the class is not idempotent, it must not be
    /// asked again.
    Failed {
        code: String,
        attempts: AttemptSummary,
    },
    /// Its time is over.
    DeadlineExceeded { attempts: AttemptSummary },
    /// More calls are in flight than the agents bear, or wait than may wait: it did not go out.
    Overloaded,
    /// The call itself is wrong.
    InvalidCall(String),
}

impl CallError {
    pub fn attempts(&self) -> Option<&AttemptSummary> {
        match self {
            CallError::Rejected {
                attempts: tried, ..
            }
            | CallError::Failed {
                attempts: tried, ..
            }
            | CallError::DeadlineExceeded { attempts: tried } => Some(tried),
            CallError::Overloaded | CallError::InvalidCall(_) => None,
        }
    }

    /// As counters and the command line write it.
    pub fn as_str(&self) -> &'static str {
        match self {
            CallError::Rejected { .. } => "denied",
            CallError::Failed { .. } => "scrapped",
            CallError::DeadlineExceeded { .. } => "expired",
            CallError::Overloaded => "shed",
            CallError::InvalidCall(_) => "faulty",
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ran = |t: &AttemptSummary| {
            if t.may_have_executed {
                "it may have run"
            } else {
                "it never ran"
            }
        };
        match self {
            CallError::Rejected {
                retry_after: Some(t),
                ..
            } => write!(f, "denied; come back after {t:?}"),
            CallError::Rejected { .. } => f.write_str("denied"),
            CallError::Failed {
                code,
                attempts: tried,
            } => write!(f, "scrapped ({code}); {}", ran(tried)),
            CallError::DeadlineExceeded { attempts: tried } => write!(f, "expired; {}", ran(tried)),
            CallError::Overloaded => {
                f.write_str("shed: more calls are in flight than the agents bear")
            }
            CallError::InvalidCall(what) => write!(f, "faulty call: {what}"),
        }
    }
}

impl std::error::Error for CallError {}
