//! The popular prefixes that the nodes know together: sent down the relay tree, and kept as a hint on the disk.
//!
//! No rule rests on whether anybody receives them, or whether they are on the disk: they only say where shared parts of prompts
//! are cached. The counts are the gateway's; `PrefixPopularity` owns when they were last written, and only it writes them.

use crate::requests::routing::Routing;
use crate::runtime::io::World;
use grebeusher_prefix_popularity::{Contribution, Contributor, EstimatorSettings, MergeOutcome};
use grebeusher_registry::{NodeId, Registry};
use grebeusher_time::{Duration, Instant};
use std::fmt::Write;
use std::net::SocketAddrV4;
use std::path::Path;
use tracing::{debug, warn};

/// The name of the hint on the disk. It is written beside the former one and takes its place whole, with a checksum.
const NAME: &str = "popularity";
/// It is written this often, as each time waits for the disk; a restart forgets at most what was counted in that time.
const WRITE_INTERVAL: Duration = Duration::from_millis(20_000);
/// How many prefixes operators are shown.
const SHOWN: usize = 24;

/// A register of counts on its way to other nodes.
pub(crate) struct Announcement {
    /// Who is to get it.
    pub to: Vec<SocketAddrV4>,
    /// Its bytes.
    pub payload: Vec<u8>,
}

impl Announcement {
    /// For the children of its origin in the relay tree.
    fn of(contribution: &Contribution, registry: &Registry) -> Announcement {
        let to = registry.relay_children_of(NodeId(contribution.origin)).unwrap_or_default();
        Announcement { to, payload: contribution.encode() }
    }
}

/// Why a register of another node was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MalformedRegister;

/// What a node does for the popular prefixes that all nodes know together.
#[derive(Debug, Default)]
pub(crate) struct PrefixPopularity {
    written: Instant,
}

impl PrefixPopularity {
    /// Begins with what an earlier process of this node knew.
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
        let Some(bytes) = folder.and_then(|folder| world.read_hint(folder, NAME)) else { return started };
        match popularity.restore(now, &bytes) {
            Ok(count) => debug!(count, "popular prefixes restored"),
            Err(error) => warn!(%error, "popular prefixes unreadable"),
        }
        started
    }

    /// What this node announces of its requests to all others, when that is due.
    pub fn due_announcement(
        &self,
        now: Instant,
        routing: &mut Routing,
        registry: &Registry,
    ) -> Option<Announcement> {
        let contribution = routing.gateway.popularity_mut()?.tick(now)?;
        Some(Announcement::of(&contribution, registry))
    }

    /// Another node's register came, from it or on the way down its tree. Returns what is to be passed on.
    ///
    /// # Errors
    /// The bytes are no register.
    pub fn receive(
        &self,
        now: Instant,
        routing: &mut Routing,
        registry: &Registry,
        payload: &[u8],
    ) -> Result<Option<Announcement>, MalformedRegister> {
        let contribution = Contribution::decode(payload).map_err(|_| MalformedRegister)?;
        // Registers of strangers would take memory and be passed on for nothing.
        if registry.relay_children_of(NodeId(contribution.origin)).is_none() {
            return Ok(None);
        }
        let popularity = routing.gateway.popularity_mut();
        let merged = popularity.map(|popularity| popularity.merge(now, contribution.clone()));
        let is_new = merged == Some(MergeOutcome::Merged);
        Ok(is_new.then(|| Announcement::of(&contribution, registry)))
    }

    /// Writes what is popular to the disk, now and then.
    pub fn save(&mut self, now: Instant, routing: &Routing, world: &dyn World, folder: &Path) {
        let Some(popularity) = routing.gateway.popularity() else { return };
        if now < self.written + WRITE_INTERVAL || popularity.most_popular(1).is_empty() {
            return;
        }
        self.written = now;
        if let Err(error) = world.keep_hint(folder, NAME, &popularity.snapshot()) {
            warn!(%error, "popular prefixes not written");
        }
    }
}

/// Why requests went where they did, and what is popular where, a line each.
pub(crate) fn write_choices(routing: &Routing, text: &mut String) -> std::fmt::Result {
    let chosen = routing.gateway.decision_counters();
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
    let Some(popularity) = routing.gateway.popularity() else {
        return writeln!(text, "popular prefixes: each node judges alone");
    };
    let sizes = popularity.table_sizes();
    let (counted, heard) = (sizes.tracked_prefixes, sizes.contributors);
    let counters = popularity.counters();
    writeln!(
        text,
        "popular prefixes: counted {counted} nodes heard {heard} told {} merged {} known {} homes added {} removed {}",
        counters.sent, counters.merged, counters.ignored, counters.homes_added, counters.homes_removed,
    )?;
    for view in routing.gateway.popular_prefixes(SHOWN) {
        let (key, rate) = (view.popular.key.0, view.popular.tokens_per_s);
        let service = view.service.as_deref().unwrap_or("-");
        write!(text, "popular {key:08x} {service} prefix {} tokens, asked {rate:.0} tokens/s", view.tokens)?;
        writeln!(text, ", homes {} {}", view.popular.home_count, view.homes.join(" "))?;
    }
    Ok(())
}
