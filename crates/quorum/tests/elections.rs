//! Bootstrap, elections, the lease and the log, with link cuts, freezes, restarts and transfers of leadership.

mod cluster;

use cluster::{Cluster, MachineId, TIMING};
use grebeusher_quorum::{BootstrapError, Group, ReplicaId, RestoredState, TransferLeadershipError};
use grebeusher_quorum::{Message, ProposeError, Replica};
use grebeusher_time::{Duration, Instant};
use rstest::rstest;

/// A time in which an election certainly ends.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Creates a cluster of three voters with one committed command. Returns the leader and the two others.
fn three_voters(seed: u64) -> (Cluster, MachineId, Vec<MachineId>) {
    let mut cluster = Cluster::new(seed, 3, 0);
    let leader = cluster.elect();
    cluster.propose(leader);
    cluster.run(Duration::from_millis(100));
    let others = cluster.others(&[leader]);
    (cluster, leader, others)
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(5)]
fn bootstrapped_partition_elects_a_leader_and_commits(#[case] voters: usize) {
    // Given a partition that was just bootstrapped
    let mut cluster = Cluster::new(7, voters, 0);
    // When it has a leader, and the leader is sent commands
    let leader = cluster.elect();
    for _ in 0..100 {
        cluster.propose(leader);
    }
    // Then all replicas apply all commands
    cluster.run(Duration::from_millis(200));
    for machine_id in cluster.machine_ids() {
        assert_eq!(cluster.machines[machine_id.0].application.state.commands, 100);
    }
    assert!(cluster.read(leader) >= Some(cluster.oracle.last_committed()));
}

#[test]
fn bootstrap_is_accepted_once() {
    // Given an empty replica
    let id = ReplicaId(5);
    let group = Group::of([id, ReplicaId(6), ReplicaId(7)]);
    let mut replica = Replica::new(id, RestoredState::default(), TIMING, 1, Instant(0));
    // When it is bootstrapped, then bootstrapping it again with the same group succeeds, and any other group is
    // rejected
    assert_eq!(replica.bootstrap(Group::of([ReplicaId(6)])), Err(BootstrapError::Invalid));
    assert_eq!(replica.bootstrap(group.clone()), Ok(()));
    assert_eq!(replica.bootstrap(group.clone()), Ok(()));
    assert_eq!(replica.bootstrap(Group::of([id])), Err(BootstrapError::AlreadyBootstrapped));
    // And its log starts with the group
    assert_eq!(replica.group(), &group);
    assert_eq!(replica.last().index.0, 1);
}

#[test]
fn interrupted_bootstrap_can_be_repeated() {
    // Given a disk that has the cluster id of a bootstrap, but not the entry
    let id = ReplicaId(5);
    let group = Group::of([id]);
    let mut replica = Replica::new(id, RestoredState::default(), TIMING, 1, Instant(0));
    replica.bootstrap(group.clone()).expect("the replica is empty");
    let ready = replica.take_ready();
    let Some(grebeusher_quorum::Write::HardState(hard_state)) = ready.writes.first() else {
        panic!("the hard state is not written first")
    };
    let restored = RestoredState { hard_state: *hard_state, ..RestoredState::default() };
    // When the replica is bootstrapped again
    let mut replica = Replica::new(id, restored, TIMING, 1, Instant(0));
    replica.bootstrap(group.clone()).expect("the group is the same");
    // Then its log has the entry
    assert_eq!(replica.group(), &group);
}

#[test]
fn empty_replica_waits_and_sends_nothing() {
    // Given a machine that is not in the group
    let mut cluster = Cluster::new(3, 3, 1);
    let empty = MachineId(3);
    // When the others have had a leader for some time
    cluster.elect();
    cluster.run(SETTLE_TIME);
    // Then the machine has no timer, and no message was sent to it
    assert_eq!(cluster.replica(empty).next_wake(), Instant(u64::MAX));
    assert_eq!(cluster.sent_to(empty).messages, 0);
    assert!(!cluster.machines[empty.0].has_ready());
}

#[test]
fn idle_heartbeats_cost_no_sync_and_two_messages_a_follower() {
    // Given a partition without commands
    let (mut cluster, leader, others) = three_voters(11);
    cluster.run(Duration::from_millis(200));
    let syncs: Vec<u64> = cluster.machines.iter().map(|machine| machine.syncs).collect();
    let sent = cluster.sent_to(others[0]).messages + cluster.sent_to(leader).messages;
    // When a second passes
    cluster.run(Duration::from_millis(1_000));
    // Then nothing was synced, and each heartbeat took one message and one response
    let after: Vec<u64> = cluster.machines.iter().map(|machine| machine.syncs).collect();
    assert_eq!(syncs, after);
    let messages = cluster.sent_to(others[0]).messages + cluster.sent_to(leader).messages - sent;
    assert!(messages <= 3 * 51, "{messages} messages");
}

#[test]
fn commands_waiting_for_a_sync_share_the_next_one() {
    // Given a leader whose disk is slow
    let (mut cluster, leader, _) = three_voters(12);
    cluster.sync = Duration::from_millis(30);
    let syncs = cluster.machines[leader.0].syncs;
    // When it is sent many commands at once
    for _ in 0..200 {
        cluster.propose(leader);
    }
    cluster.run(Duration::from_millis(300));
    // Then at most 4 syncs served all of them
    assert_eq!(cluster.machines[leader.0].application.state.commands, 201);
    assert!(cluster.machines[leader.0].syncs - syncs <= 4);
}

#[test]
fn another_leader_takes_over_when_the_leader_is_lost() {
    let (mut cluster, leader, others) = three_voters(13);
    // When the leader loses power and does not start again
    cluster.lose_power(leader);
    cluster.run_until(SETTLE_TIME, "a new leader", |cluster| cluster.leader().is_some());
    // Then another leader has all committed commands, and commits another one
    let successor = cluster.leader().expect("a leader was found before");
    assert!(others.contains(&successor));
    cluster.propose(successor);
    cluster.run(Duration::from_millis(100));
    assert_eq!(cluster.machines[successor.0].application.state.commands, 2);
}

#[test]
fn committed_entries_survive_power_loss_of_all_replicas() {
    let (mut cluster, leader, _) = three_voters(14);
    for _ in 0..50 {
        cluster.propose(leader);
    }
    cluster.run(Duration::from_millis(200));
    // When all machines lose power and start again
    for machine_id in cluster.machine_ids() {
        cluster.cut_power(machine_id, false);
    }
    for machine_id in cluster.machine_ids() {
        cluster.start(machine_id);
    }
    // Then the next leader has applied all commands
    let leader = cluster.elect();
    assert_eq!(cluster.machines[leader.0].application.state.commands, 51);
}

#[test]
fn frozen_leader_resumes_without_a_lease() {
    let (mut cluster, leader, _) = three_voters(15);
    // When the leader is frozen until the others have another leader, which commits a command
    cluster.freeze(leader);
    cluster.run(SETTLE_TIME);
    let successor = cluster.elect();
    cluster.propose(successor);
    cluster.run(Duration::from_millis(100));
    // Then the old leader answers no read when it resumes, not even before a message arrives
    assert!(!cluster.machines[leader.0].lease_holds(cluster.now));
    cluster.wake(leader);
    assert_eq!(cluster.read(leader), None);
    assert!(!cluster.replica(leader).is_leader());
    // And it follows the new leader
    cluster.run(SETTLE_TIME);
    assert_eq!(cluster.replica(leader).leader_hint(), Some(cluster.identity(successor)));
    assert_eq!(cluster.machines[leader.0].application.state.commands, 2);
}

#[test]
fn partitioned_leader_loses_its_uncommitted_entries() {
    let (mut cluster, leader, _) = three_voters(16);
    // Given a leader whose links are cut and that still accepts commands
    cluster.isolate(leader);
    for _ in 0..5 {
        cluster.propose(leader);
    }
    cluster.run(SETTLE_TIME);
    let successor = cluster.elect();
    assert_ne!(successor, leader);
    assert_eq!(cluster.read(leader), None);
    assert!(!cluster.replica(leader).is_leader(), "the leader stepped down");
    cluster.propose(successor);
    // When the links are reconnected
    cluster.reconnect_all_links();
    cluster.run(SETTLE_TIME);
    // Then all machines have applied the same commands
    for machine_id in cluster.machine_ids() {
        assert_eq!(cluster.machines[machine_id.0].application.state.commands, 2);
    }
}

#[test]
fn leader_without_responses_steps_down() {
    let (mut cluster, leader, others) = three_voters(17);
    // When the messages of the leader arrive, but no response reaches it
    others.iter().for_each(|other| cluster.network.cut(*other, leader));
    // Then another voter becomes leader
    cluster.run_until(Duration::from_millis(2_000), "another leader", |cluster| {
        cluster.leader().is_some_and(|new| new != leader)
    });
    assert_eq!(cluster.read(leader), None);
}

#[rstest]
#[case::both_ways(true)]
#[case::one_way(false)]
fn partitioned_follower_does_not_disturb_the_leader(#[case] both_ways: bool) {
    let (mut cluster, leader, others) = three_voters(18);
    let term = cluster.newest_term();
    // When no message reaches a follower for 5 seconds, and then the links are reconnected
    for machine_id in [leader, others[1]] {
        cluster.network.cut(machine_id, others[0]);
        if both_ways {
            cluster.network.cut(others[0], machine_id);
        }
    }
    cluster.run(Duration::from_millis(5_000));
    cluster.reconnect_all_links();
    cluster.run(SETTLE_TIME);
    // Then the leader is still the leader of the same term
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.newest_term(), term);
}

#[test]
fn follower_that_only_the_leader_cannot_reach_does_not_disturb_it() {
    let (mut cluster, leader, others) = three_voters(26);
    let term = cluster.newest_term();
    // When the link between a follower and the leader is cut, while the third voter reaches both
    cluster.partition(leader, others[0]);
    cluster.run(Duration::from_millis(5_000));
    // Then the third voter keeps following the leader, whose lease holds by its responses
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.newest_term(), term);
}

#[test]
fn messages_for_others_are_dropped() {
    // Given heartbeats of a much newer term
    let (mut cluster, leader, others) = three_voters(19);
    let before = cluster.replica(leader).term();
    let heartbeat = |from, to, cluster_id| Message {
        from,
        to,
        cluster_id,
        term: grebeusher_quorum::Term(99),
        body: grebeusher_quorum::Body::Append(grebeusher_quorum::Append {
            previous: Default::default(),
            commit: Default::default(),
            sent: Default::default(),
            entries: Vec::new(),
        }),
    };
    let (from, to) = (cluster.identity(others[0]), cluster.identity(leader));
    let own_cluster_id = cluster.replica(leader).cluster_id().expect("the replica was bootstrapped");
    let other_cluster_id = Group::of([ReplicaId(1)]).cluster_id();
    // When one arrives from another cluster, one for another replica, one whose sender is not the one it names, and one
    // from the replica itself
    for (message, sender) in [
        (heartbeat(from, to, other_cluster_id), from),
        (heartbeat(from, ReplicaId(77), own_cluster_id), from),
        (heartbeat(from, to, own_cluster_id), ReplicaId(78)),
        (heartbeat(to, to, own_cluster_id), to),
    ] {
        cluster.call(leader, |replica, now| replica.receive(now, sender, message));
    }
    // Then nothing has changed
    assert_eq!(cluster.replica(leader).term(), before);
    assert!(cluster.replica(leader).is_leader());
}

#[test]
fn leadership_transfer_causes_no_outage() {
    let (mut cluster, leader, others) = three_voters(20);
    // When the leader transfers its leadership, for example before its process ends
    let target = cluster
        .call(leader, |replica, now| replica.transfer_leadership(now, None))
        .expect("another voter can take over");
    // Then it rejects commands, and the error names the target
    let rejected = cluster.call(leader, |replica, now| replica.propose(now, vec![1; 9]));
    assert!(
        matches!(rejected, Err(ProposeError::NotLeader { hint }) if hint == Some(target) || hint.is_none())
    );
    // And the target is leader within 60 ms, far sooner than an election timeout
    cluster.run_until(Duration::from_millis(60), "a new leader", |cluster| {
        cluster.leader().is_some_and(|new| new != leader)
    });
    assert!(others.contains(&cluster.leader().expect("a leader was found before")));
}

#[test]
fn transfer_to_an_unreachable_voter_ends_with_a_leader() {
    let (mut cluster, leader, others) = three_voters(21);
    // Given a target that loses power when it is sent TimeoutNow
    let target = cluster.identity(others[0]);
    cluster
        .call(leader, |replica, now| replica.transfer_leadership(now, Some(target)))
        .expect("the target is a voter");
    cluster.lose_power(others[0]);
    // Then the leader answers no reads for the rest of its term
    assert_eq!(cluster.read(leader), None);
    // And there is a leader again within a second
    cluster.run_until(Duration::from_millis(1_000), "a leader", |cluster| cluster.leader().is_some());
    let leader = cluster.leader().expect("a leader was found before");
    cluster.propose(leader);
    cluster.run(Duration::from_millis(100));
    assert_eq!(cluster.machines[leader.0].application.state.commands, 2);
}

#[test]
fn transfer_to_a_voter_that_does_not_catch_up_is_aborted() {
    let (mut cluster, leader, others) = three_voters(27);
    // Given a target that is powered off and lacks the last command
    cluster.lose_power(others[0]);
    cluster.propose(leader);
    let target = cluster.identity(others[0]);
    cluster
        .call(leader, |replica, now| replica.transfer_leadership(now, Some(target)))
        .expect("the target is a voter");
    let rejected = cluster.call(leader, |replica, now| replica.propose(now, vec![1; 9]));
    assert_eq!(rejected, Err(ProposeError::NotLeader { hint: Some(target) }));
    let other = cluster.identity(others[1]);
    let again = cluster.call(leader, |replica, now| replica.transfer_leadership(now, Some(other)));
    assert_eq!(again, Err(TransferLeadershipError::InProgress));
    // When the deadline of the transfer has passed
    cluster.run(Duration::from_millis(500));
    // Then the leader continues as before, because it never gave up its lease
    assert_eq!(cluster.leader(), Some(leader));
    assert!(cluster.call(leader, |replica, now| replica.propose(now, vec![1; 9])).is_ok());
}

#[test]
fn leadership_is_transferred_to_voters_only() {
    let (mut cluster, leader, others) = three_voters(22);
    let try_transfer = |cluster: &mut Cluster, machine_id, to| {
        cluster.call(machine_id, |replica, now| replica.transfer_leadership(now, to))
    };
    assert_eq!(
        try_transfer(&mut cluster, leader, Some(ReplicaId(1))),
        Err(TransferLeadershipError::NoTarget)
    );
    let leader_identity = cluster.identity(leader);
    assert_eq!(
        try_transfer(&mut cluster, leader, Some(leader_identity)),
        Err(TransferLeadershipError::NoTarget)
    );
    let hint = Some(leader_identity);
    assert_eq!(try_transfer(&mut cluster, others[0], None), Err(TransferLeadershipError::NotLeader { hint }));
}

#[test]
fn slow_disk_of_one_voter_does_not_delay_commits() {
    // Given a frozen follower, which behaves like one whose disk takes very long
    let (mut cluster, leader, others) = three_voters(23);
    cluster.freeze(others[0]);
    // When the leader is sent commands
    for _ in 0..20 {
        cluster.propose(leader);
        cluster.run(Duration::from_millis(10));
    }
    // Then the other two commit them
    assert_eq!(cluster.machines[leader.0].application.state.commands, 21);
}

#[test]
fn leader_bounds_its_uncommitted_entries() {
    // Given a leader without a quorum
    let (mut cluster, leader, _) = three_voters(24);
    cluster.isolate(leader);
    // When it is sent more and more commands
    let rejected = cluster.call(leader, |replica, now| {
        (0..100).map(|_| replica.propose(now, vec![7; 1024 * 1024])).find_map(Result::err)
    });
    // Then it rejects them once the limit of uncommitted bytes is reached
    assert_eq!(rejected, Some(ProposeError::Busy));
    let rejected = cluster.call(leader, |replica, now| replica.propose(now, vec![7; 5 * 1024 * 1024]));
    assert_eq!(rejected, Err(ProposeError::TooLarge { size: 5 * 1024 * 1024 }));
}

#[test]
fn lossy_duplicating_and_reordering_links_only_cost_time() {
    // Given links that lose, duplicate and reorder messages
    let mut cluster = Cluster::new(25, 5, 0);
    cluster.network.loss = 0.2;
    cluster.network.duplication = 0.2;
    cluster.network.delay = Duration::from_millis(15);
    // When clients propose for 4 seconds, and then the links lose no more messages
    cluster.propose_for(Duration::from_millis(4_000), Duration::from_millis(5));
    cluster.network.loss = 0.0;
    let leader = cluster.elect();
    cluster.propose(leader);
    cluster.run(Duration::from_millis(500));
    // Then all machines have applied the same commands
    let machine_ids = cluster.machine_ids();
    cluster.settle(&machine_ids, SETTLE_TIME);
    assert!(cluster.oracle.commands() > 300, "{} commands", cluster.oracle.commands());
}
