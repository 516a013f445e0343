//! Answers: whole ones, events of streams, and what a lying executor makes of them.

use super::{Executors, STEP, wake};
use crate::content::{self, names};
use crate::hub::End;
use crate::stage::Stage;
use grebeusher_time::{Duration, DurationExt};
use grebeusher_transport::http;
use rand::Rng;

impl Executors {
    #[expect(clippy::too_many_lines, reason = "one arm for each kind of answer")]
    pub(super) fn step(&mut self, number: usize, run_number: u64, stage: &mut Stage<'_>) {
        if self.breaks_answer(number, run_number, stage) {
            return;
        }
        let live = &mut self.all[number];
        let active = live.runs.len();
        let lies = live.lies;
        let Some(run) = live.runs.get_mut(&run_number) else { return };
        let (end, path, attempt) = (run.end, run.path.clone(), run.attempt.clone());
        let slowed = run.slowed;
        let seal = format!("{}.{run_number}", live.made.instance);
        if run.item && content::is_poisoned(&path) {
            let further = [(names::SERVER_SEAL, seal.as_str()), (names::ATTEMPT_ID, attempt.as_str())];
            let bytes = http::answer(422, &further, b"");
            self.write(number, end, &bytes, stage);
            stage.judge.item_finished(&attempt, stage.now());
            return self.run_over(number, run_number, stage);
        }
        if stage.hub.random.random_bool(lies.lost) {
            return self.break_off(number, run_number, stage);
        }
        let Some((next, last)) = run.stream else {
            let body = content::plain_body(&attempt, &path, &live.made.instance);
            let load = format!("{active},{},{}", live.waiting.len(), live.made.slots);
            let further = [
                (names::SERVER_SEAL, seal.as_str()),
                (names::ATTEMPT_ID, attempt.as_str()),
                (names::SERVER_LOAD, load.as_str()),
            ];
            let mut bytes = http::answer(200, &further, &body);
            let cut = stage.hub.random.random_bool(lies.cut);
            if cut {
                bytes.truncate(bytes.len() - body.len() / 2);
            }
            self.write(number, end, &bytes, stage);
            if cut {
                return self.break_off(number, run_number, stage);
            }
            return self.plain_done(number, run_number, stage);
        };
        let mut bytes = Vec::new();
        if !run.begun {
            run.begun = true;
            bytes.extend_from_slice(
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}: {attempt}\r\n{}: {seal}\r\nTransfer-Encoding: chunked\r\n\r\n",
                    names::ATTEMPT_ID,
                    names::SERVER_SEAL
                )
                .as_bytes(),
            );
        }
        if next <= last {
            put_chunk(&mut bytes, &content::event_bytes(&path, next));
        }
        run.stream = Some((next + 1, last));
        let done = next >= last;
        let item = run.item;
        if done {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        let cut = stage.hub.random.random_bool(lies.cut / 4.0);
        if cut {
            bytes.truncate(bytes.len() - bytes.len() / 3);
        }
        self.write(number, end, &bytes, stage);
        if cut {
            return self.break_off(number, run_number, stage);
        }
        if done {
            if item {
                stage.judge.item_finished(&attempt, stage.now());
            }
            return self.run_over(number, run_number, stage);
        }
        let takes = Duration::from_millis(6).scaled(1.0 + active as f64 * 0.15).scaled(slowed);
        wake(stage, number, stage.now() + takes, STEP, run_number);
    }

    pub(super) fn plain_done(&mut self, number: usize, run: u64, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        let end = live.runs.get(&run).map(|run| run.end);
        let surplus = stage.hub.random.random_bool(live.lies.surplus);
        if let (true, Some(end)) = (surplus, end) {
            let late = stage.hub.random.random_bool(0.5);
            match live.connections.get_mut(&end) {
                Some(connection) if late => connection.owes_surplus = true,
                _ => self.write_surplus(number, end, stage),
            }
        }
        self.run_over(number, run, stage);
    }

    pub(super) fn write_surplus(&mut self, number: usize, end: End, stage: &mut Stage<'_>) {
        let seal = format!("{}.surplus", self.all[number].made.instance);
        let further = [(names::SERVER_SEAL, seal.as_str()), (names::ATTEMPT_ID, "nobody")];
        let bytes = http::answer(200, &further, b"bytes of no request");
        self.write(number, end, &bytes, stage);
    }
}

fn put_chunk(bytes: &mut Vec<u8>, content: &[u8]) {
    bytes.extend_from_slice(format!("{:x}\r\n", content.len()).as_bytes());
    bytes.extend_from_slice(content);
    bytes.extend_from_slice(b"\r\n");
}
