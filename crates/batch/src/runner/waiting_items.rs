//! The items of a job that wait for capacity, by the routes that their requests match.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::routes::RouteIndex;
use super::run::Capacity;
use crate::names::ItemIndex;

/// Orders items that may run: the largest first, as they take longest and have the most value.
type ReadyKey = (Reverse<u64>, ItemIndex);

/// An item that waits. One that matches no route may not run, and is in no queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WaitingItem {
    pub route: RouteIndex,
    pub tokens: u64,
    pub index: ItemIndex,
}

impl WaitingItem {
    fn key(&self) -> ReadyKey {
        (Reverse(self.tokens), self.index)
    }
}

/// The items of one route.
#[derive(Debug, Default)]
struct RouteQueue {
    /// Those that may run now.
    ready: BTreeSet<ReadyKey>,
    /// The tokens of those that may run now or after a backoff.
    idle_tokens: u64,
}

impl RouteQueue {
    fn largest_within(&self, max_tokens: u64) -> Option<ReadyKey> {
        self.ready.range((Reverse(max_tokens), ItemIndex(0))..).next().copied()
    }
}

/// All of them.
#[derive(Debug, Default)]
pub(super) struct WaitingItems {
    queues: BTreeMap<RouteIndex, RouteQueue>,
}

impl WaitingItems {
    /// The item waits, and may run once it is [`ready`](WaitingItems::ready).
    pub fn add(&mut self, item: WaitingItem) {
        let queue = self.queues.entry(item.route).or_default();
        queue.idle_tokens = queue.idle_tokens.saturating_add(item.tokens);
    }

    /// An item that waits may run now.
    pub fn ready(&mut self, item: WaitingItem) {
        self.queues.entry(item.route).or_default().ready.insert(item.key());
    }

    /// The item waits no longer.
    pub fn remove(&mut self, item: WaitingItem) {
        if let Some(queue) = self.queues.get_mut(&item.route) {
            queue.ready.remove(&item.key());
            queue.idle_tokens = queue.idle_tokens.saturating_sub(item.tokens);
        }
    }

    /// Nothing waits any longer.
    pub fn clear(&mut self) {
        self.queues.clear();
    }

    /// The largest item that may run now and fits the capacity of its route.
    pub fn largest_within(&self, capacity: &impl Capacity) -> Option<WaitingItem> {
        let fitting = self.queues.iter().filter(|(_, queue)| !queue.ready.is_empty());
        let largest = fitting.filter_map(|(route, queue)| {
            let key = queue.largest_within(capacity.tokens_for(*route)?)?;
            Some((key, *route))
        });
        largest.min().map(|((Reverse(tokens), index), route)| WaitingItem { route, tokens, index })
    }

    /// The tokens of the largest item of a route that may run now.
    pub fn largest_ready(&self, route: RouteIndex) -> Option<u64> {
        let (Reverse(tokens), _) = self.queues.get(&route)?.ready.first()?;
        Some(*tokens)
    }

    pub fn ready_count(&self) -> usize {
        self.queues.values().map(|queue| queue.ready.len()).sum()
    }

    pub fn idle_tokens(&self, route: RouteIndex) -> u64 {
        self.queues.get(&route).map_or(0, |queue| queue.idle_tokens)
    }
}
