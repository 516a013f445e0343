//! Parses and validates the body of a submission. Everything that could alter a request on its way to an executor, such
//! as a line end in a header or a space in a path, is rejected here, so that no later stage has to check again.

use std::collections::HashMap;

use base64::Engine;
use base64::alphabet::STANDARD;
use base64::engine::{DecodePaddingMode, GeneralPurpose, GeneralPurposeConfig};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tinyjson::JsonValue;

use super::{Header, ItemSpec, MAX_HEADERS, MAX_ITEMS, Submission, first_duplicate};
use crate::names::{JobId, is_valid_id};

/// The maximum size of the body of a submission, in bytes.
pub const MAX_SUBMISSION_BYTES: usize = 4 << 20;
/// The maximum nesting depth of JSON values. A submission needs four levels; the JSON parser recurses for each one.
const MAX_DEPTH: usize = 16;
/// The maximum length of the path of an item, in bytes.
const MAX_PATH_BYTES: usize = 8 << 10;
/// The maximum total length of the names and values of an item's headers, in bytes.
const MAX_HEADERS_BYTES: usize = 16 << 10;
/// The largest integer up to which a JSON number is exact, as it is parsed as `f64`.
const MAX_EXACT_NUMBER: f64 = 9_007_199_254_740_992.0;

/// Headers that are removed from an item. They concern a single connection or the length of a body, or the tier sets
/// them itself when it sends the item.
const DROPPED_HEADERS: [&str; 14] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "last-event-id",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-grebeusher-attempt-id",
    "x-grebeusher-deadline-ms",
    "x-grebeusher-target-instance",
];

/// Accepts base64 without padding too, because the encoding is unambiguous without it.
const BASE64: GeneralPurpose = GeneralPurpose::new(
    &STANDARD,
    GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent),
);

/// Why a submission is rejected. All of these are errors of the client, which gets a 400.
#[derive(Debug, Snafu)]
pub enum SubmissionError {
    /// The body exceeds `MAX_SUBMISSION_BYTES`.
    #[snafu(display("the body of {bytes} bytes is too large"))]
    TooLarge {
        /// The size of the body.
        bytes: usize,
    },
    /// The body is not UTF-8.
    #[snafu(display("the body is no UTF-8"))]
    NotText {
        /// The position of the first invalid byte.
        source: std::str::Utf8Error,
    },
    /// The JSON values are nested too deeply.
    #[snafu(display("values stand in each other too deeply"))]
    TooDeep,
    /// The body is not JSON.
    #[snafu(display("the body is no JSON"))]
    NotJson {
        /// The error of the JSON parser, with its position.
        source: tinyjson::JsonParseError,
    },
    /// The body is not an object.
    #[snafu(display("the body is no object"))]
    NotAnObject,
    /// A field of the body is missing or of another type.
    #[snafu(display("`{key}` is missing or of another kind"))]
    Field {
        /// The name of the field.
        key: &'static str,
    },
    /// The body has more than [`MAX_ITEMS`] items.
    #[snafu(display("{count} items, more than {MAX_ITEMS}"))]
    TooManyItems {
        /// The number of items.
        count: usize,
    },
    /// An item is not an object.
    #[snafu(display("item {item} is no object"))]
    ItemNotAnObject {
        /// The index of the item.
        item: usize,
    },
    /// A field of an item is missing or of another type.
    #[snafu(display("`{key}` of item {item} is missing or of another kind"))]
    ItemField {
        /// The index of the item.
        item: usize,
        /// The name of the field.
        key: &'static str,
    },
    /// The id of an item is invalid.
    #[snafu(display("the name of item {item} can't be one"))]
    ItemName {
        /// The index of the item.
        item: usize,
    },
    /// Two items have the same id.
    #[snafu(display("the name of item {item} is an earlier one's"))]
    DuplicateItem {
        /// The index of the item.
        item: usize,
    },
    /// The path of an item is invalid.
    #[snafu(display("the path of item {item} can't be one"))]
    ItemPath {
        /// The index of the item.
        item: usize,
    },
    /// The headers of an item are invalid or too large.
    #[snafu(display("the headers of item {item} can't be sent"))]
    ItemHeaders {
        /// The index of the item.
        item: usize,
    },
    /// The payload of an item is not base64.
    #[snafu(display("the payload of item {item} is no base64"))]
    ItemPayload {
        /// The index of the item.
        item: usize,
        /// The error of the decoder, with its position.
        source: base64::DecodeError,
    },
}

/// The part of a submission that is known before its body is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmissionHead {
    /// The id of the job, from the attempt id header of the submission.
    pub job: JobId,
    /// The name of the route.
    pub route: String,
    /// The service that the route leads to.
    pub service: String,
    /// The host of the route, to which the items' requests are addressed.
    pub host: String,
}

/// Parses and validates the body of a submission.
///
/// # Errors
/// Fails if the submission is invalid, see [`SubmissionError`]. The client then gets a 400.
pub fn read_submission(head: SubmissionHead, body: &[u8]) -> Result<Submission, SubmissionError> {
    ensure!(body.len() <= MAX_SUBMISSION_BYTES, TooLargeSnafu { bytes: body.len() });
    let text = std::str::from_utf8(body).context(NotTextSnafu)?;
    ensure!(grebeusher_json_depth::is_shallow(body, MAX_DEPTH), TooDeepSnafu);
    let JsonValue::Object(mut fields) = text.parse().context(NotJsonSnafu)? else {
        return NotAnObjectSnafu.fail();
    };
    let Some(JsonValue::Array(values)) = fields.remove("batch_items") else {
        return FieldSnafu { key: "batch_items" }.fail();
    };
    ensure!(values.len() <= MAX_ITEMS, TooManyItemsSnafu { count: values.len() });
    let mut items = Vec::with_capacity(values.len());
    for (item, value) in values.into_iter().enumerate() {
        items.push(read_item(item, value)?);
    }
    if let Some(item) = first_duplicate(&items) {
        return DuplicateItemSnafu { item }.fail();
    }
    let SubmissionHead { job, route, service, host } = head;
    Ok(Submission { job, route, service, host, items })
}

type Fields = HashMap<String, JsonValue>;

fn read_item(item: usize, value: JsonValue) -> Result<ItemSpec, SubmissionError> {
    let JsonValue::Object(mut fields) = value else { return ItemNotAnObjectSnafu { item }.fail() };
    let id = take_string(item, &mut fields, "instance_id")?;
    ensure!(is_valid_id(&id), ItemNameSnafu { item });
    let path = take_string(item, &mut fields, "path")?;
    ensure!(is_path(&path), ItemPathSnafu { item });
    let headers = read_headers(item, fields.remove("header_map"))?;
    let payload = take_string(item, &mut fields, "payload")?;
    let body = BASE64.decode(payload).context(ItemPayloadSnafu { item })?;
    let token_count = read_count(item, fields.get("token_count"))?;
    Ok(ItemSpec { id, path: path.into(), headers, body: body.into(), token_count })
}

fn take_string(item: usize, fields: &mut Fields, key: &'static str) -> Result<String, SubmissionError> {
    match fields.remove(key) {
        Some(JsonValue::String(text)) => Ok(text),
        _ => ItemFieldSnafu { item, key }.fail(),
    }
}

fn read_count(item: usize, value: Option<&JsonValue>) -> Result<u64, SubmissionError> {
    let count = value.and_then(|value| value.get::<f64>()).copied();
    let exact = count.filter(|count| (0.0..=MAX_EXACT_NUMBER).contains(count) && count.fract() == 0.0);
    exact.map(|count| count as u64).context(ItemFieldSnafu { item, key: "token_count" })
}

fn read_headers(item: usize, value: Option<JsonValue>) -> Result<Vec<Header>, SubmissionError> {
    let Some(JsonValue::Object(header_map)) = value else {
        return ItemFieldSnafu { item, key: "header_map" }.fail();
    };
    let mut headers = Vec::with_capacity(header_map.len().min(MAX_HEADERS));
    let mut total_bytes = 0;
    for (name, value) in header_map {
        let JsonValue::String(value) = value else {
            return ItemFieldSnafu { item, key: "header_map" }.fail();
        };
        total_bytes += name.len() + value.len();
        ensure!(is_http_token(&name) && is_header_value(&value), ItemHeadersSnafu { item });
        if !DROPPED_HEADERS.iter().any(|dropped| name.eq_ignore_ascii_case(dropped)) {
            headers.push(Header { name: name.into(), value: value.into() });
        }
    }
    ensure!(headers.len() <= MAX_HEADERS && total_bytes <= MAX_HEADERS_BYTES, ItemHeadersSnafu { item });
    headers.sort_unstable_by(|left, right| left.name.as_bytes().cmp(right.name.as_bytes()));
    Ok(headers)
}

/// Whether the text is an HTTP token, which the name of a header must be.
fn is_http_token(name: &str) -> bool {
    let is_token_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !name.is_empty() && name.bytes().all(is_token_byte)
}

/// Whether the text is a valid header value: it has no control characters except tabs, and no spaces or tabs at its
/// ends, which a receiver would remove.
fn is_header_value(value: &str) -> bool {
    value.trim_matches([' ', '\t']).len() == value.len()
        && value.bytes().all(|byte| byte == b'\t' || (byte >= b' ' && byte != 0x7f))
}

/// Whether the text is an absolute path of visible ASCII characters without a fragment.
fn is_path(path: &str) -> bool {
    path.starts_with('/')
        && path.len() <= MAX_PATH_BYTES
        && path.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'#')
}
