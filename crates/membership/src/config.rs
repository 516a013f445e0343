//! The parameters of the SWIM protocol.

use foca::{Config, PeriodicParams};
use grebeusher_dispatch::time::Duration;
use std::num::{NonZeroU8, NonZeroU32, NonZeroUsize};

/// The largest datagram that a node sends, in bytes. It is small enough to pass any network path without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// The minimum number of times that a node sends each update of the membership. Every node then gets the update even
/// if one datagram in ten is lost, also in a small fleet.
const MIN_TRANSMISSIONS: u8 = 15;

/// Returns the protocol parameters for a fleet of about `fleet_size` nodes.
///
/// Each node probes one other node a second, which bounds the datagrams that it sends in a second: one probe, the
/// answer to a probe, at worst three indirect probes, and six datagrams of gossip, each of at most
/// [`MAX_DATAGRAM_BYTES`]. A node that has crashed is probed by another node within about two seconds and suspected. It
/// is declared down four seconds later unless it refutes the suspicion.
pub(crate) fn protocol_config(fleet_size: u32) -> Config {
    let lan_preset = Config::new_lan(NonZeroU32::new(fleet_size).unwrap_or(NonZeroU32::MIN));
    Config {
        probe_period: Duration::from_millis(1000),
        probe_rtt: Duration::from_millis(300),
        suspect_to_down_after: Duration::from_secs(4),
        // Nodes announce themselves to members that are down, so the sides of a network partition find each other
        // within seconds of its end.
        periodic_announce_to_down_members: periodic(Duration::from_secs(5), 2),
        periodic_announce: periodic(Duration::from_secs(10), 1),
        periodic_gossip: periodic(Duration::from_millis(500), 3),
        max_packet_size: non_zero(MAX_DATAGRAM_BYTES),
        remove_down_after: Some(Duration::from_secs(120)),
        notify_down_members: true,
        max_transmissions: lan_preset
            .max_transmissions
            .max(NonZeroU8::new(MIN_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN)),
        ..lan_preset
    }
}

fn periodic(frequency: Duration, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams { frequency, num_members: non_zero(members) })
}

fn non_zero(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}
