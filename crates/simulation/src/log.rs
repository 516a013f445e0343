//! The log lines of all nodes of a fleet, each with the virtual time and the machine that wrote it.
//!
//! `FleetLog` is the subscriber; which machine has its turn is noted per thread, as a fleet runs on one.

use grebeusher_tier::runtime::log_ring::format_event;
use grebeusher_time::Instant;
use std::cell::RefCell;
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Level, Metadata, Subscriber};

/// The turn that a thread is in.
#[derive(Clone, Debug, Default)]
struct Turn {
    at: Instant,
    machine: String,
}

thread_local! {
    static TURN: RefCell<Turn> = RefCell::default();
}

/// Notes which machine has its turn from now on. Has no effect where no log is written.
pub(crate) fn begin_turn(at: Instant, machine: &str) {
    if !tracing::enabled!(Level::ERROR) {
        return;
    }
    TURN.with_borrow_mut(|turn| {
        turn.at = at;
        turn.machine.clear();
        turn.machine.push_str(machine);
    });
}

/// Writes each line of the nodes' logs as `SECONDS MACHINE LEVEL MODULE: MESSAGE FIELD=VALUE ...` to the standard output.
pub struct FleetLog {
    /// Lines up to this level are written.
    pub level: Level,
}

impl Subscriber for FleetLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        *metadata.level() <= self.level
    }

    fn event(&self, event: &Event<'_>) {
        let Turn { at, machine } = TURN.with_borrow(Turn::clone);
        println!("{:7.3} {machine} {}", at.0 as f64 / 1e9, format_event(event));
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}
