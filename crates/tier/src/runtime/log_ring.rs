//! The log: a ring of lines in memory that is written out when something goes wrong, and little else.

use std::collections::VecDeque;
use std::fmt::{Debug, Write};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Level, Metadata, Subscriber};

/// How many lines the ring keeps.
const LINES: usize = 256;
/// What is left out of a line beyond this (bytes).
const MAX_LINE: usize = 400;

/// A subscriber that keeps the last lines, and writes them out with the first warning after them.
pub struct LogRing {
    started: Instant,
    /// Lines up to this level are kept.
    kept: Level,
    /// Lines up to this level are written at once.
    written: Level,
    lines: Mutex<VecDeque<String>>,
}

impl LogRing {
    /// A ring that keeps lines up to `kept` and writes those up to `written` at once.
    pub fn new(kept: Level, written: Level) -> LogRing {
        LogRing { started: Instant::now(), kept, written, lines: Mutex::new(VecDeque::new()) }
    }

    fn line(&self, event: &Event<'_>) -> String {
        let mut line = Line(String::new());
        let part = event.metadata().target().rsplit("::").next().unwrap_or_default();
        let seconds = self.started.elapsed().as_secs_f64();
        // Writing to a string can't fail.
        let _ = write!(line.0, "{seconds:.3} {} {part}:", event.metadata().level());
        event.record(&mut line);
        line.0.truncate(line.0.floor_char_boundary(MAX_LINE));
        line.0
    }
}

impl Subscriber for LogRing {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        *metadata.level() <= self.kept
    }

    fn event(&self, event: &Event<'_>) {
        let line = self.line(event);
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let level = *event.metadata().level();
        if level <= Level::ERROR {
            for earlier in lines.drain(..) {
                eprintln!("  {earlier}");
            }
        }
        if level <= self.written {
            eprintln!("{line}");
            return;
        }
        if lines.len() == LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

struct Line(String);

impl Visit for Line {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let _ = if field.name() == "message" {
            write!(self.0, " {value:?}")
        } else {
            write!(self.0, " {}={value:?}", field.name())
        };
    }
}
