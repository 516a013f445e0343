//! Compaction, and the way back of those who are far behind.

mod cluster;

use cluster::{Cluster, MachineId};
use grebeusher_quorum::{CompactError, Index};
use grebeusher_time::Duration;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_millis(3_000);

/// What a member that was away is sent at most where the state is small, in bytes.
const MAX_SENT: u64 = 256 * 1024;

/// More than the entries that a leader keeps for those a little behind.
fn move_far_ahead(cluster: &mut Cluster) {
    for _ in 0..40 {
        let leader = cluster.elect();
        let mut bytes = cluster.fresh_command();
        bytes.resize(120_000, 3);
        cluster.propose_bytes(leader, bytes);
        cluster.run(Duration::from_millis(10));
    }
}

/// Three voters whose snapshots take several chunks, one of them off while the others have gone far ahead.
fn one_far_behind(seed: u64) -> (Cluster, MachineId) {
    let mut cluster = Cluster::new(seed, 3, 0);
    cluster.commands_between_snapshots = 10;
    cluster.machines.iter_mut().for_each(|machine| machine.snapshot_padding = 3_000_000);
    let leader = cluster.elect();
    let behind = cluster.others(&[leader])[0];
    cluster.lose_power(behind);
    move_far_ahead(&mut cluster);
    (cluster, behind)
}

#[test]
fn follower_far_behind_gets_the_snapshot_in_chunks() {
    let (mut cluster, behind) = one_far_behind(1);
    // When it is back
    cluster.start(behind);
    cluster.settle(&[behind], TIMEOUT);
    // Then it went by the snapshot, and no message was larger than a chunk and its surroundings
    assert!(cluster.replica(behind).snapshot_index() > Index(10));
    assert_eq!(cluster.machines[behind.0].application.state.commands, 40);
    assert!(cluster.sent_to(behind).largest < 300 * 1024, "{:?}", cluster.sent_to(behind));
    // And after a restart it has all of it
    cluster.restart(behind);
    cluster.settle(&[behind], TIMEOUT);
}

#[test]
fn snapshot_arrives_over_lossy_links() {
    let (mut cluster, behind) = one_far_behind(2);
    // When it is back behind links that lose, double and reorder
    cluster.network.loss = 0.3;
    cluster.network.duplication = 0.2;
    cluster.network.delay = Duration::from_millis(10);
    cluster.start(behind);
    // Then it has everything in the end
    cluster.settle(&[behind], Duration::from_millis(30_000));
}

#[test]
fn snapshot_transfer_restarts_under_another_leader() {
    let (mut cluster, behind) = one_far_behind(3);
    // Given a snapshot that is on its way
    let leader = cluster.elect();
    cluster.network.extra_delay.insert((leader, behind), Duration::from_millis(40));
    cluster.start(behind);
    cluster.run(Duration::from_millis(150));
    assert_eq!(cluster.replica(behind).snapshot_index(), Index(0));
    // When its leader is lost: its heir needs the one that is behind for a quorum
    cluster.lose_power(leader);
    // Then it gets all of it from the heir
    cluster.run_until(Duration::from_millis(6_000), "a leader", |cluster| cluster.leader().is_some());
    cluster.settle(&[behind], TIMEOUT);
}

#[test]
fn receiver_restarts_during_a_snapshot() {
    let (mut cluster, behind) = one_far_behind(4);
    let leader = cluster.elect();
    cluster.network.extra_delay.insert((leader, behind), Duration::from_millis(40));
    cluster.start(behind);
    // When it restarts with some chunks, which are only in memory
    cluster.run(Duration::from_millis(150));
    cluster.restart(behind);
    // Then it starts anew and gets there
    cluster.settle(&[behind], Duration::from_millis(6_000));
}

#[test]
fn follower_slightly_behind_gets_entries() {
    let mut cluster = Cluster::new(5, 3, 0);
    cluster.commands_between_snapshots = 5;
    let leader = cluster.elect();
    let behind = cluster.others(&[leader])[0];
    cluster.isolate(behind);
    // Given a follower that missed some small commands, which are in a snapshot already
    for _ in 0..20 {
        cluster.propose(leader);
        cluster.run(Duration::from_millis(5));
    }
    assert!(cluster.replica(leader).snapshot_index() > Index(10));
    let own_snapshot = cluster.replica(behind).snapshot_index();
    // When it is back
    cluster.reconnect_all_links();
    cluster.settle(&[behind], TIMEOUT);
    // Then it went by the entries: it had no state to load
    assert_eq!(cluster.machines[behind.0].snapshots_loaded, 0);
    assert!(own_snapshot < Index(10));
}

#[test]
fn dead_follower_gets_few_messages() {
    let (mut cluster, behind) = one_far_behind(6);
    cluster.run(Duration::from_millis(1_000));
    let before = cluster.sent_to(behind);
    // When seconds pass without it, and commands go on
    for _ in 0..100 {
        let leader = cluster.elect();
        cluster.propose(leader);
        cluster.run(Duration::from_millis(30));
    }
    // Then it was sent heartbeats, hardly more
    let bytes = cluster.sent_to(behind).bytes - before.bytes;
    assert!(bytes < 100_000, "{bytes} bytes to the dead");
}

#[test]
fn unresponsive_follower_gets_at_most_one_window() {
    let mut cluster = Cluster::new(9, 3, 0);
    let leader = cluster.elect();
    cluster.run(Duration::from_millis(200));
    let frozen = cluster.others(&[leader])[0];
    // Given a follower that freezes
    cluster.freeze(frozen);
    let before = cluster.sent_to(frozen);
    // When the others decide megabytes, in large commands and in many small ones
    for size in [[100_000; 80], [100; 80]].concat() {
        let mut bytes = cluster.fresh_command();
        bytes.resize(size, 3);
        cluster.propose_bytes(leader, bytes);
        cluster.run(Duration::from_millis(5));
    }
    // Then it has been sent a window
    let bytes = cluster.sent_to(frozen).bytes - before.bytes;
    assert!(bytes < 1_500_000, "{bytes} bytes to the frozen");
    // And gets the rest when it wakes
    cluster.wake(frozen);
    cluster.settle(&[frozen], TIMEOUT);
}

#[test]
fn follower_that_never_responded_gets_no_repeated_entries() {
    let mut cluster = Cluster::new(10, 3, 0);
    let dead = MachineId(2);
    cluster.lose_power(dead);
    // Given a leader that has never heard of one of its followers
    let leader = cluster.elect();
    for _ in 0..3 {
        let mut bytes = cluster.fresh_command();
        bytes.resize(100_000, 3);
        cluster.propose_bytes(leader, bytes);
    }
    // When seconds pass
    cluster.run(Duration::from_millis(3_000));
    // Then it has been sent the entries hardly more than once
    let bytes = cluster.sent_to(dead).bytes;
    assert!(bytes < 600_000, "{bytes} bytes to the dead");
}

#[test]
fn many_commands_are_sent_in_bounded_messages() {
    let mut cluster = Cluster::new(7, 3, 0);
    let leader = cluster.elect();
    // When a leader is given megabytes at once
    for _ in 0..60 {
        let mut bytes = cluster.fresh_command();
        bytes.resize(100_000, 3);
        cluster.propose_bytes(leader, bytes);
    }
    let machine_ids = cluster.machine_ids();
    cluster.run(Duration::from_millis(300));
    cluster.settle(&machine_ids, TIMEOUT);
    // Then no message was larger than the bound and its surroundings
    for machine_id in machine_ids {
        assert!(cluster.sent_to(machine_id).largest < 300 * 1024, "{:?}", cluster.sent_to(machine_id));
    }
}

#[test]
fn snapshot_of_unapplied_entries_is_rejected() {
    let mut cluster = Cluster::new(8, 3, 0);
    let leader = cluster.elect();
    cluster.propose(leader);
    cluster.run(Duration::from_millis(100));
    let applied = cluster.machines[leader.0].application.applied;
    let compact =
        |cluster: &mut Cluster, index| cluster.call(leader, |replica, _| replica.compact(index, vec![0; 16]));
    assert_eq!(compact(&mut cluster, applied.next()), Err(CompactError::NotApplied { applied }));
    assert_eq!(compact(&mut cluster, applied), Ok(()));
    assert_eq!(compact(&mut cluster, applied), Err(CompactError::Outdated { snapshot: applied }));
}

#[rstest]
#[case(10)]
#[case(100)]
#[case(1_000)]
#[case(5_000)]
fn catching_up_takes_equally_long_after_many_changes(#[case] changes: u64) {
    // Given a member that was away while so many small changes were made, which snapshots have taken the place of
    let mut cluster = Cluster::new(9, 3, 0);
    cluster.commands_between_snapshots = 50;
    let leader = cluster.elect();
    let behind = cluster.others(&[leader])[0];
    cluster.lose_power(behind);
    for _ in 0..changes {
        let leader = cluster.elect();
        cluster.propose(leader);
        cluster.run(Duration::from_millis(5));
    }
    // When it is back, then it has all of them within a blink, however many they were
    cluster.start(behind);
    let before = cluster.sent_to(behind).bytes;
    cluster.settle(&[behind], Duration::from_millis(400));
    assert_eq!(cluster.machines[behind.0].application.state.commands, changes);
    let bytes = cluster.sent_to(behind).bytes - before;
    assert!(bytes < MAX_SENT, "{changes} changes: {bytes} bytes");
    // And the log that it keeps is bounded
    assert!(cluster.replica(behind).last().index.0 - cluster.replica(behind).snapshot_index().0 <= 150);
}

#[test]
fn restarting_receiver_catches_up_while_changes_continue() {
    let (mut cluster, behind) = one_far_behind(10);
    let leader = cluster.elect();
    cluster.network.extra_delay.insert((leader, behind), Duration::from_millis(20));
    // When it restarts with a part of the snapshot each time, and the others go on
    for _ in 0..8 {
        cluster.start(behind);
        for _ in 0..6 {
            let leader = cluster.elect();
            cluster.propose(leader);
            cluster.run(Duration::from_millis(20));
        }
        cluster.lose_power(behind);
    }
    // Then it has everything as soon as it stays
    cluster.start(behind);
    cluster.settle(&[behind], Duration::from_millis(6_000));
}

#[rstest]
fn member_restored_by_a_snapshot_leads_with_all_committed_entries(#[values(1, 2, 3, 4, 5)] seed: u64) {
    // Given a member that has just been restored by a snapshot of the leader's
    let (mut cluster, behind) = one_far_behind(seed);
    cluster.start(behind);
    // Pieces that overtake each other, as they never do on a link, go again only after some heartbeats.
    cluster.settle(&[behind], Duration::from_millis(6_000));
    let commands = cluster.machines[behind.0].application.state.commands;
    // When the other two lose power, one of them for good, so that it is needed for each decision
    let leader = cluster.elect();
    let third = cluster.others(&[leader, behind])[0];
    cluster.lose_power(leader);
    cluster.lose_power(third);
    cluster.start(third);
    // Then whoever leads has all of it, and the oracle finds nothing that was taken back
    let leader = cluster.elect();
    cluster.propose(leader);
    cluster.run(Duration::from_millis(100));
    assert_eq!(cluster.machines[leader.0].application.state.commands, commands + 1);
}

#[test]
fn large_snapshot_does_not_replace_available_entries() {
    // Given a member that is behind by 4.8 MB of entries, and a state of 3 MB
    let (mut cluster, behind) = one_far_behind(11);
    // When it is back
    cluster.start(behind);
    cluster.settle(&[behind], Duration::from_millis(6_000));
    // Then it went by the entries, each of which stays though the leader changes in the middle: a snapshot begins anew
    assert_eq!(cluster.machines[behind.0].snapshots_loaded, 0);
}
