//! The messages between nodes and voters, and the phases of a machine.

use super::PlanStatus;
use crate::plan::Plan;
use grebeusher_budgets::Holder;
use serde::{Deserialize, Serialize};

/// A node's request to renew its permission, with a report of what it has done.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitRequest {
    pub holder: Holder,
    /// The zone of the node.
    pub zone: String,
    pub sequence: u32,
    /// The hash of the address at which the node listens for the others; no other live process has it.
    pub socket_hash: u64,
    /// The number of the decision that the node follows: it sends nothing to machines closed by it.
    pub known_decision: u64,
    /// The units in flight at each machine of the plan that is not done, by the hash of the machine's name.
    /// Not by the position in the permit: positions depend on the decision, and the report has to be
    /// understood whatever was decided since.
    pub in_flight: Vec<(u64, u16)>,
    /// The hashes of the names of the machines that the node keeps closed. The voters know of them too,
    /// unless their state was lost.
    pub closed: Vec<u64>,
    /// Whether the node is to be drained itself, and is drained: its clients are sent away, it has nothing in
    /// flight and no share of a budget, and it sends nothing before it learns that it may stay.
    pub is_drained: bool,
    /// The units accepted since the node started; `rejected` counts those that were rejected.
    pub units: u64,
    pub rejected: u64,
    /// Whether operators read the plan's status at this node.
    pub wants_status: bool,
}

/// How close a machine of the plan is to being taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    Waiting,
    /// The machine may be closed from now on.
    Next,
    /// Nothing may be sent to the machine.
    Closed,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Permit {
    pub holder: Holder,
    pub sequence: u32,
    pub number: u64,
    /// The machines that are not done, by the hashes of their names; `None` if the node already knows the
    /// latest decision.
    pub machines: Option<Vec<(u64, Stage)>>,
    /// The longest time in seconds that a unit may run once no node reports it; it counts as in flight for
    /// that time.
    pub longest_unit_s: u64,
    pub plan_status: Option<PlanStatus>,
}

/// A report of the executor list as seen by the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ListView {
    pub zones: Vec<ZoneView>,
    /// The machines of the plan and those that an earlier plan left closed.
    pub machines: Vec<MachineView>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneView {
    pub zone: String,
    pub listed: u32,
    pub ready: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MachineView {
    pub machine: u64,
    pub ready: bool,
    /// The start time by the clock of the machine, in milliseconds; only compared with other starts of the
    /// same machine.
    pub started_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    Submit(Box<Plan>),
    Pause,
    Resume,
    /// The agent of the machine has seen nothing run or wait there since the decision of this number, which
    /// brought the machine into the quiet phase.
    Idle(String, u64),
    /// Skips the machines that wait, opens those that drain, and waits for those that are out.
    Withdraw,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Step {
    PermitRequest(PermitRequest),
    View(ListView),
    /// An operator command with an ID, under which it is answered, and applied once however often it is sent.
    Command(u64, Command),
}

/// A change of the plan or of a machine, for the leader's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanChange {
    pub number: u64,
    pub what: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    Permit(Permit),
    PlanChange(PlanChange),
}

/// The phase of a machine in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    Waiting,
    /// The nodes are told that the machine may be closed.
    Next,
    /// Nothing new is sent to the machine.
    Draining,
    /// No node may send there any more, but a process that ended may have left work running. The phase lasts
    /// for the longest time that a unit may run, or until the machine's agent reports that nothing runs
    /// there.
    Quiet,
    /// No node sends there or has anything in flight there: maintenance of the machine may begin.
    Out,
    /// The machine is back by a new start, and cold.
    Back,
    Done,
    /// The machine keeps its work and is open again; it is left to the operators.
    Left,
    /// The machine did not come back in time. It is left to the operators, and stays closed until it comes
    /// back.
    Lost,
}
