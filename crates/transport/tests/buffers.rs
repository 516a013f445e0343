//! The one buffer of a connection, over sides that give and take little at a time.

use grebeusher_transport::buffer::{Buffer, Reading, drop_from};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::io::{self, ErrorKind, Read, Write};

/// Gives its bytes in pieces, each behind an interruption, then would block or has ended.
struct Side {
    bytes: Vec<u8>,
    piece: usize,
    ends: bool,
    interrupted: bool,
}

impl Side {
    fn new(bytes: &[u8], piece: usize, ends: bool) -> Side {
        Side { bytes: bytes.to_vec(), piece, ends, interrupted: false }
    }
}

impl Read for Side {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.interrupted = !self.interrupted;
        if self.interrupted {
            return Err(ErrorKind::Interrupted.into());
        }
        if self.bytes.is_empty() && !self.ends {
            return Err(ErrorKind::WouldBlock.into());
        }
        let count = self.piece.min(into.len()).min(self.bytes.len());
        into[..count].copy_from_slice(&self.bytes[..count]);
        self.bytes.drain(..count);
        Ok(count)
    }
}

/// Takes so many bytes, in pieces.
struct Sink {
    taken: Vec<u8>,
    room: usize,
    piece: usize,
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = self.piece.min(self.room).min(bytes.len());
        if count == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        self.taken.extend_from_slice(&bytes[..count]);
        self.room -= count;
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn reading_stops_at_what_is_borne_and_tells_the_end() {
    let mut buffer = Buffer::default();
    let mut side = Side::new(&[1; 10_000], 700, true);
    assert_eq!(buffer.read_from(&mut side, 3000).expect("read"), Reading::Open);
    assert!((3000..3000 + 2048).contains(&buffer.unread().len()));
    assert_eq!(buffer.read_from(&mut side, usize::MAX).expect("read"), Reading::Ended);
    assert_eq!(buffer.unread().len(), 10_000);
}

#[test]
fn a_side_that_takes_nothing_for_ever_is_an_error() {
    struct Closed;
    impl Write for Closed {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            Ok(0)
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut buffer = Buffer::default();
    buffer.put(b"a");
    let written = buffer.write_to(&mut Closed);
    assert_eq!(written.map_err(|e| e.kind()), Err(ErrorKind::WriteZero));
}

#[test]
fn what_is_dropped_is_bounded_for_one_turn() {
    let mut side = Side::new(&vec![0; 1 << 20], usize::MAX, false);
    assert_eq!(drop_from(&mut side).expect("read"), Reading::Open);
    assert!(!side.bytes.is_empty(), "others have their turn");
    let mut side = Side::new(b"abc", 2, true);
    assert_eq!(drop_from(&mut side).expect("read"), Reading::Ended);
}

#[derive(Clone, Debug)]
enum Step {
    Read(Vec<u8>),
    Put(Vec<u8>),
    Done(usize),
    Cut(usize, usize),
    Write(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let bytes = || prop::collection::vec(any::<u8>(), 0..400);
    let step = prop_oneof![
        bytes().prop_map(Step::Read),
        bytes().prop_map(Step::Put),
        (0_usize..300).prop_map(Step::Done),
        (0_usize..300, 0_usize..300).prop_map(|(start, length)| Step::Cut(start, length)),
        (0_usize..500).prop_map(Step::Write),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x6275_6666),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn it_is_two_queues_in_one(steps in steps()) {
        let (mut buffer, mut unread, mut waiting) = (Buffer::default(), Vec::new(), Vec::new());
        for step in steps {
            match step {
                Step::Read(bytes) => {
                    let read = buffer.read_from(&mut Side::new(&bytes, 90, false), usize::MAX);
                    prop_assert_eq!(read.expect("read"), Reading::Open);
                    unread.extend(bytes);
                }
                Step::Put(bytes) => {
                    buffer.put(&bytes);
                    waiting.extend(bytes);
                }
                Step::Done(count) => {
                    let count = count.min(unread.len());
                    buffer.done_with(count);
                    unread.drain(..count);
                }
                Step::Cut(start, length) => {
                    let start = start.min(unread.len());
                    let end = unread.len().min(start + length);
                    buffer.cut(start..end);
                    unread.drain(start..end);
                }
                Step::Write(room) => {
                    let mut sink = Sink { taken: Vec::new(), room, piece: 70 };
                    buffer.write_to(&mut sink).expect("written");
                    let count = room.min(waiting.len());
                    prop_assert_eq!(sink.taken, waiting.drain(..count).collect::<Vec<_>>());
                }
            }
            prop_assert_eq!(buffer.unread(), &unread[..]);
            prop_assert_eq!((buffer.waiting(), buffer.waits_to_write()), (waiting.len(), !waiting.is_empty()));
        }
    }
}
