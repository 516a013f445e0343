//! The log: a ring buffer of lines in memory, which are written out before each error line, and immediate output of lines
//! of the higher levels.
//!
//! A line has the form `SECONDS LEVEL MODULE: MESSAGE FIELD=VALUE ...`. The ring owns the buffered lines and passes written
//! lines to a sink.

use std::collections::VecDeque;
use std::fmt::{Debug, Write};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Level, Metadata, Subscriber};

/// The maximum number of lines in the ring buffer.
const MAX_LINES: usize = 256;
/// The length in bytes to which a line is truncated.
const MAX_LINE_BYTES: usize = 400;

/// The function that outputs the written lines.
pub type LineSink = Box<dyn Fn(&str) + Send + Sync>;

/// A `tracing` subscriber that buffers the last lines and writes them out before the next error.
pub struct LogRing {
    started: Instant,
    /// The most verbose level of the lines that are buffered.
    buffered_level: Level,
    /// The most verbose level of the lines that are written at once.
    written_level: Level,
    lines: Mutex<VecDeque<String>>,
    sink: LineSink,
}

impl LogRing {
    /// Creates a ring that buffers lines up to `buffered_level` and writes those up to `written_level` at once.
    pub fn new(buffered_level: Level, written_level: Level, sink: LineSink) -> LogRing {
        LogRing {
            started: Instant::now(),
            buffered_level,
            written_level,
            lines: Mutex::new(VecDeque::new()),
            sink,
        }
    }

    fn line(&self, event: &Event<'_>) -> String {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut line = format!("{seconds:.3} {}", format_event(event));
        line.truncate(line.floor_char_boundary(MAX_LINE_BYTES));
        line
    }
}

/// Formats an event as a line of the log without the time: `LEVEL MODULE: MESSAGE FIELD=VALUE ...`.
pub fn format_event(event: &Event<'_>) -> String {
    let mut text = EventText::default();
    event.record(&mut text);
    let metadata = event.metadata();
    let module = metadata.target().rsplit("::").next().unwrap_or_default();
    let EventText { message, fields } = text;
    format!("{} {module}: {message}{fields}", metadata.level())
}

impl Subscriber for LogRing {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        *metadata.level() <= self.buffered_level
    }

    fn event(&self, event: &Event<'_>) {
        let line = self.line(event);
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let level = *event.metadata().level();
        if level <= Level::ERROR {
            for earlier in lines.drain(..) {
                (self.sink)(&format!("  {earlier}"));
            }
        }
        if level <= self.written_level {
            (self.sink)(&line);
            return;
        }
        if lines.len() == MAX_LINES {
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

/// The message of an event, and its fields formatted as ` name=value` in their order.
#[derive(Default)]
struct EventText {
    message: String,
    fields: String,
}

impl Visit for EventText {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        // Writing to a string can't fail.
        let _ = match field.name() {
            "message" => write!(self.message, "{value:?}"),
            name => write!(self.fields, " {name}={value:?}"),
        };
    }
}
