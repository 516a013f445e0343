//! The steps of a storm, each at its moment.

use super::Fleet;
use crate::configurations::FirstBulkRoute;
use crate::executors::Lies;
use crate::operators::Change;
use crate::scenario::Fault;
use grebeusher_time::{Duration, DurationExt, Instant};

/// A step of a fault.
#[derive(Clone, Debug)]
pub(super) enum Step {
    Begin(Fault),
    StartMachine {
        machine: usize,
    },
    Thaw {
        machine: usize,
    },
    Heal {
        cut: usize,
    },
    Calm {
        machine: usize,
    },
    Terminate {
        machines: Vec<usize>,
        gap: Duration,
        remove: bool,
    },
    GraceOver {
        machine: usize,
        life: usize,
    },
    Release {
        executors: Vec<usize>,
        gap: Duration,
    },
    Honest,
    AnswersArrive,
    RouteIsBack,
    Quick {
        machine: usize,
    },
    Room {
        machine: usize,
    },
    Flap {
        executors: Vec<usize>,
        times: usize,
        gap: Duration,
    },
    Again {
        executors: Vec<usize>,
        times: usize,
        gap: Duration,
    },
    TerminateBusy {
        machines: Vec<usize>,
        gap: Duration,
    },
    Usual,
    Strike {
        machine: usize,
        wipe: bool,
        for_s: f64,
    },
    FirstChange,
    Traffic,
    LastChange,
    Closing {
        armed: Instant,
    },
    LastReads,
    /// The executors of a version leave, as its roll-out was reverted.
    DrainVersion {
        service: String,
        version: String,
    },
    Over,
}

impl Fleet {
    pub(super) fn step(&mut self, step: Step) {
        match step {
            Step::Begin(fault) => self.begin_fault(fault),
            Step::StartMachine { machine } => self.restart_machine(machine),
            Step::Thaw { machine } => self.thaw(machine),
            Step::Heal { cut } => self.heal(cut),
            Step::Calm { machine } => self.calm_disk(machine),
            Step::Terminate { machines, gap, remove } => self.terminate(machines, gap, remove),
            Step::GraceOver { machine, life } => self.grace_over(machine, life),
            Step::Release { executors, gap } => self.release(executors, gap),
            Step::Honest => self.all_lie(Lies::default()),
            Step::AnswersArrive => self.operators.lost_answers = 0.0,
            Step::RouteIsBack => self.change(Change::FirstBulkRoute(FirstBulkRoute::Renamed)),
            Step::Quick { machine } => self.quick(machine),
            Step::Room { machine } => self.room(machine),
            Step::Flap { executors, times, gap } => self.flap(executors, times, gap),
            Step::Again { executors, times, gap } => self.come_again(executors, times, gap),
            Step::TerminateBusy { machines, gap } => self.terminate_busy(machines, gap),
            Step::Usual => self.clients.burst(1.0),
            Step::Strike { machine, wipe, for_s } => self.strike(machine, true, wipe, for_s),
            Step::FirstChange => self.first_change(),
            Step::Traffic => self.traffic(),
            Step::LastChange => self.last_change(),
            Step::Closing { armed } => self.closing_step(armed),
            Step::LastReads => self.last_reads(),
            Step::DrainVersion { service, version } => self.drain_version(&service, &version),
            Step::Over => self.over = true,
        }
    }

    /// When the scenario's traffic is over.
    pub(super) fn traffic_ends(&self) -> Instant {
        Instant(0) + Duration::from_seconds(self.scenario.load.lead_s + self.scenario.load.length_s)
    }

    fn first_change(&mut self) {
        self.stage(|actors, stage| {
            actors.operators.begin(stage);
            actors.operators.change(Change::Valid, stage);
        });
    }

    fn traffic(&mut self) {
        self.stage(|actors, stage| actors.clients.begin(stage.now(), stage));
        if self.scenario.broken.hidden_cut {
            self.hide();
        }
    }

    fn last_reads(&mut self) {
        self.hub.borrow_mut().cuts.clear();
        self.stage(|actors, stage| {
            actors.clients.read_all(stage);
            actors.operators.show(stage);
            actors.operators.show_rollouts(stage);
        });
    }
}
