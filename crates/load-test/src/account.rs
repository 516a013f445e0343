//! One account of a run: what all processes logged and what the rig did and saw, in the order of their times, so that a breach can be
//! read from its cause on.

use serde::Serialize;
use serde_json::{Map, Value};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

/// One line of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Seconds since the run began, by this machine's clock.
    pub at_s: f64,
    /// The process, `rig` for this one.
    pub of: String,
    pub level: String,
    pub part: String,
    pub message: String,
    /// What else the line says, by name.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

impl Line {
    /// What the rig did or saw.
    pub fn of_rig(at_s: f64, part: &str, message: String) -> Line {
        let (of, level, part) = ("rig".to_owned(), "INFO".to_owned(), part.to_owned());
        Line { at_s, of, level, part, message, fields: Map::new() }
    }

    /// A line of a node's log as JSON; `None` for what is none, as the last words of one that fell over.
    fn read(of: &str, began_unix_s: f64, text: &str) -> Option<Line> {
        let Value::Object(mut fields) = serde_json::from_str(text).ok()? else { return None };
        let mut said = |name: &str| fields.remove(name).and_then(|value| Some(value.as_str()?.to_owned()));
        let at_s = said("timestamp")?.parse::<f64>().ok()? - began_unix_s;
        let (level, message) = (said("level")?, said("message").unwrap_or_default());
        let part = said("target")?.rsplit("::").next().unwrap_or_default().to_owned();
        if let Some(Value::Object(own)) = fields.remove("span") {
            fields.extend(
                own.into_iter()
                    .filter(|(name, _)| name == "start")
                    .map(|(_, start)| ("life".to_owned(), start)),
            );
        }
        Some(Line { at_s, of: of.to_owned(), level, part, message, fields })
    }
}

/// Merges the logs of nodes, each by its name, with the lines of the rig, by time; lines of one process keep their order. Also how many
/// lines could not be read.
pub fn merged<'a>(
    began_unix_s: f64,
    logs: impl Iterator<Item = (String, &'a str)>,
    rig: Vec<Line>,
) -> (Vec<Line>, usize) {
    let (mut lines, mut unread) = (rig, 0);
    for (of, text) in logs {
        for line in text.lines() {
            match Line::read(&of, began_unix_s, line) {
                Some(line) => lines.push(line),
                None => unread += 1,
            }
        }
    }
    lines.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    (lines, unread)
}

/// Writes an account, a JSON object a line.
pub fn write(file: &Path, lines: &[Line]) -> io::Result<()> {
    let mut out = BufWriter::new(File::create(file)?);
    for line in lines {
        serde_json::to_writer(&mut out, line)?;
        out.write_all(b"\n")?;
    }
    out.flush()
}
