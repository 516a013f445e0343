//! Transfers: registers that another node lacks are sent to it in one message if they fit, and otherwise in several
//! messages at a bounded rate.

use crate::message::{Message, REGISTER_BYTES_PER_MESSAGE};
use crate::register::Key;
use crate::registry::Registry;
use grebeusher_time::{Duration, Instant};
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// The largest number of waiting transfers; the registers of a transfer that is dropped are requested again.
const MAX_TRANSFERS: usize = 64;

/// The time between two batches of messages of the waiting transfers.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(50);

/// The number of messages that are sent in a batch.
const TRANSFER_BATCH: usize = 4;

/// The keys of the registers that have still to be sent to one node.
struct Transfer {
    to: SocketAddrV4,
    keys: VecDeque<Key>,
}

/// The transfers in progress, served in round-robin order.
pub(crate) struct Transfers {
    queue: VecDeque<Transfer>,
    next_batch: Instant,
}

impl Transfers {
    pub(crate) fn new(now: Instant) -> Transfers {
        Transfers { queue: VecDeque::new(), next_batch: now }
    }

    pub(crate) fn next_wake(&self) -> Option<Instant> {
        (!self.queue.is_empty()).then_some(self.next_batch)
    }

    pub(crate) fn is_sending_to(&self, peer: SocketAddrV4) -> bool {
        self.queue.iter().any(|transfer| transfer.to == peer)
    }
}

impl Registry {
    /// Sends the registers of the keys immediately if they fit in one message, and otherwise at a bounded rate.
    pub(crate) fn transfer(&mut self, now: Instant, to: SocketAddrV4, keys: Vec<Key>) {
        if keys.is_empty() {
            return;
        }
        let batches = self.registers_in_messages(&keys);
        if batches.len() <= 1 {
            return self.send_registers(to, &keys);
        }
        if self.transfers.queue.len() < MAX_TRANSFERS {
            self.transfers.next_batch = self.transfers.next_batch.max(now);
            self.transfers.queue.push_back(Transfer { to, keys: keys.into() });
        }
    }

    pub(crate) fn send_registers(&mut self, to: SocketAddrV4, keys: &[Key]) {
        for registers in self.registers_in_messages(keys) {
            self.send(to, Message::Registers(registers));
        }
    }

    /// Sends one message of the transfer that has waited longest, and requeues the transfer if registers are left.
    fn continue_transfer(&mut self) {
        let Some(Transfer { to, mut keys }) = self.transfers.queue.pop_front() else {
            return;
        };
        let (mut registers, mut length) = (Vec::new(), 0);
        while let Some(key) = keys.pop_front() {
            let Some(register) = self.register(&key) else {
                continue;
            };
            length += register.length();
            if length > REGISTER_BYTES_PER_MESSAGE && !registers.is_empty() {
                keys.push_front(key);
                break;
            }
            registers.push(register);
        }
        if !registers.is_empty() {
            self.send(to, Message::Registers(registers));
        }
        if !keys.is_empty() {
            self.transfers.queue.push_back(Transfer { to, keys });
        }
    }

    pub(crate) fn tick_transfers(&mut self, now: Instant) {
        if !self.transfers.queue.is_empty() && self.transfers.next_batch <= now {
            self.transfers.next_batch = now + TRANSFER_INTERVAL;
            (0..TRANSFER_BATCH).for_each(|_| self.continue_transfer());
        }
    }
}
