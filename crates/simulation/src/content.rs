//! What requests are answered with: all of it follows from the request, so that whoever gets it can check it.

use std::hash::Hasher;

/// Headers of the protocol.
pub mod names {
    /// The id of a try.
    pub const ATTEMPT_ID: &str = "X-Grebeusher-Attempt-Id";
    /// The executor's stamp.
    pub const SERVER_SEAL: &str = "X-Grebeusher-Server-Seal";
    /// The executor that is meant.
    pub const TARGET_INSTANCE: &str = "X-Grebeusher-Target-Instance";
    /// The executor did not run the request.
    pub const NOT_EXECUTED: &str = "X-Grebeusher-Not-Executed";
    /// The last event that a reader has.
    pub const LAST_EVENT_ID: &str = "Last-Event-Id";
    /// Tokens of the prompt, and the most that come out.
    pub const TOKEN_COUNT: &str = "X-Grebeusher-Token-Count";
    /// The parts of a prompt.
    pub const PROMPT_PREFIX: &str = "X-Grebeusher-Prompt-Prefix";
    /// Running, waiting and slots.
    pub const SERVER_LOAD: &str = "X-Grebeusher-Server-Load";
    /// How long the client waits.
    pub const DEADLINE_MS: &str = "X-Grebeusher-Deadline-Ms";
    /// The version that a configuration builds on.
    pub const BASE_VERSION: &str = "X-Grebeusher-Base-Version";
    /// How long a read may be held.
    pub const HOLD_MS: &str = "X-Grebeusher-Hold-Ms";
}

/// A hash that is the same in every run.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    for part in parts {
        hasher.write(part);
        hasher.write_u8(0xff);
    }
    let mut value = hasher.finish();
    // The low bits are the weakest.
    value ^= value >> 32;
    value.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// How many events a stream has.
pub fn event_count(path: &str) -> u64 {
    2 + (hash(&[b"events", path.as_bytes()]) >> 20) % 14
}

/// Stands between a path and the bytes that each event of its stream is longer by.
const PADDING_MARK: &str = "-padded-";

/// The path of a request whose stream has events that are longer by so many bytes.
pub fn padded_path(path: &str, bytes: usize) -> String {
    if bytes == 0 { path.to_owned() } else { format!("{path}{PADDING_MARK}{bytes}") }
}

/// The data of an event.
pub fn event_data(path: &str, event: u64) -> String {
    let word = hash(&[b"event", path.as_bytes(), &event.to_le_bytes()]);
    let padding = path.rsplit_once(PADDING_MARK).and_then(|(_, bytes)| bytes.parse().ok()).unwrap_or(0);
    format!("piece {event} of {path} {word:016x}{}", "x".repeat(padding))
}

/// An event as it goes over the wire.
pub fn event_bytes(path: &str, event: u64) -> Vec<u8> {
    format!("id: {event}\ndata: {}\n\n", event_data(path, event)).into_bytes()
}

/// The whole output of an item.
pub fn whole_text(path: &str) -> String {
    let events: Vec<String> = (1..=event_count(path)).map(|event| event_data(path, event)).collect();
    events.join("\n")
}

/// Whether an item can never be done.
pub fn is_poisoned(path: &str) -> bool {
    hash(&[b"poison", path.as_bytes()]).is_multiple_of(60)
}

/// The body of a plain answer.
pub fn plain_body(attempt: &str, path: &str, instance: &str) -> Vec<u8> {
    let length = 20 + (hash(&[b"length", attempt.as_bytes()]) >> 20) % 3000;
    let mut body = format!("{attempt} {path} {instance} ").into_bytes();
    body.resize(body.len() + length as usize, b'x');
    body
}
