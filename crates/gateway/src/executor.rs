//! One executor: what was told of it, and what this node's own requests show.

use crate::headers::ServerLoad;
use crate::health::Health;
use crate::ids::{ExecutorId, ModelKey, ServiceId, ZoneKey};
use crate::prefix::PrefixMemory;
use grebeusher_time::{Moment, Span};
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
    at: Moment,
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
    reported: Option<Others>,
    told: Option<Others>,
}

/// After so long a report says nothing of the present: about the time that a request runs.
const REPORT_FADES: Span = Span::millis(1200);
/// What neighbours told holds so long: a few of their messages may get lost.
const TOLD_HOLDS: Span = Span::millis(1500);

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
            reported: None,
            told: None,
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
    pub fn reported(&mut self, now: Moment, load: ServerLoad) -> f64 {
        let all = f64::from(load.running) + f64::from(load.waiting);
        let requests = (all - f64::from(self.open)).max(0.0);
        self.reported = Some(Others { at: now, requests });
        requests / f64::from(self.slots)
    }

    /// Neighbours told how many requests they have out there, all together.
    pub fn told(&mut self, now: Moment, requests: f64) {
        let requests = if requests.is_finite() { requests.max(0.0) } else { 0.0 };
        self.told = Some(Others { at: now, requests });
    }

    /// Requests of other nodes there: as neighbours told, else as last reported, fading into `usual` (requests per
    /// slot over the service) as the report ages.
    pub fn others(&self, now: Moment, usual: f64) -> f64 {
        if let Some(told) = self.told.filter(|told| now.since(told.at) < TOLD_HOLDS) {
            return told.requests;
        }
        let usual = usual * f64::from(self.slots);
        let Some(report) = self.reported else { return usual };
        let fresh = 1.0 - now.since(report.at).as_secs() / REPORT_FADES.as_secs();
        let fresh = fresh.max(0.0);
        report.requests * fresh + usual * (1.0 - fresh)
    }

    /// Whether anything is known of its load.
    pub fn has_figure(&self, now: Moment) -> bool {
        let known = |others: Option<Others>, holds| others.is_some_and(|others| now.since(others.at) < holds);
        self.open > 0 || known(self.told, TOLD_HOLDS) || known(self.reported, REPORT_FADES)
    }

    /// Whether it has the model that a request names.
    pub fn has_model(&self, model: Option<ModelKey>) -> bool {
        self.models.is_empty() || model.is_none_or(|model| self.models.contains(&model))
    }
}
