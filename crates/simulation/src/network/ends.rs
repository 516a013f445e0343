//! How connections end.

use super::{Flying, Packet, Side, State};
use crate::hub::{End, Hub, Owner};
use grebeusher_time::Duration;
use std::io::ErrorKind;
use std::net::SocketAddrV4;

/// A connection on which nothing went for so long may be forgotten by something on the way.
const IDLE: Duration = Duration::from_millis(2000);

impl Hub {
    /// Says that nothing more will be written.
    pub fn end_writing(&mut self, end: End) {
        let Some(found) = self.connections.get_mut(&end.connection()) else { return };
        let side = &mut found.sides[end.side()];
        if side.state == State::Up && !side.fin_sent {
            side.fin_sent = true;
            self.send(end, Packet::Fin);
        }
    }

    /// Closes an end: with a reset if there are unread bytes.
    pub fn close(&mut self, end: End) {
        let found = self.connections.get(&end.connection());
        let has_unread = found.is_some_and(|found| found.sides[end.side()].unread() > 0);
        self.close_end(end, has_unread);
    }

    /// Closes an end with a reset behind what was sent.
    pub fn abort(&mut self, end: End) {
        self.close_end(end, true);
    }

    fn close_end(&mut self, end: End, resets: bool) {
        let Some(found) = self.connections.get_mut(&end.connection()) else { return };
        let taken = found.sides[1].open;
        let side = &mut found.sides[end.side()];
        if !side.open {
            return;
        }
        side.open = false;
        match side.state {
            State::Up if resets => self.send(end, Packet::Reset),
            State::Up if !side.fin_sent => {
                side.fin_sent = true;
                self.send(end, Packet::Fin);
            }
            // Its opening packet may have been taken already.
            State::Opening if taken => self.send(end, Packet::Reset),
            _ => {}
        }
        self.forget_if_over(end.connection());
    }

    /// Breaks a connection at once, on both sides.
    pub fn reset(&mut self, end: End) {
        self.break_side(end.connection(), 1 - end.side(), ErrorKind::ConnectionReset);
        self.break_side(end.connection(), end.side(), ErrorKind::ConnectionReset);
    }

    /// A life of a process is over now: what it would only have sent later is not sent. Without power nothing more is said;
    /// otherwise the kernel closes what it held.
    pub fn end_process(&mut self, process: usize, power_lost: bool) {
        self.processes[process].alive = false;
        let owner = Owner::Process(process);
        let now = self.now;
        let listening: Vec<SocketAddrV4> =
            self.listeners.iter().filter(|(_, l)| l.owner == owner).map(|(address, _)| *address).collect();
        let mut ends: Vec<End> = Vec::new();
        for (number, found) in &mut self.connections {
            for (side, state) in
                found.sides.iter_mut().enumerate().filter(|(_, s)| s.open && s.owner == owner)
            {
                let held_up = |flying: &Flying| power_lost && flying.at < now;
                state.flight.retain(|flying| flying.sent <= now && !held_up(flying));
                ends.push(End::new(*number, side));
            }
        }
        // Maps have no order of their own.
        ends.sort_unstable();
        for end in ends {
            if power_lost {
                if let Some(found) = self.connections.get_mut(&end.connection()) {
                    found.sides[end.side()].open = false;
                }
                self.forget_if_over(end.connection());
            } else {
                self.close(end);
            }
        }
        for address in listening {
            self.unlisten(address);
        }
    }

    /// An end breaks by itself when what was sent on it has not arrived for so long.
    pub fn break_after(&mut self, end: End, within: Duration) {
        if let Some(found) = self.connections.get_mut(&end.connection()) {
            found.sides[end.side()].breaks_after = Some(within);
        }
    }

    /// Something on the way forgets the connections of a life of a process that were idle for too long.
    pub fn forget_idle(&mut self, process: usize) {
        self.forget_idle_of(Owner::Process(process));
    }

    /// The same for the connections of any owner.
    pub fn forget_idle_of(&mut self, owner: Owner) {
        let since = self.now - IDLE;
        for found in self.connections.values_mut() {
            let has = found.sides.iter().any(|side| side.open && side.owner == owner);
            let quiet =
                |side: &Side| side.flight.is_empty() && side.state == State::Up && side.last_at < since;
            let idle = found.sides.iter().all(quiet);
            found.forgotten |= has && idle;
        }
    }

    /// Resets all connections of a life of a process.
    pub fn reset_all(&mut self, process: usize) {
        let owner = Owner::Process(process);
        let mut ends: Vec<End> = Vec::new();
        for (number, found) in &self.connections {
            for (side, state) in found.sides.iter().enumerate() {
                if state.open && state.owner == owner {
                    ends.push(End::new(*number, side));
                }
            }
        }
        ends.sort_unstable();
        for end in ends {
            self.reset(end);
        }
    }
}
