//! The operator's order of a roll-out, parsed from JSON.

use nanoserde::{DeBin, SerBin};
use snafu::Snafu;
use std::collections::HashMap;
use tinyjson::JsonValue;

/// The maximum size of the body of an order, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The maximum nesting depth of JSON values in the body.
const MAX_DEPTH: usize = 16;
/// The maximum length of the name of a service or a version, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// The maximum duration of a roll-out, in seconds: a week.
const MAX_RAMP_S: f64 = 604_800.0;

/// An order to move the requests of a service to executors of another version.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct RolloutOrder {
    /// The name of the service.
    pub service: String,
    /// The version that the requests are to be moved to.
    pub target_version: String,
    /// The duration of the roll-out, in milliseconds.
    pub ramp_ms: u64,
}

/// Why a body is not a valid order.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum OrderError {
    /// The body is too large, nested too deeply, or not a JSON object.
    #[snafu(display("not an object in JSON of at most {MAX_BODY_BYTES} bytes"))]
    NotAnObject,
    /// A field is missing or invalid.
    #[snafu(display("{field}: expected {expected}"))]
    Field {
        /// The name of the field.
        field: &'static str,
        /// A description of the values that the field may have.
        expected: &'static str,
    },
}

impl RolloutOrder {
    /// Parses the body of an order. Unknown fields are ignored.
    ///
    /// # Errors
    /// Fails if the body is not a valid order.
    pub fn read(body: &[u8]) -> Result<RolloutOrder, OrderError> {
        let fields = parse_object(body).ok_or(OrderError::NotAnObject)?;
        Ok(RolloutOrder {
            service: parse_name(&fields, "service")?,
            target_version: parse_name(&fields, "target_version")?,
            ramp_ms: parse_ramp_ms(&fields)?,
        })
    }
}

fn parse_object(body: &[u8]) -> Option<HashMap<String, JsonValue>> {
    if body.len() > MAX_BODY_BYTES || !grebeusher_json_depth::is_shallow(body, MAX_DEPTH) {
        return None;
    }
    let value: JsonValue = std::str::from_utf8(body).ok()?.parse().ok()?;
    value.try_into().ok()
}

fn parse_name(fields: &HashMap<String, JsonValue>, field: &'static str) -> Result<String, OrderError> {
    let text = fields.get(field).and_then(|value| value.get::<String>());
    let text = text.filter(|text| !text.is_empty() && text.len() <= MAX_NAME_BYTES);
    text.cloned().ok_or(OrderError::Field { field, expected: "a text of 1 to 256 bytes" })
}

fn parse_ramp_ms(fields: &HashMap<String, JsonValue>) -> Result<u64, OrderError> {
    let seconds = fields.get("ramp_s").and_then(|value| value.get::<f64>()).copied();
    let seconds = seconds.filter(|seconds| *seconds > 0.0 && *seconds <= MAX_RAMP_S);
    let seconds =
        seconds.ok_or(OrderError::Field { field: "ramp_s", expected: "seconds above 0, at most a week" })?;
    Ok((seconds * 1000.0) as u64)
}
