//! Retirement of a storage machine, which moves its data to other machines: the operator's calls at an edge node, and the
//! replies of the leader of each batch partition.
//!
//! A refusal depends on the replies of the leaders of all partitions, which hold leases, and not on the registry of one
//! node: a node that was partitioned from the others or has just started knows few machines. A node that can't decide
//! answers 503.

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

/// How long a machine must have been absent to count as lost. Within this time it may return, and counts neither as present
/// nor as lost.
const RETURN_TIMEOUT: Duration = Duration::from_millis(20_000);

/// The operator's call about a storage machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireQuestion {
    /// The call `Retire.Begin`.
    Begin,
    /// The call `Retire.Show`.
    Show,
}

/// The reply of the leader of one partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionVerdict {
    /// The request is accepted, or the data of the partition has left the machine.
    Done,
    /// The data of the partition is still on the machine.
    NotYet,
    /// The leader does not know the machine.
    UnknownMachine,
    /// Too few machines would be left.
    TooFew,
    /// There is no reply, or the leader could not decide.
    Undecided,
}

impl PartitionVerdict {
    /// Returns the verdict that a reply means.
    pub fn of(reply: &Reply) -> PartitionVerdict {
        match reply {
            Reply::Done | Reply::Answer { status: 200, .. } => PartitionVerdict::Done,
            Reply::Answer { status: 202, .. } => PartitionVerdict::NotYet,
            Reply::Answer { status: 404, .. } => PartitionVerdict::UnknownMachine,
            Reply::Answer { status: 409, .. } => PartitionVerdict::TooFew,
            _ => PartitionVerdict::Undecided,
        }
    }
}

/// The outcome of an operator's call, combined from the verdicts of all partitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireOutcome {
    /// The request is accepted.
    Accepted,
    /// Data is still being moved from the machine.
    Active,
    /// The machine holds no more data.
    Complete,
    /// There is no such machine.
    NoSuchMachine,
    /// Too few machines would be left.
    TooFew,
    /// The outcome is not known. The operator is to retry.
    Undecided,
}

/// Combines the verdicts of all partitions. `is_known_locally` tells whether the registry of this node has the machine.
pub fn combined_outcome(
    question: RetireQuestion,
    verdicts: &[PartitionVerdict],
    is_known_locally: bool,
) -> RetireOutcome {
    let any = |wanted: PartitionVerdict| verdicts.contains(&wanted);
    let all = |wanted: PartitionVerdict| verdicts.iter().all(|verdict| *verdict == wanted);
    if any(PartitionVerdict::Undecided) || verdicts.is_empty() {
        return RetireOutcome::Undecided;
    }
    if all(PartitionVerdict::UnknownMachine) && !is_known_locally {
        return RetireOutcome::NoSuchMachine;
    }
    if any(PartitionVerdict::UnknownMachine) {
        return RetireOutcome::Undecided;
    }
    if any(PartitionVerdict::TooFew) {
        return RetireOutcome::TooFew;
    }
    match question {
        RetireQuestion::Begin => RetireOutcome::Accepted,
        RetireQuestion::Show if all(PartitionVerdict::Done) => RetireOutcome::Complete,
        RetireQuestion::Show => RetireOutcome::Active,
    }
}

/// An operator's call that waits for the verdicts of all batch partitions.
struct RetireRequest {
    connection: usize,
    serial: u64,
    question: RetireQuestion,
    is_known_locally: bool,
    partition_count: usize,
    verdicts: Vec<PartitionVerdict>,
}

/// The operator's calls that wait for verdicts, by their serial numbers.
#[derive(Default)]
pub(crate) struct RetireRequests {
    pending: FxHashMap<u64, RetireRequest>,
}

impl RetireRequests {
    /// Adds the verdict of one partition. Removes and returns the request if it was the last one.
    fn add_verdict(&mut self, number: u64, verdict: PartitionVerdict) -> Option<RetireRequest> {
        let request = self.pending.get_mut(&number)?;
        request.verdicts.push(verdict);
        if request.verdicts.len() < request.partition_count {
            return None;
        }
        self.pending.remove(&number)
    }
}

/// Encodes the HTTP answer to an operator.
fn http_answer(outcome: RetireOutcome) -> Vec<u8> {
    let (status, body): (u16, &[u8]) = match outcome {
        RetireOutcome::Accepted => (200, b"{}"),
        RetireOutcome::Active => (200, b"{\"state\":\"active\"}"),
        RetireOutcome::Complete => (200, b"{\"state\":\"complete\"}"),
        RetireOutcome::NoSuchMachine => (404, b"{}"),
        RetireOutcome::TooFew => (409, b"{}"),
        RetireOutcome::Undecided => (503, b"{}"),
    };
    http::answer(status, &[JSON], body)
}

/// The number of machines that would be left to hold the replicas of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Remaining {
    /// The number of machines that are alive or only suspected of failure.
    present: usize,
    /// The number of machines that have been absent for less than [`RETURN_TIMEOUT`].
    may_return: usize,
}

impl Node {
    /// Handles an operator's call about a storage machine: asks the leaders of all batch partitions.
    pub(crate) fn retire(&mut self, connection: usize, serial: u64, node: &str, question: RetireQuestion) {
        if self.refuse_call_if_too_late(connection, OPERATOR_TIMEOUT) {
            return;
        }
        let partitions = self.batch_partitions();
        let request = RetireRequest {
            connection,
            serial,
            question,
            is_known_locally: self.knows_storage_node(node),
            partition_count: partitions.len(),
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

    /// Handles the reply of the leader of one partition. Answers the operator once all have replied.
    pub(crate) fn retire_reply(&mut self, number: u64, reply: &Reply) {
        let verdict = PartitionVerdict::of(reply);
        let Some(request) = self.retire_requests.add_verdict(number, verdict) else { return };
        let outcome = combined_outcome(request.question, &request.verdicts, request.is_known_locally);
        self.answer(request.connection, request.serial, http_answer(outcome));
    }

    /// Whether the registry has a storage machine with this name. The registry also keeps machines that failed recently.
    fn knows_storage_node(&self, name: &str) -> bool {
        self.registry.member(name).is_some_and(|member| member.class == Class::Storage)
    }

    pub(crate) fn begin_retire_at_leader(&mut self, waiter: Waiter, number: u8, node: &str) {
        let now = self.now;
        let Some(index) = self.led_index(number, waiter) else { return };
        let refusal = |status| Reply::Answer { status, body: Vec::new() };
        let Some(partition) = self.batch_partition_mut(index) else { return };
        if partition.retiring.contains(node) {
            return self.reply(waiter.peer, waiter.number, Reply::Done);
        }
        if !self.knows_storage_node(node) {
            return self.reply(waiter.peer, waiter.number, refusal(404));
        }
        let wanted = self.group_size();
        let remaining = self.remaining_without(index, node);
        if remaining.present < wanted {
            let may_be_enough = remaining.present + remaining.may_return >= wanted;
            let reply = if may_be_enough { Reply::Unavailable } else { refusal(409) };
            return self.reply(waiter.peer, waiter.number, reply);
        }
        let mut entry = vec![RETIRE_ENTRY];
        entry.extend_from_slice(node.as_bytes());
        if self.partitions[index].propose(now, entry, Some(waiter)).is_err() {
            self.reply(waiter.peer, waiter.number, Reply::Unavailable);
        }
    }

    /// Counts the machines that could hold a partition after one more machine is retired.
    fn remaining_without(&mut self, index: usize, node: &str) -> Remaining {
        let class = class_of_partition(self.partitions[index].partition);
        let retiring = self.partitions[index].retiring_nodes();
        let others = self.registry.members().filter(|member| {
            member.class == class
                && member.replica.is_some()
                && member.name != node
                && !retiring.contains(&member.name)
        });
        let mut remaining = Remaining { present: 0, may_return: 0 };
        for member in others {
            let since = self.registry.state_since(&member.name).unwrap_or(self.now);
            match member.state {
                MemberState::Alive | MemberState::Suspect => remaining.present += 1,
                _ if self.now.since(since) < RETURN_TIMEOUT => remaining.may_return += 1,
                _ => {}
            }
        }
        remaining
    }

    /// Replies whether the data of the partition has left the node. The reply is `Done` if it has, which
    /// [`PartitionVerdict::of`] treats like status 200, and an answer with status 202 if it has not yet or 404 if there is
    /// no such node.
    pub(crate) fn show_retire_at_leader(&mut self, waiter: Waiter, number: u8, node: &str) {
        let Some(index) = self.led_index(number, waiter) else { return };
        let is_retiring = self.partitions[index].retiring_nodes().iter().any(|retiring| retiring == node);
        let is_known = is_retiring || self.knows_storage_node(node);
        let reply = if is_retiring && self.is_complete_without(index, node) {
            info!(partition = number, node, "retired node holds no more data");
            Reply::Done
        } else if is_known {
            Reply::Answer { status: 202, body: Vec::new() }
        } else {
            Reply::Answer { status: 404, body: Vec::new() }
        };
        self.reply(waiter.peer, waiter.number, reply);
    }

    /// Whether the group of a partition is complete without a node: the group without the node is committed, so that a quorum
    /// of it has each committed entry, and all voters are running nodes. A voter with an unknown name or an absent node may be
    /// a former identity of the retired node, or a loss that is not repaired yet: once the retired machine is removed, the
    /// next loss might leave no quorum.
    fn is_complete_without(&self, index: usize, node: &str) -> bool {
        let replica = &self.partitions[index].replica;
        let is_on_another_node = |voter: &ReplicaId| {
            let member = self.registry.member_by_replica(voter.0);
            member.is_some_and(|member| member.serves() && member.name != node)
        };
        replica.is_group_stable()
            && replica.group().voters.len() >= self.group_size()
            && replica.group().voters.iter().all(is_on_another_node)
    }
}
