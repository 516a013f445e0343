//! The log: one line an event on standard error, with the Unix time in seconds, the level and the part. Readable text, or JSON with
//! the fields of each event and whose it is.

use std::fmt;
use std::io::stderr;
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{FormatFields, Writer};
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::{FmtContext, FormatEvent};
use tracing_subscriber::registry::LookupSpan;

/// Says how much is logged: `error`, `warn`, `info` (if it says nothing), `debug` or `trace`.
pub const LEVEL: &str = "GREBEUSHER_LOG";
/// Says how: `text` (if it says nothing) or `json`.
pub const FORM: &str = "GREBEUSHER_LOG_FORM";

/// As operators know it from lists and call-backs.
struct UnixTime;

impl FormatTime for UnixTime {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        write!(w, "{:.3}", now.as_secs_f64())
    }
}

/// The message alone: it says in words what the fields say.
struct Words;

impl<S, N> FormatEvent<S, N> for Words
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut w: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let part = event.metadata().target().rsplit("::").next().unwrap_or_default();
        UnixTime.format_time(&mut w)?;
        write!(w, " {} {part}: ", event.metadata().level())?;
        let mut message = Message { w: &mut w, said: Ok(()) };
        event.record(&mut message);
        message.said?;
        writeln!(w)
    }
}

struct Message<'a, 'w> {
    w: &'a mut Writer<'w>,
    said: fmt::Result,
}

impl tracing::field::Visit for Message<'_, '_> {
    fn record_debug(&mut self, field: &tracing::field::Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.said = write!(self.w, "{value:?}");
        }
    }
}

pub fn start(level: Option<&str>, form: Option<&str>) {
    let level = level.and_then(|level| level.parse().ok()).unwrap_or(LevelFilter::INFO);
    // A log that nobody reads must not stop the node: what can't be written is lost.
    let lines = tracing_subscriber::fmt().log_internal_errors(false);
    let lines = lines.with_max_level(level).with_ansi(false).with_writer(stderr);
    // Only a second logger is an error, and there is none.
    let _ = match form {
        Some("json") => {
            lines.json().flatten_event(true).with_span_list(false).with_timer(UnixTime).try_init()
        }
        _ => lines.event_format(Words).try_init(),
    };
}
