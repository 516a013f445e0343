//! The one buffer of a connection: first what waits to be written, behind it what has been read and not yet
//! understood. It grows as it needs, and what is done with is closed up in place.

use std::io::{self, ErrorKind, Read, Write};
use std::ops::Range;

/// Grows by at least this much for a read: most messages fit at once.
const STEP: usize = 2048;
/// An empty buffer keeps no more than this, so that one large message is not paid for ever after.
const KEPT: usize = 8192;

/// The bytes of one connection, out and in.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// How much of it waits to be written.
    out: usize,
}

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// Nothing more for now, or as much as is borne.
    Open,
    /// The other side has closed.
    Ended,
}

/// Reads and drops what there is, up to so much that others have their turn. Guards against tens of megabytes that
/// cost the time and memory of being kept for a moment.
pub fn drop_from(source: &mut impl Read) -> io::Result<Reading> {
    let mut scratch = [0; 32 * 1024];
    for _ in 0..8 {
        match source.read(&mut scratch) {
            Ok(0) => return Ok(Reading::Ended),
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(Reading::Open)
}

impl Buffer {
    /// Reads what there is until `most` bytes wait to be understood.
    pub fn read_from(&mut self, source: &mut impl Read, most: usize) -> io::Result<Reading> {
        while self.unread().len() < most {
            let filled = self.bytes.len();
            // Only as much as is needed: hundreds of half-sent messages must fit into memory at once.
            self.bytes.reserve_exact(STEP);
            self.bytes.resize(filled + STEP, 0);
            let read = source.read(&mut self.bytes[filled..]);
            self.bytes.truncate(filled + *read.as_ref().unwrap_or(&0));
            match read {
                Ok(0) => return Ok(Reading::Ended),
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(Reading::Open),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(Reading::Open)
    }

    /// What was read and is not done with.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.out..]
    }

    /// The first bytes of what was read are done with.
    pub fn done_with(&mut self, count: usize) {
        self.cut(0..count);
    }

    /// Takes a part out of what was read, and closes it up.
    pub fn cut(&mut self, part: Range<usize>) {
        self.bytes.drain(self.out + part.start..self.out + part.end);
        if self.bytes.is_empty() {
            self.bytes.shrink_to(KEPT);
        }
    }

    /// Appends a message to what waits to be written.
    pub fn put(&mut self, message: &[u8]) {
        self.bytes.splice(self.out..self.out, message.iter().copied());
        self.out += message.len();
    }

    /// Whether anything waits to be written.
    pub fn waits_to_write(&self) -> bool {
        self.out > 0
    }

    /// How much waits to be written.
    pub fn waiting(&self) -> usize {
        self.out
    }

    /// Writes as much as the other side takes now.
    pub fn write_to(&mut self, sink: &mut impl Write) -> io::Result<()> {
        while self.out > 0 {
            match sink.write(&self.bytes[..self.out]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.bytes.drain(..count);
                    self.out -= count;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
