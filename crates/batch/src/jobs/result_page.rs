//! The pages of results that readers of a job get.

use super::entry::ResultState;
use crate::shared_bytes::SharedText;

/// The most bytes of a response to a reader: 1 MB less some slack for its head.
pub const MAX_PAGE_BYTES: usize = 1_000_000 - 4_096;
/// `{"total":200,"next_token":200,"result_list":[]}` and space for longer numbers.
const FRAME_BYTES: usize = 96;
/// The bytes around a result's name, state and text, and the comma after it.
const RESULT_FRAME_BYTES: usize = r#"{"instance_id":"","state":"","text":""},"#.len();

/// A result at its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedResult {
    item_id: Box<str>,
    state: ResultState,
    text: SharedText,
    /// The bytes of its JSON with a comma.
    json_bytes: usize,
}

impl ListedResult {
    pub(super) fn new(item_id: String, state: ResultState, text: SharedText) -> ListedResult {
        let json_bytes =
            RESULT_FRAME_BYTES + escaped_len(&item_id) + state.as_str().len() + escaped_len(&text);
        ListedResult { item_id: item_id.into(), state, text, json_bytes }
    }

    /// The name of the item.
    pub fn item_id(&self) -> &str {
        &self.item_id
    }

    /// How it ended.
    pub fn state(&self) -> ResultState {
        self.state
    }

    /// The data of all events in order, joined by line feeds.
    pub fn text(&self) -> &str {
        self.text.as_str()
    }

    pub(super) fn cost(&self) -> usize {
        size_of::<ListedResult>() + self.item_id.len() + self.text.len()
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
    pub results: &'a [ListedResult],
}

impl<'a> Page<'a> {
    pub(super) fn of(
        total: usize,
        listed: &'a [ListedResult],
        resume_after: usize,
        max_bytes: usize,
    ) -> Page<'a> {
        let rest = listed.get(resume_after..).unwrap_or(&[]);
        let mut remaining = max_bytes.saturating_sub(FRAME_BYTES);
        let fits = |result: &&ListedResult| {
            let after = remaining.checked_sub(result.json_bytes);
            remaining = after.unwrap_or(0);
            after.is_some()
        };
        let count = rest.iter().take_while(fits).count().max(1).min(rest.len());
        Page { total, next_token: resume_after.saturating_add(count), results: &rest[..count] }
    }

    /// The body of the response.
    pub fn to_json(&self) -> String {
        let results: usize = self.results.iter().map(|result| result.json_bytes).sum();
        let mut out = String::with_capacity(FRAME_BYTES + results);
        out.push_str(&format!(
            r#"{{"total":{},"next_token":{},"result_list":["#,
            self.total, self.next_token
        ));
        for (index, result) in self.results.iter().enumerate() {
            if index > 0 {
                out.push(',');
            }
            result.write_json(&mut out);
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

/// Runs of plain bytes are copied at once. Escaped bytes are ASCII, so the runs end between characters.
fn write_escaped(out: &mut String, text: &str) {
    let mut plain_from = 0;
    for (offset, byte) in text.bytes().enumerate() {
        if escaped_width(byte) == 1 {
            continue;
        }
        out.push_str(&text[plain_from..offset]);
        plain_from = offset + 1;
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
