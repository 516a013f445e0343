//! Broken answers: a status that no answer can have, a byte that no name of a field may hold, and a part of a body that a reset
//! ends.

use super::{Executors, Run};
use crate::content::{self, names};
use crate::hub::End;
use crate::scenario::BrokenAnswer;
use crate::stage::Stage;
use grebeusher_transport::headers::Headers;
use rand::Rng;
use rand::seq::IndexedRandom;

/// Statuses that no answer to a request of a node can have.
const STATUSES: [&str; 6] = ["000", "001", "099", "101", "600", "999"];
/// Bytes that no name of a field may hold.
const NAME_BYTES: [u8; 9] = [b' ', b'\t', b'\n', b'\r', 0, 1, 0x1f, 0x7f, 0xff];
/// The name of a field, into which such a byte is put.
const NAME: &[u8] = b"X-Name";
/// A request with a longer body is answered before its body is read, in bytes. The rest does not fit into the connection.
const MIN_UPLOAD: usize = 128 * 1024;

impl Executors {
    /// Whether the run that answers now sends a broken answer. If so, the answer is sent, and the run is over.
    pub(super) fn breaks_answer(&mut self, number: usize, run_number: u64, stage: &mut Stage<'_>) -> bool {
        let live = &self.all[number];
        let Some((how, share)) = live.lies.broken else { return false };
        let Some(run) = live.runs.get(&run_number).filter(|run| !run.begun) else { return false };
        if !stage.hub.random.random_bool(share) {
            return false;
        }
        let (end, bytes) = (run.end, broken_answer(how, run, &live.made.instance, stage));
        self.write(number, end, &bytes, stage);
        if how == BrokenAnswer::Reset {
            stage.hub.abort(end);
        }
        self.break_off(number, run_number, stage);
        true
    }

    /// Whether the executor answers a request with a part of a body, and resets the connection, before it has read the request.
    pub(super) fn breaks_upload(
        &mut self,
        number: usize,
        end: End,
        headers: &Headers,
        stage: &mut Stage<'_>,
    ) -> bool {
        let length = headers.get("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let Some((BrokenAnswer::Reset, share)) = self.all[number].lies.broken else { return false };
        if length < MIN_UPLOAD || !stage.hub.random.random_bool(share) {
            return false;
        }
        let attempt = headers.get(names::ATTEMPT_ID).unwrap_or_default();
        let mut bytes = head("200", attempt, &self.all[number].made.instance);
        bytes.extend_from_slice(b"\r\na part of an answer");
        self.write(number, end, &bytes, stage);
        stage.judge.executor_broke(attempt);
        stage.hub.abort(end);
        self.connection_over(number, end, stage);
        true
    }
}

/// Encodes the status line and the headers of an answer but those that frame its body.
fn head(status: &str, attempt: &str, instance: &str) -> Vec<u8> {
    let (id, seal) = (names::ATTEMPT_ID, names::SERVER_SEAL);
    format!("HTTP/1.1 {status} Some\r\n{id}: {attempt}\r\n{seal}: {instance}.broken\r\n").into_bytes()
}

fn broken_answer(how: BrokenAnswer, run: &Run, instance: &str, stage: &mut Stage<'_>) -> Vec<u8> {
    let body = match run.stream {
        Some((next, _)) => content::event_bytes(&run.path, next),
        None => content::plain_body(&run.attempt, &run.path, instance),
    };
    let random = &mut stage.hub.random;
    let status = if how == BrokenAnswer::Status { STATUSES.choose(random) } else { None };
    let mut bytes = head(status.unwrap_or(&"200"), &run.attempt, instance);
    if how == BrokenAnswer::FieldName {
        let mut name = NAME.to_vec();
        let byte = NAME_BYTES.choose(random).copied().unwrap_or_default();
        name.insert(random.random_range(0..=NAME.len()), byte);
        bytes.extend_from_slice(&name);
        bytes.extend_from_slice(b": value\r\n");
    }
    if how == BrokenAnswer::Reset {
        let part = random.random_range(0..body.len());
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&body[..part]);
    } else {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(&body);
    }
    bytes
}
