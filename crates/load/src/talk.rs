//! HTTP/1.1 over blocking sockets, as far as clients, executors and discovery speak it. By hand but for the heads, since
//! stand-ins have to misbehave: fall silent, break off, answer late.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const MOST_HEADERS: usize = 32;
const MOST_HEAD: usize = 16 * 1024;

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

pub struct Talk {
    stream: BufReader<TcpStream>,
}

impl Talk {
    pub fn over(stream: TcpStream) -> io::Result<Talk> {
        stream.set_nodelay(true)?;
        Ok(Talk { stream: BufReader::new(stream) })
    }

    pub fn to(address: SocketAddr, within: Duration) -> io::Result<Talk> {
        Talk::over(TcpStream::connect_timeout(&address, within)?)
    }

    /// How long the other side may be silent.
    pub fn bear(&self, silence: Duration) -> io::Result<()> {
        self.stream.get_ref().set_read_timeout(Some(silence))
    }

    pub fn say(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        let mut message = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        message.extend_from_slice(body);
        self.raw(&message)
    }

    pub fn raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// The next request; `None` when the other side has closed.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(head) = self.head()? else { return Ok(None) };
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        parsed.parse(&head).map_err(io::Error::other)?;
        let mut message = Message {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            headers: owned(parsed.headers),
            ..Message::default()
        };
        self.body(&mut message)?;
        Ok(Some(message))
    }

    /// The answer; an end before it is an error.
    pub fn answer(&mut self) -> io::Result<Message> {
        let head = self.head()?.ok_or(ErrorKind::UnexpectedEof)?;
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        parsed.parse(&head).map_err(io::Error::other)?;
        let status = parsed.code.unwrap_or_default();
        let mut message = Message { status, headers: owned(parsed.headers), ..Message::default() };
        self.body(&mut message)?;
        Ok(message)
    }

    fn head(&mut self) -> io::Result<Option<Vec<u8>>> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            if self.stream.read_until(b'\n', &mut head)? == 0 {
                return if head.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
            if head.len() > MOST_HEAD {
                return Err(io::Error::other("a head without end"));
            }
        }
        Ok(Some(head))
    }

    fn body(&mut self, message: &mut Message) -> io::Result<()> {
        let length = message.header("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        self.stream.read_exact(&mut message.body)
    }
}

fn owned(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    headers.iter().map(|h| (h.name.to_owned(), text(h.value))).collect()
}
