//! Packets under way, and what they do on their arrival.

use super::{BYTES_PER_S, Flying, Packet, RETRANSMIT_DELAY, State};
use crate::hub::{End, Happening, Hub, Path};
use grebeusher_time::{Duration, DurationExt};
use rand::Rng;
use std::io::ErrorKind;

impl Hub {
    pub(super) fn send(&mut self, end: End, packet: Packet) {
        let Some(found) = self.connections.get(&end.connection()) else { return };
        let (from, to) = (found.sides[end.side()].host, found.sides[1 - end.side()].host);
        let way = self.way(from, to);
        let sent = self.local_now();
        let length = if let Packet::Data(bytes) = &packet { bytes.len() } else { 0 };
        let transfer = Duration::from_seconds(length as f64 / BYTES_PER_S);
        let left = self.hosts[from].link.as_mut().map_or(sent, |link| link.leave(sent, length));
        let come = self.hosts[to].link.as_mut().map_or(left + way, |link| link.arrive(left + way, length));
        let Some(found) = self.connections.get_mut(&end.connection()) else { return };
        let side = &mut found.sides[end.side()];
        let at = come.max(side.last_at) + transfer;
        side.last_at = at;
        side.flight.push_back(Flying { sent, at, packet });
        self.schedule(at, Happening::Arrival { connection: end.connection(), side: end.side() });
    }

    /// Packets of a side arrive.
    pub fn arrival(&mut self, connection: u64, side: usize) {
        loop {
            let Some(found) = self.connections.get(&connection) else { return };
            let Some(first) = found.sides[side].flight.front() else { return };
            if first.at > self.now {
                return;
            }
            let (from, to) = (found.sides[side].host, found.sides[1 - side].host);
            let forgotten = found.forgotten;
            match self.path(from, to) {
                Path::Open if self.hosts[to].powered && !forgotten => {}
                Path::Resets => {
                    self.break_side(connection, 0, ErrorKind::ConnectionReset);
                    return self.break_side(connection, 1, ErrorKind::ConnectionReset);
                }
                _ if found.sides[side].is_overdue(self.now) => {
                    return self.break_side(connection, side, ErrorKind::TimedOut);
                }
                _ => {
                    let again = self.now + RETRANSMIT_DELAY.scaled(self.random.random_range(0.5..1.5));
                    let Some(found) = self.connections.get_mut(&connection) else { return };
                    for flying in &mut found.sides[side].flight {
                        flying.at = flying.at.max(again);
                    }
                    found.sides[side].last_at = found.sides[side].last_at.max(again);
                    return self.schedule(again, Happening::Arrival { connection, side });
                }
            }
            self.take_packet(connection, side);
        }
    }

    pub(super) fn take_packet(&mut self, connection: u64, side: usize) {
        let Some(found) = self.connections.get_mut(&connection) else { return };
        let Some(flying) = found.sides[side].flight.pop_front() else { return };
        let target = &mut found.sides[1 - side];
        match flying.packet {
            Packet::Data(bytes) => {
                if !target.open || matches!(target.state, State::Broken(_)) {
                    // Nobody is there any more: the answer is a reset.
                    return self.break_side(connection, side, ErrorKind::ConnectionReset);
                }
                target.inbox.extend_from_slice(&bytes);
                found.sides[side].flying -= bytes.len();
            }
            Packet::Fin => target.ended = true,
            Packet::Reset => return self.break_side(connection, 1 - side, ErrorKind::ConnectionReset),
        }
        self.notify(End::new(connection, 1 - side));
        self.forget_if_over(connection);
    }

    pub(super) fn break_side(&mut self, connection: u64, side: usize, kind: ErrorKind) {
        let Some(found) = self.connections.get_mut(&connection) else { return };
        found.sides[side].fail(kind);
        self.notify(End::new(connection, side));
        self.forget_if_over(connection);
    }

    pub(super) fn forget_if_over(&mut self, connection: u64) {
        let over = self.connections.get(&connection).is_some_and(|found| {
            found.sides.iter().all(|side| !side.open) && found.sides.iter().all(|side| side.flight.is_empty())
        });
        if over {
            self.connections.remove(&connection);
        }
    }
}
