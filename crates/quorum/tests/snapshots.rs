//! Compaction of the log, and how replicas that are behind catch up.

mod cluster;

use cluster::{Cluster, MachineId};
use grebeusher_quorum::{CompactError, Index};
use grebeusher_time::Duration;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_millis(3_000);

/// The most bytes that may be sent to a member that was off, if the state is small.
const MAX_SENT: u64 = 256 * 1024;

/// Commits 4.8 MB of commands.
fn commit_large_commands(cluster: &mut Cluster) {
    for _ in 0..40 {
        let leader = cluster.elect();
        let mut bytes = cluster.fresh_command();
        bytes.resize(120_000, 3);
        cluster.propose_bytes(leader, bytes);
        cluster.run(Duration::from_millis(10));
    }
}

/// Creates three voters with snapshots of several chunks. One of them is powered off while the others commit 4.8 MB.
fn one_far_behind(seed: u64) -> (Cluster, MachineId) {
    let mut cluster = Cluster::new(seed, 3, 0);
    cluster.commands_between_snapshots = 10;
    cluster.machines.iter_mut().for_each(|machine| machine.snapshot_padding = 3_000_000);
    let leader = cluster.elect();
    let behind = cluster.others(&[leader])[0];
    cluster.lose_power(behind);
    commit_large_commands(&mut cluster);
    (cluster, behind)
}

#[test]
fn follower_far_behind_gets_the_snapshot_in_chunks() {
    let (mut cluster, behind) = one_far_behind(1);
    // When it starts again
    cluster.start(behind);
    cluster.settle(&[behind], TIMEOUT);
    // Then it has all commands and a snapshot, and no message was larger than 300 KiB
    assert!(cluster.replica(behind).snapshot_index() > Index(10));
    assert_eq!(cluster.machines[behind.0].application.state.commands, 40);
    assert!(cluster.sent_to(behind).largest < 300 * 1024, "{:?}", cluster.sent_to(behind));
    // And it has them after a restart too
    cluster.restart(behind);
    cluster.settle(&[behind], TIMEOUT);
}

#[test]
fn snapshot_arrives_over_lossy_links() {
    let (mut cluster, behind) = one_far_behind(2);
    // When it starts again behind links that lose, duplicate and reorder messages
    cluster.network.loss = 0.3;
    cluster.network.duplication = 0.2;
    cluster.network.delay = Duration::from_millis(10);
    cluster.start(behind);
    // Then it applies all committed entries within 30 seconds
    cluster.settle(&[behind], Duration::from_millis(30_000));
}

#[test]
fn snapshot_transfer_restarts_under_another_leader() {
    let (mut cluster, behind) = one_far_behind(3);
    // Given a follower that catches up over a slow link
    let leader = cluster.elect();
    cluster.network.extra_delay.insert((leader, behind), Duration::from_millis(40));
    cluster.start(behind);
    cluster.run(Duration::from_millis(150));
    assert_eq!(cluster.replica(behind).snapshot_index(), Index(0));
    // When the leader loses power, so that the next leader needs the follower for a quorum
    cluster.lose_power(leader);
    // Then the follower catches up from the next leader
    cluster.run_until(Duration::from_millis(6_000), "a leader", |cluster| cluster.leader().is_some());
    cluster.settle(&[behind], TIMEOUT);
}

#[test]
fn receiver_restarts_during_a_snapshot() {
    let (mut cluster, behind) = one_far_behind(4);
    let leader = cluster.elect();
    cluster.network.extra_delay.insert((leader, behind), Duration::from_millis(40));
    cluster.start(behind);
    // When the follower restarts in the middle of the transfer, which loses what was only in memory
    cluster.run(Duration::from_millis(150));
    cluster.restart(behind);
    // Then it catches up after the restart
    cluster.settle(&[behind], Duration::from_millis(6_000));
}

#[test]
fn follower_slightly_behind_gets_entries() {
    let mut cluster = Cluster::new(5, 3, 0);
    cluster.commands_between_snapshots = 5;
    let leader = cluster.elect();
    let behind = cluster.others(&[leader])[0];
    cluster.isolate(behind);
    // Given a follower that missed some small commands, which are already in a snapshot of the leader
    for _ in 0..20 {
        cluster.propose(leader);
        cluster.run(Duration::from_millis(5));
    }
    assert!(cluster.replica(leader).snapshot_index() > Index(10));
    let own_snapshot = cluster.replica(behind).snapshot_index();
    // When its links are reconnected
    cluster.reconnect_all_links();
    cluster.settle(&[behind], TIMEOUT);
    // Then it was sent the entries: it loaded no snapshot
    assert_eq!(cluster.machines[behind.0].snapshots_loaded, 0);
    assert!(own_snapshot < Index(10));
}

#[test]
fn dead_follower_gets_few_messages() {
    let (mut cluster, behind) = one_far_behind(6);
    cluster.run(Duration::from_millis(1_000));
    let before = cluster.sent_to(behind);
    // When it stays off for 3 seconds while commands continue
    for _ in 0..100 {
        let leader = cluster.elect();
        cluster.propose(leader);
        cluster.run(Duration::from_millis(30));
    }
    // Then it was sent little more than heartbeats
    let bytes = cluster.sent_to(behind).bytes - before.bytes;
    assert!(bytes < 100_000, "{bytes} bytes were sent to the follower that is off");
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
    // When the others commit 8 MB, in large commands and in small ones
    for size in [[100_000; 80], [100; 80]].concat() {
        let mut bytes = cluster.fresh_command();
        bytes.resize(size, 3);
        cluster.propose_bytes(leader, bytes);
        cluster.run(Duration::from_millis(5));
    }
    // Then it was sent no more than the limit of bytes in flight
    let bytes = cluster.sent_to(frozen).bytes - before.bytes;
    assert!(bytes < 1_500_000, "{bytes} bytes were sent to the frozen follower");
    // And it is sent the rest when it resumes
    cluster.wake(frozen);
    cluster.settle(&[frozen], TIMEOUT);
}

#[test]
fn follower_that_never_responded_gets_no_repeated_entries() {
    let mut cluster = Cluster::new(10, 3, 0);
    let powered_off = MachineId(2);
    cluster.lose_power(powered_off);
    // Given a leader that one of its followers has never answered
    let leader = cluster.elect();
    for _ in 0..3 {
        let mut bytes = cluster.fresh_command();
        bytes.resize(100_000, 3);
        cluster.propose_bytes(leader, bytes);
    }
    // When 3 seconds pass
    cluster.run(Duration::from_millis(3_000));
    // Then the follower was sent less than two copies of the entries
    let bytes = cluster.sent_to(powered_off).bytes;
    assert!(bytes < 600_000, "{bytes} bytes were sent to the follower that is off");
}

#[test]
fn many_commands_are_sent_in_bounded_messages() {
    let mut cluster = Cluster::new(7, 3, 0);
    let leader = cluster.elect();
    // When a leader is sent 6 MB of commands at once
    for _ in 0..60 {
        let mut bytes = cluster.fresh_command();
        bytes.resize(100_000, 3);
        cluster.propose_bytes(leader, bytes);
    }
    let machine_ids = cluster.machine_ids();
    cluster.run(Duration::from_millis(300));
    cluster.settle(&machine_ids, TIMEOUT);
    // Then no message was larger than 300 KiB
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
    // Given a member that was off while this many small commands were committed, most of which are only in snapshots
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
    // When it starts again, then it has applied all of them within 400 ms, whatever their number
    cluster.start(behind);
    let before = cluster.sent_to(behind).bytes;
    cluster.settle(&[behind], Duration::from_millis(400));
    assert_eq!(cluster.machines[behind.0].application.state.commands, changes);
    let bytes = cluster.sent_to(behind).bytes - before;
    assert!(bytes < MAX_SENT, "{changes} changes: {bytes} bytes");
    // And the log that it keeps has at most 150 entries
    assert!(cluster.replica(behind).last().index.0 - cluster.replica(behind).snapshot_index().0 <= 150);
}

#[test]
fn restarting_receiver_catches_up_while_changes_continue() {
    let (mut cluster, behind) = one_far_behind(10);
    let leader = cluster.elect();
    cluster.network.extra_delay.insert((leader, behind), Duration::from_millis(20));
    // When it restarts again and again in the middle of catching up, while the others continue
    for _ in 0..8 {
        cluster.start(behind);
        for _ in 0..6 {
            let leader = cluster.elect();
            cluster.propose(leader);
            cluster.run(Duration::from_millis(20));
        }
        cluster.lose_power(behind);
    }
    // Then it catches up as soon as it stays on
    cluster.start(behind);
    cluster.settle(&[behind], Duration::from_millis(6_000));
}

#[rstest]
fn member_restored_by_a_snapshot_leads_with_all_committed_entries(#[values(1, 2, 3, 4, 5)] seed: u64) {
    // Given a member that has just caught up from the leader
    let (mut cluster, behind) = one_far_behind(seed);
    cluster.start(behind);
    // Chunks that overtake each other, which does not happen on a real link, are sent again only after 10 heartbeats.
    cluster.settle(&[behind], Duration::from_millis(6_000));
    let commands = cluster.machines[behind.0].application.state.commands;
    // When the other two lose power, and only one of them starts again, so that the member is needed for each quorum
    let leader = cluster.elect();
    let third = cluster.others(&[leader, behind])[0];
    cluster.lose_power(leader);
    cluster.lose_power(third);
    cluster.start(third);
    // Then the next leader has all commands, and the oracle finds no committed entry that changed
    let leader = cluster.elect();
    cluster.propose(leader);
    cluster.run(Duration::from_millis(100));
    assert_eq!(cluster.machines[leader.0].application.state.commands, commands + 1);
}

#[test]
fn large_snapshot_does_not_replace_available_entries() {
    // Given a member that is behind by 4.8 MB of entries, while a snapshot has 3 MB
    let (mut cluster, behind) = one_far_behind(11);
    // When it starts again
    cluster.start(behind);
    cluster.settle(&[behind], Duration::from_millis(6_000));
    // Then it was sent the entries: those that arrived stay if the leader changes, while a snapshot starts again
    assert_eq!(cluster.machines[behind.0].snapshots_loaded, 0);
}
