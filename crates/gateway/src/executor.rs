//! One executor: what was told of it, and what this node's own requests show.

use crate::headers::ServerLoad;
use crate::health::Health;
use crate::ids::{ExecutorId, ModelKey, ServiceId, ZoneKey};
use crate::prefix::PrefixMemory;
use grebeusher_time::{Duration, DurationExt, Instant};
use std::net::SocketAddr;
use std::sync::Arc;

/// What the registry knows of an executor's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It beats and takes requests.
    Up,
    /// Its heartbeats are missing: a hint, it gets requests only where no other can take them.
    Silent,
    /// It said that it will leave: nothing is sent there any more.
    Draining,
}

/// An executor as the registry tells of it.
#[derive(Clone, Copy, Debug)]
pub struct Descriptor<'a> {
    /// Its `instance_id`: every start has a new one.
    pub instance: &'a str,
    /// The name of its service.
    pub service: &'a str,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneKey,
    /// Requests that it works on at once; taken for at least 1.
    pub slots: u32,
    /// Whether it may get requests.
    pub standing: Standing,
    /// The models that it has loaded; any request may go to one that names none.
    pub models: &'a [ModelKey],
}

/// Load of all other nodes' requests, as of a report.
#[derive(Clone, Copy)]
struct Others {
    at: Instant,
    requests: f64,
}

pub(crate) struct Executor {
    pub id: ExecutorId,
    pub instance: Arc<str>,
    pub hash: u64,
    pub service: ServiceId,
    pub address: SocketAddr,
    pub zone: ZoneKey,
    pub slots: u32,
    pub standing: Standing,
    pub models: Vec<ModelKey>,
    pub lane: usize,
    pub health: Health,
    pub memory: PrefixMemory,
    /// Own attempts that are open, live and batch.
    pub open: u32,
    pub open_batch: u32,
    /// Tokens that the own open attempts take in its memory when they are through.
    pub open_tokens: u64,
    /// Own prompt tokens that were sent and are not read yet, as nothing of the answer came.
    pub unread: u64,
    pub unread_batch: u64,
    /// Requests of others, by the newest that was heard from the executor itself or from neighbours.
    heard: Option<Others>,
    /// How many times longer the pauses between events were lately than over the whole service, and when.
    slower: (f64, Instant),
    /// When anything came from it.
    pub heard_at: Instant,
    /// By how many seconds first events came later than usual, and when.
    behind: (f64, Instant),
}

/// After so long a report says nothing of the present: about the time that a request runs.
const REPORT_FADES: Duration = Duration::from_millis(1200);
/// The pace of events says something for about as long as a long prompt is read.
const PACE_FADES: Duration = Duration::from_millis(400);
/// What waits to be read is read within about this time.
const BEHIND_FADES: Duration = Duration::from_millis(1000);
/// The part of the newest pause in an executor's pace.
const NEWEST_PAUSE: f64 = 0.5;

impl Executor {
    pub fn new(id: ExecutorId, service: ServiceId, from: &Descriptor<'_>) -> Executor {
        Executor {
            id,
            instance: Arc::from(from.instance),
            hash: grebeusher_sizing::fixed_hash(from.instance),
            service,
            address: from.address,
            zone: from.zone,
            slots: from.slots.max(1),
            standing: from.standing,
            models: from.models.to_vec(),
            lane: 0,
            health: Health::default(),
            memory: PrefixMemory::default(),
            open: 0,
            open_batch: 0,
            open_tokens: 0,
            unread: 0,
            unread_batch: 0,
            heard: None,
            slower: (1.0, Instant(0)),
            heard_at: Instant(0),
            behind: (0.0, Instant(0)),
        }
    }

    /// Takes over what changed. Whether the lanes may have changed by it.
    pub fn update(&mut self, from: &Descriptor<'_>) -> bool {
        let before = (self.slots, self.standing == Standing::Draining);
        (self.address, self.zone) = (from.address, from.zone);
        (self.slots, self.standing) = (from.slots.max(1), from.standing);
        if self.models != from.models {
            self.models = from.models.to_vec();
        }
        before != (self.slots, self.standing == Standing::Draining)
    }

    /// An answer told its load. Returns what others have there, per slot.
    pub fn reported(&mut self, now: Instant, load: ServerLoad) -> f64 {
        self.heard_at = now;
        let all = f64::from(load.running) + f64::from(load.waiting);
        let requests = (all - f64::from(self.open)).max(0.0);
        self.heard = Some(Others { at: now, requests });
        requests / f64::from(self.slots)
    }

    /// Neighbours told how many requests they have out there, all together.
    pub fn told(&mut self, now: Instant, requests: f64) {
        let requests = if requests.is_finite() { requests.max(0.0) } else { 0.0 };
        self.heard = Some(Others { at: now, requests });
    }

    /// Requests of other nodes there, as last heard, fading into `usual` (requests per slot over the service): all
    /// nodes hear the same, and what looked idle to all a while ago is not idle now.
    pub fn others(&self, now: Instant, usual: f64) -> f64 {
        let usual = usual * f64::from(self.slots);
        let Some(heard) = self.heard else { return usual };
        let fresh = (1.0 - now.since(heard.at).seconds() / REPORT_FADES.seconds()).max(0.0);
        heard.requests * fresh + usual * (1.0 - fresh)
    }

    /// Whether anything is known of its load.
    pub fn has_figure(&self, now: Instant) -> bool {
        self.open > 0 || self.heard.is_some_and(|heard| now.since(heard.at) < REPORT_FADES)
    }

    /// A pause between two events of an own stream was so many times the usual one.
    pub fn paced(&mut self, now: Instant, times: f64) {
        let before = 1.0 + self.slowness(now);
        self.slower = (before + (times - before) * NEWEST_PAUSE, now);
    }

    /// By how many times its events come slower than usual; 0 where they do not, or nothing is known.
    pub fn slowness(&self, now: Instant) -> f64 {
        let (times, at) = self.slower;
        // What has faded is over: the quick of long ago must not count as slow.
        let fresh = (1.0 - now.since(at).seconds() / PACE_FADES.seconds()).max(0.0);
        ((times - 1.0) * fresh).max(0.0)
    }

    /// A first event came so many seconds later than usual, beside what its own prompt took to read.
    pub fn was_behind(&mut self, now: Instant, seconds: f64) {
        let before = self.behind(now);
        self.behind = (before + (seconds - before) * NEWEST_PAUSE, now);
    }

    /// By how many seconds first events come later than usual, by the last few.
    pub fn behind(&self, now: Instant) -> f64 {
        let (seconds, at) = self.behind;
        // What has faded is over: one that was early long ago must not count as behind.
        let fresh = (1.0 - now.since(at).seconds() / BEHIND_FADES.seconds()).max(0.0);
        (seconds * fresh).max(0.0)
    }

    /// Whether it has the model that a request names.
    pub fn has_model(&self, model: Option<ModelKey>) -> bool {
        self.models.is_empty() || model.is_none_or(|model| self.models.contains(&model))
    }
}
