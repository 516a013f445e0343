//! Cuts an event stream into complete events, so that a break never leaves half an event with the client.

/// An event longer than this is passed on in pieces and the stream can't be resumed any more (bytes).
const MAX_EVENT: usize = 256 * 1024;

/// Holds back the part of an event that has not wholly come.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buffered: Vec<u8>,
    last_id: Option<u64>,
    oversized: bool,
}

impl EventBuffer {
    /// A cutter of a stream whose reader has seen everything up to event `last_id`.
    pub fn after(last_id: Option<u64>) -> EventBuffer {
        EventBuffer { buffered: Vec::new(), last_id, oversized: false }
    }

    /// Takes the next bytes and appends what is complete by now to `out`.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<u8>) {
        self.buffered.extend_from_slice(bytes);
        let complete = end_of_last_event(&self.buffered);
        if let Some(id) = last_event_id(&self.buffered[..complete]) {
            self.last_id = Some(id);
        }
        out.extend(self.buffered.drain(..complete));
        if self.buffered.len() > MAX_EVENT {
            self.oversized = true;
            out.append(&mut self.buffered);
        }
    }

    /// What is left at the proper end of the stream: it is passed on as it is.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        out.append(&mut self.buffered);
    }

    /// Drops half an event after a break.
    pub fn discard_partial(&mut self) {
        self.buffered.clear();
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether all that was passed on ends with a complete event.
    pub fn can_resume(&self) -> bool {
        !self.oversized
    }
}

/// Where the last complete event ends: behind an empty line.
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
