//! Cuts an event stream into whole events, so that a break never leaves half an event with the client.

/// An event longer than this is passed on in pieces and the stream can't be resumed any more (bytes).
const MAX_EVENT: usize = 256 * 1024;

/// Holds back the part of an event that has not wholly come.
#[derive(Debug, Default)]
pub struct EventCutter {
    held: Vec<u8>,
    last_id: Option<u64>,
    oversized: bool,
}

impl EventCutter {
    /// A cutter of a stream whose reader has seen everything up to event `last_id`.
    pub fn after(last_id: Option<u64>) -> EventCutter {
        EventCutter { held: Vec::new(), last_id, oversized: false }
    }

    /// Takes the next bytes and appends what is whole by now to `out`.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<u8>) {
        self.held.extend_from_slice(bytes);
        let whole = end_of_last_event(&self.held);
        if let Some(id) = last_event_id(&self.held[..whole]) {
            self.last_id = Some(id);
        }
        out.extend(self.held.drain(..whole));
        if self.held.len() > MAX_EVENT {
            self.oversized = true;
            out.append(&mut self.held);
        }
    }

    /// What is left at the proper end of the stream: it is passed on as it is.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        out.append(&mut self.held);
    }

    /// Drops half an event after a break.
    pub fn discard_partial(&mut self) {
        self.held.clear();
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether all that was passed on ends with a whole event.
    pub fn can_resume(&self) -> bool {
        !self.oversized
    }
}

/// Where the last whole event ends: behind an empty line.
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

/// The number in the last `id:` line.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let mut last = None;
    for line in events.split(|&byte| byte == b'\n') {
        if let Some(value) = line.strip_prefix(b"id:") {
            last = std::str::from_utf8(value).ok().and_then(|text| text.trim().parse().ok()).or(last);
        }
    }
    last
}
