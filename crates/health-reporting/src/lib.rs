//! What a node says to balancers that ask whether it should get traffic. No I/O, no clock.

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};

/// How the node stands by its own phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stands {
    /// It knows no executor yet.
    Starting,
    Serving,
    /// Its clients are sent away, or it was told to stop.
    Leaving,
}

/// What is seen of a node at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub stands: Stands,
    /// Work units in hand, and the most that it takes.
    pub open: usize,
    pub most_open: usize,
    /// Executors in the list, and how many of them get nothing now.
    pub listed: usize,
    pub passed_over: usize,
    /// Attempts that were fulfilled, and that failed, since the process started.
    pub fulfilled: u64,
    pub failed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send work, with so many per cent of the weight that it is given.
    Up(u8),
    /// Send nothing new.
    Drain,
    /// It can't work.
    Down,
}

impl Verdict {
    /// As an agent check is answered.
    pub fn line(self) -> String {
        match self {
            Verdict::Up(percent) => format!("ready up {percent}%\n"),
            Verdict::Drain => "drain\n".to_owned(),
            Verdict::Down => "down # no executor is known\n".to_owned(),
        }
    }

    /// As an HTTP health call is answered.
    pub fn status(self) -> u16 {
        if let Verdict::Up(_) = self { 200 } else { 503 }
    }
}

/// What was looked at lately.
pub struct Fitness {
    verdict: Verdict,
    looked: Option<Instant>,
    /// What had been fulfilled and had failed by then, and both as they count now.
    before: (u64, u64),
    good: f64,
    bad: f64,
}

impl Default for Fitness {
    fn default() -> Fitness {
        Fitness { verdict: Verdict::Down, looked: None, before: (0, 0), good: 0.0, bad: 0.0 }
    }
}

impl Fitness {
    /// The verdict, looked at anew if that is some time ago or the node stands otherwise than it did.
    pub fn verdict(&mut self, now: Instant, see: impl FnOnce() -> Seen, stands: Stands) -> Verdict {
        const POLL_INTERVAL: Duration = Duration::from_millis(100);
        let fresh = self.looked.is_some_and(|at| now.since(at) < POLL_INTERVAL);
        if !fresh || fits(self.verdict, stands) != Some(true) {
            let seen = see();
            self.look(now, seen);
        }
        self.verdict
    }

    fn look(&mut self, now: Instant, seen: Seen) {
        const HALF_LIFE_S: f64 = 2.0; // some attempts at a busy node, and short against a balancer's patience
        let passed = self.looked.map_or(0.0, |at| now.since(at).seconds());
        let kept = 0.5_f64.powf(passed / HALF_LIFE_S);
        let (fulfilled, failed) = self.before;
        self.good = self.good * kept + seen.fulfilled.saturating_sub(fulfilled) as f64;
        self.bad = self.bad * kept + seen.failed.saturating_sub(failed) as f64;
        (self.looked, self.before) = (Some(now), (seen.fulfilled, seen.failed));
        self.verdict = match seen.stands {
            Stands::Leaving => Verdict::Drain,
            Stands::Starting => Verdict::Down,
            Stands::Serving if seen.listed == 0 => Verdict::Down,
            Stands::Serving => Verdict::Up(self.percent(&seen)),
        };
    }

    /// The least of room, executors and success, in steps of ten; never nothing, or all nodes before the same failing
    /// executors would be out together.
    fn percent(&self, seen: &Seen) -> u8 {
        // So few attempts tell nothing: one failure at an idle node is no trouble.
        const FEWEST: f64 = 5.0;
        let part = |out: usize, of: usize| 1.0 - (out.min(of) as f64 / of.max(1) as f64);
        let tried = self.good + self.bad;
        let success = if tried < FEWEST { 1.0 } else { self.good / tried };
        let least = part(seen.open, seen.most_open).min(part(seen.passed_over, seen.listed)).min(success);
        // A full step is one that is all there: rounding up would hide the first trouble.
        let steps = (least * 10.0 + 1e-9).floor();
        ((steps * 10.0) as u8).max(1)
    }
}

/// Whether a verdict is one that a node which stands so may say; `None` where that does not tell.
fn fits(verdict: Verdict, stands: Stands) -> Option<bool> {
    match (verdict, stands) {
        (Verdict::Drain, Stands::Leaving) | (Verdict::Up(_), Stands::Serving) => Some(true),
        (Verdict::Down, Stands::Starting) => Some(true),
        // An empty list may have filled.
        (Verdict::Down, Stands::Serving) => None,
        _ => Some(false),
    }
}
