//! HTTP/1.1 heads and bodies, as far as nodes, clients, executors and discovery speak it.

use std::ops::Range;

/// The protocol's own limit.
pub const MOST_BODY: usize = 64 * 1024;
/// Twice what common servers bear; the protocol's heads take some hundred bytes and a dozen lines.
const MOST_HEAD: usize = 16 * 1024;
const MOST_HEADERS: usize = 64;
/// A chunk's size line is a few hex digits and perhaps an extension.
const MOST_CHUNK_LINE: usize = 256;

/// Bytes that are no message; with the status that tells a client so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub u16);

/// The headers of a message, and whether the connection ends with it.
#[derive(Debug, Default)]
pub struct Headers {
    list: Vec<(String, String)>,
    pub closes: bool,
}

impl Headers {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.list.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The value of a header that may stand there once: of two, others might go by the other one.
    pub fn once(&self, name: &str) -> Result<Option<&str>, Malformed> {
        let mut values = self.all(name);
        let value = values.next();
        if values.next().is_some() { Err(Malformed(400)) } else { Ok(value) }
    }

    fn all<'a, 'b>(&'a self, name: &'b str) -> impl Iterator<Item = &'a str> + use<'a, 'b> {
        self.list.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The lines of those that go on to whoever serves the request: all but `own`, which the node writes itself, and
    /// those that are about one connection (RFC 9110, 7.6.1). Guards against an executor that misses what its client
    /// said, its idempotency key above all.
    pub fn passed_on(&self, own: &[&str]) -> String {
        const OF_THE_CONNECTION: [&str; 9] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
        ];
        let named: Vec<&str> = self.all("connection").flat_map(|v| v.split(',')).map(str::trim).collect();
        let among = |names: &[&str], name: &str| names.iter().any(|n| n.eq_ignore_ascii_case(name));
        let stays = |name: &str| among(&OF_THE_CONNECTION, name) || among(&named, name) || among(own, name);
        let lines = self.list.iter().filter(|(name, _)| !stays(name));
        lines.map(|(name, value)| format!("{name}: {value}\r\n")).collect()
    }

    fn read(parsed: &[httparse::Header<'_>], version: Option<u8>) -> Headers {
        let list = parsed
            .iter()
            .map(|h| (h.name.to_owned(), String::from_utf8_lossy(h.value).trim().to_owned()))
            .collect();
        let mut headers = Headers { list, closes: false };
        let says = |what: &str| {
            let mut words = headers.all("connection").flat_map(|v| v.split(','));
            words.any(|word| word.trim().eq_ignore_ascii_case(what))
        };
        headers.closes = says("close") || (version == Some(0) && !says("keep-alive"));
        headers
    }

    /// How the body is framed; what could be read in two ways is refused.
    fn framing(&self) -> Result<Framing, Malformed> {
        let mut lengths = self.all("content-length").flat_map(|v| v.split(',')).map(str::trim);
        let coded = self.once("transfer-encoding")?;
        match (lengths.next(), coded) {
            (None, None) => Ok(Framing::Length(0)),
            (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            (None, Some(_)) => Err(Malformed(501)),
            (Some(_), Some(_)) => Err(Malformed(400)),
            (Some(first), None) => {
                if !first.bytes().all(|b| b.is_ascii_digit()) || lengths.any(|other| other != first) {
                    return Err(Malformed(400));
                }
                match first.parse() {
                    Ok(length) if length <= MOST_BODY => Ok(Framing::Length(length)),
                    // More digits than a number holds are too many bytes, none are no length.
                    _ => Err(Malformed(if first.is_empty() { 400 } else { 413 })),
                }
            }
        }
    }
}

enum Framing {
    Length(usize),
    Chunked,
}

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// The first request of the bytes and how many they are; `None` while it is not whole.
pub fn request(bytes: &[u8]) -> Result<Option<(Request, usize)>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let Some(head) = head_length(parsed.parse(bytes), bytes)? else { return Ok(None) };
    let headers = Headers::read(parsed.headers, parsed.version);
    let Some((body, length)) = body(&headers, &bytes[head..])? else { return Ok(None) };
    let (method, target) = (parsed.method.unwrap_or_default(), parsed.path.unwrap_or_default());
    let request = Request { method: method.to_owned(), target: target.to_owned(), headers, body };
    Ok(Some((request, head + length)))
}

/// The first response of the bytes, without those that only announce another.
pub fn response(bytes: &[u8]) -> Result<Option<(Response, usize)>, Malformed> {
    let mut skipped = 0;
    loop {
        let Some((status, headers, head)) = response_head(&bytes[skipped..])? else { return Ok(None) };
        if (100..200).contains(&status) {
            skipped += head;
            continue;
        }
        let rest = &bytes[skipped + head..];
        let bodiless = status == 204 || status == 304;
        let read = if bodiless { Some((Vec::new(), 0)) } else { body(&headers, rest)? };
        let Some((body, length)) = read else { return Ok(None) };
        return Ok(Some((Response { status, headers, body }, skipped + head + length)));
    }
}

pub fn response_head(bytes: &[u8]) -> Result<Option<(u16, Headers, usize)>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let Some(head) = head_length(parsed.parse(bytes), bytes)? else { return Ok(None) };
    Ok(Some((parsed.code.unwrap_or(0), Headers::read(parsed.headers, parsed.version), head)))
}

fn head_length(parsed: httparse::Result<usize>, bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= MOST_HEAD => Ok(Some(length)),
        Ok(httparse::Status::Partial) if bytes.len() <= MOST_HEAD => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Malformed(431)),
        Err(_) => Err(Malformed(400)),
    }
}

fn body(headers: &Headers, bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    match headers.framing()? {
        Framing::Length(length) => Ok(bytes.get(..length).map(|body| (body.to_vec(), length))),
        Framing::Chunked => chunked_body(bytes),
    }
}

fn chunked_body(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    let (mut body, mut at) = (Vec::new(), 0);
    while let Some((data, length)) = chunk(&bytes[at..])? {
        body.extend_from_slice(&bytes[at..][data.clone()]);
        at += length;
        if body.len() > MOST_BODY {
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
pub fn chunk(bytes: &[u8]) -> Result<Option<(Range<usize>, usize)>, Malformed> {
    let (start, size) = match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((start, size))) => (start, size),
        Ok(httparse::Status::Partial) if bytes.len() <= MOST_CHUNK_LINE => return Ok(None),
        _ => return Err(Malformed(400)),
    };
    let size = usize::try_from(size).ok().filter(|&size| size <= MOST_BODY).ok_or(Malformed(413))?;
    let rest = &bytes[start + size.min(bytes.len() - start)..];
    if size == 0 {
        return trailers(rest).map(|length| length.map(|length| (start..start, start + length)));
    }
    match rest {
        [b'\r', b'\n', ..] => Ok(Some((start..start + size, start + size + 2))),
        [] | [b'\r'] => Ok(None),
        _ => Err(Malformed(400)),
    }
}

/// The length of the lines behind the last chunk, with the empty one that ends them.
fn trailers(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    match httparse::parse_headers(bytes, &mut headers) {
        Ok(httparse::Status::Complete((length, _))) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if bytes.len() <= MOST_HEAD => Ok(None),
        _ => Err(Malformed(400)),
    }
}

/// Writes an answer, with a further header if there is one: to a client, to an executor's call-back, to the staff.
pub fn answer(status: u16, closes: bool, further: Option<(&str, &str)>, body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Bad Request",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    if status != 204 {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    if let Some((name, value)) = further {
        text += &format!("{name}: {value}\r\n");
    }
    if closes {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
