//! What is known of work units, allocations and executors when something is told of them.

use crate::ids::ExecutorId;
use crate::time::{Duration, DurationExt, Instant};

/// Which executors drop repeats of a fingerprinted work unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// How often the effect of a work unit may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Retriable,
    Fingerprinted { group: Group, memory_span: Duration },
    Binding,
}

impl Effect {
    /// Whether one that may have run since it was `sent` may be sent again now, into the same zone and cell
    /// or not: a fingerprinted one only inside the group that drops its repeats, while it is remembered.
    pub fn repeats(self, now: Instant, sent: Instant, same_zone: bool, same_cell: bool) -> bool {
        match self {
            Effect::Retriable => true,
            Effect::Binding => false,
            Effect::Fingerprinted { group, memory_span } => {
                let inside = match group {
                    Group::All => true,
                    Group::Zone => same_zone,
                    Group::Cell => same_cell,
                };
                inside && now < sent + memory_span
            }
        }
    }

    /// Whether the client may try one again that may have run.
    pub fn harmless(self) -> bool {
        matches!(self, Effect::Retriable | Effect::Fingerprinted { group: Group::All, .. })
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Tariff {
    pub effect: Effect,
    /// Within which an answer is wanted, before the stretch.
    pub quoted_time: Duration,
    /// The quoted time grows by this multiple of the work unit's own size.
    pub stretch: f64,
    /// After which the client gives up, counted from its first try.
    pub patience: Duration,
    pub earnings: f64,
    /// The one kind of executor that can run it, if only one can.
    pub kind: Option<usize>,
}

/// What comes with a work unit.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub tariff: usize,
    pub customer: usize,
    pub patience_ends: Instant,
    /// The client marks it as one that it has sent before.
    pub repeat: bool,
    pub hint: Option<Duration>,
    pub slots: f64,
    /// It is beyond what the fleet may spend, as far as this node has a part of that: it goes nowhere.
    pub beyond: bool,
}

/// How an allocation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Fulfilled,
    Error,
    Full,
    TimedOut,
    Refused,
    Reset,
    Recalled,
    NeverSent,
    /// The connection broke before all was sent, or there was none to be had here: that says nothing of the
    /// executor either.
    CutOff,
    /// The executor could make nothing of the work unit: that says nothing of the executor.
    Unusable,
}

impl Ending {
    pub fn proves_not_run(self) -> bool {
        matches!(self, Ending::Full | Ending::Refused | Ending::NeverSent | Ending::CutOff)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// One line of the executor list.
#[derive(Clone, Copy, Debug)]
pub struct Listing<'a> {
    pub executor: ExecutorId,
    pub name: &'a str,
    pub standing: Standing,
    pub started: Option<Instant>,
    pub kind: usize,
    pub zone: usize,
    pub cell: usize,
    pub weight: f64,
    /// It tells this node itself how it stands: the age of the list says nothing of it.
    pub speaks: bool,
}

/// The values of a load report that the decisions use; any may be absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    pub utilisation: Option<f64>,
    pub free_slots: Option<f64>,
}

/// What a node may allocate beyond each work unit's first: within any span so many, and a share of the work units that it took
/// in that time.
#[derive(Clone, Copy, Debug)]
pub struct Further {
    pub span: Duration,
    pub free: f64,
    pub share: f64,
}

/// How often and in what way a work unit may be allocated.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    pub most_allocations: usize,
    pub second_copies: bool,
    pub recalls: bool,
    /// A recall takes work that waits out of its executor's queue: that is promised, nothing that a node hears tells it.
    pub recalls_stop: bool,
    /// By how much the time left that comes with a work unit may be off, either way.
    pub patience_off: Duration,
    /// What all work units together may have beyond their first allocations, where that is limited.
    pub further: Option<Further>,
    /// How long an executor may be sent to after word that it drains.
    pub grace: Duration,
    /// The longest wait that a client told to come back keeps to, where it can be told.
    pub longest_come_back: Option<Duration>,
}

/// What is promised of an executor that has just started.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    pub share: f64,
    pub warm_within: Duration,
    pub fall_factor: f64,
    pub fall_window: Duration,
    /// By how much a listed start may be off, either way.
    pub starts_off: Duration,
    /// Cold executors get nothing before this: a window after the start, as the process before may just have spent its
    /// part, which nobody tells the new one.
    pub from: Instant,
}

impl ColdStart {
    /// The seconds of a warm one's work that it can do at least within a window at this age: the share grows
    /// evenly at least.
    pub fn least(&self, age: Duration) -> f64 {
        let grown = age.seconds() / self.warm_within.seconds().max(0.001);
        (self.share + (1.0 - self.share) * grown) * self.fall_window.seconds().max(0.001)
    }
}
