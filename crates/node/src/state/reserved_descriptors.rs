//! File descriptors held in reserve, to be released when the process has used up its limit.

use crate::interfaces::DescriptorHolder;
use crate::state::clock::Clock;
use grebeusher_dispatch::time::{Duration, Instant};
use std::cell::RefCell;
use std::fs::File;

/// One for an incoming client connection, and one for the connection to the executor that gets its request: with these
/// two a request can be served. Its callback can come in on the second, which is free again once the executor has
/// accepted the request.
const RESERVED_COUNT: usize = 2;
/// How long after a release descriptors are reserved again: a shortage that is over by then has freed other descriptors.
const REPLENISH_DELAY: Duration = Duration::from_millis(1000);

/// Guards against a node that has no connection to close when its descriptors run out, and accepts nobody from then on.
pub struct ReservedDescriptors {
    clock: Clock,
    /// The open files, and when one was released last.
    reserve: RefCell<(Vec<File>, Instant)>,
}

impl ReservedDescriptors {
    pub fn open(clock: Clock) -> ReservedDescriptors {
        let reserved = ReservedDescriptors { clock, reserve: RefCell::default() };
        reserved.replenish();
        reserved
    }

    /// Opens released descriptors again, as far as the limit allows, once the delay has passed.
    pub fn replenish(&self) {
        let (files, released_at) = &mut *self.reserve.borrow_mut();
        if files.len() < RESERVED_COUNT && self.clock.now().since(*released_at) >= REPLENISH_DELAY {
            // A failure means that the limit is still reached; the next call tries again.
            files.extend((files.len()..RESERVED_COUNT).map_while(|_| File::open("/dev/null").ok()));
        }
    }
}

impl DescriptorHolder for ReservedDescriptors {
    fn release_descriptor(&self) -> bool {
        let (files, released_at) = &mut *self.reserve.borrow_mut();
        *released_at = self.clock.now();
        files.pop().is_some()
    }
}
