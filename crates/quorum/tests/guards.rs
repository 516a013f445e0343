//! Each guard of the core, or of the program around it, against the trouble that it is there for: all is well with it,
//! and something goes wrong without it.

mod world;

use grebeusher_time::Duration;
use rstest::rstest;
use world::{Fault, Site, World};

/// What a trouble needs by chance, it gets within so many seeds.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=30;

/// The leader, and the two others.
fn start(seed: u64, fault: Fault) -> (World, [Site; 3]) {
    let mut world = World::with_fault(seed, 3, 0, fault);
    let leader = world.elect();
    world.oracle.lenient = true;
    world.propose(leader);
    world.run(Duration::from_millis(100));
    let others = world.others(&[leader]);
    (world, [leader, others[0], others[1]])
}

/// An answer tells of something that is not on disk yet, and then power goes.
fn power_loss_right_after_a_response(seed: u64, fault: Fault) -> World {
    // Given a leader whose command only the first of the others gets
    let (mut world, [leader, first, second]) = start(seed, fault);
    world.partition(leader, second);
    world.run(Duration::from_millis(10));
    let before = world.oracle.last_committed();
    world.sync = Duration::from_millis(40);
    world.propose(leader);
    // When power goes as soon as the command is committed, or soon
    for _ in 0..100 {
        world.run(Duration::from_millis(1));
        if world.oracle.last_committed() > before {
            break;
        }
    }
    for site in world.sites() {
        world.cut_power(site, false);
    }
    // Then the two others go on without the leader
    world.sync = Duration::from_millis(2);
    world.start(first);
    world.start(second);
    world.heal();
    world.propose_for(Duration::from_millis(2_000), Duration::from_millis(20));
    world
}

/// A message of an old leader arrives when its receiver has promised more to a new one.
fn delayed_append_of_an_old_term(seed: u64, fault: Fault) -> World {
    // Given a leader whose messages to the second one take long, and that is otherwise cut off
    let (mut world, [leader, first, second]) = start(seed, fault);
    world.network.slow.insert((leader, second), Duration::from_millis(1_500));
    world.partition(leader, first);
    world.network.cut(second, leader);
    world.propose(leader);
    world.run(Duration::from_millis(5));
    // And that loses power, so that nothing else of it is under way
    world.cut_power(leader, true);
    // When the others decide something else in its place, the first entry of a new leader
    world.run(Duration::from_millis(1_350));
    // And the second one knows no leader when the old message arrives
    world.restart(second);
    world.partition(first, second);
    world.run(Duration::from_millis(400));
    // Then what the first one committed is still there when the first one is lost
    world.lose_power(first);
    world.network.slow.clear();
    world.heal();
    world.start(leader);
    world.propose_for(Duration::from_millis(2_000), Duration::from_millis(20));
    world
}

/// A disk that held a copy is lost, and the one that had missed it comes back.
fn wiped_replica(seed: u64, fault: Fault) -> World {
    // Given a command that the leader and the first one have committed, and the second one has missed
    let (mut world, [leader, first, second]) = start(seed, fault);
    world.partition(leader, second);
    world.partition(first, second);
    world.propose(leader);
    world.run(Duration::from_millis(100));
    // When the first one's disk is lost and the others lose power, the leader for longer
    world.lose_power(leader);
    world.wipe(first);
    world.restart(second);
    world.start(first);
    world.heal();
    // Then nothing is committed without the leader that still has it
    world.propose_for(Duration::from_millis(2_000), Duration::from_millis(20));
    world.start(leader);
    world.propose_for(Duration::from_millis(1_000), Duration::from_millis(20));
    world
}

/// A voter has just answered a leader, is restarted, and is asked for its vote.
fn voter_restarts_within_a_lease(seed: u64, fault: Fault) -> World {
    // Given a leader that holds its lease by the first one, while the second one would like to take over
    let (mut world, [leader, first, second]) = start(seed, fault);
    world.partition(leader, second);
    world.run(Duration::from_millis(800));
    // When the first one is cut off from the leader and restarted
    world.partition(leader, first);
    world.restart(first);
    // Then reads at the leader are not stale
    world.propose_for(Duration::from_millis(400), Duration::from_millis(2));
    world
}

/// Answers to a leader take long, and it is cut off meanwhile.
fn delayed_responses(seed: u64, fault: Fault) -> World {
    // Given a leader that the first one answers slowly, and the second one not at all
    let (mut world, [leader, first, second]) = start(seed, fault);
    world.network.slow.insert((first, leader), Duration::from_millis(350));
    world.network.cut(second, leader);
    world.run(Duration::from_millis(380));
    // When nothing of it arrives any more, so that the others elect one of them
    world.network.cut(leader, first);
    world.network.cut(leader, second);
    // Then reads at the leader are not stale when the last answers arrive
    world.propose_for(Duration::from_millis(700), Duration::from_millis(2));
    world
}

#[rstest]
#[case(Fault::AnswersBeforeSync, power_loss_right_after_a_response)]
#[case(Fault::TermsNotChecked, delayed_append_of_an_old_term)]
#[case(Fault::WipedDiskVotes, wiped_replica)]
#[case(Fault::RestartedVotesAtOnce, voter_restarts_within_a_lease)]
#[case(Fault::LeaseFromArrival, delayed_responses)]
fn each_guard_is_needed_and_holds(#[case] fault: Fault, #[case] inject_fault: fn(u64, Fault) -> World) {
    for seed in SEEDS {
        let world = inject_fault(seed, Fault::None);
        assert_eq!(world.oracle.violations, Vec::<String>::new(), "with the guard, seed {seed}");
    }
    let noticed = SEEDS.filter(|seed| !inject_fault(*seed, fault).oracle.violations.is_empty()).count();
    println!("{fault:?}: noticed with {noticed} of {} seeds", SEEDS.count());
    assert!(noticed > 0, "{fault:?} is never noticed");
}
