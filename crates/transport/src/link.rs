//! Frames on the links between nodes: `[u32 length, little-endian][u8 channel][payload]`, where the length counts the
//! channel and the payload. The first frame of each connection is the [`Hello`].

use snafu::{Snafu, ensure};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The largest payload, in bytes.
pub const MAX_PAYLOAD: usize = 8 * 1024 * 1024;
/// The largest first frame's payload: whoever has not yet said who it is gets no memory for more.
pub const MAX_HELLO: usize = 256;
/// The version that this program speaks. Older ones are read.
pub const VERSION: u16 = 1;
/// The channel of the first frame on a connection, and of no other.
pub const HELLO_CHANNEL: u8 = 0;

/// Bytes before the channel.
const LENGTH_BYTES: usize = 4;
/// Bytes before the payload.
const HEAD_BYTES: usize = LENGTH_BYTES + 1;
/// The first bytes of a `Hello`. Guards against something else that connects to the address of the links.
const MAGIC: [u8; 4] = *b"grbl";
/// A `Hello` of version 1: magic, version, IPv4 address and port of the sender.
const HELLO_BYTES: usize = 12;
/// An empty decoder keeps no more memory than this, so that one large frame is not paid for ever after.
const KEPT: usize = 64 * 1024;

/// Why a link can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum LinkError {
    /// A frame is larger than is borne at its place.
    #[snafu(display("a frame of {length} bytes; at most {most} are borne here"))]
    FrameTooLarge {
        /// Bytes of its payload.
        length: usize,
        /// The most that may be.
        most: usize,
    },
    /// A frame is too short to name its channel.
    #[snafu(display("a frame without a channel"))]
    NoChannel,
    /// The first frame is no greeting of a node.
    #[snafu(display("the first frame is no greeting"))]
    NoHello,
    /// The sender speaks a newer version than this program.
    #[snafu(display("the peer speaks version {version}, later than {VERSION}"))]
    NewerVersion {
        /// What it speaks.
        version: u16,
    },
    /// More bytes were fed than frames were taken out.
    #[snafu(display("frames are not taken out of the decoder"))]
    NotTakenOut,
}

/// A frame as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// What the payload is about; its meaning is the caller's.
    pub channel: u8,
    /// The message.
    pub payload: Vec<u8>,
}

/// Appends a frame to what is to be sent.
///
/// # Errors
/// The payload is larger than [`MAX_PAYLOAD`]; nothing is appended.
pub fn append_frame(channel: u8, payload: &[u8], to: &mut Vec<u8>) -> Result<(), LinkError> {
    let length = payload.len();
    ensure!(length <= MAX_PAYLOAD, FrameTooLargeSnafu { length, most: MAX_PAYLOAD });
    // Fits, as it was just bounded.
    let counted = (length + 1) as u32;
    to.reserve(HEAD_BYTES + length);
    to.extend_from_slice(&counted.to_le_bytes());
    to.push(channel);
    to.extend_from_slice(payload);
    Ok(())
}

/// A frame's bytes. One with a payload above [`MAX_PAYLOAD`], which no peer would bear, is logged and has none: the link
/// goes on without it.
pub fn encode_frame(channel: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Err(e) = append_frame(channel, payload, &mut bytes) {
        tracing::error!("a message on channel {channel} is not sent: {e}");
    }
    bytes
}

/// Finds frames in what comes over a link, wherever it is cut into pieces. The first frame may have no more than
/// [`MAX_HELLO`] bytes of payload.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    bytes: Vec<u8>,
    /// So many of them are done with.
    start: usize,
    greeted: bool,
    failed: Option<LinkError>,
}

impl FrameDecoder {
    /// Takes in what has come. All whole frames are to be taken out before it is fed again; the decoder keeps no more than
    /// two of the largest, and fails beyond.
    pub fn feed(&mut self, bytes: &[u8]) {
        const MAX_BUFFERED: usize = 2 * (HEAD_BYTES + MAX_PAYLOAD);
        if self.failed.is_some() {
            return;
        }
        self.close_up();
        if self.bytes.len() + bytes.len() > MAX_BUFFERED {
            return self.fail(LinkError::NotTakenOut);
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole frame; `None` until more has come.
    ///
    /// # Errors
    /// The peer does not keep to the form: the link is to be closed. It stays so.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, LinkError> {
        let next = self.failed.map_or_else(|| self.read_frame(), Err);
        next.inspect_err(|&error| self.fail(error))
    }

    /// How many bytes wait for the rest of their frame.
    pub fn buffered(&self) -> usize {
        self.bytes.len() - self.start
    }

    fn read_frame(&mut self) -> Result<Option<Frame>, LinkError> {
        let unread = &self.bytes[self.start..];
        let Some((counted, rest)) = unread.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let counted = u32::from_le_bytes(*counted) as usize;
        let length = counted.checked_sub(1).ok_or(LinkError::NoChannel)?;
        let most = if self.greeted { MAX_PAYLOAD } else { MAX_HELLO };
        ensure!(length <= most, FrameTooLargeSnafu { length, most });
        let Some((&channel, payload)) = rest.get(..counted).and_then(<[u8]>::split_first) else {
            return Ok(None);
        };
        let frame = Frame { channel, payload: payload.to_vec() };
        self.start += LENGTH_BYTES + counted;
        self.greeted = true;
        Ok(Some(frame))
    }

    fn close_up(&mut self) {
        self.bytes.drain(..self.start);
        self.start = 0;
        if self.bytes.is_empty() {
            self.bytes.shrink_to(KEPT);
        }
    }

    fn fail(&mut self, error: LinkError) {
        self.failed = Some(error);
        self.bytes = Vec::new();
        self.start = 0;
    }
}

/// What a node says first on each connection to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The version that the sender speaks.
    pub version: u16,
    /// Where the sender takes links.
    pub address: SocketAddrV4,
}

impl Hello {
    /// The greeting of this program.
    pub fn new(address: SocketAddrV4) -> Hello {
        Hello { version: VERSION, address }
    }
}

/// The frame of a greeting. Every version begins as version 1 does, so that a newer one can be told.
pub fn encode_hello(hello: &Hello) -> Vec<u8> {
    let mut payload = Vec::with_capacity(HELLO_BYTES);
    payload.extend_from_slice(&MAGIC);
    payload.extend_from_slice(&hello.version.to_le_bytes());
    payload.extend_from_slice(&hello.address.ip().octets());
    payload.extend_from_slice(&hello.address.port().to_le_bytes());
    encode_frame(HELLO_CHANNEL, &payload)
}

/// Reads a greeting.
///
/// # Errors
/// It is none, or one of a newer version. An older one, and bytes behind what is known, are read.
pub fn decode_hello(frame: &Frame) -> Result<Hello, LinkError> {
    ensure!(frame.channel == HELLO_CHANNEL, NoHelloSnafu);
    let payload = frame.payload.strip_prefix(&MAGIC).ok_or(LinkError::NoHello)?;
    let (version, rest) = payload.split_first_chunk::<2>().ok_or(LinkError::NoHello)?;
    let version = u16::from_le_bytes(*version);
    ensure!(version <= VERSION, NewerVersionSnafu { version });
    let (ip, rest) = rest.split_first_chunk::<4>().ok_or(LinkError::NoHello)?;
    let (port, _) = rest.split_first_chunk::<2>().ok_or(LinkError::NoHello)?;
    let address = SocketAddrV4::new(Ipv4Addr::from(*ip), u16::from_le_bytes(*port));
    Ok(Hello { version, address })
}
