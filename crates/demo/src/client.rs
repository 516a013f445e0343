//! One HTTP call on a connection of its own.

use grebeusher_transport::http::{self, BodyReader, Headers, Limits, response_framing, response_head};
use snafu::Snafu;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// What the demonstration reads at most.
pub const LIMITS: Limits = Limits { most_head: 64 * 1024, most_headers: 96, most_body: 8 * 1024 * 1024 };
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// A call.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Who is called.
    pub address: SocketAddrV4,
    /// `GET`, `POST` or `DELETE`.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The `Host`.
    pub host: &'a str,
    /// Further headers.
    pub headers: Vec<(&'a str, String)>,
    /// The body.
    pub body: &'a [u8],
    /// The answer must be whole after this.
    pub within: Duration,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Headers,
    /// Its whole body.
    pub body: Vec<u8>,
    /// From the call's first byte to the first byte of the body; to the end of the head where there is no body.
    pub first_byte: Duration,
    /// From the call's first byte to the answer's last.
    pub took: Duration,
}

impl Answer {
    /// Whether the status is a 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Why there is no whole answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection failed.
    #[snafu(display("{source}"), context(false))]
    Connection {
        /// What the system says.
        source: io::Error,
    },
    /// The answer can't be understood.
    #[snafu(display("no HTTP answer"))]
    Malformed,
    /// The connection ended before the answer did.
    #[snafu(display("the answer was cut off"))]
    CutOff,
    /// The time is over.
    #[snafu(display("no whole answer in time"))]
    Late,
}

/// Calls once.
///
/// # Errors
/// There is no whole answer.
pub fn call(call: &Call<'_>) -> Result<Answer, CallError> {
    let started = Instant::now();
    let until = started + call.within;
    let address = SocketAddr::V4(call.address);
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT.min(call.within))?;
    stream.set_nodelay(true)?;
    stream.write_all(&request_bytes(call))?;
    let mut answer = AnswerReader { stream, until, bytes: Vec::new() };
    let (status, headers) = answer.head()?;
    let framing =
        response_framing(status, &headers, call.method).map_err(|http::Malformed(_)| CallError::Malformed)?;
    let mut reader = BodyReader::with_most(framing, LIMITS.most_body as u64);
    let mut body = Vec::new();
    let mut first_byte = None;
    while !reader.is_done() {
        let consumed = reader
            .read_with(&answer.bytes, |partition| body.extend_from_slice(partition))
            .map_err(|http::Malformed(_)| CallError::Malformed)?;
        answer.bytes.drain(..consumed);
        if first_byte.is_none() && !body.is_empty() {
            first_byte = Some(started.elapsed());
        }
        if reader.is_done() {
            break;
        }
        if !answer.read_more()? {
            if reader.is_complete_at_close() {
                break;
            }
            return Err(CallError::CutOff);
        }
    }
    let took = started.elapsed();
    Ok(Answer { status, headers, body, first_byte: first_byte.unwrap_or(took), took })
}

fn request_bytes(call: &Call<'_>) -> Vec<u8> {
    let mut text =
        format!("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n", call.method, call.target, call.host);
    for (name, value) in &call.headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", call.body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(call.body);
    bytes
}

struct AnswerReader {
    stream: TcpStream,
    until: Instant,
    bytes: Vec<u8>,
}

impl AnswerReader {
    fn head(&mut self) -> Result<(u16, Headers), CallError> {
        loop {
            let read =
                response_head(&self.bytes, &LIMITS).map_err(|http::Malformed(_)| CallError::Malformed)?;
            if let Some((head, length)) = read {
                self.bytes.drain(..length);
                if !head.is_interim() {
                    return Ok((head.status, head.headers));
                }
            } else if !self.read_more()? {
                return Err(CallError::CutOff);
            }
        }
    }

    /// Reads what is there, or waits for it; `false` at the end of the connection.
    fn read_more(&mut self) -> Result<bool, CallError> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(CallError::Late);
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut piece = [0; 16 * 1024];
        match self.stream.read(&mut piece) {
            Ok(count) => {
                self.bytes.extend_from_slice(&piece[..count]);
                Ok(count > 0)
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Err(CallError::Late)
            }
            Err(error) => Err(error.into()),
        }
    }
}
