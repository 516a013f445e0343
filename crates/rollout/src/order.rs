//! An operator's order, read from JSON.

use nanoserde::{DeBin, SerBin};
use snafu::Snafu;
use std::collections::HashMap;
use tinyjson::JsonValue;

/// The longest body that is read (bytes).
const MAX_BODY_BYTES: usize = 64 * 1024;
/// How deep a body may nest.
const MAX_DEPTH: usize = 16;
/// The longest name of a service or version (bytes).
const MAX_NAME_BYTES: usize = 256;
/// The longest time that a roll-out may be given (seconds): a week.
const MAX_RAMP_S: f64 = 604_800.0;

/// An order to move a service's requests to executors of another version.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// The version that it is to have.
    pub target_version: String,
    /// The time for it (milliseconds).
    pub ramp_ms: u64,
}

/// Why a body is no order.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum OrderError {
    /// It is too long, nests too deep, or is no JSON object.
    #[snafu(display("not an object in JSON of at most {MAX_BODY_BYTES} bytes"))]
    NotAnObject,
    /// A field is missing or wrong.
    #[snafu(display("{field}: expected {expected}"))]
    Field {
        /// Its name.
        field: &'static str,
        /// What should stand there.
        expected: &'static str,
    },
}

impl RolloutOrder {
    /// Reads the body of an order. Unknown fields are ignored.
    ///
    /// # Errors
    /// Says what is wrong with a body that is no order.
    pub fn read(body: &[u8]) -> Result<RolloutOrder, OrderError> {
        let fields = read_object(body).ok_or(OrderError::NotAnObject)?;
        Ok(RolloutOrder {
            service: name(&fields, "service")?,
            target_version: name(&fields, "target_version")?,
            ramp_ms: ramp_ms(&fields)?,
        })
    }
}

fn read_object(body: &[u8]) -> Option<HashMap<String, JsonValue>> {
    if body.len() > MAX_BODY_BYTES || !grebeusher_json_depth::is_shallow(body, MAX_DEPTH) {
        return None;
    }
    let value: JsonValue = std::str::from_utf8(body).ok()?.parse().ok()?;
    value.try_into().ok()
}

fn name(fields: &HashMap<String, JsonValue>, field: &'static str) -> Result<String, OrderError> {
    let text = fields.get(field).and_then(|value| value.get::<String>());
    let text = text.filter(|text| !text.is_empty() && text.len() <= MAX_NAME_BYTES);
    text.cloned().ok_or(OrderError::Field { field, expected: "a text of 1 to 256 bytes" })
}

fn ramp_ms(fields: &HashMap<String, JsonValue>) -> Result<u64, OrderError> {
    let seconds = fields.get("ramp_s").and_then(|value| value.get::<f64>()).copied();
    let seconds = seconds.filter(|seconds| *seconds > 0.0 && *seconds <= MAX_RAMP_S);
    let seconds =
        seconds.ok_or(OrderError::Field { field: "ramp_s", expected: "seconds above 0, at most a week" })?;
    Ok((seconds * 1000.0) as u64)
}
