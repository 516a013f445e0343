//! The time of a whole demonstration, and the word to stop it early.

use crate::error::DemoError;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The pause between two looks at something that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Bounds all waiting.
#[derive(Clone, Debug)]
pub struct Watch {
    started: Instant,
    limit: Duration,
    interrupted: Arc<AtomicBool>,
}

impl Watch {
    /// A watch that runs from now for `limit`, or until `interrupted`.
    pub fn new(limit: Duration, interrupted: Arc<AtomicBool>) -> Watch {
        Watch { started: Instant::now(), limit, interrupted }
    }

    /// The time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Whether there is time left; otherwise the error of `step`.
    ///
    /// # Errors
    /// The time is over, or the demonstration was told to stop.
    pub fn check(&self, step: &str) -> Result<(), DemoError> {
        if self.interrupted.load(Ordering::Relaxed) {
            return Err(DemoError::Interrupted);
        }
        if self.elapsed() > self.limit {
            return Err(DemoError::Late { step: step.to_owned() });
        }
        Ok(())
    }

    /// Looks again and again until there is something.
    ///
    /// # Errors
    /// Those of [`Watch::check`], and those of `look`.
    pub fn until<T>(
        &self,
        step: &str,
        mut look: impl FnMut() -> Result<Option<T>, DemoError>,
    ) -> Result<T, DemoError> {
        loop {
            self.check(step)?;
            if let Some(found) = look()? {
                return Ok(found);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
