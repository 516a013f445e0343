//! Foundings, elections, the lease and the log, under cuts, freezes, restarts and the handing over of the leadership.

mod world;

use grebeusher_quorum::{BootstrapError, Group, ReplicaId, RestoredState, TransferLeadershipError};
use grebeusher_quorum::{Message, ProposeError, Replica};
use grebeusher_time::{Duration, Instant};
use rstest::rstest;
use world::{Site, TIMING, World};

/// Long enough for an election and some more.
const A_WHILE: Duration = Duration::from_millis(1_500);

/// A world of three with a leader that has committed something; the leader and the others.
fn three(seed: u64) -> (World, Site, Vec<Site>) {
    let mut world = World::new(seed, 3, 0);
    let leader = world.elect();
    world.propose(leader);
    world.run(Duration::from_millis(100));
    let others = world.others(&[leader]);
    (world, leader, others)
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(5)]
fn bootstrapped_partition_elects_a_leader_and_commits(#[case] voters: usize) {
    // Given a partition that was just bootstrapped
    let mut world = World::new(7, voters, 0);
    // When it has a leader, and that one is given commands
    let leader = world.elect();
    for _ in 0..100 {
        world.propose(leader);
    }
    // Then all replicas apply all of them
    world.run(Duration::from_millis(200));
    for site in world.sites() {
        assert_eq!(world.machines[site.0].application.state.commands, 100);
    }
    assert!(world.read(leader) >= Some(world.oracle.last_committed()));
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
    replica.bootstrap(group.clone()).expect("it is empty");
    let ready = replica.take_ready();
    let Some(grebeusher_quorum::Write::HardState(hard_state)) = ready.writes.first() else {
        panic!("promises come first")
    };
    let restored = RestoredState { hard_state: *hard_state, ..RestoredState::default() };
    // When it is bootstrapped again
    let mut replica = Replica::new(id, restored, TIMING, 1, Instant(0));
    replica.bootstrap(group.clone()).expect("it is the same");
    // Then it has the entry
    assert_eq!(replica.group(), &group);
}

#[test]
fn empty_replica_waits_and_sends_nothing() {
    // Given a machine that no group names
    let mut world = World::new(3, 3, 1);
    let empty = Site(3);
    // When the others have long been at work
    world.elect();
    world.run(A_WHILE);
    // Then it has no timer and nobody has talked to it
    assert_eq!(world.replica(empty).next_wake(), Instant(u64::MAX));
    assert_eq!(world.sent_to(empty).messages, 0);
    assert!(!world.machines[empty.0].has_ready());
}

#[test]
fn idle_heartbeats_cost_no_sync_and_two_messages_a_follower() {
    // Given a partition that is quiet
    let (mut world, leader, others) = three(11);
    world.run(Duration::from_millis(200));
    let syncs: Vec<u64> = world.machines.iter().map(|machine| machine.syncs).collect();
    let sent = world.sent_to(others[0]).messages + world.sent_to(leader).messages;
    // When a second passes
    world.run(Duration::from_millis(1_000));
    // Then nothing was synced, and each heartbeat was one message and one answer
    let after: Vec<u64> = world.machines.iter().map(|machine| machine.syncs).collect();
    assert_eq!(syncs, after);
    let messages = world.sent_to(others[0]).messages + world.sent_to(leader).messages - sent;
    assert!(messages <= 3 * 51, "{messages} messages");
}

#[test]
fn commands_waiting_for_a_sync_share_the_next_one() {
    // Given a leader whose disk is slow
    let (mut world, leader, _) = three(12);
    world.sync = Duration::from_millis(30);
    let syncs = world.machines[leader.0].syncs;
    // When it is given many commands at once
    for _ in 0..200 {
        world.propose(leader);
    }
    world.run(Duration::from_millis(300));
    // Then few syncs served them all
    assert_eq!(world.machines[leader.0].application.state.commands, 201);
    assert!(world.machines[leader.0].syncs - syncs <= 4);
}

#[test]
fn another_leader_takes_over_when_the_leader_is_lost() {
    let (mut world, leader, others) = three(13);
    // When the leader loses power for good
    world.lose_power(leader);
    world.run_until(A_WHILE, "a new leader", |world| world.leader().is_some());
    // Then another one has all that was committed, and commits more
    let successor = world.leader().expect("just seen");
    assert!(others.contains(&successor));
    world.propose(successor);
    world.run(Duration::from_millis(100));
    assert_eq!(world.machines[successor.0].application.state.commands, 2);
}

#[test]
fn committed_entries_survive_power_loss_of_all_replicas() {
    let (mut world, leader, _) = three(14);
    for _ in 0..50 {
        world.propose(leader);
    }
    world.run(Duration::from_millis(200));
    // When all lose power and come back
    for site in world.sites() {
        world.cut_power(site, false);
    }
    for site in world.sites() {
        world.start(site);
    }
    // Then the next leader shows it all
    let leader = world.elect();
    assert_eq!(world.machines[leader.0].application.state.commands, 51);
}

#[test]
fn frozen_leader_resumes_without_a_lease() {
    let (mut world, leader, _) = three(15);
    // When the leader freezes until the others have another one, which decides something
    world.freeze(leader);
    world.run(A_WHILE);
    let successor = world.elect();
    world.propose(successor);
    world.run(Duration::from_millis(100));
    // Then it answers no read when it wakes, not even before it has heard of anybody
    assert!(!world.machines[leader.0].lease_holds(world.now));
    world.wake(leader);
    assert_eq!(world.read(leader), None);
    assert!(!world.replica(leader).is_leader());
    // And it follows
    world.run(A_WHILE);
    assert_eq!(world.replica(leader).leader_hint(), Some(world.identity(successor)));
    assert_eq!(world.machines[leader.0].application.state.commands, 2);
}

#[test]
fn partitioned_leader_loses_its_uncommitted_entries() {
    let (mut world, leader, _) = three(16);
    // Given a leader that is cut off and still takes commands
    world.isolate(leader);
    for _ in 0..5 {
        world.propose(leader);
    }
    world.run(A_WHILE);
    let successor = world.elect();
    assert_ne!(successor, leader);
    assert_eq!(world.read(leader), None);
    assert!(!world.replica(leader).is_leader(), "it stepped down by itself");
    world.propose(successor);
    // When the cut is over
    world.heal();
    world.run(A_WHILE);
    // Then all have the same
    for site in world.sites() {
        assert_eq!(world.machines[site.0].application.state.commands, 2);
    }
}

#[test]
fn leader_without_responses_steps_down() {
    let (mut world, leader, others) = three(17);
    // When the leader is heard, and hears nobody
    others.iter().for_each(|other| world.network.cut(*other, leader));
    // Then another one takes over
    world.run_until(Duration::from_millis(2_000), "another leader", |world| {
        world.leader().is_some_and(|new| new != leader)
    });
    assert_eq!(world.read(leader), None);
}

#[rstest]
#[case::both_ways(true)]
#[case::one_way(false)]
fn partitioned_follower_does_not_disturb_the_leader(#[case] both_ways: bool) {
    let (mut world, leader, others) = three(18);
    let term = world.newest_term();
    // When a follower hears nobody for long, and comes back
    for site in [leader, others[1]] {
        world.network.cut(site, others[0]);
        if both_ways {
            world.network.cut(others[0], site);
        }
    }
    world.run(Duration::from_millis(5_000));
    world.heal();
    world.run(A_WHILE);
    // Then the leader is still the leader of the same term
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.newest_term(), term);
}

#[test]
fn follower_that_only_the_leader_cannot_reach_does_not_disturb_it() {
    let (mut world, leader, others) = three(26);
    let term = world.newest_term();
    // When a follower and the leader hear nothing of each other, while the third one hears both
    world.partition(leader, others[0]);
    world.run(Duration::from_millis(5_000));
    // Then the third one holds to the leader, whose lease holds by it
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.newest_term(), term);
}

#[test]
fn messages_for_others_are_dropped() {
    // Given a leader of a term far ahead, in a partition that was bootstrapped with another group
    let (mut world, leader, others) = three(19);
    let before = world.replica(leader).term();
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
    let (from, to) = (world.identity(others[0]), world.identity(leader));
    let own = world.replica(leader).cluster_id().expect("it was founded");
    let foreign = Group::of([ReplicaId(1)]).cluster_id();
    // When its message arrives, one for another identity, and one that was not sent by whom it names
    for (message, claimed) in [
        (heartbeat(from, to, foreign), from),
        (heartbeat(from, ReplicaId(77), own), from),
        (heartbeat(from, to, own), ReplicaId(78)),
        (heartbeat(to, to, own), to),
    ] {
        world.call(leader, |replica, now| replica.receive(now, claimed, message));
    }
    // Then nothing has changed
    assert_eq!(world.replica(leader).term(), before);
    assert!(world.replica(leader).is_leader());
}

#[test]
fn leadership_transfer_causes_no_outage() {
    let (mut world, leader, others) = three(20);
    // When the leader hands over, say because it is to end
    let target = world
        .call(leader, |replica, now| replica.transfer_leadership(now, None))
        .expect("somebody can take over");
    // Then it takes no more commands, and says who will
    let rejected = world.call(leader, |replica, now| replica.propose(now, vec![1; 9]));
    assert!(
        matches!(rejected, Err(ProposeError::NotLeader { hint }) if hint == Some(target) || hint.is_none())
    );
    // And the other one leads the partition far earlier than by an election
    world.run_until(Duration::from_millis(60), "a new leader", |world| {
        world.leader().is_some_and(|new| new != leader)
    });
    assert!(others.contains(&world.leader().expect("just seen")));
}

#[test]
fn transfer_to_an_unreachable_voter_ends_with_a_leader() {
    let (mut world, leader, others) = three(21);
    // Given a target that dies just when it is sent TimeoutNow
    let target = world.identity(others[0]);
    world.call(leader, |replica, now| replica.transfer_leadership(now, Some(target))).expect("it is a voter");
    world.lose_power(others[0]);
    // Then reads are over for the rest of the term
    assert_eq!(world.read(leader), None);
    // And there is a leader again soon
    world.run_until(Duration::from_millis(1_000), "a leader", |world| world.leader().is_some());
    let leader = world.leader().expect("just seen");
    world.propose(leader);
    world.run(Duration::from_millis(100));
    assert_eq!(world.machines[leader.0].application.state.commands, 2);
}

#[test]
fn transfer_to_a_voter_that_does_not_catch_up_is_aborted() {
    let (mut world, leader, others) = three(27);
    // Given a target that is off, and has not got all
    world.lose_power(others[0]);
    world.propose(leader);
    let target = world.identity(others[0]);
    world.call(leader, |replica, now| replica.transfer_leadership(now, Some(target))).expect("it is a voter");
    let rejected = world.call(leader, |replica, now| replica.propose(now, vec![1; 9]));
    assert_eq!(rejected, Err(ProposeError::NotLeader { hint: Some(target) }));
    let other = world.identity(others[1]);
    let again = world.call(leader, |replica, now| replica.transfer_leadership(now, Some(other)));
    assert_eq!(again, Err(TransferLeadershipError::InProgress));
    // When the time for it is over
    world.run(Duration::from_millis(500));
    // Then the leader goes on as before: the lease was never given up
    assert_eq!(world.leader(), Some(leader));
    assert!(world.call(leader, |replica, now| replica.propose(now, vec![1; 9])).is_ok());
}

#[test]
fn leadership_is_transferred_to_voters_only() {
    let (mut world, leader, others) = three(22);
    let refuse =
        |world: &mut World, site, to| world.call(site, |replica, now| replica.transfer_leadership(now, to));
    assert_eq!(refuse(&mut world, leader, Some(ReplicaId(1))), Err(TransferLeadershipError::NoTarget));
    let myself = world.identity(leader);
    assert_eq!(refuse(&mut world, leader, Some(myself)), Err(TransferLeadershipError::NoTarget));
    let hint = Some(myself);
    assert_eq!(refuse(&mut world, others[0], None), Err(TransferLeadershipError::NotLeader { hint }));
}

#[test]
fn slow_disk_of_one_voter_does_not_delay_commits() {
    // Given a follower that is frozen, as one whose disk takes very long
    let (mut world, leader, others) = three(23);
    world.freeze(others[0]);
    // When the leader is given commands
    for _ in 0..20 {
        world.propose(leader);
        world.run(Duration::from_millis(10));
    }
    // Then they are committed by the rest
    assert_eq!(world.machines[leader.0].application.state.commands, 21);
}

#[test]
fn leader_bounds_its_uncommitted_entries() {
    // Given a leader without a quorum
    let (mut world, leader, _) = three(24);
    world.isolate(leader);
    // When it is given more and more
    let rejected = world.call(leader, |replica, now| {
        (0..100).map(|_| replica.propose(now, vec![7; 1024 * 1024])).find_map(Result::err)
    });
    // Then it refuses before its memory is full
    assert_eq!(rejected, Some(ProposeError::Busy));
    let rejected = world.call(leader, |replica, now| replica.propose(now, vec![7; 5 * 1024 * 1024]));
    assert_eq!(rejected, Err(ProposeError::TooLarge { size: 5 * 1024 * 1024 }));
}

#[test]
fn lossy_duplicating_and_reordering_links_only_cost_time() {
    // Given bad links
    let mut world = World::new(25, 5, 0);
    world.network.loss = 0.2;
    world.network.doubling = 0.2;
    world.network.delay = Duration::from_millis(15);
    // When clients go on for a while, and the links become good
    world.propose_for(Duration::from_millis(4_000), Duration::from_millis(5));
    world.network.loss = 0.0;
    let leader = world.elect();
    world.propose(leader);
    world.run(Duration::from_millis(500));
    // Then all have the same
    let sites = world.sites();
    world.settle(&sites, A_WHILE);
    assert!(world.oracle.commands() > 300, "{} commands", world.oracle.commands());
}
