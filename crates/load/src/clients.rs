//! The clients: open arrivals, whose times are drawn beforehand and do not wait for answers. All times count from when a
//! unit was meant to come, so that a slow node does not hide its own delay.

use crate::floor::Floor;
use crate::nodes::{Node, Nodes};
use crate::talk::{Message, Talk};
use grebeusher_dispatch::time::{Moment, Span};
use grebeusher_emulator::laws::{exponential, noise};
use grebeusher_emulator::rules::Answer;
use grebeusher_emulator::scenario::Scenario;
use grebeusher_emulator::stage::{Errand, START, ms};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::json;
use std::io::{self, ErrorKind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// So many wait for answers at once.
const AT_ONCE: usize = 200;
/// What was sent this much after its time says that this machine was too busy.
const LATE: Span = Span::millis(10);
const DIAL_WITHIN: Duration = Duration::from_millis(500);
/// How soon a client whose node is gone goes to another.
const KNOCK_AGAIN: Span = Span::millis(50);

/// All that comes in a run, in the order of its time.
pub fn schedule(scenario: &Scenario) -> Vec<Errand> {
    let mut chance = Pcg32::seed_from_u64(scenario.seed);
    let mut errands = Vec::new();
    for (tariff, t) in scenario.tariffs.iter().enumerate() {
        let mut at_s = exponential(&mut chance) / t.per_s;
        while at_s < scenario.length_s {
            let came = Moment(START) + Span::secs(at_s);
            let size_s = t.size.draw(&mut chance);
            let patience = ms(t.patience_ms);
            let leaves = (chance.random::<f64>() < scenario.clients.leave_share)
                .then(|| came + patience * chance.random::<f64>());
            errands.push(Errand {
                tariff,
                size_s,
                hint_s: t.hint_cv.map(|cv| size_s * noise(&mut chance, cv)),
                came,
                deadline: came + patience,
                leaves,
                tries: 0,
                counted: at_s >= scenario.settles_s,
            });
            at_s += exponential(&mut chance) / t.per_s;
        }
    }
    errands.sort_by_key(|errand| errand.came);
    errands
}

/// Plays all that was drawn, and returns when each has its end; tells how many were sent late.
pub fn play(floor: &Arc<Floor>, nodes: &Nodes, errands: Vec<Errand>) -> u64 {
    let (hands_in, taken) = channel();
    let taken = Arc::new(Mutex::new(taken));
    let late = Arc::new(AtomicU64::new(0));
    let workers: Vec<_> = (0..AT_ONCE.min(errands.len()))
        .map(|number| {
            let (floor, nodes, taken, late) = (floor.clone(), nodes.clone(), taken.clone(), late.clone());
            let chance = Pcg32::seed_from_u64(floor.scenario.seed ^ (number as u64 + 1));
            let talks = nodes.iter().map(|_| None).collect();
            thread::spawn(move || Client { floor, nodes, talks, chance, late }.works(&taken))
        })
        .collect();
    for errand in errands {
        if !floor.wait_until(errand.came) || hands_in.send(errand).is_err() {
            break;
        }
    }
    drop(hands_in);
    for worker in workers {
        // One that panicked has left its unit without an end, which the sums show.
        let _ = worker.join();
    }
    late.load(Ordering::Relaxed)
}

/// One that waits for one answer at a time, and keeps a connection to each node.
struct Client {
    floor: Arc<Floor>,
    nodes: Nodes,
    talks: Vec<Option<(u32, Talk)>>,
    chance: Pcg32,
    late: Arc<AtomicU64>,
}

/// How a try ended.
enum Try {
    Answered(Message),
    /// The client left before the answer.
    Left,
    /// The node died, or was gone already.
    NodeGone,
    /// The node lives, and nothing came.
    Nothing(String),
}

impl Client {
    fn works(mut self, taken: &Mutex<Receiver<Errand>>) {
        loop {
            let next = taken.lock().unwrap_or_else(PoisonError::into_inner).recv();
            let Ok(errand) = next else { return };
            if self.floor.now().since(errand.came) > LATE {
                self.late.fetch_add(1, Ordering::Relaxed);
            }
            if errand.counted {
                self.floor.figures().came(errand.tariff, errand.came);
            }
            self.brings(errand);
        }
    }

    /// Brings one piece of work until it has its end.
    fn brings(&mut self, mut errand: Errand) {
        let floor = self.floor.clone();
        let clients = floor.scenario.clients;
        loop {
            let up: Vec<Arc<Node>> = self.nodes.iter().filter(|n| n.life().is_some()).cloned().collect();
            if floor.now() + KNOCK_AGAIN >= errand.deadline {
                return floor.figures().lost(&errand);
            }
            if up.is_empty() {
                floor.wait_until(floor.now() + KNOCK_AGAIN);
                continue;
            }
            let node = up[self.chance.random_range(0..up.len())].clone();
            let unit = floor.taken(errand.tariff, errand.came, errand.counted, errand.deadline);
            let ended = self.tries(&errand, unit, &node);
            let now = floor.now();
            let answer = match &ended {
                Try::Answered(message) => match message.status {
                    200 => Answer::Fulfilled,
                    429 | 503 => Answer::TurnedBack,
                    _ => Answer::Forfeited,
                },
                Try::Left => {
                    floor.book().gone(unit);
                    return floor.figures().left(&errand);
                }
                Try::NodeGone => {
                    floor.book().gone(unit);
                    let binding = floor.scenario.tariffs[errand.tariff].is_binding();
                    if binding {
                        return floor.figures().lost(&errand);
                    }
                    floor.wait_until(now + KNOCK_AGAIN);
                    continue;
                }
                Try::Nothing(why) => {
                    floor.book().unanswered(now, unit, why);
                    return floor.figures().lost(&errand);
                }
            };
            floor.book().answered(now, unit, answer);
            if let Try::Answered(message) = &ended
                && answer == Answer::Fulfilled
                && message.body != format!("done {unit}").as_bytes()
            {
                floor.book().foreign(now, unit);
            }
            let backoff = clients.backoff(errand.tries);
            if answer == Answer::TurnedBack
                && errand.tries < clients.repeats
                && now + backoff < errand.deadline
            {
                errand.tries += 1;
                floor.wait_until(now + backoff);
                continue;
            }
            if errand.counted {
                let tariff = &floor.scenario.tariffs[errand.tariff];
                let quoted = tariff.quoted(errand.size_s);
                floor.figures().ended(errand.tariff, answer, errand.came, now, quoted);
            }
            return;
        }
    }

    fn tries(&mut self, errand: &Errand, unit: u64, node: &Node) -> Try {
        let life = node.life();
        let slack = ms(self.floor.scenario.rules.slack_ms);
        let until = errand.leaves.unwrap_or(errand.deadline + slack);
        let kept = self.talks[node.place].take().filter(|(of, _)| Some(*of) == life);
        let ended = self.asks(errand, unit, node, kept.map(|(_, talk)| talk), until);
        match ended {
            Ok((message, talk)) => {
                if let Some(life) = life.filter(|_| !message.closes()) {
                    self.talks[node.place] = Some((life, talk));
                }
                Try::Answered(message)
            }
            Err(_) if node.life() != life || life.is_none() => Try::NodeGone,
            Err(e) if errand.leaves.is_some() && is_silence(&e) => Try::Left,
            Err(e) => {
                // A process that has just died is known to be gone a moment later.
                thread::sleep(Duration::from_millis(20));
                if node.life() != life { Try::NodeGone } else { Try::Nothing(e.to_string()) }
            }
        }
    }

    fn asks(
        &self,
        errand: &Errand,
        unit: u64,
        node: &Node,
        kept: Option<Talk>,
        until: Moment,
    ) -> io::Result<(Message, Talk)> {
        let tariff = &self.floor.scenario.tariffs[errand.tariff].name;
        let hint =
            errand.hint_s.map(|s| format!("X-Call-Cost: {}\r\n", (s * 1e6) as u64)).unwrap_or_default();
        let again = if errand.tries > 0 { "X-Again: 1\r\n" } else { "" };
        let body = json!({"size_s": errand.size_s, "node": node.place}).to_string();
        let head = |budget_ms: u64| {
            format!(
                "POST /{tariff} HTTP/1.1\r\nX-Call-Id: u-{unit}\r\nX-Call-Class: {tariff}\r\n{hint}{again}\
                 X-Budget-Ms: {budget_ms}\r\n"
            )
        };
        let ask = |mut talk: Talk| -> io::Result<(Message, Talk)> {
            let now = self.floor.now();
            talk.bear(Duration::from_nanos(until.since(now).0.max(1_000_000)))?;
            talk.say(&head(errand.deadline.since(now).0 / 1_000_000), body.as_bytes())?;
            let message = talk.answer()?;
            Ok((message, talk))
        };
        let fresh = || Talk::to(node.address, DIAL_WITHIN);
        match kept {
            // The node may close a connection between requests: then the request goes once more on a new one.
            Some(talk) => match ask(talk) {
                Err(e) if !is_silence(&e) => ask(fresh()?),
                asked => asked,
            },
            None => ask(fresh()?),
        }
    }
}

fn is_silence(e: &io::Error) -> bool {
    matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
