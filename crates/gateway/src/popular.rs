//! The tier's common sense of popular prefixes, as this node's gateway holds it.

use crate::choose::Request;
use crate::gateway::Gateway;
use crate::ids::ServiceId;
use grebeusher_prefix_popularity::{Identity, Popular, Popularity, PrefixKey, Settings};
use grebeusher_sizing::rendezvous;
use grebeusher_time::Instant;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Prefixes that are known by more than their key, for operators.
const MAX_LABELS: usize = 512;

/// What this node saw of a prefix.
#[derive(Clone, Copy, Debug)]
struct Label {
    service: ServiceId,
    subject: u64,
    tokens: u32,
    size: f64,
}

/// What this node saw of prefixes lately.
#[derive(Debug, Default)]
pub(crate) struct Labels(FxHashMap<PrefixKey, Label>);

/// A popular prefix, as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct PopularView {
    /// Its key and demand.
    pub popular: Popular,
    /// Its service; nothing where this node has not seen it.
    pub service: Option<Arc<str>>,
    /// Its tokens; 0 where this node has not seen it.
    pub tokens: u32,
    /// The executors where it has its homes, first the first.
    pub homes: Vec<Arc<str>>,
}

impl Gateway {
    /// From now on this node shares a sense of popular prefixes with the other nodes, if the policy says so.
    pub fn share_prefixes(&mut self, now: Instant, own: Identity, settings: Settings) {
        if self.policy.shared_prefixes {
            self.popularity = Some(Popularity::new(settings, own, now));
        }
    }

    /// The common sense of popular prefixes, where the policy has one.
    pub fn popularity_mut(&mut self) -> Option<&mut Popularity> {
        self.popularity.as_mut()
    }

    /// As [`Gateway::popularity_mut`], to look at.
    pub fn popularity(&self) -> Option<&Popularity> {
        self.popularity.as_ref()
    }

    /// Counts a live request's shared parts. Items of batch jobs are left out, so that a night's jobs never take the place
    /// of what readers ask for; so are repeats.
    pub(crate) fn count_prefix(&mut self, now: Instant, request: &Request<'_>, size: f64, own_tokens: u32) {
        let Some(key) = self.prefix_key(request) else { return };
        let (Some(subject), Some(popularity)) = (request.subject(), self.popularity.as_mut()) else { return };
        if request.batch || !request.excluded.is_empty() {
            return;
        }
        popularity.saw(now, key, own_tokens);
        if self.labels.0.len() >= MAX_LABELS && !self.labels.0.contains_key(&key) {
            self.labels.0.retain(|key, _| popularity.tokens_per_s(*key) > 0.0);
            if self.labels.0.len() >= MAX_LABELS {
                self.labels.0.clear();
            }
        }
        let label = Label { service: request.service, subject, tokens: request.stake(), size };
        self.labels.0.insert(key, label);
    }

    /// The most popular prefixes of the tier and where they have their homes.
    pub fn popular(&self, most: usize) -> Vec<PopularView> {
        let popular = self.popularity.as_ref().map_or_else(Vec::new, |popularity| popularity.popular(most));
        popular.into_iter().map(|popular| self.view_popular(popular)).collect()
    }

    fn view_popular(&self, popular: Popular) -> PopularView {
        let nothing = PopularView { popular, service: None, tokens: 0, homes: Vec::new() };
        let Some(label) = self.labels.0.get(&popular.key) else { return nothing };
        let Some(service) = self.services.get(label.service.0 as usize) else { return nothing };
        let lane = service.cut_offs.lane_of(label.size);
        let one_lane = service.cut_offs.lanes() == 1;
        let members = service.members.iter().filter_map(|place| self.executors[*place as usize].1.as_ref());
        let mut order: Vec<_> = members.filter(|executor| one_lane || executor.lane == lane).collect();
        order.sort_unstable_by_key(|executor| std::cmp::Reverse(rendezvous(label.subject, executor.hash)));
        let homes = order.into_iter().take(popular.homes).map(|executor| executor.instance.clone()).collect();
        PopularView { popular, service: Some(service.name.clone()), tokens: label.tokens, homes }
    }
}
