//! The network and the disks of the simulated world.

use grebeusher_quorum::{Entry, HardState, Index, Payload, Term, Write};
use grebeusher_simulation::disk::Disk;
use grebeusher_simulation::hub::{Cut, End, Happening, Hub, Owner};
use grebeusher_time::{Duration, Instant};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;

fn drive(hub: &mut Hub, ms: u64) {
    let until = hub.now + Duration::from_millis(ms);
    while let Some(happening) = hub.next(until) {
        match happening {
            Happening::Opening { connection, attempt } => hub.opening(connection, attempt),
            Happening::Opened { connection, accepted } => hub.opened(connection, accepted),
            Happening::Arrival { connection, side } => hub.arrival(connection, side),
            Happening::Socket { end } => drop(hub.told(end)),
            _ => {}
        }
    }
}

struct Pair {
    hub: Hub,
    address: SocketAddrV4,
    end: End,
}

fn dialled() -> Pair {
    let mut hub = Hub::new(1);
    let (a, b) = (Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 0, 0, 2));
    let one = hub.add_host(a, 0, Duration::from_nanos(0));
    hub.add_host(b, 1, Duration::from_nanos(0));
    let address = SocketAddrV4::new(b, 80);
    hub.listen(Owner::Clients, address, 0).expect("nobody listens there");
    let end = hub.dial(Owner::Clients, one, address, 0);
    Pair { hub, address, end }
}

fn cut(hub: &mut Hub, resets: bool) {
    hub.cuts.push(Cut { number: 1, from: 1, to: 2, resets });
    hub.cuts.push(Cut { number: 1, from: 2, to: 1, resets });
}

#[test]
fn bytes_arrive_in_order_and_an_end_after_them() {
    let Pair { mut hub, address, end } = dialled();
    drive(&mut hub, 5);
    let other = hub.accept(address).expect("it has come up");
    hub.write(end, b"one ").expect("there is room");
    hub.write(end, b"two").expect("there is room");
    hub.close(end);
    drive(&mut hub, 5);
    let received = hub.receive(other);
    assert_eq!((received.bytes.as_slice(), received.ended, received.broken), (&b"one two"[..], true, false));
}

#[test]
fn a_reader_that_does_not_read_holds_the_writer_up() {
    let Pair { mut hub, address, end } = dialled();
    drive(&mut hub, 5);
    let other = hub.accept(address).expect("it has come up");
    let mut written = 0;
    while let Ok(count) = hub.write(end, &[0; 10_000]) {
        written += count;
        drive(&mut hub, 5);
    }
    assert!(written < 200_000, "{written}");
    assert_eq!(hub.receive(other).bytes.len(), written);
    assert!(hub.write(end, &[0; 10]).is_ok());
}

#[test]
fn a_silent_cut_holds_bytes_up_and_one_with_resets_breaks() {
    let Pair { mut hub, address, end } = dialled();
    drive(&mut hub, 5);
    let other = hub.accept(address).expect("it has come up");
    cut(&mut hub, false);
    hub.write(end, b"held").expect("the kernel takes it");
    drive(&mut hub, 3000);
    assert!(hub.receive(other).bytes.is_empty());
    hub.cuts.clear();
    drive(&mut hub, 500);
    assert_eq!(hub.receive(other).bytes, b"held");
    cut(&mut hub, true);
    hub.write(end, b"lost").expect("the kernel takes it");
    drive(&mut hub, 50);
    assert!(hub.receive(other).broken && hub.receive(end).broken);
}

#[test]
fn a_forgotten_connection_takes_bytes_and_gives_none_until_it_breaks() {
    for breaks in [false, true] {
        let Pair { mut hub, address, end } = dialled();
        drive(&mut hub, 5);
        let other = hub.accept(address).expect("it has come up");
        if breaks {
            hub.break_after(end, Duration::from_millis(1200));
        }
        // Given a connection that was idle for long and that something on the way has forgotten,
        drive(&mut hub, 3000);
        hub.forget_idle_of(Owner::Clients);
        // when something is written on it,
        hub.write(end, b"lost").expect("the kernel takes it");
        drive(&mut hub, 2000);
        // then it never arrives, and only an end with a time-out notices.
        assert!(hub.receive(other).bytes.is_empty());
        assert_eq!(hub.connected(end).is_err(), breaks);
    }
}

#[test]
fn a_dead_port_refuses_and_a_dead_machine_says_nothing() {
    let Pair { mut hub, address, end } = dialled();
    hub.unlisten(address);
    drive(&mut hub, 5);
    assert!(hub.connected(end).is_err());
    let Pair { mut hub, end, .. } = dialled();
    hub.hosts[1].powered = false;
    drive(&mut hub, 3000);
    assert!(matches!(hub.connected(end), Ok(false)));
}

fn entry(index: u64) -> Write {
    Write::Entries(vec![Entry { index: Index(index), term: Term(1), payload: Payload::Noop }])
}

fn hard(term: u64) -> Write {
    Write::HardState(HardState { term: Term(term), ..HardState::default() })
}

#[rstest]
fn only_what_was_synced_is_sure_to_outlive_a_loss_of_power(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let folder = Path::new("part-0");
    let mut disk = Disk::new(Duration::from_millis(1));
    let ms = |ms| Instant(0) + Duration::from_millis(ms);
    disk.open(ms(0), folder);
    disk.write(ms(10), folder, &[hard(1), entry(1)]);
    disk.sync(ms(10), folder);
    disk.write(ms(20), folder, &[entry(2)]);
    disk.write(ms(30), folder, &[entry(3)]);
    disk.sync(ms(30), folder);
    // The power goes while the last sync is under way.
    disk.power_lost(ms(30), &mut Pcg64::seed_from_u64(seed));
    let restored = disk.open(ms(40), folder);
    assert_eq!(restored.hard_state.term, Term(1));
    assert!(!restored.entries.is_empty() && restored.entries.len() <= 3);
    // What was read back lasts.
    disk.power_lost(ms(50), &mut Pcg64::seed_from_u64(seed));
    assert_eq!(disk.open(ms(60), folder).entries.len(), restored.entries.len());
}

#[test]
fn a_killed_process_leaves_its_files_as_they_were() {
    let folder = Path::new("part-0");
    let mut disk = Disk::new(Duration::from_millis(1));
    let ms = |ms| Instant(0) + Duration::from_millis(ms);
    disk.open(ms(0), folder);
    disk.write(ms(10), folder, &[entry(1)]);
    disk.write(ms(20), folder, &[entry(2)]);
    disk.process_ended(ms(15));
    assert_eq!(disk.open(ms(30), folder).entries.len(), 1);
}

#[test]
fn a_wiped_disk_has_another_identity() {
    let mut disk = Disk::new(Duration::from_millis(1));
    assert_eq!(disk.identity(Instant(0), 7), (7, false));
    assert_eq!(disk.identity(Instant(0), 8), (7, true));
    disk.wipe();
    assert_eq!(disk.identity(Instant(0), 9), (9, false));
}
