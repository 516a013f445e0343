//! What a line of the log looks like, and which lines are written.

use grebeusher_tier::runtime::log_ring::LogRing;
use std::sync::{Arc, Mutex};
use tracing::{Level, debug, error, warn};

/// The lines that are written while `act` logs, without the time in front.
fn written(act: impl FnOnce()) -> Vec<String> {
    let lines = Arc::new(Mutex::new(Vec::new()));
    let sink = Arc::clone(&lines);
    let take =
        move |line: &str| sink.lock().expect("no test panics while it holds this").push(line.to_owned());
    let ring = LogRing::new(Level::DEBUG, Level::WARN, Box::new(take));
    tracing::subscriber::with_default(ring, act);
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
    let lines = written(|| warn!(partition = 2, node = "edge-1", error = %"no room", "snapshot not made"));
    assert_eq!(lines, ["WARN log_ring: snapshot not made partition=2 node=\"edge-1\" error=no room"]);
}

#[test]
fn lines_below_the_written_level_are_kept_until_an_error() {
    let lines = written(|| {
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
