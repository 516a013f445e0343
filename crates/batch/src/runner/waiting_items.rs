//! The items of a job that wait for capacity, grouped by the routes that their requests match.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::routes::RouteIndex;
use super::run::Capacity;
use crate::names::ItemIndex;

/// The sort key of ready items. The largest item comes first, because it takes longest and has the most value.
type ReadyKey = (Reverse<u64>, ItemIndex);

/// A waiting item. Items that match no route must not run, and are in no queue.
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

/// The waiting items of one route.
#[derive(Debug, Default)]
struct RouteQueue {
    /// The items that may run now.
    ready: BTreeSet<ReadyKey>,
    /// The sum of the tokens of the items that may run now or after a backoff.
    queued_tokens: u64,
}

impl RouteQueue {
    fn largest_within(&self, max_tokens: u64) -> Option<ReadyKey> {
        self.ready.range((Reverse(max_tokens), ItemIndex(0))..).next().copied()
    }
}

/// The waiting items of a job.
#[derive(Debug, Default)]
pub(super) struct WaitingItems {
    queues: BTreeMap<RouteIndex, RouteQueue>,
}

impl WaitingItems {
    /// Adds an item, which may run once it is marked with [`WaitingItems::mark_ready`].
    pub fn add(&mut self, item: WaitingItem) {
        let queue = self.queues.entry(item.route).or_default();
        queue.queued_tokens = queue.queued_tokens.saturating_add(item.tokens);
    }

    /// Marks a waiting item as ready to run.
    pub fn mark_ready(&mut self, item: WaitingItem) {
        self.queues.entry(item.route).or_default().ready.insert(item.key());
    }

    /// Removes an item that no longer waits.
    pub fn remove(&mut self, item: WaitingItem) {
        if let Some(queue) = self.queues.get_mut(&item.route) {
            queue.ready.remove(&item.key());
            queue.queued_tokens = queue.queued_tokens.saturating_sub(item.tokens);
        }
    }

    /// Removes all items.
    pub fn clear(&mut self) {
        self.queues.clear();
    }

    /// The largest ready item that fits the capacity of its route.
    pub fn largest_within(&self, capacity: &impl Capacity) -> Option<WaitingItem> {
        let fitting = self.queues.iter().filter(|(_, queue)| !queue.ready.is_empty());
        let largest = fitting.filter_map(|(route, queue)| {
            let key = queue.largest_within(capacity.tokens_for(*route)?)?;
            Some((key, *route))
        });
        largest.min().map(|((Reverse(tokens), index), route)| WaitingItem { route, tokens, index })
    }

    /// The tokens of the largest ready item of a route.
    pub fn largest_ready_tokens(&self, route: RouteIndex) -> Option<u64> {
        let (Reverse(tokens), _) = self.queues.get(&route)?.ready.first()?;
        Some(*tokens)
    }

    pub fn ready_count(&self) -> usize {
        self.queues.values().map(|queue| queue.ready.len()).sum()
    }

    pub fn queued_tokens(&self, route: RouteIndex) -> u64 {
        self.queues.get(&route).map_or(0, |queue| queue.queued_tokens)
    }
}
