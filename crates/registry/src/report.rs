//! The body of an executor's heartbeat.

use crate::codec::MAX_TEXT;
use crate::error::{FieldSnafu, NotJsonSnafu, ReportError, TooLargeSnafu};
use crate::executor::{ExecutorState, MAX_MODELS, Model};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use tinyjson::JsonValue;

/// The largest length of a body that is parsed, in bytes.
pub const MAX_REPORT: usize = 64 * 1024;

/// The largest nesting depth of a body; the parser recurses once per level.
const MAX_DEPTH: usize = 16;

/// The largest integer up to which JSON numbers, read as `f64`, represent all integers exactly: 2^53.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// A heartbeat of an executor. Nodes publish it as part of the executor's register, in [`crate::Executor::report`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatReport {
    /// The `instance_id` from the path of the call, which is the key of the register.
    pub id: String,
    /// The name of the service that the executor runs.
    pub service: String,
    /// The address at which the executor accepts requests.
    pub address: SocketAddrV4,
    /// The availability zone of the executor.
    pub zone: String,
    /// The number of requests that the executor processes concurrently.
    pub slot_count: u32,
    /// The version of the executor's software.
    pub config_version: String,
    /// The stage `prefill`, `decode` or `both`, or an empty text if the executor names none.
    pub pipeline_stage: String,
    /// The state: `up` or `draining` in a heartbeat; gone only in the register of an executor that has deregistered.
    pub state: ExecutorState,
    /// The remaining warm-up time at the time of the call, in ms.
    pub cold_left_ms: u64,
    /// The number of the call, which increases with every call of the executor.
    pub call_seq: u64,
    /// The models that the executor holds, at most 16.
    pub models: Vec<Model>,
}

type Fields = HashMap<String, JsonValue>;

impl HeartbeatReport {
    /// Parses the body of a call whose path contains `id`. Unknown fields are ignored.
    ///
    /// # Errors
    /// Returns an error if the body is not a valid heartbeat.
    pub fn parse(id: &str, body: &[u8]) -> Result<HeartbeatReport, ReportError> {
        if body.len() > MAX_REPORT {
            return TooLargeSnafu { length: body.len() }.fail();
        }
        if id.is_empty() || id.len() > MAX_TEXT {
            return FieldSnafu { field: "instance_id" }.fail();
        }
        let fields = read_object(body)?;
        Ok(HeartbeatReport {
            id: id.to_owned(),
            service: required_text(&fields, "service")?,
            address: read_address(&fields)?,
            zone: required_text(&fields, "zone")?,
            slot_count: u32::try_from(number(&fields, "slot_count")?)
                .or_else(|_| FieldSnafu { field: "slot_count" }.fail())?,
            config_version: optional_text(&fields, "config_version")?,
            pipeline_stage: optional_text(&fields, "pipeline_stage")?,
            state: read_state(&fields)?,
            cold_left_ms: optional_number(&fields, "cold_left_ms")?,
            call_seq: number(&fields, "call_seq")?,
            models: read_models(&fields)?,
        })
    }
}

fn read_object(body: &[u8]) -> Result<Fields, ReportError> {
    let text = std::str::from_utf8(body).or_else(|_| NotJsonSnafu.fail())?;
    if !grebeusher_json_depth::is_shallow(body, MAX_DEPTH) {
        return NotJsonSnafu.fail();
    }
    match text.parse::<JsonValue>() {
        Ok(JsonValue::Object(fields)) => Ok(fields),
        _ => NotJsonSnafu.fail(),
    }
}

fn text_of(value: &JsonValue, field: &'static str) -> Result<String, ReportError> {
    match value {
        JsonValue::String(text) if text.len() <= MAX_TEXT => Ok(text.clone()),
        JsonValue::Number(number) => Ok(number.to_string()),
        _ => FieldSnafu { field }.fail(),
    }
}

fn optional_text(fields: &Fields, field: &'static str) -> Result<String, ReportError> {
    match fields.get(field) {
        None | Some(JsonValue::Null) => Ok(String::new()),
        Some(value) => text_of(value, field),
    }
}

fn required_text(fields: &Fields, field: &'static str) -> Result<String, ReportError> {
    match fields.get(field) {
        Some(JsonValue::String(text)) if !text.is_empty() && text.len() <= MAX_TEXT => Ok(text.clone()),
        _ => FieldSnafu { field }.fail(),
    }
}

fn whole_number(value: &JsonValue) -> Option<u64> {
    match value {
        JsonValue::Number(number) if (0.0..=MAX_EXACT_INTEGER).contains(number) => Some(*number as u64),
        _ => None,
    }
}

fn number(fields: &Fields, field: &'static str) -> Result<u64, ReportError> {
    match fields.get(field).and_then(whole_number) {
        Some(number) => Ok(number),
        None => FieldSnafu { field }.fail(),
    }
}

fn optional_number(fields: &Fields, field: &'static str) -> Result<u64, ReportError> {
    match fields.get(field) {
        None | Some(JsonValue::Null) => Ok(0),
        Some(_) => number(fields, field),
    }
}

fn read_address(fields: &Fields) -> Result<SocketAddrV4, ReportError> {
    let text = required_text(fields, "address")?;
    match text.parse::<SocketAddrV4>() {
        Ok(address) if address.port() != 0 => Ok(address),
        _ => FieldSnafu { field: "address" }.fail(),
    }
}

fn read_state(fields: &Fields) -> Result<ExecutorState, ReportError> {
    match required_text(fields, "state")?.as_str() {
        "up" => Ok(ExecutorState::Up),
        "draining" => Ok(ExecutorState::Draining),
        _ => FieldSnafu { field: "state" }.fail(),
    }
}

fn read_models(fields: &Fields) -> Result<Vec<Model>, ReportError> {
    let models = match fields.get("models") {
        None | Some(JsonValue::Null) => return Ok(Vec::new()),
        Some(JsonValue::Array(models)) => models,
        Some(_) => return FieldSnafu { field: "models" }.fail(),
    };
    models.iter().take(MAX_MODELS).map(read_model).collect()
}

fn read_model(value: &JsonValue) -> Result<Model, ReportError> {
    let JsonValue::Object(fields) = value else {
        return FieldSnafu { field: "models" }.fail();
    };
    Ok(Model {
        name: required_text(fields, "name")?,
        config_version: optional_number(fields, "config_version")?,
    })
}
