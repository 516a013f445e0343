//! What stand-in executors do wrong in a soak: they fail, send answers twice, and send broken answers.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Sets the draws of broken answers apart from those of the other faults of a seed.
const BROKEN_ANSWERS_STREAM: u64 = 0x6272_6f6b_656e;
/// Statuses that no answer to a request of a node can have.
const STATUSES: [&str; 5] = ["000", "099", "101", "600", "999"];
/// Bytes that no name of a field may hold.
const NAME_BYTES: [char; 6] = [' ', '\t', '\n', '\0', '\u{1}', '\u{7f}'];

/// How an answer is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenAnswer {
    /// Its status is none that an answer can have.
    Status(&'static str),
    /// The name of a field begins with a byte that no name may hold.
    FieldName(char),
    /// Its body has no length, and a reset follows a part of it.
    Reset,
}

/// Draws the faults of all executors of a soak, and counts the failures of each request.
#[derive(Debug)]
pub struct AnswerFaults {
    failures: f64,
    repeats: f64,
    breaks: f64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    random: Pcg64,
    broken_answers: Pcg64,
    failures_by_attempt: HashMap<String, u32>,
    repeated: u64,
    broken: u64,
}

impl AnswerFaults {
    /// A share `failures` of the requests is answered 500, and a share `repeats` of the answers is sent twice, the copy in the
    /// place of the next answer on the connection, and a share `breaks` of the answers is broken.
    pub fn new(seed: u64, failures: f64, repeats: f64, breaks: f64) -> AnswerFaults {
        let state = State {
            random: Pcg64::seed_from_u64(seed),
            broken_answers: Pcg64::seed_from_u64(seed ^ BROKEN_ANSWERS_STREAM),
            failures_by_attempt: HashMap::new(),
            repeated: 0,
            broken: 0,
        };
        AnswerFaults { failures, repeats, breaks, state: Mutex::new(state) }
    }

    /// How the next answer is broken, if it is.
    pub fn breaks_next(&self) -> Option<BrokenAnswer> {
        let mut state = self.state();
        let random = &mut state.broken_answers;
        if !random.random_bool(self.breaks) {
            return None;
        }
        let broken = match random.random_range(0..3) {
            0 => BrokenAnswer::Status(STATUSES[random.random_range(0..STATUSES.len())]),
            1 => BrokenAnswer::FieldName(NAME_BYTES[random.random_range(0..NAME_BYTES.len())]),
            _ => BrokenAnswer::Reset,
        };
        state.broken += 1;
        Some(broken)
    }

    /// Whether an upload is answered by a part of an answer and a reset before it is read.
    pub fn breaks_upload(&self) -> bool {
        let mut state = self.state();
        let breaks = state.broken_answers.random_bool(self.breaks);
        state.broken += u64::from(breaks);
        breaks
    }

    /// How many answers were broken.
    pub fn broken(&self) -> u64 {
        self.state().broken
    }

    /// Whether the request with this id fails now. A failure is counted.
    pub fn fails_next(&self, attempt: &str) -> bool {
        let mut state = self.state();
        let fails = state.random.random_bool(self.failures);
        if fails {
            *state.failures_by_attempt.entry(attempt.to_owned()).or_default() += 1;
        }
        fails
    }

    /// Whether the answer that was just sent is to be sent again.
    pub fn repeats_next(&self) -> bool {
        let mut state = self.state();
        let repeats = state.random.random_bool(self.repeats);
        state.repeated += u64::from(repeats);
        repeats
    }

    /// How often the request with this id was answered 500.
    pub fn failures_of(&self, attempt: &str) -> u32 {
        self.state().failures_by_attempt.get(attempt).copied().unwrap_or(0)
    }

    /// How many answers were chosen to be sent twice.
    pub fn repeated(&self) -> u64 {
        self.state().repeated
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
