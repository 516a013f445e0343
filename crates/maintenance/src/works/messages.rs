//! What the keepers are told and what they answer, and how far a machine can be.

use super::Shown;
use crate::plan::Plan;
use grebeusher_budgets::Holder;
use serde::{Deserialize, Serialize};

/// A node asks to send on, and says what it has done.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ask {
    pub holder: Holder,
    /// The zone in which it stands.
    pub zone: String,
    pub ask: u32,
    /// Where it listens for the others, as a hash: a socket that no other process has while this one lives.
    pub socket: u64,
    /// The number of the decision that it goes by: it sends nothing to what that closed.
    pub knows: u64,
    /// Work that it has out at machines of the plan that are not done, by the hashes of their names. Not by their places in what
    /// it was told: those are of its decision, and what it says must be understood whatever was decided since.
    pub in_hand: Vec<(u64, u16)>,
    /// What it keeps closed, by the hashes of names: known here too, unless the state was lost.
    pub closed: Vec<u64>,
    /// It is itself to go, and is through: its clients are sent away, it has nothing in hand and no part of a budget, and sends nothing
    /// before it hears that it may stay.
    pub through: bool,
    /// Since its start: units taken in, and those that were turned back.
    pub units: u64,
    pub turned_back: u64,
    /// Staff look at this node.
    pub shows: bool,
}

/// How close a machine of the plan is to being taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    Waiting,
    /// It may be closed from now on.
    Next,
    /// Nothing may be sent there.
    Closed,
}

/// What an ask was answered with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Permit {
    pub holder: Holder,
    pub ask: u32,
    pub number: u64,
    /// The machines that are not done, by the hashes of their names; none where the asker knows of the same decision.
    pub machines: Option<Vec<(u64, Stage)>>,
    /// The longest that a unit may run of which no node tells any more: as long it counts as in hand.
    pub longest_unit_s: u64,
    pub shown: Option<Shown>,
}

/// What the list says, at the node that leads.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct View {
    pub zones: Vec<ZoneSeen>,
    /// Machines of the plan and such that an earlier plan has left closed.
    pub machines: Vec<Seen>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneSeen {
    pub zone: String,
    pub listed: u32,
    pub ready: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seen {
    pub machine: u64,
    pub ready: bool,
    /// Which start, as its machine counts: only compared with itself.
    pub started_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    Submit(Box<Plan>),
    Pause,
    Resume,
    /// Whoever looks at the machine has seen nothing run or wait there since the decision of this number, which made it quiet.
    Idle(String, u64),
    /// What waits is let be, what drains is given back; what is out is waited for.
    Withdraw,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Step {
    Asks(Ask),
    Sees(View),
    /// A command of the staff with a name of its own, under which it is answered, and done once however often it comes.
    Says(u64, Command),
}

/// Something moved on; for the log of whoever leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moved {
    pub number: u64,
    pub what: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    Permit(Permit),
    Moved(Moved),
}

/// How far a machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    Waiting,
    /// All nodes are told that it may be closed.
    Next,
    /// Nothing new is sent there.
    Draining,
    /// Nobody may send there any more, but a life that ended may have left something that runs: until as long has passed as a
    /// unit may run, or whoever looks at the machine has seen since that nothing does.
    Quiet,
    /// Nobody sends there or has anything there: it may be worked on.
    Out,
    /// Back by a new start, and cold.
    Back,
    Done,
    /// It keeps its work and is open again: left for staff.
    Left,
    /// It did not come back in time: left for staff, and closed until it does.
    Lost,
}
