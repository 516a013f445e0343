//! Executors that leave.

use super::requests::Arrival;
use super::{Judge, Rule};
use grebeusher_time::{DurationExt, Instant};

/// An executor's leave.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leave {
    pub(super) at: Instant,
    pub(super) acknowledged: Option<Instant>,
    /// Whether it crashed meanwhile.
    pub(super) crashed: bool,
}

impl Judge {
    /// An executor says that it leaves.
    pub fn leaves(&mut self, at: Instant) -> usize {
        self.leaving.push(Leave { at, acknowledged: None, crashed: false });
        self.leaving.len() - 1
    }

    /// An executor that was leaving crashes.
    pub fn leaves_no_more(&mut self, leaving: usize) {
        if let Some(found) = self.leaving.get_mut(leaving) {
            found.crashed = true;
        }
    }

    /// A node acknowledges it. That binds also where this node is in no touch with the others.
    pub fn drain_acknowledged(&mut self, instance: &str, leaving: usize, at: Instant) {
        if let Some(found) = self.leaving.get_mut(leaving) {
            found.acknowledged.get_or_insert(at);
            self.counts.drained += 1;
        }
        self.told.entry(instance.to_owned()).or_insert(at);
        self.drained.entry(instance.to_owned()).or_insert(at);
    }

    /// In calm times no request that was sent after the acknowledgement of a drain reaches the executor: all nodes have
    /// confirmed by then. Later than `Bounds::drain` the operators' own rule holds.
    pub(super) fn check_told(&mut self, arrival: &Arrival<'_>, sent: Instant) {
        let Arrival { at, instance, attempt, .. } = *arrival;
        let Some(acknowledged) = self.told.get(instance).copied().filter(|told| sent > *told) else { return };
        if self.all_calm(acknowledged, sent) {
            let what = format!(
                "{attempt} was sent {:.4} s after the drain of {instance} was acknowledged, and reached it",
                sent.since(acknowledged).seconds()
            );
            self.breach(Rule::Untold, at, what);
        }
    }

    /// A request may not reach an executor long after its leave was acknowledged.
    pub(super) fn check_drain(&mut self, arrival: &Arrival<'_>) {
        let Arrival { at, instance, attempt, .. } = *arrival;
        if let Some(acknowledged) = self.drained.get(instance).copied()
            && arrival.came > acknowledged + self.bounds.drain
            && self.in_touch(arrival.from, acknowledged, arrival.came)
        {
            let what = format!(
                "{attempt} reached {instance} {:.3} s after its drain was acknowledged",
                arrival.came.since(acknowledged).seconds()
            );
            self.breach(Rule::Drain, at, what);
        }
    }

    /// Judges at the end how many of those that left in calm times were acknowledged in time.
    pub(super) fn check_leaves(&mut self, at: Instant) {
        let bound = self.bounds.ack;
        let calm: Vec<Leave> = self
            .leaving
            .iter()
            .copied()
            .filter(|leave| {
                !leave.crashed && leave.at + bound < at && self.all_calm(leave.at, leave.at + bound)
            })
            .collect();
        let in_time = |leave: &Leave| leave.acknowledged.is_some_and(|told| told.since(leave.at) <= bound);
        let late = calm.iter().filter(|leave| !in_time(leave)).count();
        if late * 5 > calm.len() {
            let what =
                format!("{late} of {} executors left without an acknowledgement in calm times", calm.len());
            self.breach(Rule::Acks, at, what);
        }
    }
}
