//! As much of HTTP/1.1 as the stand-ins speak, on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The second word of the first line of an answer.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// As its framing says.
    Complete,
    /// The connection ended before that.
    Cut,
    /// Nothing came for too long.
    Silent,
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    pub end: End,
}

/// A connection with what was read and is not used yet.
pub struct Connection {
    pub stream: TcpStream,
    pub input: Vec<u8>,
}

impl Connection {
    pub fn open(to: SocketAddr) -> io::Result<Connection> {
        Ok(Connection::over(TcpStream::connect_timeout(&to, Duration::from_secs(1))?))
    }

    pub fn over(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, input: Vec::new() }
    }

    /// Reads more; how many bytes came, 0 at the end.
    fn fill(&mut self, until: Instant) -> io::Result<usize> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut piece = [0; 16 * 1024];
        let count = self.stream.read(&mut piece)?;
        self.input.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    /// Reads a head. `None` if the connection ends first.
    pub fn read_head(&mut self, until: Instant) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.input.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(n, v)| (n.to_owned(), v.trim().to_owned())).collect();
                return Ok(Some(Head { first_line, headers }));
            }
            if self.fill(until)? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads exactly so many bytes.
    pub fn read_exactly(&mut self, count: usize, until: Instant) -> io::Result<Option<Vec<u8>>> {
        while self.input.len() < count {
            if self.fill(until)? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.input.drain(..count).collect()))
    }

    fn read_line(&mut self, until: Instant) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.input.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill(until)? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a body as its head frames it. What has come stays in `body`.
    fn read_body(&mut self, head: &Head, body: &mut Vec<u8>, until: Instant) -> io::Result<End> {
        if head.get("transfer-encoding").is_some() {
            loop {
                let Some(line) = self.read_line(until)? else { return Ok(End::Cut) };
                let Ok(size) = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16) else {
                    return Ok(End::Cut);
                };
                if size == 0 {
                    while let Some(line) = self.read_line(until)? {
                        if line.is_empty() {
                            return Ok(End::Complete);
                        }
                    }
                    return Ok(End::Cut);
                }
                match self.read_exactly(size + 2, until)? {
                    Some(chunk) => body.extend_from_slice(&chunk[..size]),
                    None => return Ok(End::Cut),
                }
            }
        }
        let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while body.len() < length {
            if self.input.is_empty() && self.fill(until)? == 0 {
                return Ok(End::Cut);
            }
            let count = (length - body.len()).min(self.input.len());
            body.extend(self.input.drain(..count));
        }
        Ok(End::Complete)
    }

    /// Reads an answer; an error of the connection counts as its end.
    pub fn read_answer(&mut self, until: Instant) -> Answer {
        let ended = |error: io::Error| match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::Silent,
            _ => End::Cut,
        };
        let head = match self.read_head(until) {
            Ok(Some(head)) => head,
            Ok(None) => return Answer { head: Head::default(), body: Vec::new(), end: End::Cut },
            Err(error) => return Answer { head: Head::default(), body: Vec::new(), end: ended(error) },
        };
        let mut body = Vec::new();
        let end = self.read_body(&head, &mut body, until).unwrap_or_else(ended);
        Answer { head, body, end }
    }

    /// Whether the other side has closed; bytes that have come stay.
    pub fn is_closed_by_peer(&self) -> bool {
        let mut byte = [0];
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// A request with a body of known length.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One call on a connection of its own; `None` if it can't be made.
pub fn call(to: SocketAddr, bytes: &[u8], within: Duration) -> Option<Answer> {
    let until = Instant::now() + within;
    let mut connection = Connection::open(to).ok()?;
    connection.send(bytes).ok()?;
    Some(connection.read_answer(until))
}
