//! What readers of a job see.

use super::entry::ResultState;
use crate::shared::SharedText;

/// The most bytes of an answer to a reader: 1 MB less some slack for its head.
pub const MAX_PAGE_BYTES: usize = 1_000_000 - 4_096;
/// `{"total":200,"next_token":200,"result_list":[]}` and room for longer numbers.
const FRAME_BYTES: usize = 96;
/// What stands around a result's name, state and text, and the comma after it.
const RESULT_FRAME_BYTES: usize = r#"{"instance_id":"","state":"","text":""},"#.len();

/// A result at its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    item_id: Box<str>,
    state: ResultState,
    text: SharedText,
    /// The bytes of its JSON with a comma.
    json_bytes: usize,
}

impl Listing {
    pub(super) fn new(item_id: String, state: ResultState, text: SharedText) -> Listing {
        let json_bytes =
            RESULT_FRAME_BYTES + escaped_len(&item_id) + state.as_str().len() + escaped_len(&text);
        Listing { item_id: item_id.into(), state, text, json_bytes }
    }

    pub fn item_id(&self) -> &str {
        &self.item_id
    }

    pub fn state(&self) -> ResultState {
        self.state
    }

    /// The data of all events in order, joined by line feeds.
    pub fn text(&self) -> &str {
        self.text.as_str()
    }

    pub(super) fn cost(&self) -> usize {
        size_of::<Listing>() + self.item_id.len() + self.text.len()
    }

    fn write_json(&self, out: &mut String) {
        out.push_str(r#"{"instance_id":""#);
        write_escaped(out, &self.item_id);
        out.push_str(r#"","state":""#);
        out.push_str(self.state.as_str());
        out.push_str(r#"","text":""#);
        write_escaped(out, self.text());
        out.push_str(r#""}"#);
    }
}

/// Results of a job from a position on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Page<'a> {
    /// The items of the job.
    pub total: usize,
    /// The position after the last of `results`; where they begin if there are none.
    pub next_token: usize,
    /// In the order of their positions.
    pub results: &'a [Listing],
}

impl<'a> Page<'a> {
    pub(super) fn of(total: usize, listed: &'a [Listing], resume_after: usize, max_bytes: usize) -> Page<'a> {
        let rest = listed.get(resume_after..).unwrap_or(&[]);
        let mut room = max_bytes.saturating_sub(FRAME_BYTES);
        let fits = |listing: &&Listing| {
            let left = room.checked_sub(listing.json_bytes);
            room = left.unwrap_or(0);
            left.is_some()
        };
        let count = rest.iter().take_while(fits).count().max(1).min(rest.len());
        Page { total, next_token: resume_after.saturating_add(count), results: &rest[..count] }
    }

    /// The answer's body.
    pub fn to_json(&self) -> String {
        let results: usize = self.results.iter().map(|listing| listing.json_bytes).sum();
        let mut out = String::with_capacity(FRAME_BYTES + results);
        out.push_str(&format!(
            r#"{{"total":{},"next_token":{},"result_list":["#,
            self.total, self.next_token
        ));
        for (place, listing) in self.results.iter().enumerate() {
            if place > 0 {
                out.push(',');
            }
            listing.write_json(&mut out);
        }
        out.push_str("]}");
        out
    }
}

/// The bytes that a byte of text takes in JSON.
fn escaped_width(byte: u8) -> usize {
    match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' => 2,
        0..0x20 => 6,
        _ => 1,
    }
}

fn escaped_len(text: &str) -> usize {
    text.bytes().map(escaped_width).sum()
}

/// Runs of plain bytes are copied whole. What is escaped is ASCII, so the cuts fall between characters.
fn write_escaped(out: &mut String, text: &str) {
    let mut plain_from = 0;
    for (place, byte) in text.bytes().enumerate() {
        if escaped_width(byte) == 1 {
            continue;
        }
        out.push_str(&text[plain_from..place]);
        plain_from = place + 1;
        match byte {
            b'"' => out.push_str("\\\""),
            b'\\' => out.push_str("\\\\"),
            b'\n' => out.push_str("\\n"),
            b'\r' => out.push_str("\\r"),
            b'\t' => out.push_str("\\t"),
            control => out.push_str(&format!("\\u{control:04x}")),
        }
    }
    out.push_str(&text[plain_from..]);
}
