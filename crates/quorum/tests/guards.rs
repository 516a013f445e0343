//! Tests each safety rule against the fault that it guards against: with the rule no invariant is violated, and without
//! it some seeds violate one.

mod cluster;

use cluster::{Cluster, Fault, MachineId};
use grebeusher_time::Duration;
use rstest::rstest;

/// The seeds to try. Some violations depend on chance, and occur within this number of seeds.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=30;

/// Creates three voters with one committed command. Returns the leader and the two others.
fn start(seed: u64, fault: Fault) -> (Cluster, [MachineId; 3]) {
    let mut cluster = Cluster::with_fault(seed, 3, 0, fault);
    let leader = cluster.elect();
    cluster.oracle.collect_violations = true;
    cluster.propose(leader);
    cluster.run(Duration::from_millis(100));
    let others = cluster.others(&[leader]);
    (cluster, [leader, others[0], others[1]])
}

/// A response reports an entry that is not synced yet, and then all machines lose power.
fn power_loss_right_after_a_response(seed: u64, fault: Fault) -> Cluster {
    // Given a leader whose command only the first follower receives
    let (mut cluster, [leader, first, second]) = start(seed, fault);
    cluster.partition(leader, second);
    cluster.run(Duration::from_millis(10));
    let before = cluster.oracle.last_committed();
    cluster.sync = Duration::from_millis(40);
    cluster.propose(leader);
    // When all lose power as soon as the command is committed, or after 100 ms
    for _ in 0..100 {
        cluster.run(Duration::from_millis(1));
        if cluster.oracle.last_committed() > before {
            break;
        }
    }
    for machine_id in cluster.machine_ids() {
        cluster.cut_power(machine_id, false);
    }
    // Then the two followers continue without the leader
    cluster.sync = Duration::from_millis(2);
    cluster.start(first);
    cluster.start(second);
    cluster.reconnect_all_links();
    cluster.propose_for(Duration::from_millis(2_000), Duration::from_millis(20));
    cluster
}

/// A message of an old leader arrives after its receiver has voted in a newer term.
fn delayed_append_of_an_old_term(seed: u64, fault: Fault) -> Cluster {
    // Given a leader whose messages to the second follower take long, and whose other links are cut
    let (mut cluster, [leader, first, second]) = start(seed, fault);
    cluster.network.extra_delay.insert((leader, second), Duration::from_millis(1_500));
    cluster.partition(leader, first);
    cluster.network.cut(second, leader);
    cluster.propose(leader);
    cluster.run(Duration::from_millis(5));
    // And the leader loses power, so that no other message of it is in flight
    cluster.cut_power(leader, true);
    // When the followers commit another entry at that index, the first one of a new leader
    cluster.run(Duration::from_millis(1_350));
    // And the second follower knows no leader when the old message arrives
    cluster.restart(second);
    cluster.partition(first, second);
    cluster.run(Duration::from_millis(400));
    // Then what the first follower committed is still there when that follower is lost
    cluster.lose_power(first);
    cluster.network.extra_delay.clear();
    cluster.reconnect_all_links();
    cluster.start(leader);
    cluster.propose_for(Duration::from_millis(2_000), Duration::from_millis(20));
    cluster
}

/// A disk with a copy of a committed entry is lost, and the machine that missed the entry is reachable again.
fn wiped_replica(seed: u64, fault: Fault) -> Cluster {
    // Given a command that the leader and the first follower have committed, and the second one has missed
    let (mut cluster, [leader, first, second]) = start(seed, fault);
    cluster.partition(leader, second);
    cluster.partition(first, second);
    cluster.propose(leader);
    cluster.run(Duration::from_millis(100));
    // When the first follower's disk is lost and the others lose power, the leader for longer
    cluster.lose_power(leader);
    cluster.wipe(first);
    cluster.restart(second);
    cluster.start(first);
    cluster.reconnect_all_links();
    // Then nothing is committed without the leader, which still has the command
    cluster.propose_for(Duration::from_millis(2_000), Duration::from_millis(20));
    cluster.start(leader);
    cluster.propose_for(Duration::from_millis(1_000), Duration::from_millis(20));
    cluster
}

/// A voter that has just answered a leader is restarted, and a candidate asks for its vote.
fn voter_restarts_within_a_lease(seed: u64, fault: Fault) -> Cluster {
    // Given a leader whose lease depends on the first follower, while the second one starts elections
    let (mut cluster, [leader, first, second]) = start(seed, fault);
    cluster.partition(leader, second);
    cluster.run(Duration::from_millis(800));
    // When the first follower is cut off from the leader and restarted
    cluster.partition(leader, first);
    cluster.restart(first);
    // Then reads at the leader are not stale
    cluster.propose_for(Duration::from_millis(400), Duration::from_millis(2));
    cluster
}

/// Responses to a leader take long, and it is cut off before they arrive.
fn delayed_responses(seed: u64, fault: Fault) -> Cluster {
    // Given a leader whose responses from the first follower are slow and from the second one are lost
    let (mut cluster, [leader, first, second]) = start(seed, fault);
    cluster.network.extra_delay.insert((first, leader), Duration::from_millis(350));
    cluster.network.cut(second, leader);
    cluster.run(Duration::from_millis(380));
    // When the leader's messages are lost, so that the followers elect one of themselves
    cluster.network.cut(leader, first);
    cluster.network.cut(leader, second);
    // Then reads at the leader are not stale when the last responses arrive
    cluster.propose_for(Duration::from_millis(700), Duration::from_millis(2));
    cluster
}

#[rstest]
#[case(Fault::ResponsesBeforeSync, power_loss_right_after_a_response)]
#[case(Fault::TermsNotChecked, delayed_append_of_an_old_term)]
#[case(Fault::WipedDiskVotes, wiped_replica)]
#[case(Fault::RestartedVotesAtOnce, voter_restarts_within_a_lease)]
#[case(Fault::LeaseFromArrival, delayed_responses)]
fn each_guard_is_needed_and_holds(#[case] fault: Fault, #[case] run_scenario: fn(u64, Fault) -> Cluster) {
    for seed in SEEDS {
        let cluster = run_scenario(seed, Fault::None);
        assert_eq!(cluster.oracle.violations, Vec::<String>::new(), "with the guard, seed {seed}");
    }
    let detected = SEEDS.filter(|seed| !run_scenario(*seed, fault).oracle.violations.is_empty()).count();
    println!("{fault:?}: detected with {detected} of {} seeds", SEEDS.count());
    assert!(detected > 0, "{fault:?} is not detected with any seed");
}
