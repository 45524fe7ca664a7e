//! The bytes that an agent sends, read as they come and bounded. Whatever does not fit is a
//! [`Fault`], never a value.

use std::time::Duration;

/// Notices and the like before an answer ends, and what all of its messages but the value may hold.
const NOTICES_MOST: u32 = 64;
const REST_MOST: usize = 64 * 1024;
const ERROR_MOST: usize = 16 * 1024;

/// What is wrong with what came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault(pub &'static str);

/// What a whole answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    Value(Vec<u8>),
    /// 53300, with a time to come back where one was named.
    Rejected(Option<Duration>),
    /// 57P03.
    Leaving,
    /// Another error, with its code and text.
    Failed(String, String),
    /// To a startup message, or an empty query.
    Ready,
}

/// An answer that is being read.
#[derive(Debug)]
pub struct Reading {
    value_most: usize,
    notices: u32,
    rest: usize,
    row_described: bool,
    value: Option<Vec<u8>>,
    complete: bool,
    error: Option<Said>,
    opened: bool,
}

/// A message: its tag, its body, and how many bytes it took.
pub type Message<'a> = (u8, &'a [u8], usize);

/// One message; `None` while it is not whole. `most`: bytes of its body.
pub fn message(bytes: &[u8], most: usize) -> Result<Option<Message<'_>>, Fault> {
    let Some(head) = bytes.get(..5) else {
        return Ok(None);
    };
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if length < 4 || length > most + 4 {
        return Err(Fault("a message whose length does not fit"));
    }
    Ok(bytes
        .get(5..1 + length)
        .map(|body| (head[0], body, 1 + length)))
}

impl Reading {
    /// `value_most`: bytes of a value at most.
    pub fn new(value_most: usize) -> Reading {
        Reading {
            value_most,
            notices: 0,
            rest: 0,
            row_described: false,
            value: None,
            complete: false,
            error: None,
            opened: false,
        }
    }

    /// Anything of it has come.
    pub fn begun(&self) -> bool {
        self.row_described || self.error.is_some() || self.notices > 0 || self.opened
    }

    /// Takes in what lies in `bytes`; how many bytes it took, and the answer once it is whole.
    pub fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Said>), Fault> {
        let mut took = 0;
        loop {
            let most = self.value_most + ERROR_MOST;
            let Some((tag, body, used)) = message(&bytes[took..], most)? else {
                return Ok((took, None));
            };
            took += used;
            if tag != b'D' {
                self.rest += used;
            }
            if self.rest > REST_MOST {
                return Err(Fault("messages without end"));
            }
            if let Some(said) = self.hear(tag, body)? {
                return Ok((took, Some(said)));
            }
        }
    }

    fn hear(&mut self, tag: u8, body: &[u8]) -> Result<Option<Said>, Fault> {
        let in_answer = self.row_described || self.error.is_some();
        match tag {
            b'N' | b'S' | b'K' => {
                self.notices += 1;
                if self.notices > NOTICES_MOST {
                    return Err(Fault("notices without end"));
                }
            }
            b'R' if body == [0; 4] && !in_answer && !self.opened => self.opened = true,
            b'R' => return Err(Fault("a way to log in that is not known")),
            b'T' if !in_answer => {
                described(body)?;
                self.row_described = true;
            }
            b'D' if self.row_described && self.value.is_none() && !self.complete => {
                self.value = Some(row(body, self.value_most)?);
            }
            b'C' if self.value.is_some() && !self.complete && text(body) => self.complete = true,
            // The answer to SET and the like, which this library never sends.
            b'I' if !in_answer && body.is_empty() => self.opened = true,
            b'E' if self.error.is_none() => self.error = Some(error(body)?),
            b'Z' if matches!(body, [b'I' | b'T' | b'E']) => {
                if let Some(error) = self.error.take() {
                    return Ok(Some(error));
                }
                return match self.value.take() {
                    Some(value) if self.complete => Ok(Some(Said::Value(value))),
                    None if self.opened && !in_answer => Ok(Some(Said::Ready)),
                    _ => Err(Fault("ready in the middle of an answer")),
                };
            }
            _ => return Err(Fault("a message that does not belong there")),
        }
        Ok(None)
    }

    /// The connection has ended. A fatal error needs nothing behind it.
    pub fn end(&mut self) -> Option<Said> {
        self.error.take()
    }
}

fn text(body: &[u8]) -> bool {
    body.len() <= 256 && body.ends_with(&[0]) && !body[..body.len() - 1].contains(&0)
}

/// One column, whatever its name.
fn described(body: &[u8]) -> Result<(), Fault> {
    let none = Fault("a description that does not fit");
    let Some((count, rest)) = body.split_at_checked(2) else {
        return Err(none);
    };
    let name = rest.iter().position(|b| *b == 0).ok_or(none.clone())?;
    if count == [0, 1] && rest.len() == name + 1 + 18 {
        Ok(())
    } else {
        Err(none)
    }
}

fn row(body: &[u8], most: usize) -> Result<Vec<u8>, Fault> {
    let none = Fault("a row that does not fit");
    let Some((head, value)) = body.split_at_checked(6) else {
        return Err(none);
    };
    let length = u32::from_be_bytes([head[2], head[3], head[4], head[5]]) as usize;
    if head[..2] == [0, 1] && length == value.len() && length <= most {
        Ok(value.to_vec())
    } else {
        Err(none)
    }
}

fn error(body: &[u8]) -> Result<Said, Fault> {
    let none = Fault("an error that does not fit");
    if body.len() > ERROR_MOST || !body.ends_with(&[0, 0]) {
        return Err(none);
    }
    let field = |name: u8| {
        let mut fields = body[..body.len() - 2].split(|b| *b == 0);
        let found = fields.find(|f| f.first() == Some(&name));
        found.map(|f| String::from_utf8_lossy(&f[1..]).into_owned())
    };
    let code = field(b'C').filter(|c| c.len() == 5).ok_or(none)?;
    // A time to come back that is no number says nothing; a day is the most that is believed.
    let back = field(b'D').and_then(|d| d.trim().parse::<u64>().ok());
    let back = back.map(|ms| Duration::from_millis(ms.min(86_400_000)));
    Ok(match code.as_str() {
        "53300" => Said::Rejected(back),
        "57P03" => Said::Leaving,
        _ => Said::Failed(code, field(b'M').unwrap_or_default()),
    })
}
