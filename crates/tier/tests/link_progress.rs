//! The conditions under which an outgoing link counts as stalled, and is closed and dialled anew.

use grebeusher_tier::links::link_progress::LinkProgress;
use grebeusher_time::{Duration, Instant};

const STALL_TIMEOUT: Duration = Duration::from_millis(1500);

fn at(ms: u64) -> Instant {
    Instant(0) + Duration::from_millis(ms)
}

#[test]
fn a_link_that_sends_bytes_is_not_stalled_however_many_are_queued() {
    // Given a link on which more bytes are queued in each turn than are sent, so that the queue grows,
    let mut link = LinkProgress::new(at(0));
    let (mut sent_bytes, mut queued_bytes) = (0, 0);
    for turn in 1..100 {
        link.record_queued(at(turn * 100), queued_bytes);
        queued_bytes += 20_000;
        sent_bytes += 5_000;
        queued_bytes -= 5_000;
        // when some bytes are sent in each turn,
        link.record_flushed(at(turn * 100), sent_bytes, queued_bytes);
        // then the link is never stalled.
        assert!(!link.is_stalled(at(turn * 100 + 99), queued_bytes, STALL_TIMEOUT));
    }
}

#[test]
fn a_link_that_sends_none_of_its_queued_bytes_is_stalled() {
    // Given a link that has sent some bytes,
    let mut link = LinkProgress::new(at(0));
    link.record_queued(at(100), 0);
    link.record_flushed(at(100), 1_000, 500);
    // when it sends no more, although more bytes are queued in later turns,
    for turn in 2..20 {
        link.record_queued(at(turn * 100), 500);
        link.record_flushed(at(turn * 100), 1_000, 700);
    }
    // then it is stalled after the time-out, and not before.
    assert!(!link.is_stalled(at(1_600), 700, STALL_TIMEOUT));
    assert!(link.is_stalled(at(1_601), 700, STALL_TIMEOUT));
}

#[test]
fn a_link_that_was_idle_is_not_stalled_when_bytes_are_queued() {
    let mut link = LinkProgress::new(at(0));
    link.record_flushed(at(100), 1_000, 0);
    link.record_queued(at(9_000), 0);
    assert!(!link.is_stalled(at(9_100), 300, STALL_TIMEOUT));
    assert!(!link.is_stalled(at(90_000), 0, STALL_TIMEOUT));
}
