//! Splits an event stream (`text/event-stream`) into complete events, so that a broken connection to the executor never
//! leaves the client with part of an event.

/// The longest event, in bytes, that is buffered. A longer one is relayed in pieces, and its stream can no longer be resumed.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers the incomplete event at the end of the received bytes.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buffered: Vec<u8>,
    /// The id of the last complete event.
    last_id: Option<u64>,
    /// Whether an event was longer than `MAX_EVENT_BYTES`.
    oversized: bool,
}

impl EventBuffer {
    /// Creates the buffer of a stream whose reader has received all events up to `last_id`.
    pub fn after(last_id: Option<u64>) -> EventBuffer {
        EventBuffer { buffered: Vec::new(), last_id, oversized: false }
    }

    /// Adds received bytes and moves the events that are now complete to `out`.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<u8>) {
        self.buffered.extend_from_slice(bytes);
        let complete = end_of_last_event(&self.buffered);
        if let Some(id) = last_event_id(&self.buffered[..complete]) {
            self.last_id = Some(id);
        }
        out.extend(self.buffered.drain(..complete));
        if self.buffered.len() > MAX_EVENT_BYTES {
            self.oversized = true;
            out.append(&mut self.buffered);
        }
    }

    /// Moves the remaining bytes to `out` when the stream has ended regularly.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        out.append(&mut self.buffered);
    }

    /// Drops the incomplete event after the connection broke.
    pub fn discard_partial(&mut self) {
        self.buffered.clear();
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the relayed bytes end with a complete event, so that another attempt can continue the stream.
    pub fn can_resume(&self) -> bool {
        !self.oversized
    }
}

/// The index after the last complete event, which ends with an empty line. Returns 0 if no event is complete.
fn end_of_last_event(bytes: &[u8]) -> usize {
    let mut index = bytes.len();
    while index >= 2 {
        if bytes[index - 1] == b'\n' {
            let before = &bytes[..index - 1];
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                return index;
            }
        }
        index -= 1;
    }
    0
}

/// The number in the last `id:` line that has one.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let mut last = None;
    for line in events.split(|&byte| byte == b'\n') {
        if let Some(value) = line.strip_prefix(b"id:") {
            last = std::str::from_utf8(value).ok().and_then(|text| text.trim().parse().ok()).or(last);
        }
    }
    last
}
