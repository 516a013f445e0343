//! Connections of callers: what is read, what is refused and what is written.

use super::{Asked, Executors, ServerConnection, State};
use crate::call::LIMITS;
use crate::content::names;
use crate::hub::End;
use crate::stage::Stage;
use grebeusher_transport::body::{self, BodyReader};
use grebeusher_transport::http;

impl Executors {
    pub(super) fn serve(&mut self, number: usize, end: End, stage: &mut Stage<'_>) {
        let Some(connection) = self.all[number].connections.get_mut(&end) else { return };
        flush(connection, end, stage);
        let received = stage.hub.receive(end);
        connection.input.extend_from_slice(&received.bytes);
        while self.next_request(number, end, stage) {}
        if received.ended || received.broken {
            self.connection_over(number, end, stage);
        }
    }

    pub(super) fn next_request(&mut self, number: usize, end: End, stage: &mut Stage<'_>) -> bool {
        let Some(connection) = self.all[number].connections.get_mut(&end) else { return false };
        if connection.run.is_some() || connection.closes {
            return false;
        }
        if connection.head.is_none() {
            let Ok(Some((head, length))) = http::request_head(&connection.input, &LIMITS) else {
                return false;
            };
            if self.breaks_upload(number, end, &head.headers, stage) {
                return false;
            }
            let Some(connection) = self.all[number].connections.get_mut(&end) else { return false };
            connection.input.drain(..length);
            let Ok(framing) = body::request_framing(&head.headers) else { return false };
            connection.head = Some((head, BodyReader::new(framing), Vec::new()));
        }
        let Some(connection) = self.all[number].connections.get_mut(&end) else { return false };
        let Some((_, reader, content)) = &mut connection.head else { return false };
        if !reader.is_done() {
            let Ok(consumed) = reader.read_with(&connection.input, |bytes| content.extend_from_slice(bytes))
            else {
                return false;
            };
            connection.input.drain(..consumed);
        }
        if !reader.is_done() {
            return false;
        }
        if let Some((head, _, body)) = connection.head.take() {
            self.asked(number, end, Asked { head, body }, stage);
        }
        true
    }

    pub(super) fn asked(&mut self, number: usize, end: End, asked: Asked, stage: &mut Stage<'_>) {
        let connection = self.all[number].connections.get_mut(&end);
        if connection.is_some_and(|connection| std::mem::take(&mut connection.owes_surplus)) {
            self.write_surplus(number, end, stage);
        }
        self.write_late_copies(number, end, stage);
        let live = &mut self.all[number];
        let headers = &asked.head.headers;
        let attempt = headers.get(names::ATTEMPT_ID).unwrap_or_default().to_owned();
        let target = headers.get(names::TARGET_INSTANCE);
        let refused = if asked.head.method == "GET" && asked.head.target == "/health" {
            let status = if live.state == State::Up && !live.lies.says_ill { 200 } else { 503 };
            let bytes =
                http::answer(status, &[("X-Grebeusher-Instance-Id", &live.made.instance.clone())], b"");
            return self.write(number, end, &bytes, stage);
        } else if attempt.is_empty() {
            Some(400)
        } else if target.is_some_and(|target| target != live.made.instance) {
            Some(421)
        } else if live.runs.len() >= live.made.slots && live.waiting.len() >= live.made.queue {
            Some(503)
        } else {
            self.all[number].lies.refusal(stage)
        };
        let live = &mut self.all[number];
        if let Some(status) = refused {
            let further = [(names::NOT_EXECUTED, "1"), (names::ATTEMPT_ID, attempt.as_str())];
            let bytes = http::answer(status, &further, b"");
            self.write(number, end, &bytes, stage);
            return self.answer_complete(number, end, stage);
        }
        let now = stage.now();
        if live.runs.len() < live.made.slots {
            self.begin(number, end, now, asked, stage);
        } else {
            live.waiting.push_back((end, now, asked));
        }
    }

    /// A connection ended: what ran on it is dropped.
    pub(super) fn connection_over(&mut self, number: usize, end: End, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        let Some(connection) = live.connections.remove(&end) else { return };
        stage.hub.close(end);
        live.waiting.retain(|(other, ..)| *other != end);
        if let Some(run) = connection.run {
            live.runs.remove(&run);
            self.next_waiting(number, stage);
        }
    }

    pub(super) fn write(&mut self, number: usize, end: End, bytes: &[u8], stage: &mut Stage<'_>) {
        self.keep_for_repeat(number, end, bytes);
        if let Some(connection) = self.all[number].connections.get_mut(&end) {
            connection.out.extend_from_slice(bytes);
            flush(connection, end, stage);
        }
    }
}

pub(super) fn flush(connection: &mut ServerConnection, end: End, stage: &mut Stage<'_>) {
    while !connection.out.is_empty() {
        match stage.hub.write(end, &connection.out) {
            Ok(count) => drop(connection.out.drain(..count)),
            Err(_) => return,
        }
    }
}
