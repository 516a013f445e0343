//! Live requests with their retries.

use super::answers::{check_plain, check_stream};
use super::{AGAIN, ARRIVAL, Clients, EXPIRES, LIVE_HOST, LIVE_ROUTES, Task, pick_node, wake, wake_for_next};
use crate::call::{HttpCall, Progress, request};
use crate::content::{self, names};
use crate::hub::Owner;
use crate::judge::{Judge, Kind, Rule};
use crate::stage::Stage;
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;
use std::net::SocketAddrV4;

/// A new connection gets this long to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Tries of a live request.
const MAX_ATTEMPTS: u32 = 3;

pub(super) struct Live {
    pub(super) zone: usize,
    pub(super) kind: Kind,
    pub(super) prefix: String,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    pub(super) method: &'static str,
    pub(super) until: Instant,
    pub(super) tries: u32,
    pub(super) last_event: u64,
    pub(super) probe: bool,
    pub(super) attempt: String,
    pub(super) host: usize,
    pub(super) address: SocketAddrV4,
    pub(super) call: Option<HttpCall>,
    pub(super) gives_up: Instant,
    /// The node that it goes to, where that isn't the platform's choice.
    pub(super) only: Option<(usize, SocketAddrV4)>,
}

impl Clients {
    pub(super) fn arrival(&mut self, stage: &mut Stage<'_>) {
        if stage.now() >= self.until {
            return;
        }
        let all = self.traffic.live_per_s * self.times + self.traffic.probes_per_s;
        let probe = stage.hub.random.random_bool(self.traffic.probes_per_s / all);
        wake_for_next(stage, all, ARRIVAL);
        let route = stage.hub.random.random_range(0..LIVE_ROUTES.len());
        let (prefix, kind) = LIVE_ROUTES[route];
        let newest = stage.judge.newest_acknowledged();
        let (prefix, kind) =
            if probe { (format!("/v{newest}/"), Kind::Idempotent) } else { (prefix.to_owned(), kind) };
        self.new_live(prefix, kind, probe, None, stage);
    }

    /// A request on the way; `only` names its node.
    pub(super) fn new_live(
        &mut self,
        prefix: String,
        kind: Kind,
        probe: bool,
        only: Option<(usize, SocketAddrV4)>,
        stage: &mut Stage<'_>,
    ) {
        let number = self.new_number();
        let length = self.traffic.upload_bytes + stage.hub.random.random_range(0..3000);
        let method = if kind == Kind::Idempotent { "GET" } else { "POST" };
        let body = if method == "GET" { Vec::new() } else { vec![b'a' + (number % 26) as u8; length] };
        let wait = if matches!(kind, Kind::Stream | Kind::Resumable) { 6000 } else { 4000 };
        let live = Live {
            zone: stage.hub.random.random_range(0..self.hosts.len()),
            kind,
            path: format!("{prefix}r{number:x}"),
            prefix,
            body,
            method,
            until: stage.now() + Duration::from_millis(wait),
            tries: 0,
            last_event: 0,
            probe,
            attempt: String::new(),
            host: 0,
            address: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
            call: None,
            gives_up: Instant(0),
            only,
        };
        self.tasks.insert(number, Task::Live(Box::new(live)));
        self.send_live(number, stage);
    }

    pub(super) fn send_live(&mut self, number: u64, stage: &mut Stage<'_>) {
        let Some(Task::Live(live)) = self.tasks.get_mut(&number) else { return };
        let (zone, probe, first) = (live.zone, live.probe, live.tries == 0);
        let picked = live.only.or_else(|| pick_node(zone, probe, stage));
        let Some((host, address)) = picked else {
            return self.try_failed(number, stage);
        };
        let kept = self.idle.iter().position(|(other, _, _, to)| *other == zone && *to == address);
        let kept = kept.filter(|_| first && stage.hub.random.random_bool(0.6));
        let end = match kept.map(|at| self.idle.swap_remove(at)) {
            Some((_, end, ..)) => end,
            None => stage.hub.dial(Owner::Clients, self.hosts[zone], address, 0),
        };
        let now = stage.now();
        let Some(Task::Live(live)) = self.tasks.get_mut(&number) else { return };
        live.tries += 1;
        live.attempt = format!("{:016x}", content::hash(&[&number.to_le_bytes(), &live.tries.to_le_bytes()]));
        (live.host, live.address) = (host, address);
        let left = live.until.since(now).nanos() / 1_000_000;
        let left_text = left.to_string();
        let tokens = format!("{},80", 100 + number % 900);
        let prefix_parts = format!("{:x}:60,{:x}:30,{number:x}:10", number % 4, 100 + number % 20);
        let event = live.last_event.to_string();
        let mut headers = vec![
            ("Host", LIVE_HOST),
            (names::ATTEMPT_ID, live.attempt.as_str()),
            (names::DEADLINE_MS, left_text.as_str()),
        ];
        if matches!(live.kind, Kind::Stream | Kind::Resumable) {
            headers.push(("X-Grebeusher-Model-Name", "m"));
            headers.push((names::TOKEN_COUNT, tokens.as_str()));
            headers.push((names::PROMPT_PREFIX, prefix_parts.as_str()));
        }
        if live.last_event > 0 {
            headers.push((names::LAST_EVENT_ID, event.as_str()));
        }
        let bytes = request(live.method, &live.path, &headers, &live.body);
        let line = format!("{} {}", live.method, live.path);
        let mut sent = Judge::new_try(live.kind, &line, &live.prefix, &live.body, now, host);
        sent.life = stage.life_of(host);
        stage.judge.try_sent(&live.attempt, sent);
        live.call = Some(HttpCall::new(end, live.method, bytes));
        live.gives_up = live.until.min(now + CONNECT_TIMEOUT);
        wake(stage, live.gives_up, EXPIRES, number);
        self.ends.insert(end, number);
        self.advance(number, stage);
    }

    pub(super) fn live_answered(&mut self, number: u64, progress: Progress, stage: &mut Stage<'_>) {
        let now = stage.now();
        let Some(Task::Live(live)) = self.tasks.get_mut(&number) else { return };
        let Some(call) = live.call.take() else { return };
        self.ends.remove(&call.end);
        if progress == Progress::Done && call.may_stay() && stage.hub.random.random_bool(0.7) {
            self.idle.push((live.zone, call.end, live.host, live.address));
        } else {
            stage.hub.close(call.end);
        }
        if progress == Progress::Garbage {
            stage.judge.breach(Rule::Mixed, now, format!("{} got bytes that are no answer", live.attempt));
        }
        let streamed = matches!(live.kind, Kind::Stream | Kind::Resumable);
        match (call.status, progress) {
            (Some(status), Progress::Done | Progress::Failed) if (200..300).contains(&status) => {
                let whole = progress == Progress::Done;
                let ok = if streamed {
                    check_stream(live, &call, whole, stage)
                } else {
                    whole && check_plain(live, &call, stage)
                };
                if ok {
                    return self.live_over(number, true, stage);
                }
                if !whole && let Some(sent) = call.sent {
                    stage.judge.try_cut(&live.attempt, sent, now, live.until);
                }
            }
            (Some(404), Progress::Done) => {
                stage.judge.unrouted(&live.attempt, now);
                return self.live_over(number, false, stage);
            }
            (Some(status @ (429 | 503 | 408 | 421)), Progress::Done) => {
                stage.judge.try_refused(&live.attempt, status, now);
                let again = stage.hub.random.random_range(50..300);
                return self.retry(number, Duration::from_millis(again), stage);
            }
            (Some(400 | 401 | 413 | 431), Progress::Done) => return self.live_over(number, false, stage),
            (Some(_), Progress::Done) => {}
            _ => {
                if let Some(sent) = call.sent {
                    stage.judge.try_cut(&live.attempt, sent, now, live.until);
                }
            }
        }
        self.try_failed(number, stage);
    }

    pub(super) fn try_failed(&mut self, number: u64, stage: &mut Stage<'_>) {
        let Some(Task::Live(live)) = self.tasks.get(&number) else { return };
        match live.kind {
            Kind::Idempotent | Kind::Resumable => self.retry(number, Duration::from_millis(20), stage),
            Kind::Once | Kind::Stream => self.live_over(number, false, stage),
        }
    }

    fn retry(&mut self, number: u64, after: Duration, stage: &mut Stage<'_>) {
        let Some(Task::Live(live)) = self.tasks.get(&number) else { return };
        if live.tries >= MAX_ATTEMPTS || stage.now() + after + Duration::from_millis(50) >= live.until {
            return self.live_over(number, false, stage);
        }
        wake(stage, stage.now() + after, AGAIN, number);
    }

    pub(super) fn live_over(&mut self, number: u64, served: bool, stage: &mut Stage<'_>) {
        let now = stage.now();
        if let Some(Task::Live(live)) = self.tasks.remove(&number)
            && !live.probe
        {
            stage.judge.request_over(now, served);
        }
    }
}
