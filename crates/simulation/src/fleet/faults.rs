//! How each fault of a scenario begins.

use super::step::Step;
use super::{Armed, Fleet};
use crate::configurations::{FirstBulkRoute, Wrong};
use crate::executors::Lies;
use crate::operators::Change;
use crate::scenario::{Fault, On, WrongKind};
use grebeusher_time::{Duration, DurationExt};

impl Fleet {
    #[expect(clippy::too_many_lines, reason = "one arm for each kind of fault")]
    pub(super) fn begin_fault(&mut self, fault: Fault) {
        match fault.clone() {
            Fault::NodeKill { on, leader, power, wipe, for_s } => {
                if let Some(machine) = self.victim(on, leader, for_s, fault) {
                    self.strike(machine, power, wipe, for_s);
                }
            }
            Fault::HerdKill { for_s } => self.kill_core(for_s),
            Fault::NodeFreeze { on, leader, for_s } => {
                if let Some(machine) = self.victim(on, leader, for_s, fault) {
                    self.freeze(machine, for_s);
                }
            }
            Fault::RollTerm { on, count, gap_s, remove } => {
                self.roll(on, count, Duration::from_seconds(gap_s), remove);
            }
            Fault::AddNode { on } => self.add_node(on),
            Fault::Replace { on, after_s, planned } => {
                if let Some(machine) = self.victim(on, false, after_s + 1.0, fault) {
                    self.replace(machine, after_s, planned);
                }
            }
            Fault::AfterAckKill { after_ms, wipe, for_s } => {
                let after = Duration::from_seconds(after_ms / 1000.0);
                self.armed.push(Armed { after, wipe, for_s });
                self.change(Change::Valid);
            }
            Fault::AfterTakenKill { after_ms, for_s } => {
                let after = Duration::from_seconds(after_ms / 1000.0);
                self.armed_for_jobs.push(Armed { after, wipe: false, for_s });
            }
            Fault::AfterRolloutKill { after_ms, wipe, for_s } => {
                let after = Duration::from_seconds(after_ms / 1000.0);
                self.armed_for_rollouts.push(Armed { after, wipe, for_s });
            }
            Fault::DiskSlow { on, times, for_s } => {
                if let Some(machine) = self.victim(core_of(on), false, for_s, fault) {
                    self.slow_disk(machine, times, for_s);
                }
            }
            Fault::Cut { on, leader, one_way, resets, for_s } => {
                if let Some(machine) = self.victim(core_of(on), leader, for_s, fault) {
                    self.cut_machine(machine, one_way, resets, for_s);
                }
            }
            Fault::Isolation { .. } => self.isolate(fault),
            Fault::ZoneCut { zone, for_s } => self.cut_zone(zone, for_s),
            Fault::Reset { on } => self.reset(on),
            Fault::ConfigChange => self.change(Change::Valid),
            Fault::RouteReplaced { for_s } => {
                self.note("another route has the name of the first bulk route");
                self.change(Change::FirstBulkRoute(FirstBulkRoute::Replaced));
                self.later(Duration::from_seconds(for_s), Step::RouteIsBack);
            }
            Fault::ConfigRace => self.change(Change::Race),
            Fault::ConfigSameNumber => self.change(Change::SameNumber),
            Fault::AckLost { x, for_s } => {
                self.note(&format!("{x:.2} of the answers to orders are lost"));
                self.operators.lost_answers = x;
                self.later(Duration::from_seconds(for_s), Step::AnswersArrive);
            }
            Fault::BadConfig { how } => self.change(Change::Wrong(wrong(how))),
            Fault::Retire => self.retire(),
            Fault::ExecutorCrash { share, silent } => self.crash_executors(share, silent),
            Fault::Release { share, gap_s } => {
                let executors = self.some_executors(share);
                self.release(executors, Duration::from_seconds(gap_s));
            }
            Fault::ConfigSeries { count } => (0..count).for_each(|_| self.change(Change::Valid)),
            Fault::NodeSlow { on, times, for_s } => {
                if let Some(machine) = self.victim(on, false, for_s, fault) {
                    self.slow(machine, times, for_s);
                }
            }
            Fault::DiskFull { on, for_s } => {
                if let Some(machine) = self.victim(core_of(on), false, for_s, fault) {
                    self.fill_disk(machine, for_s);
                }
            }
            Fault::IdleDrop { on } => self.drop_idle(on),
            Fault::RollTermBusy { on, count, gap_s } => {
                let machines = self.chosen_to_roll(on, count, false);
                self.terminate_busy(machines, Duration::from_seconds(gap_s));
            }
            Fault::RetireWipe { for_s } => {
                self.wipe_after_retire = Some(for_s);
                self.retire();
            }
            Fault::ExecutorGrey { share, x, how, for_s } => {
                self.some_lie_for(share, Lies { grey: Some((how, x)), ..Lies::default() }, for_s);
            }
            Fault::ExecutorFalselyIll { share, for_s } => {
                self.some_lie_for(share, Lies { says_ill: true, ..Lies::default() }, for_s);
            }
            Fault::ExecutorFlap { share, times, gap_s } => {
                let executors = self.some_executors(share);
                self.flap(executors, times, Duration::from_seconds(gap_s));
            }
            Fault::Burst { times, for_s } => self.burst(times, for_s),
            Fault::Rollout { flaw, x, late_s, ramp_s } => self.begin_rollout(flaw, x, late_s, ramp_s),
            Fault::AnswerLost { x, for_s } => {
                self.note(&format!("executors lose {x:.2} of their answers"));
                self.lie_for(Lies { lost: x, ..Lies::default() }, for_s);
            }
            Fault::RepeatedAnswers { x, failures, how, for_s } => {
                self.note(&format!("executors send {x:.2} of their answers twice"));
                self.lie_for(Lies { repeated: x, grey: Some((how, failures)), ..Lies::default() }, for_s);
            }
            Fault::BrokenAnswers { x, how, for_s } => {
                self.note(&format!("executors break {x:.2} of their answers: {how:?}"));
                self.lie_for(Lies { broken: Some((how, x)), ..Lies::default() }, for_s);
            }
            Fault::Garble { x, surplus, for_s } => {
                self.note(&format!("executors spoil {x:.2} of their answers"));
                self.lie_for(
                    Lies { cut: x, surplus: if surplus { x } else { 0.0 }, ..Lies::default() },
                    for_s,
                );
            }
        }
    }

    /// The operators change the configuration.
    pub(super) fn change(&mut self, change: Change) {
        self.stage(|actors, stage| actors.operators.change(change, stage));
    }

    fn burst(&mut self, times: f64, for_s: f64) {
        self.note(&format!("{times:.1} times as many clients"));
        self.clients.burst(times);
        self.later(Duration::from_seconds(for_s), Step::Usual);
    }
}

/// Faults of disks and links that are drawn for an edge machine are for one of the core.
fn core_of(on: On) -> On {
    if on == On::Edge { On::Core } else { on }
}

fn wrong(how: WrongKind) -> Wrong {
    match how {
        WrongKind::CutShort => Wrong::CutShort,
        WrongKind::UnknownService => Wrong::UnknownService,
        WrongKind::SamePlace => Wrong::SamePlace,
        WrongKind::NoTimeout => Wrong::NoTimeout,
        WrongKind::OldVersion => Wrong::OldVersion,
    }
}
