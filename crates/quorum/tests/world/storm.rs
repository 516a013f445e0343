//! Storms: troubles drawn from a seed, then calm, in which everything has to come right again.

use grebeusher_quorum::ReplicaId;
use grebeusher_time::Duration;
use rand::Rng;

use super::{Fault, Site, World};

/// What a storm may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weather {
    /// Cuts, losses, freezes, restarts, and losses of power of all at once.
    Rough,
    /// The same, and now and then one disk is wiped while others lose power; it is replaced in the group.
    Wiping,
    /// The same as rough, and the group changes to whatever the seed says.
    Changing,
}

/// Lets a storm pass over a world, and then calm. The world is given back for its counts.
pub fn storm(seed: u64, weather: Weather, fault: Fault) -> World {
    let mut world = World::with_fault(seed, 3, 2, fault);
    world.elect();
    world.oracle.lenient = fault != Fault::None;
    world.network.loss = [0.0, 0.02, 0.2][world.rng.random_range(0..3)];
    world.network.doubling = [0.0, 0.05][world.rng.random_range(0..2)];
    world.network.straggling = [0.0, 0.01, 0.1][world.rng.random_range(0..3)];
    world.compact_every = [5, 40, 1_000_000][world.rng.random_range(0..3)];
    let filler = [0, 700_000][usize::from(world.rng.random_bool(0.1))];
    world.machines.iter_mut().for_each(|machine| machine.filler = filler);
    let end = world.now + Duration::from_millis(3_000);
    while world.now < end {
        inject_fault(&mut world, weather);
        let span = Duration::from_millis(world.rng.random_range(1..120));
        pass(&mut world, span, weather);
    }
    end_all_faults(&mut world, weather);
    world
}

/// Lets time pass with clients at work.
fn pass(world: &mut World, span: Duration, weather: Weather) {
    let end = world.now + span;
    while world.now < end {
        clients(world);
        if weather == Weather::Wiping {
            replace_lost(world);
        }
        let step = Duration::from_millis(world.rng.random_range(1..8));
        world.run(step);
    }
}

/// Clients propose and read wherever they think that the leader is.
fn clients(world: &mut World) {
    world.read_everywhere();
    for site in world.sites() {
        let leads =
            world.machines[site.0].replica.as_ref().is_some_and(grebeusher_quorum::Replica::is_leader);
        if leads && world.rng.random_bool(0.5) {
            world.propose(site);
        }
    }
    world.read_everywhere();
}

fn any_site(world: &mut World) -> Site {
    Site(world.rng.random_range(0..world.machines.len()))
}

fn inject_fault(world: &mut World, weather: Weather) {
    let site = any_site(world);
    let other = any_site(world);
    match world.rng.random_range(0..14) {
        0 => world.restart(site),
        1 => world.lose_power(site),
        2 | 3 => start_all(world),
        4 => world.freeze(site),
        5 | 6 => wake_all(world),
        7 => world.isolate(site),
        8 => world.network.cut(site, other),
        9 | 10 => world.heal(),
        11 => all_lose_power(world, site, weather),
        12 => transfer_leadership(world, site),
        _ => change(world, weather),
    }
}

fn start_all(world: &mut World) {
    for site in world.sites() {
        if world.machines[site.0].replica.is_none() {
            world.start(site);
        }
    }
}

fn wake_all(world: &mut World) {
    for site in world.sites() {
        if world.machines[site.0].frozen {
            world.wake(site);
        }
    }
}

fn all_lose_power(world: &mut World, wiped: Site, weather: Weather) {
    for site in world.sites() {
        world.lose_power(site);
    }
    if weather == Weather::Wiping && is_complete(world) {
        world.wipe(wiped);
    }
    start_all(world);
}

fn transfer_leadership(world: &mut World, site: Site) {
    if world.machines[site.0].is_free() {
        let _ = world.call(site, |replica, now| replica.transfer_leadership(now, None));
    }
}

fn change(world: &mut World, weather: Weather) {
    match weather {
        Weather::Rough => {}
        Weather::Wiping => {
            let site = any_site(world);
            if is_complete(world) {
                world.wipe(site);
                world.start(site);
            }
        }
        Weather::Changing => {
            let sites: Vec<Site> = world.sites().into_iter().filter(|_| world.rng.random_bool(0.6)).collect();
            let voters = world.group_of(sites).voters;
            for site in world.sites() {
                if world.machines[site.0].is_free() {
                    let voters = voters.clone();
                    let _ = world.call(site, |replica, now| replica.change_group(now, voters));
                }
            }
        }
    }
}

/// Whether the committed group is made of disks that exist, so that it can bear the loss of one.
fn is_complete(world: &World) -> bool {
    let group = world.oracle.committed_group();
    !group.is_joint() && group.voters.iter().all(|voter| world.site_of(*voter).is_some())
}

/// The leader puts machines that exist in the stead of disks that are lost.
fn replace_lost(world: &mut World) {
    let Some(leader) = world.leader() else { return };
    let Some(group) = world.machines[leader.0].replica.as_ref().map(|replica| replica.group().clone()) else {
        return;
    };
    let is_lost = |voter: &ReplicaId| world.site_of(*voter).is_none();
    if group.is_joint() || !group.voters.iter().any(is_lost) {
        return;
    }
    let mut voters: Vec<ReplicaId> = group.voters.iter().copied().filter(|voter| !is_lost(voter)).collect();
    let spares = world.machines.iter().map(|machine| machine.identity);
    let spare = spares.filter(|spare| !group.contains(*spare)).nth(world.now.0 as usize % 2);
    voters.extend(spare);
    let _ = world.call(leader, |replica, now| replica.change_group(now, voters));
}

/// All faults end; then the partition must have a leader, a complete group, and commit.
fn end_all_faults(world: &mut World, weather: Weather) {
    world.heal();
    world.network.loss = 0.0;
    world.network.straggling = 0.0;
    start_all(world);
    wake_all(world);
    if world.oracle.lenient {
        pass(world, Duration::from_millis(1_500), weather);
        return;
    }
    let end = world.now + Duration::from_millis(10_000);
    while !is_well(world) {
        assert!(world.now < end, "the calm does not help\n{}", world.picture());
        pass(world, Duration::from_millis(50), weather);
    }
    let before = world.oracle.last_committed();
    while world.oracle.last_committed() == before {
        assert!(world.now < end, "nothing is decided\n{}", world.picture());
        // The leader refuses while it hands over; a client tries again.
        let leader = world.elect();
        world.propose(leader);
        world.run(Duration::from_millis(50));
    }
    let leader = world.elect();
    let members = world.machines[leader.0].replica.as_ref().expect("it runs").group().voters.clone();
    let sites: Vec<Site> = members.into_iter().filter_map(|member| world.site_of(member)).collect();
    world.settle(&sites, Duration::from_millis(3_000));
}

fn is_well(world: &World) -> bool {
    let Some(leader) = world.leader() else { return false };
    let Some(replica) = world.machines[leader.0].replica.as_ref() else { return false };
    let group = replica.group();
    !group.is_joint()
        && replica.pending_change().is_none()
        && group.voters.iter().all(|voter| world.site_of(*voter).is_some())
}
