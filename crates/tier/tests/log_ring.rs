//! The format of log lines, and the choice of the lines that are written.

use grebeusher_tier::runtime::log_ring::LogRing;
use std::sync::{Arc, Mutex};
use tracing::{Level, debug, error, warn};

/// Runs `log` and returns the lines that are written, without the time at their start.
fn written_lines(log: impl FnOnce()) -> Vec<String> {
    let lines = Arc::new(Mutex::new(Vec::new()));
    let sink = Arc::clone(&lines);
    let write =
        move |line: &str| sink.lock().expect("no test panics while it holds this").push(line.to_owned());
    let ring = LogRing::new(Level::DEBUG, Level::WARN, Box::new(write));
    tracing::subscriber::with_default(ring, log);
    let lines = lines.lock().expect("no test panics while it holds this");
    lines.iter().map(|line| without_time(line)).collect()
}

fn without_time(line: &str) -> String {
    let text = line.trim_start();
    let indent = &line[..line.len() - text.len()];
    let (_, rest) = text.split_once(' ').expect("a time");
    format!("{indent}{rest}")
}

#[test]
fn a_line_has_its_level_its_module_its_message_and_then_its_fields() {
    let lines =
        written_lines(|| warn!(partition = 2, node = "edge-1", error = %"no room", "snapshot not made"));
    assert_eq!(lines, ["WARN log_ring: snapshot not made partition=2 node=\"edge-1\" error=no room"]);
}

#[test]
fn lines_below_the_written_level_are_buffered_until_an_error() {
    let lines = written_lines(|| {
        debug!(partition = 1, "became leader");
        warn!("links are slow");
        error!("node ends");
    });
    let expected = [
        "WARN log_ring: links are slow",
        "  DEBUG log_ring: became leader partition=1",
        "ERROR log_ring: node ends",
    ];
    assert_eq!(lines, expected);
}
