//! Grey executors: their health is good, and some of their requests fail.

use super::{Executors, Lies};
use crate::content::names;
use crate::scenario::Grey;
use crate::stage::Stage;
use grebeusher_transport::http;
use rand::Rng;

/// How many times as long a slow executor takes.
pub(super) const SLOW_TIMES: f64 = 8.0;

impl Lies {
    /// Refuses a request that would otherwise be taken, with the promise that it did not run.
    pub(super) fn refusal(&self, stage: &mut Stage<'_>) -> Option<u16> {
        let (how, x) = self.grey?;
        let status = match how {
            Grey::Shed => 503,
            Grey::Busy => 429,
            Grey::Errors | Grey::Hang | Grey::Reset | Grey::Slow => return None,
        };
        stage.hub.random.random_bool(x).then_some(status)
    }

    /// How a run that begins now will fail.
    pub(super) fn failure(&self, stage: &mut Stage<'_>) -> Option<Grey> {
        let (how, x) = self.grey.filter(|(how, _)| !matches!(how, Grey::Shed | Grey::Busy))?;
        stage.hub.random.random_bool(x).then_some(how)
    }
}

impl Executors {
    /// A run fails as a grey executor's does.
    pub(super) fn fail_run(&mut self, number: usize, run: u64, how: Grey, stage: &mut Stage<'_>) {
        let Some(found) = self.all[number].runs.get(&run) else { return };
        let (end, attempt, item) = (found.end, found.attempt.clone(), found.item);
        match how {
            Grey::Errors => {
                if item {
                    stage.judge.item_failed(&attempt);
                }
                let seal = format!("{}.{run}", self.all[number].made.instance);
                let further = [(names::SERVER_SEAL, seal.as_str()), (names::ATTEMPT_ID, attempt.as_str())];
                let bytes = http::answer(500, &further, b"");
                self.write(number, end, &bytes, stage);
                self.run_over(number, run, stage);
            }
            Grey::Reset => {
                stage.hub.reset(end);
                self.break_off(number, run, stage);
            }
            // It is still at work, as far as anybody can tell: what ends without an answer is the executor's doing.
            Grey::Hang => stage.judge.executor_broke(&attempt),
            Grey::Shed | Grey::Busy | Grey::Slow => {}
        }
    }
}
