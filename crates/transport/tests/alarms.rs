//! What falls due, and in which order.

use grebeusher_time::Instant;
use grebeusher_transport::alarms::Alarms;

fn all_due(alarms: &mut Alarms<char>, now: Instant) -> String {
    std::iter::from_fn(|| alarms.due(now)).collect()
}

#[test]
fn they_fall_due_in_order_of_time_and_then_of_setting() {
    let mut alarms = Alarms::default();
    for (at, what) in [(30, 'd'), (10, 'a'), (20, 'b'), (20, 'c')] {
        alarms.set(Instant(at), what);
    }
    assert_eq!(alarms.next_at(), Some(Instant(10)));
    assert_eq!(all_due(&mut alarms, Instant(9)), "");
    assert_eq!(all_due(&mut alarms, Instant(20)), "abc");
    assert_eq!(all_due(&mut alarms, Instant(1000)), "d");
    assert_eq!((alarms.next_at(), all_due(&mut alarms, Instant(1000))), (None, String::new()));
}

#[test]
fn one_that_was_taken_back_does_not_fall_due() {
    let mut alarms = Alarms::default();
    let (first, second) = (alarms.set(Instant(10), 'a'), alarms.set(Instant(10), 'b'));
    alarms.unset(first);
    assert!(alarms.any(|&what| what == 'b') && !alarms.any(|&what| what == 'a'));
    assert_eq!(all_due(&mut alarms, Instant(10)), "b");
    alarms.unset(second);
    alarms.set(Instant(10), 'c');
    alarms.unset(second);
    assert_eq!(all_due(&mut alarms, Instant(10)), "c");
}
