//! HTTP/1.1 as far as clients, executors and discovery speak it: whole messages out of bytes that have come.

use std::io;

const MAX_HEADERS: usize = 32;
const MAX_HEAD: usize = 16 * 1024;

/// A request or an answer.
#[derive(Debug, Default)]
pub struct Message {
    /// Of a request.
    pub method: String,
    pub target: String,
    /// Of an answer.
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn closes(&self) -> bool {
        self.header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// The next request, taken off the front; `None` until it is whole.
pub fn request(bytes: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head = match parsed.parse(bytes).map_err(io::Error::other)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial => return unfinished(bytes),
    };
    let message = Message {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        headers: owned(parsed.headers),
        ..Message::default()
    };
    Ok(whole(bytes, head, message))
}

/// The next answer, taken off the front; `None` until it is whole.
pub fn answer(bytes: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let head = match parsed.parse(bytes).map_err(io::Error::other)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial => return unfinished(bytes),
    };
    let status = parsed.code.unwrap_or_default();
    let message = Message { status, headers: owned(parsed.headers), ..Message::default() };
    Ok(whole(bytes, head, message))
}

fn unfinished(bytes: &[u8]) -> io::Result<Option<Message>> {
    if bytes.len() > MAX_HEAD { Err(io::Error::other("a head without end")) } else { Ok(None) }
}

fn whole(bytes: &mut Vec<u8>, head: usize, mut message: Message) -> Option<Message> {
    let length: usize = message.header("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let ends = head.checked_add(length).filter(|ends| *ends <= bytes.len())?;
    message.body = bytes[head..ends].to_vec();
    bytes.drain(..ends);
    Some(message)
}

fn owned(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    headers.iter().map(|h| (h.name.to_owned(), text(h.value))).collect()
}

/// A message with its length, out of a head whose lines all end.
pub fn said(head: &str, body: &[u8]) -> Vec<u8> {
    let mut message = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    message.extend_from_slice(body);
    message
}
