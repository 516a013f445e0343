//! Lines in and answers out. Clients say one command a line; a server answers in the simple forms of the Redis protocol.

/// A job with arguments of as many bytes as a body may have, and what is round them; longer lines are no command.
pub const MAX_LINE: usize = 96 * 1024;

/// A line that is longer than any command may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

/// The first line of the bytes, without its end, and how many bytes it takes; `None` while it is not whole.
pub fn line(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, TooLong> {
    let within = &bytes[..bytes.len().min(MAX_LINE + 2)];
    match within.iter().position(|&byte| byte == b'\n') {
        Some(end) => {
            let line = &bytes[..end];
            Ok(Some((line.strip_suffix(b"\r").unwrap_or(line), end + 1)))
        }
        None if within.len() > MAX_LINE => Err(TooLong),
        None => Ok(None),
    }
}

/// What a server answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Ok,
    /// A line with a body, as the greeting.
    Hi(String),
    Error(String),
    Bulk(String),
    Nothing,
}

impl Answer {
    pub fn bytes(&self) -> Vec<u8> {
        // A line ends where its text does. Guards against an answer that another's words are read out of.
        let plain = |text: &str| text.replace(['\r', '\n'], " ");
        match self {
            Answer::Ok => b"+OK\r\n".to_vec(),
            Answer::Hi(body) => format!("+HI {}\r\n", plain(body)).into_bytes(),
            Answer::Error(what) => format!("-ERR {}\r\n", plain(what)).into_bytes(),
            Answer::Bulk(body) => format!("${}\r\n{body}\r\n", body.len()).into_bytes(),
            Answer::Nothing => b"$-1\r\n".to_vec(),
        }
    }
}
