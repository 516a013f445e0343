//! What happened, as lines of a table that grows while the demonstration runs.

use std::io::{self, Write};
use std::time::Duration;

const STEP_WIDTH: usize = 46;

/// Writes a line for each step.
pub struct Table<'a> {
    out: &'a mut dyn Write,
}

impl<'a> Table<'a> {
    /// A table with its head.
    ///
    /// # Errors
    /// The head can't be written.
    pub fn new(out: &'a mut dyn Write) -> io::Result<Table<'a>> {
        writeln!(out, "{:>7}  {:<STEP_WIDTH$}  what came back", "at", "step")?;
        writeln!(out, "{}  {}  {}", "-".repeat(7), "-".repeat(STEP_WIDTH), "-".repeat(60))?;
        Ok(Table { out })
    }

    /// A step that has come to its end, at `at` since the start.
    ///
    /// # Errors
    /// The line can't be written.
    pub fn row(&mut self, at: Duration, step: &str, outcome: &str) -> io::Result<()> {
        writeln!(self.out, "{:>6.2}s  {step:<STEP_WIDTH$}  {outcome}", at.as_secs_f64())?;
        self.out.flush()
    }
}

/// A time in milliseconds, for people.
pub fn milliseconds(span: Duration) -> String {
    format!("{:.1} ms", span.as_secs_f64() * 1000.0)
}
