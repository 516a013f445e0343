//! How a fleet comes to be: its machines, its executors and the steps of its day.

use super::step::Step;
use super::{Fleet, Hardware};
use crate::clients::{Clients, Traffic};
use crate::disk::Disk;
use crate::executors::{Executor, Executors};
use crate::hub::{HostLink, Hub};
use crate::judge::{Bounds, Judge};
use crate::operators::Operators;
use crate::scenario::{Load, Scenario, Shape, Timed};
use crate::stage::{Class, Machine};
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

/// Traffic goes on for this long after the machines are back from a final fault.
const CLOSING_DURATION: Duration = Duration::from_millis(18_000);
/// Machines with addresses in one net.
const MACHINES_A_NET: usize = 200;
/// What open batch jobs get after traffic.
const FINISH: Duration = Duration::from_millis(4_000);
/// What the last reads get.
const LAST_READS: Duration = Duration::from_millis(10_000);

/// When no further batch jobs come.
fn jobs_until(load: &Load) -> Instant {
    let begin = Instant(0) + Duration::from_seconds(load.lead_s);
    load.jobs_for_s.map_or(Instant(u64::MAX), |seconds| begin + Duration::from_seconds(seconds))
}

/// How much the clients do.
fn traffic(load: &Load) -> Traffic {
    Traffic {
        live_per_s: load.live_per_s,
        jobs_per_s: load.jobs_per_s,
        jobs_until: jobs_until(load),
        upload_bytes: load.upload_bytes,
        item_bytes: load.item_bytes,
        event_bytes: load.event_bytes,
        probes_per_s: load.probes_per_s,
    }
}

impl Fleet {
    pub(super) fn new(scenario: Scenario, seed: u64) -> Fleet {
        let mut hub = Hub::new(seed);
        hub.in_zone = Duration::from_seconds(scenario.shape.in_zone_ms / 1000.0);
        hub.cross_zone = Duration::from_seconds(scenario.shape.cross_zone_ms / 1000.0);
        hub.cross_region = Duration::from_seconds(scenario.shape.cross_region_ms / 1000.0);
        hub.regions = regions(&scenario.shape);
        let mut judge = Judge::new(Bounds::default());
        judge.quota = scenario.load.quota;
        let zones = scenario.shape.zones.len();
        let client_hosts: Vec<usize> = (0..zones)
            .map(|zone| hub.add_host(Ipv4Addr::new(10, 200, zone as u8, 1), zone, Duration::from_millis(1)))
            .collect();
        let operator_host = hub.add_host(Ipv4Addr::new(10, 201, 0, 1), 0, Duration::from_millis(1));
        let load = &scenario.load;
        let mut until = Duration::from_seconds(load.lead_s + load.length_s);
        if scenario.closing.is_some() {
            until = until + CLOSING_DURATION + Duration::from_millis(3000);
        }
        let clients = Clients::new(client_hosts, traffic(load), Instant(0) + until);
        let operators = Operators::new(operator_host, load);
        let mut fleet = Fleet {
            scenario,
            hub: Rc::new(RefCell::new(hub)),
            judge,
            machines: Vec::new(),
            hardware: Vec::new(),
            nodes: BTreeMap::new(),
            executors: Executors::default(),
            clients,
            operators,
            steps: Vec::new(),
            seeds: Vec::new(),
            armed: Vec::new(),
            armed_for_jobs: Vec::new(),
            armed_for_rollouts: Vec::new(),
            taken: 0,
            acknowledged: 0,
            emptied: 0,
            wipe_after_retire: None,
            next_executor: 0,
            rollouts: super::rollouts::Rollouts::default(),
            cuts: 0,
            closing: None,
            closing_after: Duration::from_nanos(0),
            over: false,
            trace: Vec::new(),
            turns: 0,
            digest: 0,
            meter: None,
            watch: super::watch::Watch::default(),
        };
        fleet.build(until);
        fleet
    }

    fn build(&mut self, until: Duration) {
        let zones = self.scenario.shape.zones.clone();
        for (zone, shape) in zones.iter().enumerate() {
            for place in 0..shape.edge {
                self.add_machine(Class::Edge, zone, place < shape.disks);
            }
            for _ in 0..shape.storage {
                self.add_machine(Class::Storage, zone, true);
            }
        }
        // Seeds are machines of different zones, where they can be.
        let mut cores: Vec<&Machine> =
            self.machines.iter().filter(|m| m.class == Class::Edge && m.counted).collect();
        cores.sort_by_key(|machine| {
            self.machines.iter().filter(|m| m.zone == machine.zone && m.host < machine.host).count()
        });
        self.seeds = cores.iter().take(3).map(|machine| machine.control()).collect();
        for machine in 0..self.machines.len() {
            let after = Duration::from_millis(self.hub.borrow_mut().random.random_range(0..300));
            self.later(after, Step::StartMachine { machine });
        }
        let services = ["model-a", "plain", "other"];
        for service in services {
            for place in 0..self.scenario.load.executors {
                self.add_executor(service, place % zones.len(), None);
            }
        }
        let lead = Duration::from_seconds(self.scenario.load.lead_s);
        self.later(Duration::from_millis(300), Step::FirstChange);
        self.later(lead, Step::Traffic);
        for Timed { at_s, fault } in self.scenario.faults.clone() {
            self.later(lead + Duration::from_seconds(at_s), Step::Begin(fault));
        }
        let length = lead + Duration::from_seconds(self.scenario.load.length_s);
        if self.scenario.closing.is_some() {
            self.later(length, Step::LastChange);
        }
        let reads = until + FINISH;
        self.later(reads, Step::LastReads);
        self.later(reads + LAST_READS, Step::Over);
    }

    pub(super) fn add_machine(&mut self, class: Class, zone: usize, disk: bool) -> usize {
        let number = self.machines.len();
        let (net, place) = ((number / MACHINES_A_NET) as u8, (number % MACHINES_A_NET) as u8);
        let ip = Ipv4Addr::new(10, 1 + zone as u8, net, 10 + place);
        let mut hub = self.hub.borrow_mut();
        let host = hub.add_host(ip, zone, Duration::from_nanos(0));
        if class == Class::Storage {
            hub.hosts[host].link = self.scenario.shape.storage_link_mbps.map(HostLink::new);
        }
        let wall_offset_ms = hub.random.random_range(-1500..1500);
        drop(hub);
        let kind = if class == Class::Edge { "edge" } else { "storage" };
        self.machines.push(Machine {
            name: format!("{kind}-{}-{number}", self.scenario.shape.zones[zone].name),
            class,
            zone,
            host,
            ip,
            counted: disk,
            life: None,
            listed: true,
            ready: false,
        });
        let mut empty = Disk::new(Duration::from_seconds(self.scenario.shape.sync_ms / 1000.0));
        empty.pretends = self.scenario.broken.pretended_syncs;
        self.hardware.push(Hardware {
            disk: Rc::new(RefCell::new(empty)),
            has_disk: disk,
            settings: Rc::new(RefCell::new(String::new())),
            wall_offset_ms,
            stays: true,
            lost_until: None,
            started_before: false,
            wiped: false,
            empty: false,
            replaced: false,
        });
        number
    }

    /// Adds an executor of the version in force.
    pub(super) fn add_executor(
        &mut self,
        service: &str,
        zone: usize,
        address: Option<SocketAddrV4>,
    ) -> usize {
        let version = self.rollouts.version_of(service);
        self.add_executor_of(service, &version, zone, address)
    }

    /// Adds an executor of a version.
    pub(super) fn add_executor_of(
        &mut self,
        service: &str,
        version: &str,
        zone: usize,
        address: Option<SocketAddrV4>,
    ) -> usize {
        let number = self.next_executor;
        self.next_executor += 1;
        let reused = address.and_then(|address| self.hub.borrow().host_of(*address.ip()));
        let (host, address) = match (reused, address) {
            (Some(host), Some(address)) => (host, address),
            _ => {
                let ip = Ipv4Addr::new(10, 128, (number / 250) as u8, (number % 250) as u8);
                let host = self.hub.borrow_mut().add_host(ip, zone, Duration::from_nanos(0));
                (host, SocketAddrV4::new(ip, 8080))
            }
        };
        self.hub.borrow_mut().hosts[host].powered = true;
        let made = Executor {
            instance: format!("i-{number:04x}"),
            service: service.to_owned(),
            version: version.to_owned(),
            host,
            address,
            zone: self.scenario.shape.zones[zone].name.clone(),
            zone_number: zone,
            slots: self.scenario.load.slots,
            queue: self.scenario.load.slots * 2,
        };
        self.stage(|fleet, stage| fleet.executors.start(made, stage))
    }
}

/// The region's number of each zone.
fn regions(shape: &Shape) -> Vec<usize> {
    let first = |name: &str| shape.zones.iter().position(|other| other.region == name).unwrap_or(0);
    shape.zones.iter().map(|zone| first(&zone.region)).collect()
}
