//! The messages between nodes: the channels of frames, the envelopes of replica messages, load reports, and
//! calls with their replies. The messages of the registry are defined in its own crate.

use grebeusher_rollout::RolloutOrder;
use nanoserde::{DeBin, SerBin};

/// The kind of message in a frame on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Channel {
    /// The registry's messages about members, executors and other soft state.
    Registry = 1,
    /// Messages between the replicas of a partition.
    Quorum = 2,
    /// A call that wants a reply.
    Call = 3,
    /// The reply to a call.
    Reply = 4,
    /// Reports on popular prompt prefixes.
    Popularity = 5,
    /// Reports on the load of batch partitions, which their leaders send each other.
    BatchLoad = 6,
}

impl Channel {
    /// The channel that a byte in a frame stands for; `None` if this version does not know it.
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
    /// The number of the partition.
    pub partition: u8,
    /// The sender's disk identity.
    pub from: u64,
    /// The receiver's disk identity.
    pub to: u64,
    /// The message as `grebeusher-quorum` encodes it.
    pub message: Vec<u8>,
}

/// A report on the items of a batch partition, which its leader sends to the leaders of the other partitions.
#[derive(Clone, Copy, Debug, SerBin, DeBin)]
pub struct BatchLoad {
    /// The number of the partition.
    pub partition: u8,
    /// The number of running items.
    pub running: u32,
    /// The number of items that wait for capacity at an executor.
    pub waiting: u32,
}

/// The number of a call, which its reply repeats. It is unique among all processes that ever use the caller's
/// address, as a reply may arrive after the process that made the call has ended and another one uses its
/// address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct CallNumber(pub u64);

/// Generates the numbers of a process's calls.
#[derive(Debug)]
pub struct CallNumbers {
    /// The number of the next call.
    next: u64,
}

impl CallNumbers {
    /// Starts at a random number, so that the numbers of two processes at the same address never overlap in
    /// practice.
    pub fn starting_at(random: u64) -> CallNumbers {
        CallNumbers { next: random }
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
    /// The number of the call.
    pub number: CallNumber,
    /// The call itself.
    pub call: Call,
}

/// A reply with the number of its call.
#[derive(Clone, Debug, SerBin, DeBin)]
pub struct ReplyEnvelope {
    /// The number of the call.
    pub number: CallNumber,
    /// The reply itself.
    pub reply: Reply,
}

/// A request of one node to another.
#[derive(Clone, Debug, SerBin, DeBin)]
pub enum Call {
    /// Bootstraps a partition with its first voters; only at the first start of the whole system.
    Bootstrap {
        /// The number of the partition.
        partition: u8,
        /// The disk identities of all its voters.
        voters: Vec<u64>,
    },
    /// Replaces the configuration of version `base`; for the leader of the configuration.
    ReplaceConfiguration {
        /// The version that the new configuration replaces; 0 for the first configuration.
        base: u64,
        /// The new configuration, as the operator sent it.
        body: Vec<u8>,
    },
    /// Asks the leader of the configuration for the newest version, which the leader confirms by its lease.
    ShowConfiguration,
    /// Asks the leader of a partition for the partition's status, for an operator.
    ShowPartition {
        /// The number of the partition.
        partition: u8,
    },
    /// Asks a node for the newest configuration that it knows, if it is newer than a version.
    FetchConfiguration {
        /// The version that the caller has.
        newer_than: u64,
    },
    /// Submits a batch job; for the leader of the partition.
    SubmitJob(SubmitJob),
    /// Reads the results of a job; for the leader of the partition.
    ReadJob {
        /// The number of the partition.
        partition: u8,
        /// The id of the job.
        job: String,
        /// The number of results that the caller already has; the reply lists those after them.
        resume_after: u64,
        /// How long the leader may delay the reply until there is a result (milliseconds).
        hold_ms: u32,
    },
    /// Reads the body of an item whose result is not listed yet; for the leader of the partition.
    ReadItem {
        /// The number of the partition.
        partition: u8,
        /// The id of the job.
        job: String,
        /// The id of the item.
        item: String,
    },
    /// Ends a job; for the leader of the partition.
    EndJob {
        /// The number of the partition.
        partition: u8,
        /// The id of the job.
        job: String,
    },
    /// Asks a node to forward a call to the leader of a partition, which the caller can't reach.
    Forward {
        /// The number of the partition.
        partition: u8,
        /// How long the forwarded call may take (milliseconds).
        timeout_ms: u32,
        /// The encoded call.
        call: Vec<u8>,
    },
    /// Asks the leader of a partition to move its data off a storage node.
    BeginRetire {
        /// The number of the partition.
        partition: u8,
        /// The name of the storage node.
        node: String,
    },
    /// Asks the leader of a partition whether its data has left a storage node.
    ShowRetire {
        /// The number of the partition.
        partition: u8,
        /// The name of the storage node.
        node: String,
    },
    /// Asks the leader of a partition whether it would accept a batch job before the bodies are sent, or what
    /// became of the job if they were sent already.
    OfferJob(OfferJob),
    /// Begins a roll-out that an operator ordered; for the leader of the configuration.
    BeginRollout(RolloutOrder),
    /// Asks for the progress of the roll-out of a service; for the leader of the configuration.
    ShowRollout {
        /// The name of the service.
        service: String,
    },
    /// Asks for the versions of all services, if they have changed since a revision; for the leader of the
    /// configuration.
    SyncRollouts {
        /// The revision that the caller has; 0 if it has none.
        newer_than: u64,
    },
}

/// The offer of a batch job by its name and size. The bodies are sent only to a leader that asks for them: on
/// an overloaded link, copies of bodies that the leader rejects or already has would keep the link
/// overloaded.
#[derive(Clone, Debug, SerBin, DeBin)]
pub struct OfferJob {
    /// The number of the partition that the job belongs to.
    pub partition: u8,
    /// The id of the job.
    pub job: String,
    /// The name of the job's route.
    pub route: String,
    /// The total number of tokens of the job's items.
    pub tokens: u64,
    /// The most tokens that may wait on the route at this leader; 0 for no limit.
    pub queue_token_limit: u64,
}

/// The submission of a batch job to the leader of its partition.
#[derive(Clone, Debug, SerBin, DeBin)]
pub struct SubmitJob {
    /// The number of the partition that the job belongs to.
    pub partition: u8,
    /// The encoded [`Submission`](grebeusher_batch::Submission).
    pub submission: Vec<u8>,
    /// The job should be complete this long after the client first sent it (milliseconds).
    pub completion_target_ms: u64,
    /// Items may be given up this long after the client first sent the job (milliseconds).
    pub retention_ms: u64,
    /// An item has failed after this many responses with status 500.
    pub max_attempts: u32,
    /// The most tokens that may wait on the route at this leader; 0 for no limit.
    pub queue_token_limit: u64,
}

/// The reply of a node to a call.
#[derive(Clone, Debug, SerBin, DeBin)]
pub enum Reply {
    /// The node does not lead the partition.
    NotLeader {
        /// The name of the node that probably leads it, if known.
        leader: Option<String>,
    },
    /// The node leads the partition but can't answer the call now.
    Unavailable,
    /// The outcome is unknown: the call may still take effect.
    Unclear,
    /// The call was carried out.
    Done,
    /// An HTTP status with its body.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// A complete configuration. Version 0 with an empty body means that the node knows no newer one.
    Configuration {
        /// The version of the configuration.
        version: u64,
        /// The configuration, as the operator sent it.
        body: Vec<u8>,
    },
    /// The offered job is not known yet and would be accepted: the caller is to send it with its bodies.
    Wanted,
    /// The versions of all services, as `grebeusher-rollout` encodes them.
    Rollouts(Vec<u8>),
}

impl Reply {
    /// The kind of reply, as it is logged.
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
