//! One HTTP request on a connection, and its answer.

use crate::hub::{End, Hub};
use grebeusher_time::Instant;
use grebeusher_transport::body::{self, BodyReader};
use grebeusher_transport::headers::Headers;
use grebeusher_transport::http::{self, Limits};
use std::io::ErrorKind;

/// Heads and bodies that any caller here takes.
pub const LIMITS: Limits = Limits { most_head: 64 * 1024, most_headers: 96, most_body: 16 * 1024 * 1024 };

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// There is more to come.
    Pending,
    /// The answer is whole.
    Done,
    /// The connection ended before.
    Failed,
    /// What came is no answer.
    Garbage,
}

/// The call.
pub struct HttpCall {
    /// Its connection.
    pub end: End,
    request: Vec<u8>,
    written: usize,
    input: Vec<u8>,
    reader: Option<BodyReader>,
    method: String,
    /// The status, once the head is there.
    pub status: Option<u16>,
    /// The headers.
    pub headers: Option<Headers>,
    /// The body as far as it came.
    pub body: Vec<u8>,
    /// When the last byte of the request was sent.
    pub sent: Option<Instant>,
}

impl HttpCall {
    /// A request that is to go out on a connection.
    pub fn new(end: End, method: &str, request: Vec<u8>) -> HttpCall {
        HttpCall {
            end,
            request,
            written: 0,
            input: Vec::new(),
            reader: None,
            method: method.to_owned(),
            status: None,
            headers: None,
            body: Vec::new(),
            sent: None,
        }
    }

    /// Whether any byte went out.
    pub fn begun(&self) -> bool {
        self.written > 0
    }

    /// Whether the connection may carry another request after the answer.
    pub fn may_stay(&self) -> bool {
        self.headers.as_ref().is_some_and(|headers| !headers.closes) && self.input.is_empty()
    }

    /// Writes and reads what goes now.
    pub fn advance(&mut self, hub: &mut Hub) -> Progress {
        if matches!(hub.connected(self.end), Ok(false)) {
            return Progress::Pending;
        }
        let is_write_failed = self.write(hub);
        if self.written == self.request.len() && self.sent.is_none() {
            self.sent = Some(hub.now);
        }
        let received = hub.receive(self.end);
        self.input.extend_from_slice(&received.bytes);
        match self.understand() {
            None => return Progress::Garbage,
            Some(true) => return Progress::Done,
            Some(false) => {}
        }
        if received.broken || is_write_failed {
            return Progress::Failed;
        }
        if received.ended {
            let whole = self.reader.as_ref().is_some_and(BodyReader::is_complete_at_close);
            return if whole { Progress::Done } else { Progress::Failed };
        }
        Progress::Pending
    }

    /// Writes what goes now. Returns whether the connection has failed, which a read no longer tells then.
    fn write(&mut self, hub: &mut Hub) -> bool {
        while self.written < self.request.len() {
            match hub.write(self.end, &self.request[self.written..]) {
                Ok(count) => self.written += count,
                Err(error) => return error.kind() != ErrorKind::WouldBlock,
            }
        }
        false
    }

    /// Whether the answer is whole; `None` if it is none.
    fn understand(&mut self) -> Option<bool> {
        while self.reader.is_none() {
            let Some((head, length)) = http::response_head(&self.input, &LIMITS).ok()? else {
                return Some(false);
            };
            self.input.drain(..length);
            if head.is_interim() {
                continue;
            }
            let framing = body::response_framing(head.status, &head.headers, &self.method).ok()?;
            self.reader = Some(BodyReader::new(framing));
            self.status = Some(head.status);
            self.headers = Some(head.headers);
        }
        let reader = self.reader.as_mut()?;
        if !reader.is_done() {
            let body = &mut self.body;
            let consumed = reader.read_with(&self.input, |bytes| body.extend_from_slice(bytes)).ok()?;
            self.input.drain(..consumed);
        }
        Some(reader.is_done())
    }
}

/// A request's bytes.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if method != "GET" && method != "DELETE" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
