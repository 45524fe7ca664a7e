//! The statements of clients, with the comment that says what a request is.

use super::buffer::Weight;
use super::{malformed, Malformed};
use std::ops::Range;
use std::time::Duration;

#[derive(Debug, PartialEq)]
pub struct Statement {
    pub id: String,
    /// It has the key by which repeats are told.
    pub keyed: bool,
    pub class: String,
    pub tenant: Option<String>,
    /// What it is about: requests on the same object share it.
    pub object: String,
    pub wait: Duration,
    /// A rough hint of what it costs; one that makes no sense is disregarded.
    pub work: Option<Duration>,
    /// Its client marks it as a retry.
    pub again: bool,
    text: String,
    wait_at: Range<usize>,
    _weight: Weight,
}

const READ: [&str; 2] = ["SELECT body FROM objects WHERE oid = ", ""];
const WRITE: [&str; 3] = [
    "INSERT INTO objects (oid, body) VALUES (",
    ", ",
    ") RETURNING body",
];
/// An hour: longer waits are cut to it, so that no sum of times runs over.
const WAIT_MOST: f64 = 3_600_000.0;

impl Statement {
    pub fn parse(text: &str) -> Result<Statement, Malformed> {
        let Some(start) = text.rfind("/*") else {
            return malformed("statement: its comment is missing");
        };
        let comment = text[start + 2..].trim_end().strip_suffix("*/");
        let Some(comment) = comment else {
            return malformed("statement: its comment does not close");
        };
        let object = match (form(&text[..start], &READ), form(&text[..start], &WRITE)) {
            (Some(object), _) | (_, Some(object)) => object,
            _ => return malformed("statement: neither the known SELECT nor the known INSERT"),
        };
        let (mut id, mut class, mut tenant, mut wait, mut keyed) = (None, None, None, None, false);
        let (mut work, mut again) = (None, false);
        let mut at = start + 2;
        for pair in comment.split(',') {
            let Some((name, value)) = pair.split_once('=') else {
                return malformed(format!("statement: '{}' in its comment", short(pair)));
            };
            let value_at = at + name.len() + 1;
            at += pair.len() + 1;
            match name.trim() {
                "id" => id = Some(value.trim()).filter(|v| !v.is_empty()),
                "c" => class = Some(value.trim()),
                "t" => tenant = Some(value.trim()),
                "k" => keyed = !value.trim().is_empty(),
                "h" => {
                    work = value
                        .trim()
                        .parse::<u32>()
                        .ok()
                        .map(|us| Duration::from_micros(us.into()))
                }
                "r" => again = value.trim() == "1",
                "d" => wait = Some((value.trim(), value_at..value_at + value.len())),
                _ => {}
            }
        }
        let Some(id) = id else {
            return malformed("statement: field id is missing");
        };
        let Some(class) = class else {
            return malformed("statement: field c is missing");
        };
        let Some((ms, wait_at)) = wait else {
            return malformed("statement: field d is missing");
        };
        let ms = ms
            .parse::<f64>()
            .ok()
            .filter(|ms| *ms >= 0.0 && ms.is_finite());
        let Some(ms) = ms else {
            return malformed("statement: field d: milliseconds are wanted");
        };
        let wait = Duration::from_secs_f64(ms.min(WAIT_MOST) / 1000.0);
        let (id, class, tenant) = (id.to_owned(), class.to_owned(), tenant.map(str::to_owned));
        // Once here, and once more as it is written on.
        let _weight = Weight::of(text.len() * 2);
        Ok(Statement {
            id,
            keyed,
            class,
            tenant,
            object: object.to_owned(),
            wait,
            work,
            again,
            text: text.to_owned(),
            wait_at,
            _weight,
        })
    }

    /// The same statement, with the time for which the agent will wait.
    pub fn with_wait(&self, wait: Duration) -> String {
        let (before, after) = (
            &self.text[..self.wait_at.start],
            &self.text[self.wait_at.end..],
        );
        let blank = if after.starts_with("*/") { " " } else { "" };
        format!("{before}{}{blank}{after}", wait.as_millis().max(1))
    }
}

/// The first quoted text where `text` is the given pieces with a quoted text between any two.
fn form<'a>(text: &'a str, pieces: &[&str]) -> Option<&'a str> {
    let (mut rest, mut first) = (text.strip_prefix(pieces[0])?, None);
    for piece in &pieces[1..] {
        let inner = rest.strip_prefix('\'')?;
        // A doubled quote stands for one.
        let mut end = inner.find('\'')?;
        while inner[end + 1..].starts_with('\'') {
            end += 2 + inner[end + 2..].find('\'')?;
        }
        first.get_or_insert(&inner[..end]);
        rest = inner[end + 1..].strip_prefix(piece)?;
    }
    rest.trim_end()
        .trim_end_matches(';')
        .is_empty()
        .then_some(first)?
}

fn short(text: &str) -> String {
    text.chars().take(40).collect()
}
