//! When an outgoing link counts as stuck and is begun anew.

use grebeusher_tier::links::link_progress::LinkProgress;
use grebeusher_time::{Duration, Instant};

const STALL_TIMEOUT: Duration = Duration::from_millis(1500);

fn at(ms: u64) -> Instant {
    Instant(0) + Duration::from_millis(ms)
}

#[test]
fn a_link_on_which_bytes_move_is_not_stuck_however_much_is_put_on_it() {
    // Given a link on which more is put in each turn than goes out, so that ever more waits,
    let mut link = LinkProgress::new(at(0));
    let (mut sent, mut waiting) = (0, 0);
    for turn in 1..100 {
        link.put(at(turn * 100), waiting);
        waiting += 20_000;
        sent += 5_000;
        waiting -= 5_000;
        // when it moves all the same,
        link.flushed(at(turn * 100), sent, waiting);
        // then it stays.
        assert!(!link.is_stuck(at(turn * 100 + 99), waiting, STALL_TIMEOUT));
    }
}

#[test]
fn a_link_whose_bytes_are_not_taken_is_stuck() {
    // Given a link that carried something,
    let mut link = LinkProgress::new(at(0));
    link.put(at(100), 0);
    link.flushed(at(100), 1_000, 500);
    // when nothing more is taken, though more is put on it and turns go by,
    for turn in 2..20 {
        link.put(at(turn * 100), 500);
        link.flushed(at(turn * 100), 1_000, 700);
    }
    // then it is stuck after a while, and not before.
    assert!(!link.is_stuck(at(1_600), 700, STALL_TIMEOUT));
    assert!(link.is_stuck(at(1_601), 700, STALL_TIMEOUT));
}

#[test]
fn a_link_that_was_idle_is_not_stuck_when_something_is_put_on_it() {
    let mut link = LinkProgress::new(at(0));
    link.flushed(at(100), 1_000, 0);
    link.put(at(9_000), 0);
    assert!(!link.is_stuck(at(9_100), 300, STALL_TIMEOUT));
    assert!(!link.is_stuck(at(90_000), 0, STALL_TIMEOUT));
}
