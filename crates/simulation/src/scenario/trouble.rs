//! What may go wrong, and what is planned.

use serde::{Deserialize, Serialize};

/// Which machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum On {
    /// Any edge machine.
    Edge,
    /// Edge machines with a disk.
    Core,
    /// Storage machines.
    Storage,
}

/// How an executor fails whose health is good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Grey {
    /// It answers 500.
    Errors,
    /// It refuses with 503 and the promise that it did not run.
    Shed,
    /// It refuses with 429 and the same promise.
    Busy,
    /// It never answers.
    Hang,
    /// It resets the connection.
    Reset,
    /// It takes eight times as long.
    Slow,
}

/// How an executor's answer is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BrokenAnswer {
    /// Its status is none that an answer can have.
    Status,
    /// The name of a field holds a blank, a control byte or a high byte.
    FieldName,
    /// Its body has no length, and a reset follows a part of it. A long upload is answered so before it is read.
    Reset,
}

/// How an invalid configuration is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WrongKind {
    /// It ends early.
    CutShort,
    /// A route names an unknown service.
    UnknownService,
    /// Two routes have one place.
    SamePlace,
    /// A time-out is 0.
    NoTimeout,
    /// Its version is an old one.
    OldVersion,
}

/// What machines are cut off from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutFrom {
    /// The other counted machines: all others reach both sides.
    Counted,
    /// All other machines of the system.
    All,
    /// The counted machines are cut into two halves, however many may be lost; all others reach both.
    Halves,
}

/// How the new version of a service is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Flaw {
    /// It answers a share of its requests with 500.
    Errors,
    /// It takes eight times as long for a share of them.
    Slow,
    /// It answers 500 while half of its slots are taken.
    UnderLoad,
    /// It answers 500 on one route only.
    OneRoute,
    /// It answers 500 from some seconds after the start of its executors on.
    Late,
}

/// One trouble or planned work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// A machine's process is killed, or its power is lost for a time; perhaps with its disk.
    NodeKill {
        on: On,
        #[serde(alias = "owner")]
        leader: bool,
        power: bool,
        wipe: bool,
        for_s: f64,
    },
    /// A process stands still.
    NodeFreeze {
        on: On,
        #[serde(alias = "owner")]
        leader: bool,
        for_s: f64,
    },
    /// Processes get SIGTERM in turn.
    RollTerm { on: On, count: usize, gap_s: f64, remove: bool },
    /// A machine is added.
    AddNode { on: On },
    /// A machine is gone for good; an empty one comes later at another address.
    Replace { on: On, after_s: f64, planned: bool },
    /// A machine loses power right after it has acknowledged the next change.
    AfterAckKill { after_ms: f64, wipe: bool, for_s: f64 },
    /// A machine loses power right after it has accepted a batch job.
    AfterTakenKill { after_ms: f64, for_s: f64 },
    /// A disk takes longer.
    DiskSlow { on: On, times: f64, for_s: f64 },
    /// A counted machine is cut off from the other counted ones.
    Cut {
        on: On,
        #[serde(alias = "owner")]
        leader: bool,
        one_way: bool,
        resets: bool,
        for_s: f64,
    },
    /// Machines are cut off for a time, all others reach each other; perhaps executors that leave call one of them first.
    Isolation { on: On, count: usize, from: CutFrom, lure: bool, for_s: f64 },
    /// A zone is cut off from the others.
    ZoneCut { zone: usize, for_s: f64 },
    /// All connections of a machine are reset.
    Reset { on: On },
    /// A valid change.
    ConfigChange,
    /// A bulk route is removed, and its name given to a route of another host and service; after a time it is back under
    /// another name.
    RouteReplaced { for_s: f64 },
    /// Two changes on the same version.
    ConfigRace,
    /// Two changes on the same version under one number.
    ConfigSameNumber,
    /// A share of the answers to the operator's orders is lost on its way.
    AckLost { x: f64, for_s: f64 },
    /// An invalid change.
    BadConfig { how: WrongKind },
    /// A storage machine is to be emptied; then it is removed.
    Retire,
    /// Executors crash.
    ExecutorCrash { share: f64, silent: bool },
    /// Executors are replaced one by one: the new one first, then the old one drains.
    Release { share: f64, gap_s: f64 },
    /// More clients come for a time.
    Burst { times: f64, for_s: f64 },
    /// Changes that follow each other as fast as they are acknowledged.
    ConfigSeries { count: usize },
    /// A machine's processor takes longer for all that it does.
    NodeSlow { on: On, times: f64, for_s: f64 },
    /// All processes of the core, whatever may be lost, are killed at the same moment and come back with their disks.
    HerdKill { for_s: f64 },
    /// A disk takes no more writes for a time.
    DiskFull { on: On, for_s: f64 },
    /// Something between the machines forgets the connections of one that are idle: what is sent on them from then on is
    /// lost without a word.
    IdleDrop { on: On },
    /// Processes get SIGTERM in turn, each while it is answering requests.
    RollTermBusy { on: On, count: usize, gap_s: f64 },
    /// A storage machine is to be emptied; when it was removed, another one loses its disk.
    RetireWipe { for_s: f64 },
    /// A share of the executors fails a share of its requests.
    ExecutorGrey { share: f64, x: f64, how: Grey, for_s: f64 },
    /// A share of the executors says that it is ill, and is well.
    ExecutorFalselyIll { share: f64, for_s: f64 },
    /// A share of the executors goes down and up, at the same address.
    ExecutorFlap { share: f64, times: usize, gap_s: f64 },
    /// Executors lose answers of what they ran.
    AnswerLost { x: f64, for_s: f64 },
    /// Executors break off answers, or send more than was asked.
    Garble { x: f64, surplus: bool, for_s: f64 },
    /// Executors send a share `x` of their answers twice. The copy has the id and status of the answer, and comes in the place
    /// of the next answer on its connection. A share `failures` of the requests fails, in the way `how`.
    RepeatedAnswers { x: f64, failures: f64, how: Grey, for_s: f64 },
    /// Executors send a share `x` of their answers broken.
    BrokenAnswers { x: f64, how: BrokenAnswer, for_s: f64 },
    /// A machine loses power right after it has acknowledged the next order to roll a version out.
    AfterRolloutKill { after_ms: f64, wipe: bool, for_s: f64 },
    /// The operators roll out a new version of the first service; its executors come when the order is acknowledged.
    Rollout {
        /// How it is bad; nothing for a good version.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        flaw: Option<Flaw>,
        /// The share of its requests that fail.
        x: f64,
        /// When a version that is bad late begins to fail, in seconds from the start of its executors.
        late_s: f64,
        /// The time for it, in seconds.
        ramp_s: f64,
    },
}
