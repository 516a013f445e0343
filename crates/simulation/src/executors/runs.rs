//! Runs: how one begins, what it takes, and what waits for its place.

use super::grey::SLOW_TIMES;
use super::{Asked, Executors, KEPT_TOKENS, Run, STEP, TOKENS_A_MS, wake};
use crate::content::{self, names};
use crate::hub::End;
use crate::judge::Arrival;
use crate::scenario::Grey;
use crate::stage::Stage;
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;

impl Executors {
    pub(super) fn begin(
        &mut self,
        number: usize,
        end: End,
        came: Instant,
        asked: Asked,
        stage: &mut Stage<'_>,
    ) {
        let live = &mut self.all[number];
        let headers = &asked.head.headers;
        let attempt = headers.get(names::ATTEMPT_ID).unwrap_or_default().to_owned();
        let path = asked.head.target.clone();
        let from = stage.hub.peer_host(end).unwrap_or(usize::MAX);
        let arrival = Arrival {
            at: stage.hub.now,
            came,
            instance: &live.made.instance,
            service: &live.made.service,
            version: &live.made.version,
            from,
            life: stage.machines.iter().find(|machine| machine.host == from).and_then(|m| m.life),
            line: &format!("{} {path}", asked.head.method),
            attempt: &attempt,
            body: &asked.body,
        };
        stage.judge.runs(&arrival);
        let model = live.made.service.starts_with("model");
        let last_event = headers.get(names::LAST_EVENT_ID).and_then(|text| text.trim().parse().ok());
        let item = path.contains("/item-");
        let takes = if model {
            let prompt = self.prompt_tokens(
                number,
                headers.get(names::TOKEN_COUNT),
                headers.get(names::PROMPT_PREFIX),
            );
            Duration::from_seconds(prompt as f64 / TOKENS_A_MS / 1000.0) + Duration::from_millis(2)
        } else {
            let drawn: f64 = stage.hub.random.random_range(0.0..1.0);
            Duration::from_seconds(0.003 - 0.02 * (1.0 - drawn).max(1e-6).ln())
        };
        let failure = match self.version_failure(number, &path, stage) {
            Some(failure) => Some(failure),
            None => self.all[number].lies.failure(stage),
        };
        let slowed = if failure == Some(Grey::Slow) { SLOW_TIMES } else { 1.0 };
        let live = &mut self.all[number];
        let run = live.next_run;
        live.next_run += 1;
        let stream = model.then(|| (last_event.unwrap_or(0) + 1, content::event_count(&path)));
        live.runs.insert(run, Run { end, attempt, path, stream, begun: false, item, slowed });
        if let Some(connection) = live.connections.get_mut(&end) {
            connection.run = Some(run);
        }
        match failure {
            None | Some(Grey::Slow) => wake(stage, number, stage.now() + takes.scaled(slowed), STEP, run),
            Some(how) => self.fail_run(number, run, how, stage),
        }
    }

    /// Tokens of a prompt that have to be read; its parts are kept afterwards.
    pub(super) fn prompt_tokens(&mut self, number: usize, count: Option<&str>, prefix: Option<&str>) -> u64 {
        let live = &mut self.all[number];
        let all = count.and_then(|text| text.split(',').next()?.trim().parse().ok()).unwrap_or(200);
        let mut kept = 0;
        let mut whole = true;
        for partition in prefix.into_iter().flat_map(|text| text.split(',')) {
            let Some((id, tokens)) = partition.split_once(':') else { break };
            let tokens: u64 = tokens.trim().parse().unwrap_or(0);
            let known = live.kept.iter().position(|(other, _)| other == id);
            whole &= known.is_some();
            if whole {
                kept += tokens;
            }
            if let Some(at) = known {
                live.kept.remove(at);
            }
            live.kept.push_back((id.to_owned(), tokens));
        }
        while live.kept.iter().map(|(_, tokens)| tokens).sum::<u64>() > KEPT_TOKENS {
            live.kept.pop_front();
        }
        u64::saturating_sub(all, kept)
    }

    pub(super) fn run_over(&mut self, number: usize, run: u64, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        let Some(found) = live.runs.remove(&run) else { return };
        if let Some(connection) = live.connections.get_mut(&found.end) {
            connection.run = None;
        }
        self.answer_complete(number, found.end, stage);
        self.next_waiting(number, stage);
        while self.next_request(number, found.end, stage) {}
    }

    pub(super) fn next_waiting(&mut self, number: usize, stage: &mut Stage<'_>) {
        loop {
            let live = &mut self.all[number];
            if live.runs.len() >= live.made.slots {
                return;
            }
            let Some((end, came, asked)) = live.waiting.pop_front() else { return };
            if live.connections.contains_key(&end) {
                self.begin(number, end, came, asked, stage);
            }
        }
    }

    pub(super) fn break_off(&mut self, number: usize, run: u64, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        let Some(found) = live.runs.remove(&run) else { return };
        stage.judge.executor_broke(&found.attempt);
        live.connections.remove(&found.end);
        stage.hub.close(found.end);
        self.next_waiting(number, stage);
    }
}
