//! Pages of results, the JSON responses to clients that read the results of a job.

use super::entry::ResultState;
use crate::shared_bytes::SharedText;

/// The maximum size of the body of a response, in bytes: 1 MB minus a margin for the head of the response.
pub const MAX_PAGE_BYTES: usize = 1_000_000 - 4_096;
/// An upper bound on the size of a page without results, in bytes: `{"total":200,"next_token":200,"result_list":[]}`
/// with space for longer numbers.
const FRAME_BYTES: usize = 96;
/// The size of a result's JSON in bytes, without its id, state and text, and with the comma that follows it.
const RESULT_FRAME_BYTES: usize = r#"{"instance_id":"","state":"","text":""},"#.len();

/// A committed result, which has a position in the `result_list` of its job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedResult {
    item_id: Box<str>,
    state: ResultState,
    text: SharedText,
    /// The size of the result's JSON in bytes, including a comma.
    json_bytes: usize,
}

impl ListedResult {
    pub(super) fn new(item_id: String, state: ResultState, text: SharedText) -> ListedResult {
        let json_bytes =
            RESULT_FRAME_BYTES + escaped_len(&item_id) + state.as_str().len() + escaped_len(&text);
        ListedResult { item_id: item_id.into(), state, text, json_bytes }
    }

    /// The id of the item.
    pub fn item_id(&self) -> &str {
        &self.item_id
    }

    /// How the item ended.
    pub fn state(&self) -> ResultState {
        self.state
    }

    /// The data of all events of the item in order, joined by line feeds.
    pub fn text(&self) -> &str {
        self.text.as_str()
    }

    /// The approximate memory use of the result, in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
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

/// Consecutive results of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Page<'a> {
    /// The number of items of the job.
    pub total: usize,
    /// The position after the last of `results`, or the requested position if there are none.
    pub next_token: usize,
    /// The results in the order of their positions.
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
        let mut remaining_bytes = max_bytes.saturating_sub(FRAME_BYTES);
        let fits = |result: &&ListedResult| {
            let bytes_left = remaining_bytes.checked_sub(result.json_bytes);
            remaining_bytes = bytes_left.unwrap_or(0);
            bytes_left.is_some()
        };
        let count = rest.iter().take_while(fits).count().max(1).min(rest.len());
        Page { total, next_token: resume_after.saturating_add(count), results: &rest[..count] }
    }

    /// The JSON body of the response.
    pub fn to_json(&self) -> String {
        let results_bytes: usize = self.results.iter().map(|result| result.json_bytes).sum();
        let mut out = String::with_capacity(FRAME_BYTES + results_bytes);
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

/// The number of bytes that a byte of text takes in a JSON string.
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

/// Writes the content of a JSON string. Bytes between two escaped ones are copied at once. Escaped bytes are ASCII, so
/// the slices end at character boundaries.
fn write_escaped(out: &mut String, text: &str) {
    let mut unescaped_start = 0;
    for (offset, byte) in text.bytes().enumerate() {
        if escaped_width(byte) == 1 {
            continue;
        }
        out.push_str(&text[unescaped_start..offset]);
        unescaped_start = offset + 1;
        match byte {
            b'"' => out.push_str("\\\""),
            b'\\' => out.push_str("\\\\"),
            b'\n' => out.push_str("\\n"),
            b'\r' => out.push_str("\\r"),
            b'\t' => out.push_str("\\t"),
            control => out.push_str(&format!("\\u{control:04x}")),
        }
    }
    out.push_str(&text[unescaped_start..]);
}
