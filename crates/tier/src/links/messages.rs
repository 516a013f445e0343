//! The messages between nodes other than those of the registry and the replicas: calls and their replies.

use grebeusher_rollout::RolloutOrder;
use nanoserde::{DeBin, SerBin};

/// The channel that a frame on a link belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Channel {
    /// Members, executors and other soft state.
    Registry = 1,
    /// Messages between replicas of a partition.
    Quorum = 2,
    /// A call that wants a reply.
    Call = 3,
    /// The reply to a call.
    Reply = 4,
    /// Popular prefixes of prompts.
    Popularity = 5,
    /// The load of batch partitions, between their leaders.
    BatchLoad = 6,
}

impl Channel {
    /// The channel of a frame; `None` for one that this version does not know.
    pub fn from_byte(byte: u8) -> Option<Channel> {
        Some(match byte {
            1 => Channel::Registry,
            2 => Channel::Quorum,
            3 => Channel::Call,
            4 => Channel::Reply,
            5 => Channel::Popularity,
            6 => Channel::BatchLoad,
            _ => return None,
        })
    }
}

/// A message between two replicas of a partition.
#[derive(Clone, Debug, SerBin, DeBin)]
pub struct QuorumEnvelope {
    /// The partition of the control state.
    pub partition: u8,
    /// The sender's disk identity.
    pub from: u64,
    /// The disk identity that it is meant for.
    pub to: u64,
    /// The message as `quorum` encodes it.
    pub message: Vec<u8>,
}

/// The items of a partition, as its leader reports them to the leaders of the others.
#[derive(Clone, Copy, Debug, SerBin, DeBin)]
pub struct BatchLoad {
    /// The partition.
    pub partition: u8,
    /// Items that run.
    pub running: u32,
    /// Items that wait for room.
    pub waiting: u32,
}

/// The number of a call, which its reply carries. It is unique over all incarnations of all processes at an address, as replies may
/// come late, after the process that called has ended and another one has its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct CallNumber(pub u64);

/// Gives out the numbers of a process's calls.
#[derive(Debug)]
pub struct CallNumbers {
    next: u64,
}

impl CallNumbers {
    /// Begins at a number that was drawn for this incarnation of the process, out of so many that two incarnations never meet.
    pub fn starting_at(drawn: u64) -> CallNumbers {
        CallNumbers { next: drawn }
    }

    /// The number of the next call.
    pub fn next_number(&mut self) -> CallNumber {
        let number = CallNumber(self.next);
        self.next = self.next.wrapping_add(1);
        number
    }
}

/// A call with the number that its reply will carry.
#[derive(Clone, Debug, SerBin, DeBin)]
pub struct CallEnvelope {
    /// Of this call of the sender.
    pub number: CallNumber,
    /// What is asked.
    pub call: Call,
}

/// The reply to the call of the same number.
#[derive(Clone, Debug, SerBin, DeBin)]
pub struct ReplyEnvelope {
    /// The number of the call.
    pub number: CallNumber,
    /// What is answered.
    pub reply: Reply,
}

/// What one node asks of another.
#[derive(Clone, Debug, SerBin, DeBin)]
pub enum Call {
    /// Bootstraps a partition with these disk identities as its voters; only at the first start of the whole system.
    Bootstrap {
        /// The partition.
        partition: u8,
        /// The disk identities of all its voters.
        voters: Vec<u64>,
    },
    /// Takes a configuration on top of `base`; for the leader of the configuration.
    ReplaceConfiguration {
        /// The version that the change builds on; 0 for the first one.
        base: u64,
        /// The new configuration.
        body: Vec<u8>,
    },
    /// The newest configuration, proven by the leader's lease.
    ShowConfiguration,
    /// What the leader of a partition says of it, for operators.
    ShowPartition {
        /// The partition.
        partition: u8,
    },
    /// The newest configuration that the node knows, if it is newer than this version.
    FetchConfiguration {
        /// The version that the caller has.
        newer_than: u64,
    },
    /// Takes a batch job; for the leader of the partition.
    SubmitJob(SubmitJob),
    /// Reads the results of a job; for the leader of the partition.
    ReadJob {
        /// The partition.
        partition: u8,
        /// The id of the job.
        job: String,
        /// The offset after which results are listed.
        resume_after: u64,
        /// How long the leader may hold the read until there is a result (milliseconds).
        hold_ms: u32,
    },
    /// The body of an item that is not listed yet; for the leader of the partition.
    ReadItem {
        /// The partition.
        partition: u8,
        /// The id of the job.
        job: String,
        /// The id of the item.
        item: String,
    },
    /// Ends a job; for the leader of the partition.
    EndJob {
        /// The partition.
        partition: u8,
        /// The id of the job.
        job: String,
    },
    /// Passes a call, encoded, on to the leader of a partition, for a node that can't reach it; within this many milliseconds.
    Forward {
        /// The partition.
        partition: u8,
        /// How long the call may take (milliseconds).
        within_ms: u32,
        /// The encoded call.
        call: Vec<u8>,
    },
    /// Asks the leader of a partition to move its data off a storage node.
    BeginRetire {
        /// The partition.
        partition: u8,
        /// The name of the storage node.
        node: String,
    },
    /// Asks the leader of a partition whether its data has left a storage node.
    ShowRetire {
        /// The partition.
        partition: u8,
        /// The name of the storage node.
        node: String,
    },
    /// Asks the leader of a partition whether it wants a batch job, before its bodies are sent, and what became of it if they were.
    OfferJob(OfferJob),
    /// Takes an operator's order to roll a version out; for the leader of the configuration.
    BeginRollout(RolloutOrder),
    /// How far the roll-out of a service is; for the leader of the configuration.
    ShowRollout {
        /// The service.
        service: String,
    },
    /// The versions of all services, if they have changed since this revision; for the leader of the configuration.
    SyncRollouts {
        /// The revision that the caller has; 0 for none.
        newer_than: u64,
    },
}

/// A batch job by its name and size. The bodies go only to a leader that wants them: on a link that is full, copies of them
/// that are refused, or were there already, would keep it full.
#[derive(Clone, Debug, SerBin, DeBin)]
pub struct OfferJob {
    /// The partition that the job belongs to.
    pub partition: u8,
    /// Its id.
    pub job: String,
    /// Its route.
    pub route: String,
    /// The tokens of all of its items.
    pub tokens: u64,
    /// The most tokens that may wait on the route; 0: no limit.
    pub queue_token_limit: u64,
}

/// A batch job on its way to the leader of its partition.
#[derive(Clone, Debug, SerBin, DeBin)]
pub struct SubmitJob {
    /// The partition that the job belongs to.
    pub partition: u8,
    /// The submission as `archive` encodes it.
    pub submission: Vec<u8>,
    /// Due this long after the first send, in milliseconds.
    pub completion_target_ms: u64,
    /// Items may be given up this long after the first send, in milliseconds.
    pub retention_ms: u64,
    /// How many answers of 500 an item gets.
    pub max_attempts: u32,
    /// The most tokens that may wait on the route; 0: no limit.
    pub queue_token_limit: u64,
}

/// What a node answers.
#[derive(Clone, Debug, SerBin, DeBin)]
pub enum Reply {
    /// The node doesn't own the partition; perhaps this one (by name) does.
    NotLeader {
        /// The name of the node that may lead it.
        leader: Option<String>,
    },
    /// The node leads the partition and can't say now.
    Unavailable,
    /// What was asked may or may not come to be.
    Unclear,
    /// Done.
    Done,
    /// An HTTP status with its body.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// A complete configuration; version 0 and empty: none that is newer.
    Configuration {
        /// Its version.
        version: u64,
        /// The configuration, as the operator sent it.
        body: Vec<u8>,
    },
    /// The job that was offered is not here: it is to be sent complete.
    Wanted,
    /// The versions of all services, as `grebeusher-rollout` encodes them.
    Rollouts(Vec<u8>),
}

impl Reply {
    /// What it is, for the log.
    pub fn name(&self) -> String {
        match self {
            Reply::NotLeader { .. } => "no leader".to_owned(),
            Reply::Unavailable => "unavailable".to_owned(),
            Reply::Unclear => "unclear".to_owned(),
            Reply::Done => "done".to_owned(),
            Reply::Answer { status, .. } => status.to_string(),
            Reply::Configuration { version, .. } => format!("configuration {version}"),
            Reply::Wanted => "wanted".to_owned(),
            Reply::Rollouts(_) => "rollouts".to_owned(),
        }
    }
}
