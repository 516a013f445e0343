//! What those who aren't processes of the tier see of the fleet.

use crate::hub::Hub;
use crate::judge::Judge;
use grebeusher_time::Instant;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The port for clients.
pub const FRONTEND_PORT: u16 = 8144;
/// The port for the platform's checks.
pub const READINESS_PORT: u16 = 8140;
/// The port for executors and operators.
pub const CONTROL_PORT: u16 = 8146;
/// The first of the ports between nodes.
pub const INTERNAL_PORT: u16 = 7660;

/// The class of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Takes clients, executors and operators.
    Edge,
    /// Keeps batch jobs.
    Storage,
}

/// A machine of the tier, as the operators' list shows it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its class.
    pub class: Class,
    /// Its zone's number.
    pub zone: usize,
    /// Its host.
    pub host: usize,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Whether its loss counts.
    pub counted: bool,
    /// The life of its process that runs now.
    pub life: Option<usize>,
    /// Whether it is on the operators' list.
    pub listed: bool,
    /// Whether the platform sends clients.
    pub ready: bool,
}

impl Machine {
    /// Where clients connect.
    pub fn frontend(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, FRONTEND_PORT)
    }

    /// Where the platform checks.
    pub fn readiness(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, READINESS_PORT)
    }

    /// Where executors and operators call.
    pub fn control(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, CONTROL_PORT)
    }
}

/// All that a stand-in works with in one step.
pub struct Stage<'a> {
    /// Time, connections and chance.
    pub hub: &'a mut Hub,
    /// The rules.
    pub judge: &'a mut Judge,
    /// The machines.
    pub machines: &'a mut [Machine],
}

impl Stage<'_> {
    /// The time.
    pub fn now(&self) -> Instant {
        self.hub.now
    }

    /// The machine on a host.
    pub fn machine_of(&self, host: usize) -> Option<&Machine> {
        self.machines.iter().find(|machine| machine.host == host)
    }

    /// The life of the process on a host.
    pub fn life_of(&self, host: usize) -> Option<usize> {
        self.machine_of(host)?.life
    }
}
