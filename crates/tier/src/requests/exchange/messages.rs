//! Builds the bytes of the request to an executor and of the response to the client.

use super::attempt::BufferedResponse;
use super::state::Exchange;
use crate::requests::header_names as names;
use crate::requests::upstream_connection::ExecutorTarget;
use grebeusher_time::{DurationExt, Instant};
use grebeusher_transport::headers::Headers;
use grebeusher_transport::http;

/// Builds the request to an executor, with the time left as its deadline.
pub(super) fn executor_request(exchange: &Exchange, target: &ExecutorTarget, now: Instant) -> Vec<u8> {
    const REPLACED_HEADERS: [&str; 3] = [names::DEADLINE_MS, names::TARGET_INSTANCE, names::LAST_EVENT_ID];
    let head = &exchange.request.head;
    let left_ms = (exchange.deadline.since(now).nanos() / 1_000_000).max(1);
    let mut text = format!("{} {} HTTP/1.1\r\n", head.method, head.target);
    text += &head.headers.passed_on(&REPLACED_HEADERS);
    text += &format!("{}: {left_ms}\r\n", names::DEADLINE_MS);
    text += &format!("{}: {}\r\n", names::TARGET_INSTANCE, target.instance);
    let last_event_id =
        if exchange.streaming { exchange.event_buffer.last_id() } else { exchange.client_last_event_id };
    if let Some(id) = last_event_id {
        text += &format!("{}: {id}\r\n", names::LAST_EVENT_ID);
    }
    text += &format!("Content-Length: {}\r\n\r\n", exchange.request.body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&exchange.request.body);
    bytes
}

/// Builds the head of a response to the client, without `Content-Length` or `Transfer-Encoding` and without the empty line.
pub(super) fn response_head(status: u16, headers: &Headers) -> String {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", http::reason(status));
    text += &headers.passed_on(&[]);
    text
}

/// Builds the response to the client from a buffered one.
pub(super) fn buffered_response(buffered: BufferedResponse) -> Vec<u8> {
    let mut head = buffered.head;
    head += &format!("Content-Length: {}\r\n\r\n", buffered.body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&buffered.body);
    bytes
}
