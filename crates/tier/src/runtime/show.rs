//! The command `show`: fetches the status of a node and of all partitions over HTTP.

use crate::batch::api::BATCH_PARTITIONS;
use grebeusher_transport::body::BodyReader;
use grebeusher_transport::http::{self, Limits};
use snafu::{OptionExt, Snafu};
use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// The time-out of connecting, reading and writing. A running node answers much faster.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// The limits on the size of an answer, whose body has a line for each member and executor.
const LIMITS: Limits = Limits { most_head: 16 * 1024, most_headers: 64, most_body: 16 * 1024 * 1024 };

/// The error of a failed `show`.
#[derive(Debug, Snafu)]
pub enum ShowError {
    /// The node can't be reached, or the connection has failed.
    #[snafu(display("{address}: {source}"))]
    Connection {
        /// The address that the request was sent to.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The answer is not a status: no node listens at the address, or it is not the control address of a node.
    #[snafu(display("{address}: no status there (is it the control address of an edge node?)"))]
    NoStatus {
        /// The address that the request was sent to.
        address: SocketAddrV4,
    },
}

/// Returns the status of a node and the status of each partition from its leader. `address` is the control address of the
/// node.
///
/// # Errors
/// Fails if there is no answer, or if the answer is not a status.
pub fn fetch_status(address: SocketAddrV4) -> Result<String, ShowError> {
    let fetch = |path: &str| fetch(address, path).map_err(|source| ShowError::Connection { address, source });
    let answer = read_answer(&fetch("/api/status")?);
    let mut text = answer.filter(|answer| answer.status == 200).context(NoStatusSnafu { address })?.text;
    for partition in 0..=BATCH_PARTITIONS {
        match read_answer(&fetch(&format!("/api/status/{partition}"))?) {
            Some(Answer { status: 200, text: partition_status }) => text += &partition_status,
            Some(Answer { status, .. }) => {
                text += &format!("part {partition}: no owner answers (status {status})\n");
            }
            None => return NoStatusSnafu { address }.fail(),
        }
    }
    Ok(text)
}

struct Answer {
    status: u16,
    text: String,
}

/// Requests a path and returns all bytes up to the end of the connection.
fn fetch(address: SocketAddrV4, path: &str) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address.into(), REQUEST_TIMEOUT)?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
    stream.set_write_timeout(Some(REQUEST_TIMEOUT))?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    let max_bytes = (LIMITS.most_head + LIMITS.most_body) as u64;
    stream.take(max_bytes).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Parses an answer. Returns `None` if it is not complete or its body is not UTF-8.
fn read_answer(bytes: &[u8]) -> Option<Answer> {
    let (head, length) = http::response_head(bytes, &LIMITS).ok()??;
    let framing = http::response_framing(head.status, &head.headers, "GET").ok()?;
    let mut reader = BodyReader::with_most(framing, LIMITS.most_body as u64);
    let mut body = Vec::new();
    reader.read_with(&bytes[length..], |chunk| body.extend_from_slice(chunk)).ok()?;
    let text = reader.is_complete_at_close().then(|| String::from_utf8(body).ok())??;
    Some(Answer { status: head.status, text })
}
