//! Descriptors that the node holds for nothing, so that some are left to give when its table is full.

use crate::memory::clock::Clock;
use crate::sides::Room;
use grebeusher_dispatch::time::{Duration, Instant};
use std::cell::RefCell;
use std::fs::File;

/// One for a client that comes, and one for the executor that its unit goes to: with these two a unit can be served,
/// and call-backs come on the second when the unit has been taken.
const HELD: usize = 2;
/// They are taken back so long after one was given: a shortage that is over by then has let go of others.
const AGAIN: Duration = Duration::from_millis(1000);

/// Guards against a node that has no connection to spare as its table fills, and from then on takes in nobody.
pub struct Spares {
    clock: Clock,
    held: RefCell<(Vec<File>, Instant)>,
}

impl Spares {
    pub fn held(clock: Clock) -> Spares {
        let spares = Spares { clock, held: RefCell::default() };
        spares.take_back();
        spares
    }

    /// Holds as many as before, as far as the table has room.
    pub fn take_back(&self) {
        let (held, given) = &mut *self.held.borrow_mut();
        if held.len() < HELD && self.clock.now().since(*given) >= AGAIN {
            // A table without room is what they are for.
            held.extend((held.len()..HELD).map_while(|_| File::open("/dev/null").ok()));
        }
    }
}

impl Room for Spares {
    fn makes_room(&self) -> bool {
        let (held, given) = &mut *self.held.borrow_mut();
        *given = self.clock.now();
        held.pop().is_some()
    }
}
