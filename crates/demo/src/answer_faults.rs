//! What stand-in executors do wrong in a soak: they fail, and they send answers twice.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Draws the faults of all executors of a soak, and counts the failures of each request.
#[derive(Debug)]
pub struct AnswerFaults {
    failures: f64,
    repeats: f64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    random: Pcg64,
    failures_by_attempt: HashMap<String, u32>,
    repeated: u64,
}

impl AnswerFaults {
    /// A share `failures` of the requests is answered 500, and a share `repeats` of the answers is sent twice, the copy in the
    /// place of the next answer on the connection.
    pub fn new(seed: u64, failures: f64, repeats: f64) -> AnswerFaults {
        let random = Pcg64::seed_from_u64(seed);
        let state = State { random, failures_by_attempt: HashMap::new(), repeated: 0 };
        AnswerFaults { failures, repeats, state: Mutex::new(state) }
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
