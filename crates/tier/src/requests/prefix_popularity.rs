//! The common sense of popular prefixes between the nodes: sent down the relay tree, and kept as a hint on the disk.
//!
//! Whether anybody hears it, or it is on the disk, no rule rests on: it only says where shared parts of prompts are kept.

use crate::links::messages::Channel;
use crate::node::Node;
use grebeusher_prefix_popularity::{Contribution, Contributor, MergeOutcome, Settings};
use grebeusher_registry::NodeId;
use grebeusher_time::Duration;
use std::fmt::Write;
use tracing::{debug, warn};

/// The name of the hint on the disk. It is written beside the former one and takes its place whole, with a checksum.
const NAME: &str = "popularity";
/// It is written this often, as each time waits for the disk; a restart costs at most that of sense.
const WRITE_INTERVAL: Duration = Duration::from_millis(20_000);
/// How many prefixes operators are shown.
const SHOWN: usize = 24;

impl Node {
    /// Begins with what an earlier process of this node knew.
    pub fn begin_popularity(&mut self) {
        let member = self.registry.own_member();
        let own = Contributor { origin: member.id().0, incarnation: member.incarnation };
        self.routing.gateway.share_prefixes(self.now, own, Settings::default());
        let Some(popularity) = self.routing.gateway.popularity_mut() else { return };
        let Some(folder) = &self.settings.data_path else { return };
        let Some(bytes) = self.world.read_hint(folder, NAME) else { return };
        match popularity.restore(self.now, &bytes) {
            Ok(count) => debug!(count, "popular prefixes restored"),
            Err(error) => warn!(%error, "popular prefixes unreadable"),
        }
    }

    /// Tells all nodes what this one's requests ask for, when that is due.
    pub fn tell_popularity(&mut self) {
        let now = self.now;
        let Some(contribution) =
            self.routing.gateway.popularity_mut().and_then(|popularity| popularity.tick(now))
        else {
            return;
        };
        self.pass_popularity_on(&contribution);
    }

    /// Another node's register came, from it or on the way down its tree.
    pub fn receive_popularity(&mut self, payload: &[u8]) {
        let Ok(contribution) = Contribution::decode(payload) else {
            self.counters.malformed += 1;
            return;
        };
        // Registers of strangers would take room and be passed on for nothing.
        if self.registry.relay_children_of(NodeId(contribution.origin)).is_none() {
            return;
        }
        let now = self.now;
        let merged = self
            .routing
            .gateway
            .popularity_mut()
            .map(|popularity| popularity.merge(now, contribution.clone()));
        if merged == Some(MergeOutcome::Merged) {
            self.pass_popularity_on(&contribution);
        }
    }

    fn pass_popularity_on(&mut self, contribution: &Contribution) {
        let bytes = contribution.encode();
        for child in self.registry.relay_children_of(NodeId(contribution.origin)).unwrap_or_default() {
            self.send_frame(child, Channel::Popularity, &bytes);
        }
    }

    /// Writes down what is popular, now and then.
    pub fn remember_popularity(&mut self) {
        let Some(folder) = self.settings.data_path.clone() else { return };
        let Some(popularity) = self.routing.gateway.popularity() else { return };
        let due = self.now >= self.popularity_written + WRITE_INTERVAL;
        if !due || self.stopping() || popularity.popular(1).is_empty() {
            return;
        }
        let bytes = popularity.snapshot();
        self.popularity_written = self.now;
        if let Err(error) = self.world.keep_hint(&folder, NAME, &bytes) {
            warn!(%error, "popular prefixes not written");
        }
    }

    /// Why requests went where they did, and what is popular where, a line each.
    pub fn write_choices(&self, text: &mut String) -> std::fmt::Result {
        let chosen = self.routing.gateway.decisions();
        writeln!(
            text,
            "chosen by pick {} home {} next home {} kept {} out of lane {} queued {} in doubt {} refused {} nobody {}",
            chosen.weighted_pick,
            chosen.prefix_home,
            chosen.next_prefix_home,
            chosen.cached_prefix,
            chosen.out_of_lane,
            chosen.queued,
            chosen.unhealthy,
            chosen.rejected,
            chosen.no_executor,
        )?;
        let Some(popularity) = self.routing.gateway.popularity() else {
            return writeln!(text, "popular prefixes: each node judges alone");
        };
        let sizes = popularity.sizes();
        let (counted, heard) = (sizes.tracked_prefixes, sizes.contributors);
        let counters = popularity.counters();
        writeln!(
            text,
            "popular prefixes: counted {counted} nodes heard {heard} told {} merged {} known {} homes added {} removed {}",
            counters.sent, counters.merged, counters.ignored, counters.homes_added, counters.homes_removed,
        )?;
        for view in self.routing.gateway.popular(SHOWN) {
            let (key, rate) = (view.popular.key.0, view.popular.tokens_per_s);
            let service = view.service.as_deref().unwrap_or("-");
            write!(
                text,
                "popular {key:08x} {service} prefix {} tokens, asked {rate:.0} tokens/s",
                view.tokens
            )?;
            writeln!(text, ", homes {} {}", view.popular.homes, view.homes.join(" "))?;
        }
        Ok(())
    }
}
