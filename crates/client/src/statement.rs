//! Renders the statement that is sent to an agent for one attempt.

use crate::call::Call;
use std::fmt::Write;
use std::time::Duration;

/// The metadata of an attempt that is not part of its call.
pub struct AttemptHeader<'a> {
    /// The unique id of the attempt.
    pub id: &'a str,
    /// The deduplication key, the same in all attempts of a call; `None` if the call has none.
    pub deduplication_key: Option<&'a str>,
    /// The remaining part of the call's timeout.
    pub time_left: Duration,
    /// Whether the statement carries the retry marker.
    pub marked_as_retry: bool,
}

/// Renders the statement of one attempt, with its metadata in a comment at the end.
pub fn render(call: &Call, header: &AttemptHeader<'_>) -> String {
    let mut text = render_query(call);
    // Writing to a string cannot fail.
    let _ = write_metadata(&mut text, call, header);
    text
}

fn render_query(call: &Call) -> String {
    let object = &call.object;
    match &call.value {
        None => format!("SELECT body FROM objects WHERE oid = '{object}'"),
        Some(value) => {
            let hex: String = value.iter().map(|byte| format!("{byte:02x}")).collect();
            format!(
                "INSERT INTO objects (oid, body) VALUES ('{object}', '\\x{hex}') RETURNING body"
            )
        }
    }
}

fn write_metadata(text: &mut String, call: &Call, header: &AttemptHeader<'_>) -> std::fmt::Result {
    write!(text, " /* id={},c={}", header.id, call.class)?;
    if let Some(tenant) = &call.tenant {
        write!(text, ",t={tenant}")?;
    }
    write!(text, ",d={}", header.time_left.as_millis().max(1))?;
    if let Some(key) = header.deduplication_key {
        write!(text, ",k={key}")?;
    }
    if header.marked_as_retry {
        text.push_str(",r=1");
    }
    if let Some(work) = call.estimated_work {
        write!(text, ",h={}", work.as_micros())?;
    }
    text.push_str(" */");
    Ok(())
}
