//! Changes of the group: replacing, adding and removing voters, and faults during a change.

mod cluster;

use cluster::{Cluster, MachineId};
use grebeusher_quorum::{ChangeError, Index, ReplicaId};
use grebeusher_time::{Duration, Instant};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_millis(3_000);

/// Creates a cluster whose leader has committed 20 commands. Returns the cluster and the leader.
fn start(seed: u64, voters: usize, spares: usize) -> (Cluster, MachineId) {
    let mut cluster = Cluster::new(seed, voters, spares);
    let leader = cluster.elect();
    for _ in 0..20 {
        cluster.propose(leader);
    }
    cluster.run(Duration::from_millis(200));
    (cluster, leader)
}

/// Asks the leader to change the group to these machines.
fn change_group(
    cluster: &mut Cluster,
    leader: MachineId,
    machine_ids: &[MachineId],
) -> Result<(), ChangeError> {
    let voters = cluster.group_of(machine_ids.iter().copied()).voters;
    cluster.call(leader, |replica, now| replica.change_group(now, voters))
}

#[test]
fn lost_disk_is_replaced_by_a_spare_quickly() {
    let (mut cluster, leader) = start(1, 3, 1);
    let lost = cluster.others(&[leader, MachineId(3)])[0];
    // When a disk is lost and the spare replaces it in the group
    cluster.wipe(lost);
    let remaining: Vec<MachineId> = cluster.others(&[lost]);
    cluster.change_to(&remaining, Duration::from_millis(500));
    // Then the spare has all entries and its vote counts, so the group survives the loss of the leader
    cluster.lose_power(leader);
    let successor = cluster.elect();
    assert_eq!(cluster.machines[successor.0].application.state.commands, 20);
}

#[test]
fn repeated_disk_losses_are_repaired() {
    let (mut cluster, _) = start(2, 3, 0);
    let founders: Vec<ReplicaId> =
        cluster.machine_ids().into_iter().map(|machine_id| cluster.identity(machine_id)).collect();
    // When one machine after another loses its disk, starts empty and is added to the group again, 12 times
    for round in 0..12 {
        let machine_id = MachineId(round % 3);
        cluster.wipe(machine_id);
        cluster.start(machine_id);
        let machine_ids = cluster.machine_ids();
        cluster.change_to(&machine_ids, TIMEOUT);
        let leader = cluster.elect();
        cluster.propose(leader);
        cluster.run(Duration::from_millis(50));
    }
    // Then no command is lost, although none of the first disks exists any more
    let leader = cluster.elect();
    assert_eq!(cluster.machines[leader.0].application.state.commands, 32);
    assert!(founders.iter().all(|founder| cluster.machine_of(*founder).is_none()));
}

#[rstest]
fn leader_fails_during_a_group_change(#[values(0, 1, 2, 3, 5, 8, 13)] after_ms: u64) {
    for seed in 1..=10 {
        // Given a leader that starts to replace two voters at once
        let (mut cluster, leader) = start(seed, 3, 2);
        let rest = cluster.others(&[leader]);
        let new_group = [leader, rest[2], rest[3]];
        change_group(&mut cluster, leader, &new_group).expect("no change is in progress");
        // When it loses power `after_ms` later
        cluster.run(Duration::from_millis(after_ms));
        cluster.lose_power(leader);
        // Then the others have a leader, and complete the change or keep their group
        cluster.run_until(TIMEOUT, "a leader of a settled group", |cluster| {
            cluster.leader().is_some_and(|leader| {
                let replica = cluster.replica(leader);
                !replica.group().is_joint() && replica.commit_index() >= replica.group_index()
            })
        });
        // And the old leader follows when it starts again
        cluster.start(leader);
        let successor = cluster.elect();
        cluster.propose(successor);
        cluster.run(TIMEOUT);
        assert_eq!(cluster.oracle.commands(), 21);
    }
}

#[test]
fn group_grows_and_shrinks() {
    let (mut cluster, _) = start(4, 1, 4);
    for machine_ids in [&[0, 1, 2][..], &[0, 1, 2, 3, 4], &[2, 3, 4], &[3], &[0, 3]] {
        let machine_ids: Vec<MachineId> =
            machine_ids.iter().map(|machine_id| MachineId(*machine_id)).collect();
        cluster.change_to(&machine_ids, TIMEOUT);
        let leader = cluster.elect();
        assert!(machine_ids.contains(&leader));
        cluster.propose(leader);
        cluster.run(Duration::from_millis(100));
        cluster.settle(&machine_ids, TIMEOUT);
    }
}

#[test]
fn removed_leader_transfers_its_leadership() {
    let (mut cluster, leader) = start(5, 3, 1);
    let others = cluster.others(&[leader]);
    // When the leader removes itself from the group
    change_group(&mut cluster, leader, &others).expect("no change is in progress");
    // Then another voter is leader within 150 ms, sooner than an election timeout
    cluster.run_until(Duration::from_millis(150), "a new leader", |cluster| {
        cluster.leader().is_some_and(|new| new != leader)
    });
    // And the removed leader has no timer
    cluster.run(TIMEOUT);
    assert_eq!(cluster.replica(leader).next_wake(), Instant(u64::MAX));
}

#[test]
fn removed_replica_that_missed_its_removal_neither_wins_nor_disturbs() {
    let (mut cluster, leader) = start(6, 3, 1);
    let removed = cluster.others(&[leader, MachineId(3)])[0];
    // Given a voter that was removed while it was cut off
    cluster.isolate(removed);
    let remaining = cluster.others(&[removed]);
    cluster.change_to(&remaining, TIMEOUT);
    let leader = cluster.elect();
    let term = cluster.newest_term();
    // When its links are reconnected
    cluster.reconnect_all_links();
    cluster.run(Duration::from_millis(5_000));
    // Then it starts no term and no other voter becomes leader
    assert_eq!(cluster.newest_term(), term);
    assert_eq!(cluster.leader(), Some(leader));
    // And when the leader is lost, a member of the group wins the election
    cluster.lose_power(leader);
    let successor = cluster.elect();
    assert!(successor != removed && successor != leader);
}

#[test]
fn removed_replica_learns_its_removal_and_gets_no_more_messages() {
    let (mut cluster, leader) = start(11, 3, 1);
    let removed = cluster.others(&[leader, MachineId(3)])[0];
    // When a voter is removed from the group
    let remaining = cluster.others(&[removed]);
    cluster.change_to(&remaining, TIMEOUT);
    cluster.run(Duration::from_millis(100));
    // Then it knows that it was removed, has no timer, and is sent no more messages
    assert_eq!(cluster.replica(removed).next_wake(), Instant(u64::MAX));
    let before = cluster.sent_to(removed);
    cluster.propose(leader);
    cluster.run(Duration::from_millis(1_000));
    assert_eq!(cluster.sent_to(removed), before);
}

#[test]
fn change_with_an_unresponsive_learner_is_aborted() {
    let (mut cluster, leader) = start(7, 3, 2);
    cluster.lose_power(MachineId(3));
    let mut new_group = cluster.others(&[MachineId(3), MachineId(4)]);
    new_group[0] = if new_group[0] == leader { new_group[0] } else { MachineId(3) };
    if !new_group.contains(&MachineId(3)) {
        new_group[1] = MachineId(3);
    }
    // Given a change that adds a machine that is powered off
    change_group(&mut cluster, leader, &new_group).expect("no change is in progress");
    assert!(cluster.replica(leader).pending_change().is_some());
    let group = cluster.replica(leader).group().clone();
    // Then no other change can start
    assert_eq!(change_group(&mut cluster, leader, &[leader]), Err(ChangeError::InProgress));
    // When the timeout for the learner's response has passed
    cluster.run(Duration::from_millis(1_500));
    // Then the group is unchanged, and the next change succeeds
    assert_eq!(cluster.replica(leader).pending_change(), None);
    assert_eq!(cluster.replica(leader).group(), &group);
    let spare = new_group
        .iter()
        .map(|machine_id| if *machine_id == MachineId(3) { MachineId(4) } else { *machine_id });
    let spare: Vec<MachineId> = spare.collect();
    cluster.change_to(&spare, TIMEOUT);
}

#[test]
fn outgoing_voters_complete_a_change_when_nobody_else_can() {
    // Given a change to a single new voter, whose links are cut just before it is sent the last entry, which all others
    // have
    let (mut cluster, leader) = start(10, 3, 1);
    let successor = MachineId(3);
    change_group(&mut cluster, leader, &[successor]).expect("no change is in progress");
    cluster.run_until(TIMEOUT, "the last entry of the change", |cluster| {
        let replica = cluster.replica(leader);
        replica.group().voters.len() == 1 && !replica.group().is_joint()
    });
    cluster.isolate(successor);
    let last = cluster.replica(leader).last();
    let others = cluster.others(&[leader, successor]);
    cluster.run_until(TIMEOUT, "all others have it", |cluster| {
        others.iter().all(|other| cluster.replica(*other).last() == last)
    });
    assert!(cluster.replica(successor).group().is_joint());
    // When the leader loses power, and the links of the new voter, whose log is too short to win, are reconnected
    cluster.lose_power(leader);
    cluster.run(Duration::from_millis(20));
    cluster.reconnect_all_links();
    // Then the new voter becomes leader, after another machine has completed the change
    cluster.run_until(TIMEOUT, "a leader", |cluster| cluster.leader() == Some(successor));
}

#[test]
fn invalid_group_changes_are_rejected() {
    let (mut cluster, leader) = start(8, 3, 0);
    let others = cluster.others(&[leader]);
    let hint = Some(cluster.identity(leader));
    assert_eq!(change_group(&mut cluster, leader, &[]), Err(ChangeError::Invalid));
    assert_eq!(change_group(&mut cluster, others[0], &[leader]), Err(ChangeError::NotLeader { hint }));
    let all = cluster.machine_ids();
    assert_eq!(change_group(&mut cluster, leader, &all), Ok(()));
    assert_eq!(
        cluster.replica(leader).group_index(),
        Index(1),
        "a change to the same group must have no effect"
    );
}

#[test]
fn learner_neither_delays_commits_nor_counts_for_the_quorum() {
    let (mut cluster, leader) = start(9, 3, 1);
    // Given a change that adds an unreachable learner, and one voter of three that is lost
    let others = cluster.others(&[leader, MachineId(3)]);
    cluster.isolate(MachineId(3));
    change_group(&mut cluster, leader, &[leader, others[0], MachineId(3)]).expect("no change is in progress");
    cluster.lose_power(others[1]);
    // When the leader is sent a command
    let before = cluster.oracle.commands();
    cluster.propose(leader);
    cluster.run(Duration::from_millis(30));
    // Then the old group commits it
    assert_eq!(cluster.oracle.commands(), before + 1);
    // And without the other voter nothing is committed, even when the learner responds
    cluster.lose_power(others[0]);
    cluster.reconnect_all_links();
    let before = cluster.oracle.commands();
    cluster.propose(leader);
    cluster.run(Duration::from_millis(100));
    assert_eq!(cluster.oracle.commands(), before);
}

/// Sends commands to the leader for `span`, so that a learner behind a slow link stays far behind.
fn send_commands(cluster: &mut Cluster, span: Duration) {
    cluster.propose_for(span, Duration::from_millis(2));
}

#[test]
fn learner_behind_a_slow_link_takes_the_place_of_a_lost_voter_at_once() {
    for seed in 1..=10 {
        // Given five voters, of which two may be lost, one of which lost its disk and starts empty behind a slow link
        let (mut cluster, leader) = start(seed, 5, 0);
        cluster.commands_between_snapshots = u64::MAX;
        let others = cluster.others(&[leader]);
        let replaced = others[0];
        cluster.wipe(replaced);
        send_commands(&mut cluster, Duration::from_millis(2_000));
        cluster.start(replaced);
        cluster.network.extra_delay.insert((leader, replaced), Duration::from_millis(300));
        let all = cluster.machine_ids();
        change_group(&mut cluster, leader, &all).expect("no change is in progress");
        // When the leader is sent more commands
        send_commands(&mut cluster, Duration::from_millis(1_500));
        // Then the machine with the empty disk is a voter although it is far behind,
        let group = cluster.replica(leader).group().clone();
        assert!(group.contains(cluster.identity(replaced)) && !group.is_joint(), "seed {seed}: {group:?}");
        let behind = cluster.replica(leader).last().index.0 - cluster.replica(replaced).last().index.0;
        assert!(behind > 32, "seed {seed}: {behind} entries behind");
        // and when two more disks are lost, the others have a leader and no command is lost
        let commands = cluster.oracle.commands();
        [leader, others[1]].into_iter().for_each(|machine_id| cluster.wipe(machine_id));
        cluster.run_until(TIMEOUT, "a leader that commits", |cluster| {
            cluster.leader().is_some_and(|leader| {
                cluster.replica(leader).commit_index() >= cluster.replica(leader).last().index
            })
        });
        let successor = cluster.elect();
        assert!(cluster.machines[successor.0].application.state.commands >= commands as u64, "seed {seed}");
    }
}

#[test]
fn learner_behind_a_slow_link_takes_the_place_of_no_voter_that_answers() {
    // Given three voters and a spare behind a slow link
    let (mut cluster, leader) = start(11, 3, 1);
    cluster.commands_between_snapshots = u64::MAX;
    let others = cluster.others(&[leader, MachineId(3)]);
    send_commands(&mut cluster, Duration::from_millis(2_000));
    cluster.network.extra_delay.insert((leader, MachineId(3)), Duration::from_millis(300));
    // When the spare is to replace a voter that responds, and the leader is sent more commands
    change_group(&mut cluster, leader, &[leader, others[0], MachineId(3)]).expect("no change is in progress");
    send_commands(&mut cluster, Duration::from_millis(1_500));
    // Then the spare stays a learner as long as it is behind
    assert!(!cluster.replica(leader).group().contains(cluster.identity(MachineId(3))));
    cluster.run_until(TIMEOUT, "the change", |cluster| {
        cluster.replica(leader).group().contains(cluster.identity(MachineId(3)))
    });
}

#[test]
fn voter_that_only_restarts_keeps_its_place_while_its_substitute_is_far_behind() {
    // Given three voters and a spare behind a slow link, and a voter that is off for a second
    let (mut cluster, leader) = start(12, 3, 1);
    cluster.commands_between_snapshots = u64::MAX;
    let restarted = cluster.others(&[leader, MachineId(3)])[1];
    let kept = cluster.others(&[restarted]);
    send_commands(&mut cluster, Duration::from_millis(2_000));
    cluster.network.extra_delay.insert((leader, MachineId(3)), Duration::from_millis(300));
    cluster.lose_power(restarted);
    // When the spare is to replace that voter, and the voter starts again
    change_group(&mut cluster, leader, &kept).expect("no change is in progress");
    send_commands(&mut cluster, Duration::from_millis(1_000));
    cluster.start(restarted);
    send_commands(&mut cluster, Duration::from_millis(1_000));
    // Then the voter is still in the group
    let group = cluster.replica(leader).group();
    assert!(
        group.contains(cluster.identity(restarted)) && !group.contains(cluster.identity(MachineId(3))),
        "{group:?}"
    );
}

/// Returns the `count` machines of the committed group whose disks were wiped longest ago.
fn machines_with_oldest_disks(cluster: &Cluster, wiped_in_round: &[usize], count: usize) -> Vec<MachineId> {
    let group = cluster.oracle.committed_group();
    let mut machine_ids: Vec<MachineId> =
        group.voters.iter().filter_map(|voter| cluster.machine_of(*voter)).collect();
    machine_ids.sort_by_key(|machine_id| wiped_in_round[machine_id.0]);
    machine_ids.truncate(count);
    machine_ids
}

#[rstest]
#[case::three_voters_and_no_spare(3, 0, 1)]
#[case::three_voters_and_a_spare(3, 1, 1)]
#[case::five_voters(5, 0, 2)]
#[case::five_voters_and_three_spares(5, 3, 2)]
fn loss_of_the_oldest_disks_amid_repeated_power_losses(
    #[case] voters: usize,
    #[case] spares: usize,
    #[case] losses: usize,
) {
    let (mut cluster, _) = start(7, voters, spares);
    let mut wiped_in_round: Vec<usize> = vec![0; voters + spares];
    let mut commands = 20;
    for round in 1..=8 {
        // Given a group that is complete, and a command that was just committed
        let leader = cluster.elect();
        cluster.propose(leader);
        cluster.run(Duration::from_millis(60));
        commands += 1;
        // When as many disks are lost as the group survives, the oldest ones, and all other machines lose power at the
        // same time
        let wiped = machines_with_oldest_disks(&cluster, &wiped_in_round, losses);
        let all = cluster.machine_ids();
        all.iter().for_each(|machine_id| cluster.lose_power(*machine_id));
        wiped.iter().for_each(|machine_id| cluster.wipe(*machine_id));
        // And all machines start again, the empty ones first
        let others = cluster.others(&wiped);
        for machine_id in wiped.iter().chain(&others) {
            cluster.start(*machine_id);
            wiped_in_round[machine_id.0] =
                if wiped.contains(machine_id) { round } else { wiped_in_round[machine_id.0] };
        }
        // Then the empty ones are added to the group again, and no command is lost
        let members: Vec<MachineId> = all.into_iter().take(voters).collect();
        cluster.change_to(&members, Duration::from_millis(6_000));
        let leader = cluster.elect();
        assert_eq!(cluster.machines[leader.0].application.state.commands, commands, "round {round}");
    }
}

#[rstest]
fn loss_of_another_disk_at_each_moment_of_a_repair(
    #[values(0, 1, 2, 4, 8, 16, 32, 64)] after_ms: u64,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    // Given five voters, of which two may be lost, and a lost disk that is being replaced by a spare
    let (mut cluster, leader) = start(seed, 5, 1);
    let others = cluster.others(&[leader]);
    let (first, second, spare) = (others[0], others[1], MachineId(5));
    cluster.wipe(first);
    let remaining: Vec<MachineId> = cluster.others(&[first]);
    change_group(&mut cluster, leader, &remaining).expect("no change is in progress");
    // When a second disk is lost `after_ms` later: that of the leader, or of another voter
    cluster.run(Duration::from_millis(after_ms));
    let lost = if seed.is_multiple_of(2) { leader } else { second };
    cluster.lose_power(lost);
    cluster.wipe(lost);
    // Then the others complete a group without the first disk, and commit commands
    cluster.start(lost);
    let members: Vec<MachineId> = cluster
        .machine_ids()
        .into_iter()
        .filter(|machine_id| *machine_id != first || *machine_id == spare)
        .collect();
    cluster.change_to(&members, Duration::from_millis(8_000));
    let leader = cluster.elect();
    cluster.propose(leader);
    cluster.run(Duration::from_millis(100));
    assert_eq!(cluster.machines[leader.0].application.state.commands, 21);
}
