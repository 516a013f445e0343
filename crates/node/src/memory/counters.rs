//! What the node has taken in, sent and answered since it started.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Display, Formatter};

macro_rules! counters {
    ($($name:ident: $kind:ty = $what:literal,)*) => {
        #[derive(Default)]
        pub struct Counters { $(pub $name: $kind,)* }

        impl Display for Counters {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                $(writeln!(f, "{} {}  # {}", stringify!($name), self.$name.all(), $what)?;)*
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

    pub fn all(&self) -> u64 {
        self.0.get()
    }
}

/// One that is kept for each tariff, by its place in the settings.
#[derive(Default)]
pub struct Tally(RefCell<Vec<u64>>);

impl Tally {
    pub fn up(&self, tariff: usize) {
        let mut counts = self.0.borrow_mut();
        let long_enough = counts.len().max(tariff + 1);
        counts.resize(long_enough, 0);
        counts[tariff] += 1;
    }

    pub fn of(&self, tariff: usize) -> u64 {
        self.0.borrow().get(tariff).copied().unwrap_or(0)
    }

    pub fn all(&self) -> u64 {
        self.0.borrow().iter().sum()
    }
}

impl Counters {
    /// The final answer to a unit of a tariff, by its status.
    pub fn answered(&self, tariff: usize, status: u16) {
        match status {
            200 => self.fulfilled.up(tariff),
            503 => self.turned_back.up(tariff),
            _ => self.forfeited.up(tariff),
        }
    }
}

counters! {
    callers_accepted: Count = "connections taken in from clients and executors",
    callers_shed: Count = "idle connections closed for want of room",
    accepts_failed: Count = "connections that could not be taken in",
    bad_requests: Count = "requests answered 4xx and closed: malformed, too large or too slow",
    units: Count = "work units taken in",
    fulfilled: Tally = "answered with an executor's result",
    turned_back: Tally = "answered 503: trying again is harmless",
    forfeited: Tally = "answered 500: nothing is promised",
    withdrawn: Count = "the client left before the answer",
    withdrawn_unread: Count = "the client had left before its request was read",
    allocations: Count = "sent to executors",
    relayed: Count = "attempts written whole to executors",
    accepted: Count = "allocations that an executor took",
    ended_error: Count = "allocations that failed at the executor",
    ended_full: Count = "allocations that came back unstarted",
    ended_refused: Count = "allocations for which no connection came up",
    ended_reset: Count = "allocations whose connection or process broke",
    ended_timed_out: Count = "allocations that the node stopped waiting for",
    ended_recalled: Count = "allocations given up",
    ended_cut_off: Count = "allocations whose connection broke before all was sent, or for which none was left",
    ended_unusable: Count = "allocations of what an executor could make nothing of",
    late_results: Count = "results of ended allocations, handed on all the same",
    call_backs: Count = "call-backs of executors",
    call_backs_unknown: Count = "call-backs for what is not out, or is over",
    call_backs_passed_on: Count = "call-backs that another process of this node took",
    call_backs_put_off: Count = "call-backs that another process may own and said nothing of: they come again",
    call_backs_bad: Count = "call-backs that could not be read",
    dials: Count = "connections opened to executors",
    dials_failed: Count = "connections to executors that did not come up",
    idle_retired: Count = "idle connections to executors closed in time",
    give_ups_failed: Count = "attempts to give up a job that did not get through",
    probes: Count = "probes sent",
    probes_failed: Count = "probes without an answer",
    watches: Count = "watches opened at discovery",
    watches_broken: Count = "watches that ended or fell silent",
    list_lines: Count = "lines of the list that were read",
    list_bad: Count = "lines or entries of the list that could not be read",
    faktory_errors: Count = "commands of Faktory clients and workers that were answered with an error",
    datagrams_sent: Count = "datagrams sent to other nodes",
    datagrams_failed: Count = "datagrams that could not be sent",
    datagrams_came: Count = "datagrams that came",
    datagrams_bad: Count = "datagrams of another fleet or version, forged, or not understood",
    fellows_came: Count = "times that another node was there",
    fellows_went: Count = "times that another node was gone",
    leaders: Count = "times that another keeper led, at a keeper",
    words_heard: Count = "words of executors gone or back before the list had them",
    lessons: Count = "times that another node told what it has learnt of work",
    postings_read: Count = "times that the posting was read anew",
    postings_bad: Count = "times that it could not be, or held a wrong setting",
}
