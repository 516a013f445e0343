//! What is done to the processes: signals, kills, suspensions, restarts and changes of the configuration, in series that overlap.

use super::{POLL_INTERVAL, Tier};
use crate::client::Answer;
use crate::error::DemoError;
use crate::layout::{GRACE_PERIOD_S, MachineKind};
use crate::operator::{ask, configuration};
use rand::Rng;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

/// The pause between the starts of two disturbances, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..900;
/// How long a process is suspended, or stays down, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 200..3_500;
/// The most machines with a disk that are disturbed at once. One more than may be lost: their disks stay.
const MAX_DISTURBED_DISKS: usize = 2;
/// A process has to exit within this time of SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(GRACE_PERIOD_S + 3);

/// A disturbance of the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Something is done to a process.
    Process(Signal),
    /// The configuration is changed.
    Configure,
}

/// What is done to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Signal {
    Suspend,
    Terminate,
    Kill,
    Reload,
}

impl Kind {
    const ALL: [Kind; 5] = [
        Kind::Process(Signal::Suspend),
        Kind::Process(Signal::Terminate),
        Kind::Process(Signal::Kill),
        Kind::Process(Signal::Reload),
        Kind::Configure,
    ];

    fn name(self) -> &'static str {
        match self {
            Kind::Process(Signal::Suspend) => "suspended",
            Kind::Process(Signal::Terminate) => "terminated",
            Kind::Process(Signal::Kill) => "killed",
            Kind::Process(Signal::Reload) => "reloaded",
            Kind::Configure => "configured",
        }
    }
}

/// The state of a process that is disturbed.
#[derive(Clone, Copy, Debug)]
enum Disturbed {
    SuspendedUntil(Instant),
    DownUntil(Instant),
    /// It has to exit by then.
    Exiting(Instant),
}

/// The disturbances that are still to come, and those under way.
pub(super) struct Disturbances {
    random: Pcg64,
    ends_at: Instant,
    next_at: Instant,
    /// By the index of the process.
    disturbed: BTreeMap<usize, Disturbed>,
    counts: BTreeMap<&'static str, u64>,
}

impl Disturbances {
    pub fn new(random: Pcg64, length: Duration) -> Disturbances {
        let now = Instant::now();
        Disturbances {
            random,
            ends_at: now + length,
            next_at: now,
            disturbed: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Disturbs the tier until the time is over and every process runs again. Returns how often each kind came.
    pub fn run(mut self, tier: &mut Tier, program: &Path) -> Result<Vec<(&'static str, u64)>, DemoError> {
        while Instant::now() < self.ends_at || !self.disturbed.is_empty() {
            self.end_due(tier, program)?;
            self.check_others(tier)?;
            let now = Instant::now();
            if now >= self.next_at && now < self.ends_at {
                self.next_at = now + Duration::from_millis(self.random.random_range(PAUSE_MS));
                self.begin(tier)?;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(self.counts.into_iter().collect())
    }

    /// A process that nothing was done to must run.
    fn check_others(&self, tier: &mut Tier) -> Result<(), DemoError> {
        let others = tier.processes.iter_mut().enumerate();
        others
            .filter(|(index, _)| !self.disturbed.contains_key(index))
            .try_for_each(|(_, process)| process.must_run())
    }

    fn begin(&mut self, tier: &mut Tier) -> Result<(), DemoError> {
        let kind = Kind::ALL[self.random.random_range(0..Kind::ALL.len())];
        let index = self.random.random_range(0..tier.processes.len());
        let outage = Duration::from_millis(self.random.random_range(OUTAGE_MS));
        let is_done = match kind {
            Kind::Configure => self.configure(tier),
            Kind::Process(signal) => self.disturb(tier, index, signal, outage)?,
        };
        if is_done {
            *self.counts.entry(kind.name()).or_default() += 1;
        }
        Ok(())
    }

    /// Does something to a process. Returns whether it could be done now.
    fn disturb(
        &mut self,
        tier: &mut Tier,
        index: usize,
        signal: Signal,
        outage: Duration,
    ) -> Result<bool, DemoError> {
        if !self.may_disturb(tier, index) {
            return Ok(false);
        }
        let process = &mut tier.processes[index];
        if matches!(signal, Signal::Terminate | Signal::Reload) && !process.handles_signals() {
            return Ok(false);
        }
        let until = Instant::now() + outage;
        match signal {
            Signal::Reload => process.reload()?,
            Signal::Suspend => {
                process.suspend()?;
                self.disturbed.insert(index, Disturbed::SuspendedUntil(until));
            }
            Signal::Terminate => {
                process.terminate()?;
                self.disturbed.insert(index, Disturbed::Exiting(Instant::now() + EXIT_TIMEOUT));
            }
            Signal::Kill => {
                process.kill()?;
                self.disturbed.insert(index, Disturbed::DownUntil(until));
            }
        }
        Ok(true)
    }

    fn may_disturb(&self, tier: &Tier, index: usize) -> bool {
        let has_disk = |index: &usize| tier.processes[*index].machine.kind != MachineKind::Edge;
        let disturbed_disks = self.disturbed.keys().filter(|index| has_disk(index)).count();
        let has_room = !has_disk(&index) || disturbed_disks < MAX_DISTURBED_DISKS;
        has_room && !self.disturbed.contains_key(&index)
    }

    /// Sends the next version once, to any node. A version that is not clearly taken is followed by the same one. Returns
    /// whether it was taken.
    fn configure(&mut self, tier: &mut Tier) -> bool {
        let controls = tier.layout.controls();
        let control = controls[self.random.random_range(0..controls.len())];
        let body = configuration(tier.version + 1);
        let answer = ask(control, "POST", "/api/Configuration.Replace", Some(tier.version), &body);
        let is_taken = answer.as_ref().is_ok_and(Answer::is_success);
        tier.version += u64::from(is_taken);
        is_taken
    }

    /// Ends the disturbances whose time is over.
    fn end_due(&mut self, tier: &mut Tier, program: &Path) -> Result<(), DemoError> {
        let now = Instant::now();
        for (index, state) in self.disturbed.clone() {
            let process = &mut tier.processes[index];
            match state {
                Disturbed::SuspendedUntil(until) if now >= until => process.resume()?,
                Disturbed::DownUntil(until) if now >= until => process.restart(program, &tier.layout)?,
                Disturbed::Exiting(until) => match process.ended()? {
                    Some(status) if status.success() => process.restart(program, &tier.layout)?,
                    Some(status) => return Err(process.failure(status)),
                    None if now >= until => {
                        let step = format!("{} exits after SIGTERM", process.machine.name);
                        return Err(DemoError::Late { step });
                    }
                    None => continue,
                },
                Disturbed::SuspendedUntil(_) | Disturbed::DownUntil(_) => continue,
            }
            self.disturbed.remove(&index);
        }
        Ok(())
    }
}
