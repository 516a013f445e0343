//! Asks a node over HTTP what it says of itself and of the tier.

use crate::batch::api::BATCH_PARTITIONS;
use grebeusher_transport::body::BodyReader;
use grebeusher_transport::http::{self, Limits};
use snafu::{OptionExt, Snafu};
use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// A node that is there connects and answers well within this.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// A status has a line for each member and executor.
const LIMITS: Limits = Limits { most_head: 16 * 1024, most_headers: 64, most_body: 16 * 1024 * 1024 };

/// Why there is no status to show.
#[derive(Debug, Snafu)]
pub enum ShowError {
    /// The node can't be reached, or its answer ends early.
    #[snafu(display("{address}: {source}"))]
    Connection {
        /// The address that was asked.
        address: SocketAddrV4,
        /// What the system says.
        source: io::Error,
    },
    /// What answers there is no node of the tier, or this is not its control address.
    #[snafu(display("{address}: no status there (is it the control address of an edge node?)"))]
    NoStatus {
        /// The address that was asked.
        address: SocketAddrV4,
    },
}

/// What a node says of itself and of the tier, and what the leaders of all partitions say of them, a line for each thing. The
/// address is the node's control address.
///
/// # Errors
/// There is no answer, or it is no status.
pub fn status_of(address: SocketAddrV4) -> Result<String, ShowError> {
    let ask = |path: &str| ask(address, path).map_err(|source| ShowError::Connection { address, source });
    let answer = read_answer(&ask("/api/status")?);
    let mut text = answer.filter(|answer| answer.status == 200).context(NoStatusSnafu { address })?.text;
    for partition in 0..=BATCH_PARTITIONS {
        match read_answer(&ask(&format!("/api/status/{partition}"))?) {
            Some(Answer { status: 200, text: leader }) => text += &leader,
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

/// The complete answer, up to the end of the connection.
fn ask(address: SocketAddrV4, path: &str) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address.into(), REQUEST_TIMEOUT)?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
    stream.set_write_timeout(Some(REQUEST_TIMEOUT))?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    let most = (LIMITS.most_head + LIMITS.most_body) as u64;
    stream.take(most).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// `None`: these bytes are no complete answer with a text.
fn read_answer(bytes: &[u8]) -> Option<Answer> {
    let (head, length) = http::response_head(bytes, &LIMITS).ok()??;
    let framing = http::response_framing(head.status, &head.headers, "GET").ok()?;
    let mut reader = BodyReader::with_most(framing, LIMITS.most_body as u64);
    let mut body = Vec::new();
    reader.read_with(&bytes[length..], |partition| body.extend_from_slice(partition)).ok()?;
    let text = reader.is_complete_at_close().then(|| String::from_utf8(body).ok())??;
    Some(Answer { status: head.status, text })
}
