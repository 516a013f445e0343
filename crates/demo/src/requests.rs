//! Live requests: greetings, which may be repeated, and streams of events.

use crate::client::{Answer, Call, call};
use crate::error::DemoError;
use crate::operator::{GREETING_PREFIX, LIVE_HOST, STREAM_PREFIX};
use crate::watch::Watch;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A client tries this often, each time at the next node.
const TRIES: usize = 5;
/// What a client waits for one try.
const DEADLINE: Duration = Duration::from_millis(3000);
/// The pause before another try.
const PAUSE: Duration = Duration::from_millis(100);

/// What clients saw.
#[derive(Debug, Default)]
pub struct Served {
    /// Answers that were whole, right and stamped.
    pub served: usize,
    /// Further tries.
    pub repeated: usize,
    /// The time to the first byte of the body, of each, sorted.
    pub first_byte: Vec<Duration>,
    /// The time to the last byte of each, sorted.
    pub whole: Vec<Duration>,
}

impl Served {
    fn add(&mut self, answer: &Answer, tries: usize) {
        self.served += 1;
        self.repeated += tries - 1;
        self.first_byte.push(answer.first_byte);
        self.whole.push(answer.took);
    }

    fn sorted(mut self) -> Served {
        self.first_byte.sort_unstable();
        self.whole.sort_unstable();
        self
    }
}

/// Sends greetings, one after the other, to each node in turn.
///
/// # Errors
/// One has no right answer after all tries.
pub fn greet(watch: &Watch, frontends: &[SocketAddrV4], count: usize) -> Result<Served, DemoError> {
    let mut all = Served::default();
    for index in 0..count {
        let (name, target) = (format!("client {index}"), format!("{GREETING_PREFIX}{index}"));
        let (answer, tries) = ask(watch, frontends, index, &target, &name)?;
        let expected = format!("hello, {name}");
        if answer.text() != expected {
            return Err(wrong(&target, &answer));
        }
        all.add(&answer, tries);
    }
    Ok(all.sorted())
}

/// Asks for streams in the same way. Each must hold all words in order, with ids that rise from 1.
///
/// # Errors
/// One has no right answer after all tries.
pub fn stream(watch: &Watch, frontends: &[SocketAddrV4], count: usize) -> Result<Served, DemoError> {
    let mut all = Served::default();
    let words = ["each", "word", "is", "an", "event"];
    for index in 0..count {
        let target = format!("{STREAM_PREFIX}{index}");
        let (answer, tries) = ask(watch, frontends, index, &target, &words.join(" "))?;
        let expected: String =
            words.iter().enumerate().map(|(at, word)| format!("id: {}\ndata: {word}\n\n", at + 1)).collect();
        if answer.text() != expected {
            return Err(wrong(&target, &answer));
        }
        all.add(&answer, tries);
    }
    Ok(all.sorted())
}

fn ask(
    watch: &Watch,
    frontends: &[SocketAddrV4],
    index: usize,
    target: &str,
    body: &str,
) -> Result<(Answer, usize), DemoError> {
    let mut last = String::new();
    for tries in 1..=TRIES {
        watch.check(target)?;
        let attempt = format!("{:016x}", (index * TRIES + tries) as u64 ^ hash(target));
        let answer = call(&Call {
            address: frontends[(index + tries - 1) % frontends.len()],
            method: "POST",
            target,
            host: LIVE_HOST,
            headers: vec![
                ("X-Grebeusher-Attempt-Id", attempt.clone()),
                ("X-Grebeusher-Deadline-Ms", DEADLINE.as_millis().to_string()),
            ],
            body: body.as_bytes(),
            within: DEADLINE,
        });
        match answer {
            Ok(answer) if answer.is_success() => {
                let echoed = answer.headers.get("X-Grebeusher-Attempt-Id") == Some(attempt.as_str());
                let sealed = answer.headers.get("X-Grebeusher-Server-Seal").is_some();
                return if echoed && sealed { Ok((answer, tries)) } else { Err(wrong(target, &answer)) };
            }
            Ok(answer) => last = format!("status {}", answer.status),
            Err(error) => last = error.to_string(),
        }
        std::thread::sleep(PAUSE);
    }
    Err(DemoError::Wrong { step: target.to_owned(), what: format!("after {TRIES} tries: {last}") })
}

fn wrong(target: &str, answer: &Answer) -> DemoError {
    let what = format!("status {}, body {:?}", answer.status, answer.text());
    DemoError::Wrong { step: target.to_owned(), what }
}

/// Tells the attempts of one kind of request from those of another.
fn hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}
