//! HTTP/1.1 heads and whole messages, as far as nodes, clients, executors and discovery speak it. Bodies that are passed
//! on piece by piece are read in [`crate::body`].

use std::mem::MaybeUninit;
use std::ops::{Range, RangeInclusive};

pub use crate::body::{BodyReader, Framing, Progress, request_framing, response_framing};
pub use crate::headers::Headers;

/// The most header lines that any limits may allow: so many are parsed on the stack.
pub const MAX_HEADERS_LIMIT: usize = 256;
/// A chunk's size line is a few hex digits and perhaps an extension. In bytes.
pub(crate) const MAX_CHUNK_LINE: usize = 256;
/// The statuses that a response can have (RFC 9110, 15).
const STATUSES: RangeInclusive<u16> = 100..=599;
/// What follows it is of another protocol (RFC 9110, 15.2.2).
const SWITCHING_PROTOCOLS: u16 = 101;

/// How large a message may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of the start line and all headers.
    pub most_head: usize,
    /// Header lines; beyond [`MAX_HEADERS_LIMIT`] that many.
    pub most_headers: usize,
    /// Bytes of the body, without its framing.
    pub most_body: usize,
}

impl Limits {
    /// The part of the room for header lines that may be used.
    fn room<'a, T>(&self, lines: &'a mut [T; MAX_HEADERS_LIMIT]) -> &'a mut [T] {
        &mut lines[..self.most_headers.min(MAX_HEADERS_LIMIT)]
    }
}

/// Bytes that are no message; with the status that tells a client so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub u16);

/// The first line and the headers of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// As it was sent.
    pub method: String,
    /// Path and query as they were sent.
    pub target: String,
    /// The headers in their order.
    pub headers: Headers,
}

/// The status and the headers of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// From 100 to 599.
    pub status: u16,
    /// The headers in their order.
    pub headers: Headers,
}

impl ResponseHead {
    /// Whether it only announces another.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }
}

/// A request with its whole body.
#[derive(Debug)]
pub struct Request {
    /// As it was sent.
    pub method: String,
    /// Path and query as they were sent.
    pub target: String,
    /// The headers in their order.
    pub headers: Headers,
    /// The body without its framing.
    pub body: Vec<u8>,
}

/// A response with its whole body.
#[derive(Debug)]
pub struct Response {
    /// From 200 to 599.
    pub status: u16,
    /// The headers in their order.
    pub headers: Headers,
    /// The body without its framing.
    pub body: Vec<u8>,
}

/// The head of the first request of the bytes and how many bytes it has; `None` while it is not whole.
pub fn request_head(bytes: &[u8], limits: &Limits) -> Result<Option<(RequestHead, usize)>, Malformed> {
    let mut lines = [const { MaybeUninit::uninit() }; MAX_HEADERS_LIMIT];
    let mut parsed = httparse::Request::new(&mut []);
    let read = parsed.parse_with_uninit_headers(bytes, limits.room(&mut lines));
    let Some(length) = head_length(read, bytes, limits)? else { return Ok(None) };
    let headers = Headers::read(parsed.headers, parsed.version);
    let (method, target) = (parsed.method.unwrap_or_default(), parsed.path.unwrap_or_default());
    Ok(Some((RequestHead { method: method.to_owned(), target: target.to_owned(), headers }, length)))
}

/// The head of the first response of the bytes, be it an interim one, and how many bytes it has. The parser takes any three
/// digits for a status; a status out of range is refused here, as nothing says how such a response is framed. So is 101: no
/// request of a node asks for another protocol.
pub fn response_head(bytes: &[u8], limits: &Limits) -> Result<Option<(ResponseHead, usize)>, Malformed> {
    let mut lines = [const { MaybeUninit::uninit() }; MAX_HEADERS_LIMIT];
    let mut parsed = httparse::Response::new(&mut []);
    let config = httparse::ParserConfig::default();
    let read = config.parse_response_with_uninit_headers(&mut parsed, bytes, limits.room(&mut lines));
    let Some(length) = head_length(read, bytes, limits)? else { return Ok(None) };
    if has_bare_line_feed(&bytes[..length]) {
        return Err(Malformed(400));
    }
    let is_possible = |status: &u16| STATUSES.contains(status) && *status != SWITCHING_PROTOCOLS;
    let status = parsed.code.filter(is_possible).ok_or(Malformed(400))?;
    let headers = Headers::read(parsed.headers, parsed.version);
    Ok(Some((ResponseHead { status, headers }, length)))
}

/// Whether a line ends with a line feed alone. The parser takes it for the end of a line (RFC 9112, 2.2 allows both), but in a
/// broken head it may be a byte of a field's name: the lines behind it would be read as the body.
fn has_bare_line_feed(head: &[u8]) -> bool {
    head.split_inclusive(|byte| *byte == b'\n').any(|line| !line.ends_with(b"\r\n"))
}

fn head_length(
    parsed: httparse::Result<usize>,
    bytes: &[u8],
    limits: &Limits,
) -> Result<Option<usize>, Malformed> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= limits.most_head => Ok(Some(length)),
        Ok(httparse::Status::Partial) if bytes.len() <= limits.most_head => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Malformed(431)),
        Err(_) => Err(Malformed(400)),
    }
}

/// The first request of the bytes and how many they are; `None` while it is not whole.
pub fn request(bytes: &[u8], limits: &Limits) -> Result<Option<(Request, usize)>, Malformed> {
    let Some((head, length)) = request_head(bytes, limits)? else { return Ok(None) };
    let Some((body, body_length)) = whole_body(&head.headers, &bytes[length..], limits)? else {
        return Ok(None);
    };
    let RequestHead { method, target, headers } = head;
    Ok(Some((Request { method, target, headers, body }, length + body_length)))
}

/// The first response of the bytes, without those that only announce another. One that says no length has no body:
/// whoever speaks to this caller always says it.
pub fn response(bytes: &[u8], limits: &Limits) -> Result<Option<(Response, usize)>, Malformed> {
    let mut skipped = 0;
    loop {
        let Some((head, length)) = response_head(&bytes[skipped..], limits)? else { return Ok(None) };
        skipped += length;
        if head.is_interim() {
            continue;
        }
        let ResponseHead { status, headers } = head;
        let bodiless = status == 204 || status == 304;
        let read =
            if bodiless { Some((Vec::new(), 0)) } else { whole_body(&headers, &bytes[skipped..], limits)? };
        let Some((body, body_length)) = read else { return Ok(None) };
        return Ok(Some((Response { status, headers, body }, skipped + body_length)));
    }
}

/// A body and the length of its framed form; `None` while it is not whole.
type WholeBody = Option<(Vec<u8>, usize)>;

fn whole_body(headers: &Headers, bytes: &[u8], limits: &Limits) -> Result<WholeBody, Malformed> {
    match crate::body::said_framing(headers)? {
        Framing::None | Framing::UntilClose => Ok(Some((Vec::new(), 0))),
        Framing::Length(length) => match usize::try_from(length) {
            Ok(length) if length <= limits.most_body => {
                Ok(bytes.get(..length).map(|body| (body.to_vec(), length)))
            }
            _ => Err(Malformed(413)),
        },
        Framing::Chunked => chunked_body(bytes, limits),
    }
}

fn chunked_body(bytes: &[u8], limits: &Limits) -> Result<WholeBody, Malformed> {
    let (mut body, mut at) = (Vec::new(), 0);
    while let Some((data, length)) = chunk(&bytes[at..], limits)? {
        body.extend_from_slice(&bytes[at..][data.clone()]);
        at += length;
        if body.len() > limits.most_body {
            return Err(Malformed(413));
        }
        if data.is_empty() {
            return Ok(Some((body, at)));
        }
    }
    Ok(None)
}

/// The first chunk of the bytes: where its data lies, and the length of all of it. The last one is empty and
/// ends with the trailers.
pub fn chunk(bytes: &[u8], limits: &Limits) -> Result<Option<(Range<usize>, usize)>, Malformed> {
    let (start, size) = match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((start, size))) => (start, size),
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_CHUNK_LINE => return Ok(None),
        _ => return Err(Malformed(400)),
    };
    let size = usize::try_from(size).ok().filter(|&size| size <= limits.most_body).ok_or(Malformed(413))?;
    let rest = &bytes[start + size.min(bytes.len() - start)..];
    if size == 0 {
        return trailers(rest, limits).map(|length| length.map(|length| (start..start, start + length)));
    }
    match rest {
        [b'\r', b'\n', ..] => Ok(Some((start..start + size, start + size + 2))),
        [] | [b'\r'] => Ok(None),
        _ => Err(Malformed(400)),
    }
}

/// The length of the lines behind the last chunk, with the empty one that ends them.
fn trailers(bytes: &[u8], limits: &Limits) -> Result<Option<usize>, Malformed> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS_LIMIT];
    match httparse::parse_headers(bytes, limits.room(&mut lines)) {
        Ok(httparse::Status::Complete((length, _))) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if bytes.len() <= limits.most_head => Ok(None),
        _ => Err(Malformed(400)),
    }
}

/// The words that go with a status.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        307 => "Temporary Redirect",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => reason_of_kind(status),
    }
}

/// The words for a kind of status, for those that only pass through.
fn reason_of_kind(status: u16) -> &'static str {
    match status / 100 {
        2 => "Success",
        3 => "Redirection",
        5 => "Server Error",
        _ => "Bad Request",
    }
}

/// The header, as name and value, of the last message on a connection.
pub const CLOSE: (&str, &str) = ("Connection", "close");

/// Adds a header, as name and value, to a whole message that begins with its head.
pub fn add_header(message: &mut Vec<u8>, (name, value): (&str, &str)) {
    let Some(first_line) = message.windows(2).position(|pair| pair == b"\r\n") else { return };
    let line = format!("{name}: {value}\r\n");
    let at = first_line + 2;
    message.splice(at..at, line.into_bytes());
}

/// Writes an answer with its length and further headers, as name and value.
pub fn answer(status: u16, further: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    if status != 204 {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    for (name, value) in further {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
