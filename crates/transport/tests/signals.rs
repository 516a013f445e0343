//! Words from the system, under the poller.

use grebeusher_transport::poller::{Interest, Poller, Registered};
use grebeusher_transport::signals::Signals;
use rstest::rstest;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::raise;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Signals are of the whole process: one test at a time.
static ALONE: Mutex<()> = Mutex::new(());

struct Caught {
    poller: Rc<Poller>,
    signals: Registered<Signals>,
}

fn caught() -> Caught {
    let poller = Rc::new(Poller::new().expect("a poller"));
    let signals = Signals::catch().expect("caught");
    let signals = poller.register(signals, 3, Interest::READABLE).expect("registered");
    Caught { poller, signals }
}

fn stirred(poller: &Poller) -> bool {
    let mut events = Vec::new();
    poller.wait(Some(Duration::ZERO), &mut events).expect("waited");
    !events.is_empty()
}

#[rstest]
#[case(SIGTERM, (true, false))]
#[case(SIGINT, (true, false))]
#[case(SIGHUP, (false, true))]
fn a_word_stirs_the_loop_and_is_told_once(#[case] signal: i32, #[case] told: (bool, bool)) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let Caught { poller, signals } = caught();
    assert!(!stirred(&poller));
    raise(signal).expect("raised");
    raise(signal).expect("raised again");
    assert!(stirred(&poller));
    signals.drain();
    assert!(!stirred(&poller), "all that stirred it is taken");
    assert_eq!((signals.told_to_stop(), signals.told_to_reload()), told);
    assert_eq!((signals.told_to_stop(), signals.told_to_reload()), (false, false));
}

#[test]
fn more_words_than_the_pair_of_sockets_holds_are_borne() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let Caught { poller, signals } = caught();
    (0..2000).for_each(|_| raise(SIGHUP).expect("raised"));
    signals.drain();
    assert!(!stirred(&poller));
    assert!(signals.told_to_reload() && !signals.told_to_reload());
}
