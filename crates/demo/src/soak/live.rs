//! Live clients: each keeps one connection open and sends requests on it until the node closes it or is gone.

use super::SoakReport;
use crate::client::LIMITS;
use crate::operator::{GREETING_PREFIX, LIVE_HOST};
use grebeusher_transport::http::{self, Response};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Clients at once.
const CLIENTS: usize = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// What a client waits for an answer, and the deadline that it names.
const DEADLINE: Duration = Duration::from_millis(4_000);
/// The pause between two requests.
const PAUSE: Duration = Duration::from_millis(15);
/// Of so many requests one is an upload.
const UPLOAD_INTERVAL: usize = 6;
/// More than the sockets' buffers take while an executor reads nothing.
const UPLOAD_BYTES: usize = 3_500_000;

/// The clients' threads.
pub(super) struct LiveClients {
    threads: Vec<JoinHandle<SoakReport>>,
}

impl LiveClients {
    pub fn start(frontends: &[SocketAddrV4], stop: &Arc<AtomicBool>) -> LiveClients {
        let clients = (0..CLIENTS).map(|number| {
            let (frontends, stop) = (frontends.to_vec(), stop.clone());
            std::thread::spawn(move || {
                let mut client =
                    LiveClient { number, sent: 0, turn: number, frontends, seen: SoakReport::default() };
                while !stop.load(Ordering::Relaxed) {
                    client.use_connection(&stop);
                }
                client.seen
            })
        });
        LiveClients { threads: clients.collect() }
    }

    /// Adds what the clients saw.
    pub fn finish(self, report: &mut SoakReport) {
        for thread in self.threads {
            let seen = thread.join().unwrap_or_else(|_| SoakReport {
                breaches: vec!["a live client panicked".to_owned()],
                ..SoakReport::default()
            });
            report.served += seen.served;
            report.unserved += seen.unserved;
            report.breaches.extend(seen.breaches);
        }
    }
}

struct LiveClient {
    number: usize,
    sent: usize,
    /// Counts the connections; each goes to the next node.
    turn: usize,
    frontends: Vec<SocketAddrV4>,
    seen: SoakReport,
}

impl LiveClient {
    /// Opens a connection to the next node and sends requests on it until it ends.
    fn use_connection(&mut self, stop: &AtomicBool) {
        self.turn += 1;
        let address = SocketAddr::V4(self.frontends[self.turn % self.frontends.len()]);
        let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
            return std::thread::sleep(PAUSE);
        };
        let mut bytes = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            self.sent += 1;
            match self.exchange(&mut stream, &mut bytes) {
                Ok(response) if !response.headers.closes => std::thread::sleep(PAUSE),
                Ok(_) => return,
                Err(error) => {
                    self.seen.unserved += 1;
                    if error.kind() == ErrorKind::InvalidData {
                        self.seen.breaches.push("MIXED: a client got bytes that are no answer".to_owned());
                    }
                    return;
                }
            }
        }
    }

    fn exchange(&mut self, stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<Response> {
        let id = format!("{:016x}", (2_u64 << 48) + ((self.number as u64) << 32) + self.sent as u64);
        let name = self.request_body();
        let request = format!(
            "POST {GREETING_PREFIX}{id} HTTP/1.1\r\nHost: {LIVE_HOST}\r\nX-Grebeusher-Attempt-Id: {id}\r\n\
             X-Grebeusher-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{name}",
            DEADLINE.as_millis(),
            name.len()
        );
        stream.set_nodelay(true)?;
        stream.write_all(request.as_bytes())?;
        let response = read_response(stream, bytes)?;
        self.check(&id, &name, &response);
        if !bytes.is_empty() {
            self.seen.breaches.push(format!("MIXED: bytes follow the answer to {id}"));
        }
        Ok(response)
    }

    fn request_body(&self) -> String {
        let mut body = format!("client {} request {}", self.number, self.sent);
        if self.sent.is_multiple_of(UPLOAD_INTERVAL) {
            body.extend(std::iter::repeat_n('.', UPLOAD_BYTES));
        }
        body
    }

    fn check(&mut self, id: &str, name: &str, response: &Response) {
        let is_other = response.headers.get("X-Grebeusher-Attempt-Id").is_some_and(|echoed| echoed != id);
        if is_other {
            self.seen.breaches.push(format!("MIXED: {id} got the answer of another request"));
        }
        if !(200..300).contains(&response.status) {
            self.seen.unserved += 1;
            return;
        }
        let is_right = response.body == format!("hello, {name}").as_bytes();
        let has_seal = response.headers.get("X-Grebeusher-Server-Seal").is_some();
        if is_right && has_seal {
            self.seen.served += 1;
        } else {
            let length = response.body.len();
            let start = String::from_utf8_lossy(&response.body[..length.min(80)]);
            self.seen.breaches.push(format!("MIXED: {id} got a body of {length} bytes: {start:?}"));
        }
    }
}

/// Reads the next response. What follows it stays in `bytes`.
fn read_response(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<Response> {
    let until = Instant::now() + DEADLINE;
    loop {
        let read = http::response(bytes, &LIMITS).map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
        if let Some((response, length)) = read {
            bytes.drain(..length);
            return Ok(response);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        let mut piece = [0; 4096];
        match stream.read(&mut piece)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&piece[..count]),
        }
    }
}
