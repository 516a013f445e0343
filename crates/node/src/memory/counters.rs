//! What the node has taken in, sent and answered since it started.

use std::cell::Cell;
use std::fmt::{self, Display, Formatter};

macro_rules! counters {
    ($($name:ident: $what:literal,)*) => {
        #[derive(Default)]
        pub struct Counters { $(pub $name: Count,)* }

        impl Display for Counters {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                $(writeln!(f, "{} {}  # {}", stringify!($name), self.$name.0.get(), $what)?;)*
                Ok(())
            }
        }
    };
}

/// One of them; it only grows.
#[derive(Default)]
pub struct Count(Cell<u64>);

impl Count {
    pub fn up(&self) {
        self.0.set(self.0.get() + 1);
    }
}

counters! {
    callers_accepted: "connections taken in from clients and executors",
    callers_shed: "idle connections closed for want of room",
    accepts_failed: "connections that could not be taken in",
    bad_requests: "requests answered 4xx and closed: malformed, too large or too slow",
    units: "work units taken in",
    fulfilled: "answered with an executor's result",
    turned_back: "answered 503: trying again is harmless",
    forfeited: "answered 500: nothing is promised",
    withdrawn: "the client left before the answer",
    allocations: "sent to executors",
    accepted: "allocations that an executor took",
    ended_error: "allocations that failed at the executor",
    ended_full: "allocations that came back unstarted",
    ended_refused: "allocations for which no connection came up",
    ended_reset: "allocations whose connection or process broke",
    ended_timed_out: "allocations that the node stopped waiting for",
    ended_recalled: "allocations given up",
    ended_cut_off: "allocations whose connection broke before all was sent, or for which none was left",
    ended_unusable: "allocations of what an executor could make nothing of",
    late_results: "results of ended allocations, handed on all the same",
    call_backs: "call-backs of executors",
    call_backs_unknown: "call-backs for what is not out, or is over",
    call_backs_passed_on: "call-backs that another process of this node took",
    call_backs_put_off: "call-backs that another process may own and said nothing of: they come again",
    call_backs_bad: "call-backs that could not be read",
    dials: "connections opened to executors",
    dials_failed: "connections to executors that did not come up",
    idle_retired: "idle connections to executors closed in time",
    give_ups_failed: "attempts to give up a job that did not get through",
    probes: "probes sent",
    probes_failed: "probes without an answer",
    watches: "watches opened at discovery",
    watches_broken: "watches that ended or fell silent",
    list_lines: "lines of the list that were read",
    list_bad: "lines or entries of the list that could not be read",
    postings_read: "times that the posting was read anew",
    postings_bad: "times that it could not be, or held a wrong setting",
}
