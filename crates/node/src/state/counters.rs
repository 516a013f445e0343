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
    callers_accepted: Counter = "connections accepted from clients and executors",
    callers_shed: Counter = "idle inbound connections closed to free a place or a descriptor",
    accepts_failed: Counter = "connections that could not be accepted",
    bad_requests: Counter = "requests answered 4xx and closed: malformed, too large or too slow",
    units: Counter = "requests received from clients",
    fulfilled: ClassCounter = "requests answered with an executor's result",
    turned_back: ClassCounter = "requests answered 503: safe to retry",
    forfeited: ClassCounter = "requests answered 500: they may have run",
    withdrawn: Counter = "requests whose client disconnected before the response",
    withdrawn_unread: Counter = "requests whose client had disconnected before the request was read",
    allocations: Counter = "attempts sent to executors",
    relayed: Counter = "attempts written completely to executors",
    accepted: Counter = "attempts accepted by an executor",
    ended_error: Counter = "attempts that failed at the executor",
    ended_full: Counter = "attempts that the executor returned without starting them",
    ended_refused: Counter = "attempts for which no connection could be opened",
    ended_reset: Counter = "attempts whose connection or executor process broke",
    ended_timed_out: Counter = "attempts that timed out",
    ended_recalled: Counter = "attempts cancelled",
    ended_cut_off: Counter = "attempts whose connection broke before all was sent, or that got no connection at the limit",
    ended_unusable: Counter = "attempts that the executor rejected as invalid",
    late_results: Counter = "results of ended attempts that were still sent to the client",
    call_backs: Counter = "callbacks of executors",
    call_backs_unknown: Counter = "callbacks for an attempt that is unknown or has ended",
    call_backs_passed_on: Counter = "callbacks that another process of this node took",
    call_backs_put_off: Counter = "callbacks that another process may own but did not answer for; the executor sends them again",
    call_backs_bad: Counter = "callbacks that could not be parsed",
    dials: Counter = "connections opened to executors",
    dials_failed: Counter = "connections to executors that could not be established",
    idle_retired: Counter = "idle connections to executors closed before the executor's idle timeout",
    give_ups_failed: Counter = "cancellations that did not reach the executor",
    probes: Counter = "probes sent",
    probes_failed: Counter = "probes without a response",
    watches: Counter = "watches opened at discovery",
    watches_broken: Counter = "watches that ended or timed out",
    list_lines: Counter = "lines of the executor list received",
    list_bad: Counter = "lines or entries of the executor list that could not be parsed",
    faktory_errors: Counter = "commands of Faktory clients and workers that were answered with an error",
    datagrams_sent: Counter = "datagrams sent to other nodes",
    datagrams_failed: Counter = "datagrams that could not be sent",
    datagrams_came: Counter = "datagrams received",
    datagrams_bad: Counter = "datagrams of another fleet or version, not authentic, or malformed",
    fellows_came: Counter = "times that a peer came up",
    fellows_went: Counter = "times that a peer went down",
    leaders: Counter = "leader changes seen by this voter",
    words_heard: Counter = "executors learned to be down or restarted before the executor list said so",
    lessons: Counter = "learned estimates received from other nodes",
    postings_read: Counter = "configuration reloads",
    postings_bad: Counter = "configuration reloads that failed",
}
