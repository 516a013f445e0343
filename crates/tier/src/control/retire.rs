//! Emptying a storage machine: the operator's calls at an edge node, and what the leader of each batch partition says to them.
//!
//! A refusal rests on what the proven leaders of all partitions say, not on what one node knows of the others: a node that was
//! cut off or has just started knows few machines. Whoever can't be sure says 503.

use crate::batch::partition::RETIRE_ENTRY;
use crate::control::api::{JSON, OPERATOR_TIMEOUT};
use crate::control::partition_host::{Waiter, class_of_partition};
use crate::links::calls::Continuation;
use crate::links::messages::{Call, Reply};
use crate::node::Node;
use grebeusher_quorum::ReplicaId;
use grebeusher_registry::{Class, MemberState};
use grebeusher_time::Duration;
use grebeusher_transport::http;
use rustc_hash::FxHashMap;
use tracing::info;

/// A machine that is away for less than this may be back: it counts neither as there nor as gone.
const RETURN_TIMEOUT: Duration = Duration::from_millis(20_000);

/// What the operator asks about a storage machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireQuestion {
    /// `Retire.Begin`.
    Begin,
    /// `Retire.Show`.
    Show,
}

/// What the leader of one partition says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionVerdict {
    /// The order is taken, or the partition's data has left the machine.
    Done,
    /// The partition's data is still there.
    NotYet,
    /// The leader knows no such machine.
    Unknown,
    /// Too few machines would be left.
    TooFew,
    /// Nothing, or nothing for sure.
    Unsure,
}

impl PartitionVerdict {
    /// The verdict that a reply carries.
    pub fn of(reply: &Reply) -> PartitionVerdict {
        match reply {
            Reply::Done | Reply::Answer { status: 200, .. } => PartitionVerdict::Done,
            Reply::Answer { status: 202, .. } => PartitionVerdict::NotYet,
            Reply::Answer { status: 404, .. } => PartitionVerdict::Unknown,
            Reply::Answer { status: 409, .. } => PartitionVerdict::TooFew,
            _ => PartitionVerdict::Unsure,
        }
    }
}

/// What the verdicts of all partitions come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireOutcome {
    /// The order is taken.
    Taken,
    /// The machine is being emptied.
    Active,
    /// The machine is empty.
    Complete,
    /// There is no such machine.
    NoSuchMachine,
    /// Too few machines would be left.
    TooFew,
    /// It is to be asked again.
    Unsure,
}

/// What the verdicts of all partitions come to. `known_here`: whether this node knows the machine itself.
pub fn combined_outcome(
    question: RetireQuestion,
    verdicts: &[PartitionVerdict],
    known_here: bool,
) -> RetireOutcome {
    let any = |wanted: PartitionVerdict| verdicts.contains(&wanted);
    let all = |wanted: PartitionVerdict| verdicts.iter().all(|verdict| *verdict == wanted);
    if any(PartitionVerdict::Unsure) || verdicts.is_empty() {
        return RetireOutcome::Unsure;
    }
    if all(PartitionVerdict::Unknown) && !known_here {
        return RetireOutcome::NoSuchMachine;
    }
    if any(PartitionVerdict::Unknown) {
        return RetireOutcome::Unsure;
    }
    if any(PartitionVerdict::TooFew) {
        return RetireOutcome::TooFew;
    }
    match question {
        RetireQuestion::Begin => RetireOutcome::Taken,
        RetireQuestion::Show if all(PartitionVerdict::Done) => RetireOutcome::Complete,
        RetireQuestion::Show => RetireOutcome::Active,
    }
}

/// An operator's request that every batch partition has to answer.
struct RetireRequest {
    connection: usize,
    serial: u64,
    question: RetireQuestion,
    known_here: bool,
    partitions: usize,
    verdicts: Vec<PartitionVerdict>,
}

/// The operators' requests that wait for verdicts of partitions.
#[derive(Default)]
pub(crate) struct RetireRequests {
    pending: FxHashMap<u64, RetireRequest>,
}

impl RetireRequests {
    /// Notes one partition's verdict; the request, once it was the last one.
    fn add_verdict(&mut self, number: u64, verdict: PartitionVerdict) -> Option<RetireRequest> {
        let request = self.pending.get_mut(&number)?;
        request.verdicts.push(verdict);
        if request.verdicts.len() < request.partitions {
            return None;
        }
        self.pending.remove(&number)
    }
}

/// The HTTP answer to an operator.
fn http_answer(outcome: RetireOutcome) -> Vec<u8> {
    let (status, body): (u16, &[u8]) = match outcome {
        RetireOutcome::Taken => (200, b"{}"),
        RetireOutcome::Active => (200, b"{\"state\":\"active\"}"),
        RetireOutcome::Complete => (200, b"{\"state\":\"complete\"}"),
        RetireOutcome::NoSuchMachine => (404, b"{}"),
        RetireOutcome::TooFew => (409, b"{}"),
        RetireOutcome::Unsure => (503, b"{}"),
    };
    http::answer(status, &[JSON], body)
}

/// How many machines would be left for a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Remaining {
    there: usize,
    /// Of those that are away for a short time.
    may_return: usize,
}

impl Node {
    /// An operator's call about a storage machine.
    pub(crate) fn retire(&mut self, connection: usize, serial: u64, node: &str, question: RetireQuestion) {
        if self.refuse_call_if_too_late(connection, OPERATOR_TIMEOUT) {
            return;
        }
        let partitions = self.batch_partitions();
        let request = RetireRequest {
            connection,
            serial,
            question,
            known_here: self.knows_storage_node(node),
            partitions: partitions.len(),
            verdicts: Vec::new(),
        };
        let number = self.next_serial();
        self.retire_requests.pending.insert(number, request);
        for partition in partitions {
            let node = node.to_owned();
            let call = match question {
                RetireQuestion::Begin => Call::BeginRetire { partition, node },
                RetireQuestion::Show => Call::ShowRetire { partition, node },
            };
            let until = self.now + OPERATOR_TIMEOUT;
            self.call_leader(partition, call, until, Continuation::Retire { request: number });
        }
    }

    /// One partition's verdict on a storage machine that is to be emptied.
    pub(crate) fn retire_reply(&mut self, number: u64, reply: &Reply) {
        let verdict = PartitionVerdict::of(reply);
        let Some(request) = self.retire_requests.add_verdict(number, verdict) else { return };
        let outcome = combined_outcome(request.question, &request.verdicts, request.known_here);
        self.answer(request.connection, request.serial, http_answer(outcome));
    }

    /// Whether a name is that of a machine that keeps data, dead ones of late included.
    fn knows_storage_node(&self, name: &str) -> bool {
        self.registry.member(name).is_some_and(|member| member.class == Class::Storage)
    }

    pub(crate) fn begin_retire_at_leader(&mut self, waiter: Waiter, number: u8, node: &str) {
        let now = self.now;
        let Some(index) = self.led_index(number, waiter) else { return };
        let refused = |status| Reply::Answer { status, body: Vec::new() };
        let Some(partition) = self.batch_partition_mut(index) else { return };
        if partition.retiring.contains(node) {
            return self.reply(waiter.peer, waiter.number, Reply::Done);
        }
        if !self.knows_storage_node(node) {
            return self.reply(waiter.peer, waiter.number, refused(404));
        }
        let wanted = self.group_size();
        let remaining = self.remaining_without(index, node);
        if remaining.there < wanted {
            let may_be_enough = remaining.there + remaining.may_return >= wanted;
            let reply = if may_be_enough { Reply::Unavailable } else { refused(409) };
            return self.reply(waiter.peer, waiter.number, reply);
        }
        let mut entry = vec![RETIRE_ENTRY];
        entry.extend_from_slice(node.as_bytes());
        if self.partitions[index].propose(now, entry, Some(waiter)).is_err() {
            self.reply(waiter.peer, waiter.number, Reply::Unavailable);
        }
    }

    /// The machines that could hold a partition when one more is emptied.
    fn remaining_without(&mut self, index: usize, node: &str) -> Remaining {
        let class = class_of_partition(self.partitions[index].partition);
        let retiring = self.partitions[index].retiring_nodes();
        let others = self.registry.members().filter(|member| {
            member.class == class
                && member.replica.is_some()
                && member.name != node
                && !retiring.contains(&member.name)
        });
        let mut remaining = Remaining { there: 0, may_return: 0 };
        for member in others {
            let since = self.registry.state_since(&member.name).unwrap_or(self.now);
            match member.state {
                MemberState::Alive | MemberState::Suspect => remaining.there += 1,
                _ if self.now.since(since) < RETURN_TIMEOUT => remaining.may_return += 1,
                _ => {}
            }
        }
        remaining
    }

    /// 200: the partition's data has left the node; 202: not yet.
    pub(crate) fn show_retire_at_leader(&mut self, waiter: Waiter, number: u8, node: &str) {
        let Some(index) = self.led_index(number, waiter) else { return };
        let asked = self.partitions[index].retiring_nodes().iter().any(|retiring| retiring == node);
        let known = asked || self.knows_storage_node(node);
        let reply = if asked && self.is_complete_without(index, node) {
            info!(partition = number, node, "retired node holds no more data");
            Reply::Done
        } else if known {
            Reply::Answer { status: 202, body: Vec::new() }
        } else {
            Reply::Answer { status: 404, body: Vec::new() }
        };
        self.reply(waiter.peer, waiter.number, reply);
    }

    /// Whether a partition's group stands without a node as if that had never been there: the group that does not name it is
    /// decided, so that each committed entry is on a quorum of it, and all its voters are living nodes. A voter that nobody
    /// can name, or whose node is away, may be a former identity of that node or a loss that has still to be mended: with
    /// the machine gone the next loss might leave no quorum.
    fn is_complete_without(&self, index: usize, node: &str) -> bool {
        let replica = &self.partitions[index].replica;
        let lives_elsewhere = |voter: &ReplicaId| {
            let member = self.registry.member_by_replica(voter.0);
            member.is_some_and(|member| member.serves() && member.name != node)
        };
        replica.is_group_stable()
            && replica.group().voters.len() >= self.group_size()
            && replica.group().voters.iter().all(lives_elsewhere)
    }
}
