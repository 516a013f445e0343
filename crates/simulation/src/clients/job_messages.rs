//! What is sent and read of batch jobs.

use super::jobs::{Job, JobCall, JobState};
use crate::call::request;
use crate::content::names;
use crate::judge::{Listed, MadeItem};
use base64::Engine;
use grebeusher_time::Duration;
use std::collections::HashMap;
use tinyjson::JsonValue;

/// How long a submission waits for its answer.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(4000);
/// A read waits for this longer than it allows to be held.
const READ_MARGIN: Duration = Duration::from_millis(1500);

pub(super) fn job_request(job: &Job, asked: JobCall) -> (&'static str, Vec<u8>, Duration) {
    let host = ("Host", job.host_name);
    match asked {
        JobCall::Submit => {
            let items: Vec<String> = job
                .items
                .iter()
                .map(|MadeItem { id, path, body, tokens }| {
                    let payload = base64::engine::general_purpose::STANDARD.encode(body);
                    format!(
                        "{{\"instance_id\":\"{id}\",\"path\":\"{path}\",\"header_map\":{{\"X-Grebeusher-Model-Name\":\"m\",\"X-Grebeusher-Token-Count\":\"{tokens},40\"}},\"payload\":\"{payload}\",\"token_count\":{tokens}}}"
                    )
                })
                .collect();
            let body = format!("{{\"batch_items\":[{}]}}", items.join(","));
            let headers = [host, (names::ATTEMPT_ID, job.id.as_str()), ("Content-Type", "application/json")];
            let target = format!("{}{}", job.prefix, job.id);
            ("POST", request("POST", &target, &headers, body.as_bytes()), SUBMIT_TIMEOUT)
        }
        JobCall::Read { from } => {
            let target = format!("/api/lots/{}?resume_after={from}", job.id);
            let holds = job.state == JobState::Reading && from == job.position;
            let hold = if holds { "1000" } else { "0" };
            let within = READ_MARGIN + Duration::from_millis(if holds { 1000 } else { 0 });
            ("GET", request("GET", &target, &[host, (names::HOLD_MS, hold)], b""), within)
        }
        JobCall::End => {
            let target = format!("/api/lots/{}", job.id);
            ("DELETE", request("DELETE", &target, &[host], b""), READ_MARGIN)
        }
        JobCall::Body { item } => {
            let target = format!("/api/items/{}?instance_id={}", job.id, job.items[item].id);
            ("GET", request("GET", &target, &[host], b""), READ_MARGIN)
        }
    }
}

pub(super) struct Page {
    pub(super) total: usize,
    pub(super) results: Vec<Listed>,
}

type Fields = HashMap<String, JsonValue>;

pub(super) fn read_page(body: &[u8]) -> Option<Page> {
    let value: JsonValue = std::str::from_utf8(body).ok()?.parse().ok()?;
    let fields: &Fields = value.get()?;
    let total: &f64 = fields.get("total")?.get()?;
    let list: &Vec<JsonValue> = fields.get("result_list")?.get()?;
    let mut results = Vec::new();
    for entry in list {
        let entry: &Fields = entry.get()?;
        let text = |name: &str| entry.get(name).and_then(|value| value.get::<String>()).cloned();
        let text_of = text("text").unwrap_or_default();
        results.push(Listed { item: text("instance_id")?, state: text("state")?, text: text_of });
    }
    Some(Page { total: *total as usize, results })
}
