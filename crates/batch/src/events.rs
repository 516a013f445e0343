//! Parses a stream of server-sent events (`text/event-stream`) that arrives in chunks with arbitrary boundaries.

use snafu::{OptionExt, Snafu, ensure};

/// The maximum size of an event in bytes, including ignored lines. It also bounds the memory use of a reader.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// A line buffer is reused for the next line up to this capacity, in bytes. Larger buffers are freed, because a node
/// reads many streams at a time.
const MAX_REUSED_LINE_BYTES: usize = 4 << 10;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number in the `id` line of the event.
    pub id: u64,
    /// The values of the `data` lines of the event, joined by line feeds.
    pub data: String,
}

/// Why a stream can't be read any further. The run of the item then ends with
/// [`RunOutcome::Broken`](crate::RunOutcome::Broken).
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EventError {
    /// An event exceeds [`MAX_EVENT_BYTES`].
    #[snafu(display("an event is larger than {MAX_EVENT_BYTES} bytes"))]
    TooLarge,
    /// An event has data but no id, or an id that is not a number.
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

/// Splits a stream into events. A line ends with LF or CRLF, an event with an empty line. Lines other than `id` and
/// `data` are ignored: comments, `event`, and the versions of its model weights that an inference engine sends.
#[derive(Debug, Default)]
pub struct EventReader {
    /// The incomplete line at the end of the bytes that were pushed.
    line: Vec<u8>,
    /// The size of the incomplete event in bytes, including ignored lines.
    event_bytes: usize,
    /// Whether the first line of the stream is complete. Only that line may start with a byte order mark.
    first_line_read: bool,
    /// The `id` of the incomplete event.
    id: IdField,
    /// The `data` of the incomplete event; `None` if it has no `data` line so far.
    data: Option<Vec<u8>>,
    /// Whether an earlier call failed.
    failed: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum IdField {
    #[default]
    Missing,
    Number(u64),
    NotANumber,
}

impl EventReader {
    /// A reader at the start of a stream.
    pub fn new() -> EventReader {
        EventReader::default()
    }

    /// Parses the next bytes of the stream and calls `on_event` for each event that they complete, in order.
    ///
    /// # Errors
    /// Fails if the stream is invalid, after calling `on_event` for the events before the error. All later calls fail
    /// too.
    pub fn push(&mut self, mut bytes: &[u8], mut on_event: impl FnMut(Event)) -> Result<(), EventError> {
        ensure!(!self.failed, FailedSnafu);
        while !bytes.is_empty() {
            let result = self.read_line(&mut bytes);
            self.failed = result.is_err();
            if let Some(event) = result? {
                on_event(event);
            }
        }
        Ok(())
    }

    /// Checks that the stream does not end inside an event.
    ///
    /// # Errors
    /// Fails if an event is incomplete, or if an earlier call failed.
    pub fn finish(&self) -> Result<(), EventError> {
        ensure!(!self.failed, FailedSnafu);
        let is_inside_event = !self.line.is_empty() || self.data.is_some() || self.id != IdField::Missing;
        ensure!(!is_inside_event, UnfinishedSnafu);
        Ok(())
    }

    /// Consumes `bytes` up to the next line end, or all of them if there is none. Returns the event that this
    /// completes.
    fn read_line(&mut self, bytes: &mut &[u8]) -> Result<Option<Event>, EventError> {
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
            return self.parse_line(chunk);
        }
        let mut line = std::mem::take(&mut self.line);
        line.extend_from_slice(chunk);
        let event = self.parse_line(&line);
        if line.capacity() <= MAX_REUSED_LINE_BYTES {
            line.clear();
            self.line = line;
        }
        event
    }

    fn parse_line(&mut self, line: &[u8]) -> Result<Option<Event>, EventError> {
        let mut line = line.strip_suffix(b"\r").unwrap_or(line);
        if !std::mem::replace(&mut self.first_line_read, true) {
            line = line.strip_prefix("\u{feff}".as_bytes()).unwrap_or(line);
        }
        if line.is_empty() {
            return self.finish_event();
        }
        if let Some(value) = field_value(line, b"data") {
            match &mut self.data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => self.data = Some(value.to_vec()),
            }
        } else if let Some(value) = field_value(line, b"id") {
            let number = std::str::from_utf8(value).ok().and_then(|text| text.trim().parse().ok());
            self.id = number.map_or(IdField::NotANumber, IdField::Number);
        }
        Ok(None)
    }

    /// Ends the event at an empty line. Without an `id` and a `data` line there is no event. An event that has only an
    /// id has empty data.
    fn finish_event(&mut self) -> Result<Option<Event>, EventError> {
        self.event_bytes = 0;
        let (id, data) = (std::mem::take(&mut self.id), self.data.take());
        let id = match (id, &data) {
            (IdField::Missing, None) => return Ok(None),
            (IdField::Number(id), _) => Some(id),
            (IdField::Missing | IdField::NotANumber, _) => None,
        };
        let id = id.context(NoIdSnafu)?;
        let data = String::from_utf8(data.unwrap_or_default()).ok().context(NotTextSnafu)?;
        Ok(Some(Event { id, data }))
    }
}

/// The value of a line if it belongs to the field `name`: the bytes after the colon, without one leading space.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let rest = line.strip_prefix(name)?;
    if rest.is_empty() {
        return Some(rest);
    }
    let value = rest.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
