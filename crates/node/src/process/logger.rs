//! The log: one line for each event on standard error, with the Unix time in seconds, the level and the module; as
//! text, or as JSON with the fields of the event and the name of the node.

use std::fmt;
use std::io::stderr;
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{FormatFields, Writer};
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::{FmtContext, FormatEvent};
use tracing_subscriber::registry::LookupSpan;

/// The environment variable of the log level: `error`, `warn`, `info` (the default), `debug` or `trace`.
pub const LEVEL: &str = "GREBEUSHER_LOG";
/// The environment variable of the log format: `text` (the default) or `json`.
pub const FORM: &str = "GREBEUSHER_LOG_FORM";

/// The Unix time in seconds, as in the executor list and in callbacks.
struct UnixTime;

impl FormatTime for UnixTime {
    fn format_time(&self, writer: &mut Writer<'_>) -> fmt::Result {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        write!(writer, "{:.3}", now.as_secs_f64())
    }
}

/// The text format: the message alone, as it contains the values of the fields.
struct TextFormat;

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let module = event.metadata().target().rsplit("::").next().unwrap_or_default();
        UnixTime.format_time(&mut writer)?;
        write!(writer, " {} {module}: ", event.metadata().level())?;
        let mut message = MessageWriter { writer: &mut writer, result: Ok(()) };
        event.record(&mut message);
        message.result?;
        writeln!(writer)
    }
}

struct MessageWriter<'a, 'writer> {
    writer: &'a mut Writer<'writer>,
    result: fmt::Result,
}

impl tracing::field::Visit for MessageWriter<'_, '_> {
    fn record_debug(&mut self, field: &tracing::field::Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.result = write!(self.writer, "{value:?}");
        }
    }
}

pub fn start(level: Option<&str>, form: Option<&str>) {
    let level = level.and_then(|level| level.parse().ok()).unwrap_or(LevelFilter::INFO);
    // A log that nobody reads must not stop the node: lines that cannot be written are lost.
    let builder = tracing_subscriber::fmt().log_internal_errors(false);
    let builder = builder.with_max_level(level).with_ansi(false).with_writer(stderr);
    // Only a second logger would be an error, and there is none.
    let _ = match form {
        Some("json") => {
            builder.json().flatten_event(true).with_span_list(false).with_timer(UnixTime).try_init()
        }
        _ => builder.event_format(TextFormat).try_init(),
    };
}
