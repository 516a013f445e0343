//! Shares the counts of popular prompt prefixes with the other nodes, and keeps them on the disk across restarts.
//!
//! Correctness never depends on these counts, neither on their delivery nor on the file: they only tell where shared parts of
//! prompts are cached. The gateway owns the counts; `PrefixPopularity` sends and saves them.

use crate::requests::routing::Routing;
use crate::runtime::io::World;
use grebeusher_prefix_popularity::{Contribution, Contributor, EstimatorSettings, MergeOutcome};
use grebeusher_registry::{NodeId, Registry};
use grebeusher_time::{Duration, Instant};
use std::fmt::Write;
use std::net::SocketAddrV4;
use std::path::Path;
use tracing::{debug, warn};

/// The name of the file with the counts. It has a checksum and is replaced atomically.
const HINT_NAME: &str = "popularity";
/// How often the counts are saved. Each save blocks on the disk; a restart loses at most what was counted since
/// the last save.
const SAVE_INTERVAL: Duration = Duration::from_millis(20_000);
/// The number of prefixes on the status page.
const MAX_SHOWN_PREFIXES: usize = 24;

/// The counts of one node, to be sent to other nodes.
pub(crate) struct ContributionMessage {
    /// The addresses of the receivers.
    pub to: Vec<SocketAddrV4>,
    /// The encoded counts.
    pub payload: Vec<u8>,
}

impl ContributionMessage {
    /// Addresses the counts to this node's children in the relay tree of the node that made them.
    fn to_relay_children(contribution: &Contribution, registry: &Registry) -> ContributionMessage {
        let to = registry.relay_children_of(NodeId(contribution.origin)).unwrap_or_default();
        ContributionMessage { to, payload: contribution.encode() }
    }
}

/// The counts received from another node could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MalformedContribution;

/// Sends, receives and saves the counts of popular prefixes.
#[derive(Debug, Default)]
pub(crate) struct PrefixPopularity {
    /// When the counts were last written to the disk.
    last_saved: Instant,
}

impl PrefixPopularity {
    /// Turns on the sharing of counts and restores those that an earlier process of this node saved.
    pub fn start(
        now: Instant,
        routing: &mut Routing,
        registry: &Registry,
        world: &dyn World,
        folder: Option<&Path>,
    ) -> PrefixPopularity {
        let started = PrefixPopularity::default();
        let member = registry.own_member();
        let own = Contributor { origin: member.id().0, incarnation: member.incarnation };
        routing.gateway.share_prefix_popularity(now, own, EstimatorSettings::default());
        let Some(popularity) = routing.gateway.popularity_mut() else { return started };
        let Some(bytes) = folder.and_then(|folder| world.read_hint(folder, HINT_NAME)) else {
            return started;
        };
        match popularity.restore(now, &bytes) {
            Ok(count) => debug!(count, "popular prefixes restored"),
            Err(error) => warn!(%error, "popular prefixes unreadable"),
        }
        started
    }

    /// This node's own counts, when it is time to send them.
    pub fn due_message(
        &self,
        now: Instant,
        routing: &mut Routing,
        registry: &Registry,
    ) -> Option<ContributionMessage> {
        let contribution = routing.gateway.popularity_mut()?.tick(now)?;
        Some(ContributionMessage::to_relay_children(&contribution, registry))
    }

    /// Merges the counts of another node, which came from that node or from its relay tree. Returns what is to be relayed
    /// further.
    ///
    /// # Errors
    /// The bytes could not be decoded.
    pub fn receive(
        &self,
        now: Instant,
        routing: &mut Routing,
        registry: &Registry,
        payload: &[u8],
    ) -> Result<Option<ContributionMessage>, MalformedContribution> {
        let contribution = Contribution::decode(payload).map_err(|_| MalformedContribution)?;
        // Counts of nodes that are not members would take memory and be relayed for nothing.
        if registry.relay_children_of(NodeId(contribution.origin)).is_none() {
            return Ok(None);
        }
        let popularity = routing.gateway.popularity_mut();
        let merged = popularity.map(|popularity| popularity.merge(now, contribution.clone()));
        let is_new = merged == Some(MergeOutcome::Merged);
        Ok(is_new.then(|| ContributionMessage::to_relay_children(&contribution, registry)))
    }

    /// Saves the counts to the disk if the last save was long enough ago.
    pub fn save(&mut self, now: Instant, routing: &Routing, world: &dyn World, folder: &Path) {
        let Some(popularity) = routing.gateway.popularity() else { return };
        if now < self.last_saved + SAVE_INTERVAL || popularity.most_popular(1).is_empty() {
            return;
        }
        self.last_saved = now;
        if let Err(error) = world.write_hint(folder, HINT_NAME, &popularity.snapshot()) {
            warn!(%error, "popular prefixes not written");
        }
    }
}

/// Writes the status lines on routing: how often each rule chose the executor, and each popular prefix with its homes, the
/// executors that requests with this prefix go to.
pub(crate) fn write_routing_status(routing: &Routing, text: &mut String) -> std::fmt::Result {
    let decisions = routing.gateway.decision_counters();
    writeln!(
        text,
        "chosen by pick {} home {} next home {} kept {} out of lane {} queued {} in doubt {} refused {} nobody {}",
        decisions.weighted_pick,
        decisions.prefix_home,
        decisions.next_prefix_home,
        decisions.cached_prefix,
        decisions.out_of_lane,
        decisions.queued,
        decisions.unhealthy,
        decisions.rejected,
        decisions.no_executor,
    )?;
    let Some(popularity) = routing.gateway.popularity() else {
        return writeln!(text, "popular prefixes: each node judges alone");
    };
    let sizes = popularity.table_sizes();
    let (tracked_prefixes, contributors) = (sizes.tracked_prefixes, sizes.contributors);
    let counters = popularity.counters();
    writeln!(
        text,
        "popular prefixes: counted {tracked_prefixes} nodes heard {contributors} told {} merged {} known {} homes added {} removed {}",
        counters.sent, counters.merged, counters.ignored, counters.homes_added, counters.homes_removed,
    )?;
    for view in routing.gateway.popular_prefixes(MAX_SHOWN_PREFIXES) {
        let (key, rate) = (view.popular.key.0, view.popular.tokens_per_s);
        let service = view.service.as_deref().unwrap_or("-");
        write!(text, "popular {key:08x} {service} prefix {} tokens, asked {rate:.0} tokens/s", view.tokens)?;
        writeln!(text, ", homes {} {}", view.popular.home_count, view.homes.join(" "))?;
    }
    Ok(())
}
