//! Parsing a stream of events (`text/event-stream`) that comes in chunks with any boundaries.

use snafu::{OptionExt, Snafu, ensure};

/// The largest event, all its lines together, and so about the most that a reader holds.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// A line buffer up to this capacity is reused for the next line. Streams are many, so larger ones are freed.
const MAX_SPARE_LINE_BYTES: usize = 4 << 10;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number in its `id` line.
    pub id: u64,
    /// Its data, several lines of which are joined by line feeds.
    pub data: String,
}

/// Why a stream can't be read further. The run counts as broken.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EventError {
    /// An event exceeds [`MAX_EVENT_BYTES`].
    #[snafu(display("an event is larger than {MAX_EVENT_BYTES} bytes"))]
    TooLarge,
    /// An event has data but no id, or its id is not a number.
    #[snafu(display("an event has no id that is a number"))]
    NoId,
    /// The data of an event is not UTF-8.
    #[snafu(display("an event is no UTF-8"))]
    NotText,
    /// The stream ends inside an event.
    #[snafu(display("the stream ends inside an event"))]
    Unfinished,
    /// An earlier call failed.
    #[snafu(display("the stream was unreadable before"))]
    Failed,
}

/// Splits a stream into events. Lines end with LF or CRLF, events with an empty line. Lines other than `id` and
/// `data` (comments, `event`, an engine's description of its weights) are ignored.
#[derive(Debug, Default)]
pub struct EventReader {
    /// The line that has begun.
    line: Vec<u8>,
    /// Bytes of the event that has begun, ignored lines included.
    event_bytes: usize,
    started: bool,
    id: IdField,
    data: Option<Vec<u8>>,
    failed: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum IdField {
    #[default]
    Missing,
    Number(u64),
    Unreadable,
}

impl EventReader {
    /// A reader at the start of a stream.
    pub fn new() -> EventReader {
        EventReader::default()
    }

    /// Takes the next bytes of the stream and hands each event that they complete to `take`, in order.
    ///
    /// # Errors
    /// When the stream can't be read on; events before the fault have been handed over. Later calls fail too.
    pub fn push(&mut self, mut bytes: &[u8], mut take: impl FnMut(Event)) -> Result<(), EventError> {
        ensure!(!self.failed, FailedSnafu);
        while !bytes.is_empty() {
            let result = self.step(&mut bytes);
            self.failed = result.is_err();
            if let Some(event) = result? {
                take(event);
            }
        }
        Ok(())
    }

    /// Checks that the stream may end here: no event is incomplete.
    ///
    /// # Errors
    /// When an event has begun, or the stream was unreadable before.
    pub fn finish(&self) -> Result<(), EventError> {
        ensure!(!self.failed, FailedSnafu);
        let has_begun = !self.line.is_empty() || self.data.is_some() || self.id != IdField::Missing;
        ensure!(!has_begun, UnfinishedSnafu);
        Ok(())
    }

    /// Consumes the rest of the line, or all of the bytes.
    fn step(&mut self, bytes: &mut &[u8]) -> Result<Option<Event>, EventError> {
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let (chunk, rest) = match end {
            Some(end) => (&bytes[..end], &bytes[end + 1..]),
            None => (*bytes, &bytes[bytes.len()..]),
        };
        *bytes = rest;
        self.event_bytes += chunk.len();
        ensure!(self.event_bytes <= MAX_EVENT_BYTES, TooLargeSnafu);
        if end.is_none() {
            self.line.extend_from_slice(chunk);
            return Ok(None);
        }
        if self.line.is_empty() {
            return self.take_line(chunk);
        }
        let mut line = std::mem::take(&mut self.line);
        line.extend_from_slice(chunk);
        let event = self.take_line(&line);
        if line.capacity() <= MAX_SPARE_LINE_BYTES {
            line.clear();
            self.line = line;
        }
        event
    }

    fn take_line(&mut self, line: &[u8]) -> Result<Option<Event>, EventError> {
        let mut line = line.strip_suffix(b"\r").unwrap_or(line);
        if !std::mem::replace(&mut self.started, true) {
            line = line.strip_prefix("\u{feff}".as_bytes()).unwrap_or(line);
        }
        if line.is_empty() {
            return self.end_event();
        }
        if let Some(value) = field(line, b"data") {
            match &mut self.data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => self.data = Some(value.to_vec()),
            }
        } else if let Some(value) = field(line, b"id") {
            let number = std::str::from_utf8(value).ok().and_then(|text| text.trim().parse().ok());
            self.id = number.map_or(IdField::Unreadable, IdField::Number);
        }
        Ok(None)
    }

    /// An empty line. An event with an id but no data counts as one of empty data; lines of neither are none.
    fn end_event(&mut self) -> Result<Option<Event>, EventError> {
        self.event_bytes = 0;
        let (id, data) = (std::mem::take(&mut self.id), self.data.take());
        let id = match (id, &data) {
            (IdField::Missing, None) => return Ok(None),
            (IdField::Number(id), _) => Some(id),
            (IdField::Missing | IdField::Unreadable, _) => None,
        };
        let id = id.context(NoIdSnafu)?;
        let data = String::from_utf8(data.unwrap_or_default()).ok().context(NotTextSnafu)?;
        Ok(Some(Event { id, data }))
    }
}

/// The value of a line, if it is one of this field: what follows the colon, less one blank.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let rest = line.strip_prefix(name)?;
    if rest.is_empty() {
        return Some(rest);
    }
    let value = rest.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
