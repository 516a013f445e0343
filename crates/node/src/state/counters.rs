//! Event counters since the start of the process. `GET /counters` shows them under their field names.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Display, Formatter};

macro_rules! counters {
    ($($name:ident: $kind:ty = $description:literal,)*) => {
        #[derive(Default)]
        pub struct Counters { $(pub $name: $kind,)* }

        impl Display for Counters {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                $(writeln!(f, "{} {}  # {}", stringify!($name), self.$name.total(), $description)?;)*
                Ok(())
            }
        }
    };
}

#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    pub fn total(&self) -> u64 {
        self.0.get()
    }
}

/// One counter for each request class, by the class's index in the settings.
#[derive(Default)]
pub struct ClassCounter(RefCell<Vec<u64>>);

impl ClassCounter {
    pub fn increment(&self, class: usize) {
        let mut counts = self.0.borrow_mut();
        let length = counts.len().max(class + 1);
        counts.resize(length, 0);
        counts[class] += 1;
    }

    pub fn of_class(&self, class: usize) -> u64 {
        self.0.borrow().get(class).copied().unwrap_or(0)
    }

    pub fn total(&self) -> u64 {
        self.0.borrow().iter().sum()
    }
}

impl Counters {
    /// Counts the final response to a request of this class by its HTTP status.
    pub fn responded(&self, class: usize, status: u16) {
        match status {
            200 => self.fulfilled.increment(class),
            503 => self.turned_back.increment(class),
            _ => self.forfeited.increment(class),
        }
    }
}

counters! {
    callers_accepted: Counter = "connections taken in from clients and executors",
    callers_shed: Counter = "idle connections closed for want of room",
    accepts_failed: Counter = "connections that could not be taken in",
    bad_requests: Counter = "requests answered 4xx and closed: malformed, too large or too slow",
    units: Counter = "work units taken in",
    fulfilled: ClassCounter = "answered with an executor's result",
    turned_back: ClassCounter = "answered 503: trying again is harmless",
    forfeited: ClassCounter = "answered 500: nothing is promised",
    withdrawn: Counter = "the client left before the answer",
    withdrawn_unread: Counter = "the client had left before its request was read",
    allocations: Counter = "sent to executors",
    relayed: Counter = "attempts written whole to executors",
    accepted: Counter = "allocations that an executor took",
    ended_error: Counter = "allocations that failed at the executor",
    ended_full: Counter = "allocations that came back unstarted",
    ended_refused: Counter = "allocations for which no connection came up",
    ended_reset: Counter = "allocations whose connection or process broke",
    ended_timed_out: Counter = "allocations that the node stopped waiting for",
    ended_recalled: Counter = "allocations given up",
    ended_cut_off: Counter = "allocations whose connection broke before all was sent, or for which none was left",
    ended_unusable: Counter = "allocations of what an executor could make nothing of",
    late_results: Counter = "results of ended allocations, handed on all the same",
    call_backs: Counter = "call-backs of executors",
    call_backs_unknown: Counter = "call-backs for what is not out, or is over",
    call_backs_passed_on: Counter = "call-backs that another process of this node took",
    call_backs_put_off: Counter = "call-backs that another process may own and said nothing of: they come again",
    call_backs_bad: Counter = "call-backs that could not be read",
    dials: Counter = "connections opened to executors",
    dials_failed: Counter = "connections to executors that did not come up",
    idle_retired: Counter = "idle connections to executors closed in time",
    give_ups_failed: Counter = "attempts to give up a job that did not get through",
    probes: Counter = "probes sent",
    probes_failed: Counter = "probes without an answer",
    watches: Counter = "watches opened at discovery",
    watches_broken: Counter = "watches that ended or fell silent",
    list_lines: Counter = "lines of the list that were read",
    list_bad: Counter = "lines or entries of the list that could not be read",
    faktory_errors: Counter = "commands of Faktory clients and workers that were answered with an error",
    datagrams_sent: Counter = "datagrams sent to other nodes",
    datagrams_failed: Counter = "datagrams that could not be sent",
    datagrams_came: Counter = "datagrams that came",
    datagrams_bad: Counter = "datagrams of another fleet or version, forged, or not understood",
    fellows_came: Counter = "times that another node was there",
    fellows_went: Counter = "times that another node was gone",
    leaders: Counter = "times that another keeper led, at a keeper",
    words_heard: Counter = "words of executors gone or back before the list had them",
    lessons: Counter = "times that another node told what it has learnt of work",
    postings_read: Counter = "times that the posting was read anew",
    postings_bad: Counter = "times that it could not be, or held a wrong setting",
}
