//! How long things took in a storm.

use grebeusher_time::Duration;
use std::fmt;

/// What a time is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum What {
    /// From the first sending of a configuration to its acknowledgement.
    Acknowledged,
    /// From the acknowledgement of a configuration until each edge node that ran then has it in force.
    Applied,
    /// From an executor's word that it leaves to the acknowledgement.
    DrainTold,
    /// From the end or the freeze of a partition's leader until another node acts as leader.
    LeaderReplaced,
    /// From the return of the machines after a final fault until each partition has a leader.
    QuorumBack,
    /// From the return of a machine whose disk was lost, or the start of its successor, until the groups of all partitions that it
    /// may hold are decided and name only disks of running machines: the next loss may be borne from then on.
    GroupWhole,
}

impl What {
    /// All of them.
    pub const ALL: [What; 6] = [
        What::Acknowledged,
        What::Applied,
        What::DrainTold,
        What::LeaderReplaced,
        What::QuorumBack,
        What::GroupWhole,
    ];
}

impl fmt::Display for What {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            What::Acknowledged => "configuration acknowledged",
            What::Applied => "configuration applied everywhere",
            What::DrainTold => "drain told",
            What::LeaderReplaced => "owner replaced",
            What::QuorumBack => "quorum back",
            What::GroupWhole => "group whole",
        })
    }
}

/// The times of a storm.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Times {
    /// Each one that was taken.
    pub taken: Vec<(What, Duration)>,
}
