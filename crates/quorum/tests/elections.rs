//! Foundings, elections, the lease and the log, under cuts, freezes, restarts and the handing over of the leadership.

mod cluster;

use cluster::{Cluster, MachineId, TIMING};
use grebeusher_quorum::{BootstrapError, Group, ReplicaId, RestoredState, TransferLeadershipError};
use grebeusher_quorum::{Message, ProposeError, Replica};
use grebeusher_time::{Duration, Instant};
use rstest::rstest;

/// Long enough for an election and some more.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// A world of three with a leader that has committed something; the leader and the others.
fn three(seed: u64) -> (Cluster, MachineId, Vec<MachineId>) {
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
    // When it has a leader, and that one is given commands
    let leader = cluster.elect();
    for _ in 0..100 {
        cluster.propose(leader);
    }
    // Then all replicas apply all of them
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
    // When it is bootstrapped, the same again is fine, and anything else is rejected
    assert_eq!(replica.bootstrap(Group::of([ReplicaId(6)])), Err(BootstrapError::Invalid));
    assert_eq!(replica.bootstrap(group.clone()), Ok(()));
    assert_eq!(replica.bootstrap(group.clone()), Ok(()));
    assert_eq!(replica.bootstrap(Group::of([id])), Err(BootstrapError::AlreadyBootstrapped));
    // Then its log starts with the group
    assert_eq!(replica.group(), &group);
    assert_eq!(replica.last().index.0, 1);
}

#[test]
fn interrupted_bootstrap_can_be_repeated() {
    // Given a disk that kept the cluster id of a bootstrap, and not the entry
    let id = ReplicaId(5);
    let group = Group::of([id]);
    let mut replica = Replica::new(id, RestoredState::default(), TIMING, 1, Instant(0));
    replica.bootstrap(group.clone()).expect("the replica is empty");
    let ready = replica.take_ready();
    let Some(grebeusher_quorum::Write::HardState(hard_state)) = ready.writes.first() else {
        panic!("the hard state comes first")
    };
    let restored = RestoredState { hard_state: *hard_state, ..RestoredState::default() };
    // When it is bootstrapped again
    let mut replica = Replica::new(id, restored, TIMING, 1, Instant(0));
    replica.bootstrap(group.clone()).expect("the group is the same");
    // Then it has the entry
    assert_eq!(replica.group(), &group);
}

#[test]
fn empty_replica_waits_and_sends_nothing() {
    // Given a machine that no group names
    let mut cluster = Cluster::new(3, 3, 1);
    let empty = MachineId(3);
    // When the others have long been at work
    cluster.elect();
    cluster.run(SETTLE_TIME);
    // Then it has no timer and nobody has talked to it
    assert_eq!(cluster.replica(empty).next_wake(), Instant(u64::MAX));
    assert_eq!(cluster.sent_to(empty).messages, 0);
    assert!(!cluster.machines[empty.0].has_ready());
}

#[test]
fn idle_heartbeats_cost_no_sync_and_two_messages_a_follower() {
    // Given a partition that is quiet
    let (mut cluster, leader, others) = three(11);
    cluster.run(Duration::from_millis(200));
    let syncs: Vec<u64> = cluster.machines.iter().map(|machine| machine.syncs).collect();
    let sent = cluster.sent_to(others[0]).messages + cluster.sent_to(leader).messages;
    // When a second passes
    cluster.run(Duration::from_millis(1_000));
    // Then nothing was synced, and each heartbeat was one message and one answer
    let after: Vec<u64> = cluster.machines.iter().map(|machine| machine.syncs).collect();
    assert_eq!(syncs, after);
    let messages = cluster.sent_to(others[0]).messages + cluster.sent_to(leader).messages - sent;
    assert!(messages <= 3 * 51, "{messages} messages");
}

#[test]
fn commands_waiting_for_a_sync_share_the_next_one() {
    // Given a leader whose disk is slow
    let (mut cluster, leader, _) = three(12);
    cluster.sync = Duration::from_millis(30);
    let syncs = cluster.machines[leader.0].syncs;
    // When it is given many commands at once
    for _ in 0..200 {
        cluster.propose(leader);
    }
    cluster.run(Duration::from_millis(300));
    // Then few syncs served them all
    assert_eq!(cluster.machines[leader.0].application.state.commands, 201);
    assert!(cluster.machines[leader.0].syncs - syncs <= 4);
}

#[test]
fn another_leader_takes_over_when_the_leader_is_lost() {
    let (mut cluster, leader, others) = three(13);
    // When the leader loses power for good
    cluster.lose_power(leader);
    cluster.run_until(SETTLE_TIME, "a new leader", |cluster| cluster.leader().is_some());
    // Then another one has all that was committed, and commits more
    let successor = cluster.leader().expect("a leader was found before");
    assert!(others.contains(&successor));
    cluster.propose(successor);
    cluster.run(Duration::from_millis(100));
    assert_eq!(cluster.machines[successor.0].application.state.commands, 2);
}

#[test]
fn committed_entries_survive_power_loss_of_all_replicas() {
    let (mut cluster, leader, _) = three(14);
    for _ in 0..50 {
        cluster.propose(leader);
    }
    cluster.run(Duration::from_millis(200));
    // When all lose power and come back
    for machine_id in cluster.machine_ids() {
        cluster.cut_power(machine_id, false);
    }
    for machine_id in cluster.machine_ids() {
        cluster.start(machine_id);
    }
    // Then the next leader shows it all
    let leader = cluster.elect();
    assert_eq!(cluster.machines[leader.0].application.state.commands, 51);
}

#[test]
fn frozen_leader_resumes_without_a_lease() {
    let (mut cluster, leader, _) = three(15);
    // When the leader freezes until the others have another one, which decides something
    cluster.freeze(leader);
    cluster.run(SETTLE_TIME);
    let successor = cluster.elect();
    cluster.propose(successor);
    cluster.run(Duration::from_millis(100));
    // Then it answers no read when it wakes, not even before it has heard of anybody
    assert!(!cluster.machines[leader.0].lease_holds(cluster.now));
    cluster.wake(leader);
    assert_eq!(cluster.read(leader), None);
    assert!(!cluster.replica(leader).is_leader());
    // And it follows
    cluster.run(SETTLE_TIME);
    assert_eq!(cluster.replica(leader).leader_hint(), Some(cluster.identity(successor)));
    assert_eq!(cluster.machines[leader.0].application.state.commands, 2);
}

#[test]
fn partitioned_leader_loses_its_uncommitted_entries() {
    let (mut cluster, leader, _) = three(16);
    // Given a leader that is cut off and still takes commands
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
    // When the cut is over
    cluster.reconnect_all_links();
    cluster.run(SETTLE_TIME);
    // Then all have the same
    for machine_id in cluster.machine_ids() {
        assert_eq!(cluster.machines[machine_id.0].application.state.commands, 2);
    }
}

#[test]
fn leader_without_responses_steps_down() {
    let (mut cluster, leader, others) = three(17);
    // When the leader is heard, and hears nobody
    others.iter().for_each(|other| cluster.network.cut(*other, leader));
    // Then another one takes over
    cluster.run_until(Duration::from_millis(2_000), "another leader", |cluster| {
        cluster.leader().is_some_and(|new| new != leader)
    });
    assert_eq!(cluster.read(leader), None);
}

#[rstest]
#[case::both_ways(true)]
#[case::one_way(false)]
fn partitioned_follower_does_not_disturb_the_leader(#[case] both_ways: bool) {
    let (mut cluster, leader, others) = three(18);
    let term = cluster.newest_term();
    // When a follower hears nobody for long, and comes back
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
    let (mut cluster, leader, others) = three(26);
    let term = cluster.newest_term();
    // When a follower and the leader hear nothing of each other, while the third one hears both
    cluster.partition(leader, others[0]);
    cluster.run(Duration::from_millis(5_000));
    // Then the third one holds to the leader, whose lease holds by it
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.newest_term(), term);
}

#[test]
fn messages_for_others_are_dropped() {
    // Given a leader of a term far ahead, in a partition that was bootstrapped with another group
    let (mut cluster, leader, others) = three(19);
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
    let own = cluster.replica(leader).cluster_id().expect("the replica was bootstrapped");
    let foreign = Group::of([ReplicaId(1)]).cluster_id();
    // When its message arrives, one for another identity, and one that was not sent by whom it names
    for (message, claimed) in [
        (heartbeat(from, to, foreign), from),
        (heartbeat(from, ReplicaId(77), own), from),
        (heartbeat(from, to, own), ReplicaId(78)),
        (heartbeat(to, to, own), to),
    ] {
        cluster.call(leader, |replica, now| replica.receive(now, claimed, message));
    }
    // Then nothing has changed
    assert_eq!(cluster.replica(leader).term(), before);
    assert!(cluster.replica(leader).is_leader());
}

#[test]
fn leadership_transfer_causes_no_outage() {
    let (mut cluster, leader, others) = three(20);
    // When the leader hands over, say because it is to end
    let target = cluster
        .call(leader, |replica, now| replica.transfer_leadership(now, None))
        .expect("another voter can take over");
    // Then it takes no more commands, and says who will
    let rejected = cluster.call(leader, |replica, now| replica.propose(now, vec![1; 9]));
    assert!(
        matches!(rejected, Err(ProposeError::NotLeader { hint }) if hint == Some(target) || hint.is_none())
    );
    // And the other one leads the partition far earlier than by an election
    cluster.run_until(Duration::from_millis(60), "a new leader", |cluster| {
        cluster.leader().is_some_and(|new| new != leader)
    });
    assert!(others.contains(&cluster.leader().expect("a leader was found before")));
}

#[test]
fn transfer_to_an_unreachable_voter_ends_with_a_leader() {
    let (mut cluster, leader, others) = three(21);
    // Given a target that dies just when it is sent TimeoutNow
    let target = cluster.identity(others[0]);
    cluster
        .call(leader, |replica, now| replica.transfer_leadership(now, Some(target)))
        .expect("the target is a voter");
    cluster.lose_power(others[0]);
    // Then reads are over for the rest of the term
    assert_eq!(cluster.read(leader), None);
    // And there is a leader again soon
    cluster.run_until(Duration::from_millis(1_000), "a leader", |cluster| cluster.leader().is_some());
    let leader = cluster.leader().expect("a leader was found before");
    cluster.propose(leader);
    cluster.run(Duration::from_millis(100));
    assert_eq!(cluster.machines[leader.0].application.state.commands, 2);
}

#[test]
fn transfer_to_a_voter_that_does_not_catch_up_is_aborted() {
    let (mut cluster, leader, others) = three(27);
    // Given a target that is off, and has not got all
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
    // When the time for it is over
    cluster.run(Duration::from_millis(500));
    // Then the leader goes on as before: the lease was never given up
    assert_eq!(cluster.leader(), Some(leader));
    assert!(cluster.call(leader, |replica, now| replica.propose(now, vec![1; 9])).is_ok());
}

#[test]
fn leadership_is_transferred_to_voters_only() {
    let (mut cluster, leader, others) = three(22);
    let refuse = |cluster: &mut Cluster, machine_id, to| {
        cluster.call(machine_id, |replica, now| replica.transfer_leadership(now, to))
    };
    assert_eq!(refuse(&mut cluster, leader, Some(ReplicaId(1))), Err(TransferLeadershipError::NoTarget));
    let myself = cluster.identity(leader);
    assert_eq!(refuse(&mut cluster, leader, Some(myself)), Err(TransferLeadershipError::NoTarget));
    let hint = Some(myself);
    assert_eq!(refuse(&mut cluster, others[0], None), Err(TransferLeadershipError::NotLeader { hint }));
}

#[test]
fn slow_disk_of_one_voter_does_not_delay_commits() {
    // Given a follower that is frozen, as one whose disk takes very long
    let (mut cluster, leader, others) = three(23);
    cluster.freeze(others[0]);
    // When the leader is given commands
    for _ in 0..20 {
        cluster.propose(leader);
        cluster.run(Duration::from_millis(10));
    }
    // Then they are committed by the rest
    assert_eq!(cluster.machines[leader.0].application.state.commands, 21);
}

#[test]
fn leader_bounds_its_uncommitted_entries() {
    // Given a leader without a quorum
    let (mut cluster, leader, _) = three(24);
    cluster.isolate(leader);
    // When it is given more and more
    let rejected = cluster.call(leader, |replica, now| {
        (0..100).map(|_| replica.propose(now, vec![7; 1024 * 1024])).find_map(Result::err)
    });
    // Then it refuses before its memory is full
    assert_eq!(rejected, Some(ProposeError::Busy));
    let rejected = cluster.call(leader, |replica, now| replica.propose(now, vec![7; 5 * 1024 * 1024]));
    assert_eq!(rejected, Err(ProposeError::TooLarge { size: 5 * 1024 * 1024 }));
}

#[test]
fn lossy_duplicating_and_reordering_links_only_cost_time() {
    // Given bad links
    let mut cluster = Cluster::new(25, 5, 0);
    cluster.network.loss = 0.2;
    cluster.network.duplication = 0.2;
    cluster.network.delay = Duration::from_millis(15);
    // When clients go on for a while, and the links become good
    cluster.propose_for(Duration::from_millis(4_000), Duration::from_millis(5));
    cluster.network.loss = 0.0;
    let leader = cluster.elect();
    cluster.propose(leader);
    cluster.run(Duration::from_millis(500));
    // Then all have the same
    let machine_ids = cluster.machine_ids();
    cluster.settle(&machine_ids, SETTLE_TIME);
    assert!(cluster.oracle.commands() > 300, "{} commands", cluster.oracle.commands());
}
