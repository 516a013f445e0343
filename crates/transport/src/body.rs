//! Bodies that are passed on as they come: how a body is framed, and its bytes among those of its framing.

use crate::headers::{Headers, elements};
use crate::http::{MAX_CHUNK_LINE, Malformed};
use std::ops::Range;

/// The most bytes of all lines behind the last chunk.
const MAX_TRAILERS: usize = 16 * 1024;
/// Hex digits of a chunk's size: as many as 60 bits need, so that no size overflows.
const MAX_DIGITS: u8 = 15;

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    None,
    /// So many bytes.
    Length(u64),
    /// Chunks, the last of them empty.
    Chunked,
    /// Everything until the connection closes.
    UntilClose,
}

/// How the body of a request is framed; what could be read in two ways is refused.
pub fn request_framing(headers: &Headers) -> Result<Framing, Malformed> {
    match said_framing(headers)? {
        // Those who speak HTTP/1.0 know no chunks: whoever is between here and there may have read the body otherwise.
        Framing::Chunked if headers.of_old_version => Err(Malformed(400)),
        framing => Ok(framing),
    }
}

/// How the body of a response to a request with `method` is framed; what could be read in two ways is refused.
pub fn response_framing(status: u16, headers: &Headers, method: &str) -> Result<Framing, Malformed> {
    if method == "CONNECT" {
        return Err(Malformed(501));
    }
    let framing = said_framing(headers)?;
    if method == "HEAD" || matches!(status, 100..200 | 204 | 304) {
        return Ok(Framing::None);
    }
    let says_length = headers.get("content-length").is_some();
    match framing {
        Framing::None if says_length => Ok(Framing::Length(0)),
        Framing::None => Ok(Framing::UntilClose),
        framing => Ok(framing),
    }
}

/// The framing that the headers say: none, a length that is not 0, or chunks.
pub(crate) fn said_framing(headers: &Headers) -> Result<Framing, Malformed> {
    let mut lengths = headers.all("content-length").flat_map(elements);
    let coded = headers.once("transfer-encoding")?;
    match (lengths.next(), coded) {
        (None, None) => Ok(Framing::None),
        (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (None, Some(_)) => Err(Malformed(501)),
        (Some(_), Some(_)) => Err(Malformed(400)),
        (Some(first), None) => {
            if !first.bytes().all(|b| b.is_ascii_digit()) || lengths.any(|other| other != first) {
                return Err(Malformed(400));
            }
            match first.parse() {
                Ok(0) => Ok(Framing::None),
                Ok(length) => Ok(Framing::Length(length)),
                // More digits than a number holds are too many bytes, none are no length.
                Err(_) => Err(Malformed(if first.is_empty() { 400 } else { 413 })),
            }
        }
    }
}

/// What a read of a body came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// So many of the bytes are done with; they are all of them unless the body has ended.
    pub consumed: usize,
    /// Where among them the body lies, in order, none of them empty.
    pub data: Vec<Range<usize>>,
    /// Whether the body is whole.
    pub done: bool,
}

/// Finds a body among the bytes of its framing, wherever these are cut into pieces. It keeps and copies none of them.
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: State,
    /// How much of the body may yet come.
    room: u64,
    /// Bytes of the present chunk's size line, or of the trailers.
    line: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// So many bytes are left of the body.
    Length(u64),
    UntilClose,
    /// The size of a chunk as far as it was read.
    Size {
        size: u64,
        digits: u8,
    },
    /// Blanks behind the size.
    SizeEnds(u64),
    Extension(u64),
    /// The line feed of a size line.
    SizeLineFeed(u64),
    Data(u64),
    DataReturn,
    DataLineFeed,
    /// The first byte of a trailer, or of the empty line that ends the body.
    TrailerStart,
    TrailerName,
    TrailerValue,
    TrailerLineFeed,
    LastLineFeed,
    Done,
    Failed(Malformed),
}

const SIZE: State = State::Size { size: 0, digits: 0 };

impl BodyReader {
    /// Reads a body of any length.
    pub fn new(framing: Framing) -> BodyReader {
        BodyReader::with_most(framing, u64::MAX)
    }

    /// Reads a body of up to `most` bytes; a longer one is refused with 413, as soon as that shows.
    pub fn with_most(framing: Framing, most: u64) -> BodyReader {
        let state = match framing {
            Framing::None | Framing::Length(0) => State::Done,
            Framing::Length(length) if length > most => State::Failed(Malformed(413)),
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => SIZE,
            Framing::UntilClose => State::UntilClose,
        };
        BodyReader { state, room: most, line: 0 }
    }

    /// Whether the body is whole.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the body is whole now that the connection has ended.
    pub fn is_complete_at_close(&self) -> bool {
        matches!(self.state, State::Done | State::UntilClose)
    }

    /// Reads on with the next bytes. Those behind the body's end are left. Once refused, a body stays so.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Progress, Malformed> {
        let mut data: Vec<Range<usize>> = Vec::new();
        let consumed = self.advance(bytes, |part| data.push(part))?;
        Ok(Progress { consumed, data, done: self.is_done() })
    }

    /// The same without any memory: hands on each part of the body, and tells how many bytes are done with.
    pub fn read_with(&mut self, bytes: &[u8], mut take: impl FnMut(&[u8])) -> Result<usize, Malformed> {
        self.advance(bytes, |part| take(&bytes[part]))
    }

    fn advance(&mut self, bytes: &[u8], mut take: impl FnMut(Range<usize>)) -> Result<usize, Malformed> {
        let mut at = 0;
        while at < bytes.len() {
            if self.state == State::Done {
                break;
            }
            let stepped = match self.state {
                State::Length(left) | State::Data(left) => self.data(at..bytes.len(), left, &mut take),
                State::UntilClose => self.data(at..bytes.len(), u64::MAX, &mut take),
                _ => self.frame(bytes[at]).map(|()| 1),
            };
            match stepped {
                Ok(count) => at += count,
                Err(malformed) => {
                    self.state = State::Failed(malformed);
                    return Err(malformed);
                }
            }
        }
        match self.state {
            State::Failed(malformed) => Err(malformed),
            _ => Ok(at),
        }
    }

    /// Takes as much of the bytes as belongs to the body's present part, `left` bytes of which are to come.
    fn data(
        &mut self,
        there: Range<usize>,
        left: u64,
        take: &mut impl FnMut(Range<usize>),
    ) -> Result<usize, Malformed> {
        let count = there.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        let count_long = count as u64;
        self.room = self.room.checked_sub(count_long).ok_or(Malformed(413))?;
        take(there.start..there.start + count);
        self.state = match self.state {
            State::Length(left) if left == count_long => State::Done,
            State::Length(left) => State::Length(left - count_long),
            State::Data(left) if left == count_long => State::DataReturn,
            State::Data(left) => State::Data(left - count_long),
            other => other,
        };
        Ok(count)
    }

    /// Goes on by one byte of the framing.
    fn frame(&mut self, byte: u8) -> Result<(), Malformed> {
        self.state = match self.state {
            State::Size { .. } | State::SizeEnds(_) | State::Extension(_) => self.size_line(byte)?,
            State::SizeLineFeed(size) => self.size_line_feed(byte, size)?,
            State::DataReturn => expect(byte, b'\r', State::DataLineFeed)?,
            State::DataLineFeed => expect(byte, b'\n', SIZE)?,
            State::TrailerStart if byte == b'\r' => State::LastLineFeed,
            State::TrailerStart if is_token(byte) => self.trailer(State::TrailerName)?,
            State::TrailerName if byte == b':' => self.trailer(State::TrailerValue)?,
            State::TrailerName if is_token(byte) => self.trailer(State::TrailerName)?,
            State::TrailerValue if byte == b'\r' => self.trailer(State::TrailerLineFeed)?,
            State::TrailerValue if is_text(byte) => self.trailer(State::TrailerValue)?,
            State::TrailerLineFeed => expect(byte, b'\n', self.trailer(State::TrailerStart)?)?,
            State::LastLineFeed => expect(byte, b'\n', State::Done)?,
            State::Failed(malformed) => return Err(malformed),
            _ => return Err(Malformed(400)),
        };
        Ok(())
    }

    fn size_line(&mut self, byte: u8) -> Result<State, Malformed> {
        self.count_line(MAX_CHUNK_LINE)?;
        match self.state {
            State::Size { size, digits } => after_digit(byte, size, digits),
            State::SizeEnds(size) => after_size(byte, size),
            State::Extension(size) => after_extension(byte, size),
            _ => Err(Malformed(400)),
        }
    }

    /// The end of a size line: a chunk that goes beyond the room left is refused before any of it is passed on.
    fn size_line_feed(&mut self, byte: u8, size: u64) -> Result<State, Malformed> {
        self.line = 0;
        match (byte, size) {
            (b'\n', 0) => Ok(State::TrailerStart),
            (b'\n', _) if size > self.room => Err(Malformed(413)),
            (b'\n', _) => Ok(State::Data(size)),
            _ => Err(Malformed(400)),
        }
    }

    fn trailer(&mut self, next: State) -> Result<State, Malformed> {
        self.count_line(MAX_TRAILERS)?;
        Ok(next)
    }

    /// Guards against lines without an end.
    fn count_line(&mut self, most: usize) -> Result<(), Malformed> {
        self.line += 1;
        if self.line > most { Err(Malformed(400)) } else { Ok(()) }
    }
}

fn after_digit(byte: u8, size: u64, digits: u8) -> Result<State, Malformed> {
    match char::from(byte).to_digit(16) {
        Some(_) if digits == MAX_DIGITS => Err(Malformed(400)),
        Some(digit) => Ok(State::Size { size: size * 16 + u64::from(digit), digits: digits + 1 }),
        None if digits == 0 => Err(Malformed(400)),
        None => after_size(byte, size),
    }
}

fn after_size(byte: u8, size: u64) -> Result<State, Malformed> {
    match byte {
        b' ' | b'\t' => Ok(State::SizeEnds(size)),
        b';' => Ok(State::Extension(size)),
        b'\r' => Ok(State::SizeLineFeed(size)),
        _ => Err(Malformed(400)),
    }
}

fn after_extension(byte: u8, size: u64) -> Result<State, Malformed> {
    match byte {
        b'\r' => Ok(State::SizeLineFeed(size)),
        byte if is_text(byte) => Ok(State::Extension(size)),
        _ => Err(Malformed(400)),
    }
}

fn expect(byte: u8, expected: u8, next: State) -> Result<State, Malformed> {
    if byte == expected { Ok(next) } else { Err(Malformed(400)) }
}

/// Whether a byte may stand in a header's name (RFC 9110, 5.6.2).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Whether a byte may stand in a value: no control but the tab.
fn is_text(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}
