//! What the decisions ask of whoever runs them.

use crate::ids::{AllocationId, ExecutorId, UnitId};
use crate::time::Duration;

pub trait Host {
    /// Sends the work unit to the executor. Allocations of a unit are numbered from 0 in this order.
    fn allocate(&mut self, unit: UnitId, executor: ExecutorId, time_out: Duration);
    /// Whether the whole fleet's budget, where there is one, has one more allocation for a unit that has had its first. It is
    /// asked only when one would be sent, and again while none is had.
    fn may_go_further(&mut self, _unit: UnitId) -> bool {
        true
    }
    /// Stops waiting for one allocation.
    fn recall(&mut self, allocation: AllocationId);
    /// Final answer: trying again is harmless, if given after this span.
    fn turn_back(&mut self, unit: UnitId, come_back: Option<Duration>);
    /// Final answer: nothing is promised.
    fn forfeit(&mut self, unit: UnitId);
    /// Asks for a call of `rang` with this alarm.
    fn wake(&mut self, after: Duration, alarm: u64);
    fn probe(&mut self, executor: ExecutorId);
    /// Sends a word to one other node, by its number, or to all; it may get lost. Asked only where nodes may talk.
    fn tell(&mut self, node: Option<u64>, word: &[u8]);
    /// Asks to be told of changes to the executor list.
    fn follow_list(&mut self);
}
