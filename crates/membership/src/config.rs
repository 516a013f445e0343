//! The parameters of the SWIM protocol.

use foca::{Config, PeriodicParams};
use grebeusher_dispatch::time::Duration;
use std::num::{NonZeroU8, NonZeroU32, NonZeroUsize};

/// The largest datagram, in bytes: it passes any path without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// How often an update is retransmitted at least. A loss of one datagram in ten then still leaves no node out, also in
/// a small fleet.
const MIN_TRANSMISSIONS: u8 = 15;

/// The parameters for a fleet of about this size.
///
/// Each node probes one other a second, which bounds what it sends: a probe, its answer, at worst three indirect
/// probes, and six datagrams a second of gossip, each at most [`MAX_DATAGRAM_BYTES`]. A node that is gone is probed by
/// some other within about two seconds, suspected, and declared down four seconds later unless it refutes that.
pub(crate) fn protocol_config(fleet_size: u32) -> Config {
    let lan = Config::new_lan(NonZeroU32::new(fleet_size).unwrap_or(NonZeroU32::MIN));
    Config {
        probe_period: Duration::from_millis(1000),
        probe_rtt: Duration::from_millis(300),
        suspect_to_down_after: Duration::from_secs(4),
        // A network partition heals within seconds, as members that are down are announced to.
        periodic_announce_to_down_members: periodic(Duration::from_secs(5), 2),
        periodic_announce: periodic(Duration::from_secs(10), 1),
        periodic_gossip: periodic(Duration::from_millis(500), 3),
        max_packet_size: non_zero(MAX_DATAGRAM_BYTES),
        remove_down_after: Some(Duration::from_secs(120)),
        notify_down_members: true,
        max_transmissions: lan
            .max_transmissions
            .max(NonZeroU8::new(MIN_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN)),
        ..lan
    }
}

fn periodic(frequency: Duration, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams { frequency, num_members: non_zero(members) })
}

fn non_zero(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}
