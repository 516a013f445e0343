//! Rules of a single replica, tested message by message.

use grebeusher_quorum::{
    Append, AppendOutcome, AppendResponse, Blob, Body, Entry, Group, HardState, Index, LeaderTimestamp,
    Message, Payload, Position, Replica, ReplicaId, RestoredState, Term, Timing, VoteRequest, VoteResponse,
    Write,
};
use grebeusher_time::{Duration, Instant};
use rstest::rstest;

const OWN_ID: ReplicaId = ReplicaId(1);
const SECOND: ReplicaId = ReplicaId(2);
const THIRD: ReplicaId = ReplicaId(3);

const TIMING: Timing = Timing {
    heartbeat_interval: Duration::from_millis(20),
    election_timeout_min: Duration::from_millis(200),
    election_timeout_max: Duration::from_millis(400),
    lease_duration: Duration::from_millis(150),
};

fn group() -> Group {
    Group::of([OWN_ID, SECOND, THIRD])
}

fn entry(index: u64, term: u64) -> Entry {
    let payload = match index {
        1 => Payload::Group(group()),
        _ => Payload::Command(Blob::from(vec![index as u8, term as u8])),
    };
    Entry { index: Index(index), term: Term(term), payload }
}

fn position(index: u64, term: u64) -> Position {
    Position { term: Term(term), index: Index(index) }
}

/// A replica with a simulated disk and the current time.
struct TestReplica {
    replica: Replica,
    disk: RestoredState,
    now: Instant,
}

impl TestReplica {
    /// Creates a replica in `term` whose log has entries of these terms. It was started one second ago.
    fn new(term: u64, terms: &[u64]) -> TestReplica {
        let entries = (1..).zip(terms).map(|(index, term)| entry(index, *term)).collect();
        let cluster_id = Some(group().cluster_id());
        let hard_state = HardState { term: Term(term), vote: None, cluster_id, commit: Index(0) };
        let disk = RestoredState { hard_state, snapshot: None, entries };
        let replica = Replica::new(OWN_ID, disk.clone(), TIMING, 1, Instant(0));
        TestReplica { replica, disk, now: Instant(1_000_000_000) }
    }

    /// Delivers a message, syncs all writes that result, and returns the messages that the replica sends.
    fn receive(&mut self, from: ReplicaId, term: u64, body: Body) -> Vec<Message> {
        let cluster_id = group().cluster_id();
        let message = Message { from, to: OWN_ID, cluster_id, term: Term(term), body };
        self.replica.receive(self.now, from, message);
        self.process_batches()
    }

    fn process_batches(&mut self) -> Vec<Message> {
        let mut sent = Vec::new();
        while self.replica.has_ready() {
            let ready = self.replica.take_ready();
            ready.writes.into_iter().for_each(|write| match write {
                Write::HardState(hard_state) => self.disk.hard_state = hard_state,
                Write::Entries(entries) => {
                    self.disk.entries.retain(|entry| entry.index < entries[0].index);
                    self.disk.entries.extend(entries);
                }
                Write::Snapshot { .. } => unreachable!("these tests take no snapshots"),
            });
            self.replica.synced();
            sent.extend(
                ready.immediate_messages.into_iter().chain(ready.messages).map(|(_, message)| message),
            );
        }
        sent
    }

    /// Restarts the replica from its disk, and lets a second pass.
    fn restart(&mut self) {
        self.replica = Replica::new(OWN_ID, self.disk.clone(), TIMING, 1, self.now);
        self.now = self.now + Duration::from_millis(1_000);
    }

    fn receive_heartbeat(&mut self, leader: ReplicaId, term: u64) -> Vec<Message> {
        self.receive_append(leader, term, position(1, 1), 0, Vec::new())
    }

    fn receive_append(
        &mut self,
        leader: ReplicaId,
        term: u64,
        previous: Position,
        commit: u64,
        entries: Vec<Entry>,
    ) -> Vec<Message> {
        let append = Append { previous, commit: Index(commit), sent: LeaderTimestamp(7), entries };
        self.receive(leader, term, Body::Append(append))
    }

    fn request_vote(
        &mut self,
        candidate: ReplicaId,
        term: u64,
        last: Position,
        leadership_transfer: bool,
    ) -> Option<bool> {
        let sent =
            self.receive(candidate, term, Body::RequestVote(VoteRequest { last, leadership_transfer }));
        granted(&sent)
    }

    fn request_pre_vote(&mut self, candidate: ReplicaId, term: u64, last: Position) -> Option<bool> {
        let sent = self.receive(
            candidate,
            term,
            Body::RequestPreVote(VoteRequest { last, leadership_transfer: false }),
        );
        granted(&sent)
    }

    /// Makes the replica leader of the next term by the vote of [`SECOND`], and returns the term.
    fn become_leader(&mut self) -> u64 {
        self.now = self.now.max(self.replica.next_wake());
        self.replica.tick(self.now);
        self.process_batches();
        let term = self.replica.term().0 + 1;
        self.receive(SECOND, term, Body::PreVoteResponse(VoteResponse { granted: true }));
        self.receive(SECOND, term, Body::VoteResponse(VoteResponse { granted: true }));
        assert!(self.replica.is_leader());
        term
    }

    fn receive_match(&mut self, from: ReplicaId, term: u64, index: u64) {
        let outcome = AppendOutcome::Matched(Index(index));
        let sent = LeaderTimestamp(self.now.0);
        self.receive(from, term, Body::AppendResponse(AppendResponse { outcome, sent }));
    }
}

fn granted(sent: &[Message]) -> Option<bool> {
    sent.iter().find_map(|message| match &message.body {
        Body::VoteResponse(response) | Body::PreVoteResponse(response) => Some(response.granted),
        _ => None,
    })
}

fn outcome(sent: &[Message]) -> Option<AppendOutcome> {
    sent.iter().find_map(|message| match &message.body {
        Body::AppendResponse(response) => Some(response.outcome),
        _ => None,
    })
}

#[rstest]
#[case::an_equal_log(position(3, 2), true)]
#[case::a_longer_log(position(4, 2), true)]
#[case::a_later_term(position(2, 3), true)]
#[case::a_shorter_log(position(2, 2), false)]
#[case::an_earlier_term(position(9, 1), false)]
fn vote_requires_a_log_at_least_as_recent(#[case] last: Position, #[case] expected: bool) {
    assert_eq!(TestReplica::new(3, &[1, 2, 2]).request_vote(SECOND, 4, last, false), Some(expected));
    assert_eq!(TestReplica::new(3, &[1, 2, 2]).request_pre_vote(SECOND, 4, last), Some(expected));
}

#[test]
fn one_vote_per_term_also_after_a_restart() {
    // Given a vote in term 4
    let mut test_replica = TestReplica::new(3, &[1]);
    assert_eq!(test_replica.request_vote(SECOND, 4, position(1, 1), false), Some(true));
    // Then another candidate of the term gets no vote, and the same candidate gets it again
    assert_eq!(test_replica.request_vote(THIRD, 4, position(9, 3), false), Some(false));
    assert_eq!(test_replica.request_vote(SECOND, 4, position(1, 1), false), Some(true));
    // And the same holds after a restart
    test_replica.restart();
    assert_eq!(test_replica.request_vote(THIRD, 4, position(9, 3), false), Some(false));
    assert_eq!(test_replica.request_vote(SECOND, 4, position(1, 1), false), Some(true));
    // And the replica has a new vote in the next term, and none in an older one
    assert_eq!(test_replica.request_vote(THIRD, 5, position(9, 3), false), Some(true));
    assert_eq!(test_replica.request_vote(SECOND, 4, position(1, 1), false), Some(false));
}

#[test]
fn vote_in_a_known_term_survives_a_restart() {
    // Given a replica that entered term 4 by the request of a candidate that got no vote
    let mut test_replica = TestReplica::new(3, &[1, 3]);
    assert_eq!(test_replica.request_vote(SECOND, 4, position(1, 1), false), Some(false));
    // When another candidate gets the vote, and the replica restarts
    assert_eq!(test_replica.request_vote(THIRD, 4, position(2, 3), false), Some(true));
    test_replica.restart();
    // Then the replica still has no vote for a third candidate
    assert_eq!(test_replica.request_vote(SECOND, 4, position(9, 3), false), Some(false));
}

#[test]
fn newer_term_survives_a_restart() {
    // Given a replica that rejected a request for a vote in term 9, and entered that term
    let mut test_replica = TestReplica::new(3, &[1, 3]);
    assert_eq!(test_replica.request_vote(SECOND, 9, position(1, 1), false), Some(false));
    test_replica.restart();
    // Then an append of a leader of an older term is rejected after the restart too
    let sent = test_replica.receive_heartbeat(THIRD, 8);
    assert_eq!(outcome(&sent), Some(AppendOutcome::StaleTerm));
    assert_eq!(test_replica.replica.term(), Term(9));
}

#[test]
fn voter_that_hears_a_leader_votes_for_nobody_else() {
    // Given a voter that has just received a heartbeat of a leader
    let mut test_replica = TestReplica::new(3, &[1]);
    test_replica.receive_heartbeat(SECOND, 3);
    // Then it grants no vote, not even in a later term, and enters no term, until `election_timeout_min` has passed
    for _ in 0..2 {
        assert_eq!(test_replica.request_pre_vote(THIRD, 4, position(9, 3)), Some(false));
        assert_eq!(test_replica.request_vote(THIRD, 4, position(9, 3), false), None);
        assert_eq!(test_replica.replica.term(), Term(3));
        test_replica.now = test_replica.now + Duration::from_millis(199);
    }
    // But it votes for a candidate to which the leader transfers its leadership, because that leader gave up its lease
    assert_eq!(test_replica.request_vote(THIRD, 4, position(9, 3), true), Some(true));
}

#[test]
fn just_started_voter_grants_no_vote() {
    let mut test_replica = TestReplica::new(3, &[1]);
    test_replica.restart();
    test_replica.now = test_replica.now - Duration::from_millis(801);
    assert_eq!(test_replica.request_pre_vote(THIRD, 4, position(9, 3)), Some(false));
    assert_eq!(test_replica.request_vote(THIRD, 4, position(9, 3), false), None);
    test_replica.now = test_replica.now + Duration::from_millis(2);
    assert_eq!(test_replica.request_pre_vote(THIRD, 4, position(9, 3)), Some(true));
    assert_eq!(test_replica.request_vote(THIRD, 4, position(9, 3), false), Some(true));
}

#[test]
fn empty_replica_that_knows_its_cluster_grants_no_vote() {
    // Given a replica whose disk was lost, and that has received a heartbeat since
    let mut test_replica = TestReplica::new(2, &[]);
    test_replica.receive_heartbeat(SECOND, 2);
    test_replica.now = test_replica.now + Duration::from_millis(1_000);
    // When a candidate asks for its vote, even with an empty log, then it gets none
    assert_eq!(test_replica.request_pre_vote(THIRD, 3, position(0, 0)), Some(false));
    assert_eq!(test_replica.request_vote(THIRD, 3, position(0, 0), false), Some(false));
    assert_eq!(test_replica.request_vote(THIRD, 4, position(9, 9), true), Some(false));
}

#[test]
fn pre_vote_records_nothing() {
    let mut test_replica = TestReplica::new(3, &[1]);
    let before = test_replica.disk.clone();
    assert_eq!(test_replica.request_pre_vote(SECOND, 4, position(1, 1)), Some(true));
    assert_eq!(test_replica.request_pre_vote(THIRD, 4, position(1, 1)), Some(true));
    assert_eq!(test_replica.disk, before);
    assert_eq!(test_replica.replica.term(), Term(3));
}

#[test]
fn entry_of_an_older_term_is_committed_by_one_of_the_leaders_own_term() {
    // Given a leader with an entry of an older term that is not on a quorum
    let mut test_replica = TestReplica::new(3, &[1, 2]);
    let term = test_replica.become_leader();
    // When a quorum has that entry, it is not committed, because another leader may still replace it
    test_replica.receive_match(SECOND, term, 2);
    assert_eq!(test_replica.replica.commit_index(), Index(0));
    assert!(
        !test_replica.replica.lease_holds(test_replica.now),
        "reads need a committed entry of the leader's term"
    );
    // Then it is committed together with the leader's first entry
    test_replica.receive_match(SECOND, term, 3);
    assert_eq!(test_replica.replica.commit_index(), Index(3));
    assert!(test_replica.replica.lease_holds(test_replica.now));
}

#[test]
fn unsynced_entries_of_the_leader_do_not_count() {
    // Given a leader whose write of a command is not synced, and a follower that already has the command
    let mut test_replica = TestReplica::new(3, &[1]);
    let term = test_replica.become_leader();
    test_replica.receive_match(SECOND, term, 2);
    test_replica.replica.propose(test_replica.now, vec![1]).expect("the replica is the leader");
    let ready = test_replica.replica.take_ready();
    assert!(ready.must_sync && ready.immediate_messages.iter().any(|(to, _)| *to == SECOND));
    let cluster_id = group().cluster_id();
    let response = AppendResponse { outcome: AppendOutcome::Matched(Index(3)), sent: LeaderTimestamp(0) };
    let message = Message {
        from: SECOND,
        to: OWN_ID,
        cluster_id,
        term: Term(term),
        body: Body::AppendResponse(response),
    };
    test_replica.replica.receive(test_replica.now, SECOND, message);
    // Then the command is not committed before the leader's own sync
    assert_eq!(test_replica.replica.commit_index(), Index(2));
    test_replica.replica.synced();
    assert_eq!(test_replica.replica.commit_index(), Index(3));
}

#[test]
fn append_requires_a_matching_previous_entry() {
    let mut test_replica = TestReplica::new(3, &[1, 2, 2]);
    // Given an append after an entry of another term, or after a missing entry, then it is rejected with a hint
    let sent = test_replica.receive_append(SECOND, 4, position(3, 3), 0, vec![entry(4, 4)]);
    assert_eq!(outcome(&sent), Some(AppendOutcome::Conflict { rejected: Index(3), hint: Index(2) }));
    let sent = test_replica.receive_append(SECOND, 4, position(7, 1), 0, vec![entry(8, 4)]);
    assert_eq!(outcome(&sent), Some(AppendOutcome::Conflict { rejected: Index(7), hint: Index(1) }));
    assert_eq!(test_replica.replica.last(), position(3, 2));
    // When its previous entry matches, it replaces the entries that differ
    let sent = test_replica.receive_append(SECOND, 4, position(1, 1), 0, vec![entry(2, 3), entry(3, 4)]);
    assert_eq!(outcome(&sent), Some(AppendOutcome::Matched(Index(3))));
    assert_eq!(test_replica.disk.entries, [entry(1, 1), entry(2, 3), entry(3, 4)]);
    // And an older append that arrives late truncates nothing
    test_replica.receive_append(SECOND, 4, position(1, 1), 0, vec![entry(2, 3)]);
    assert_eq!(test_replica.replica.last(), position(3, 4));
}

#[test]
fn committed_entries_are_never_truncated() {
    // Given a follower that knows three entries to be committed
    let mut test_replica = TestReplica::new(3, &[1, 2, 2]);
    test_replica.receive_append(SECOND, 3, position(3, 2), 3, Vec::new());
    assert_eq!(test_replica.replica.commit_index(), Index(3));
    // When an append has another entry there, which no leader sends
    test_replica.receive_append(THIRD, 4, position(1, 1), 0, vec![entry(2, 3)]);
    // Then the follower keeps the committed entries
    assert_eq!(test_replica.disk.entries, [entry(1, 1), entry(2, 2), entry(3, 2)]);
}

fn group_entry(index: u64, term: u64, group: Group) -> Entry {
    Entry { index: Index(index), term: Term(term), payload: Payload::Group(group) }
}

#[test]
fn truncating_a_group_entry_restores_the_previous_group() {
    // Given a follower with a joint group that is not committed
    let mut test_replica = TestReplica::new(3, &[1]);
    let joint = Group { voters: vec![ReplicaId(7)], outgoing: group().voters };
    test_replica.receive_append(SECOND, 3, position(1, 1), 1, vec![group_entry(2, 3, joint.clone())]);
    assert_eq!((test_replica.replica.group(), test_replica.replica.group_index()), (&joint, Index(2)));
    // When another leader replaces that entry by a command
    test_replica.receive_append(THIRD, 4, position(1, 1), 1, vec![entry(2, 4)]);
    // Then the first group is in force again
    assert_eq!((test_replica.replica.group(), test_replica.replica.group_index()), (&group(), Index(1)));
}

#[test]
fn change_proceeds_when_its_joint_group_is_committed() {
    // Given a leader that starts to remove the third voter, after a command that is not committed
    let mut test_replica = TestReplica::new(3, &[1]);
    let term = test_replica.become_leader();
    test_replica.receive_match(SECOND, term, 2);
    test_replica.replica.propose(test_replica.now, vec![1]).expect("the replica is the leader");
    test_replica
        .replica
        .change_group(test_replica.now, vec![OWN_ID, SECOND])
        .expect("no change is in progress");
    test_replica.process_batches();
    assert!(test_replica.replica.group().is_joint());
    // When the command is committed, the group is still joint
    test_replica.receive_match(SECOND, term, 3);
    assert_eq!(
        (test_replica.replica.commit_index(), test_replica.replica.last()),
        (Index(3), position(4, term))
    );
    // Then the new group follows after the joint one is committed
    test_replica.receive_match(SECOND, term, 4);
    assert_eq!(test_replica.replica.group(), &Group::of([OWN_ID, SECOND]));
    assert_eq!(test_replica.replica.last(), position(5, term));
}

#[test]
fn removed_replica_gets_no_vote_from_voters_that_know_it() {
    // Given a voter that knows that a group without the third voter is committed
    let mut test_replica = TestReplica::new(3, &[1]);
    let smaller = Group::of([OWN_ID, SECOND]);
    test_replica.receive_append(SECOND, 3, position(1, 1), 2, vec![group_entry(2, 3, smaller)]);
    test_replica.now = test_replica.now + Duration::from_millis(1_000);
    // When the third voter, which has that entry but does not know that it is committed, asks for a vote, then it gets
    // none
    assert_eq!(test_replica.request_pre_vote(THIRD, 4, position(2, 3)), Some(false));
    assert_eq!(test_replica.request_vote(THIRD, 4, position(2, 3), false), Some(false));
    // And it gets one only with a later entry, which may be of a later group
    assert_eq!(test_replica.request_vote(THIRD, 5, position(3, 3), false), Some(true));
}

#[test]
fn delayed_rejection_changes_nothing() {
    // Given a leader whose follower has all of its log
    let mut test_replica = TestReplica::new(3, &[1, 2, 2]);
    let term = test_replica.become_leader();
    test_replica.receive_match(SECOND, term, 4);
    // When a rejection arrives late
    let outcome = AppendOutcome::Conflict { rejected: Index(3), hint: Index(1) };
    let sent = test_replica.receive(
        SECOND,
        term,
        Body::AppendResponse(AppendResponse { outcome, sent: LeaderTimestamp(0) }),
    );
    // Then nothing is sent again
    assert!(sent.is_empty(), "{sent:?}");
    // And each command is sent without waiting for a response to the previous one
    for command in 1..=3 {
        test_replica.replica.propose(test_replica.now, vec![command]).expect("the replica is the leader");
        let sent = test_replica.process_batches();
        assert!(sent.iter().any(|message| message.to == SECOND), "command {command}: {sent:?}");
    }
}

#[test]
fn snapshot_replaces_the_entries_it_contains() {
    // Given a follower with entries that are not known to be committed
    let mut test_replica = TestReplica::new(3, &[1, 2, 2]);
    let cluster_id = group().cluster_id();
    // When it receives a snapshot that contains the second entry, and an append that says that the third is committed
    let chunk = grebeusher_quorum::SnapshotChunk {
        last: position(2, 2),
        group: group(),
        total: 3,
        offset: 0,
        bytes: Blob::from(vec![1, 2, 3]),
        sent: LeaderTimestamp(0),
    };
    let append =
        Append { previous: position(3, 2), commit: Index(3), sent: LeaderTimestamp(0), entries: Vec::new() };
    for body in [Body::SnapshotChunk(chunk), Body::Append(append)] {
        test_replica.replica.receive(
            test_replica.now,
            SECOND,
            Message { from: SECOND, to: OWN_ID, cluster_id, term: Term(4), body },
        );
    }
    // Then the application loads the snapshot and applies only the entry after it
    let ready = test_replica.replica.take_ready();
    assert_eq!(ready.restore.map(|restore| restore.index), Some(Index(2)));
    assert_eq!(ready.committed.iter().map(|committed| committed.index).collect::<Vec<_>>(), [Index(3)]);
    assert_eq!(ready.applied, Index(3));
    let Some(Write::Snapshot { snapshot, entries, .. }) = ready.writes.first() else {
        panic!("the snapshot is not written")
    };
    assert_eq!((snapshot.last, entries.as_slice()), (position(2, 2), &[entry(3, 2)][..]));
}

#[test]
fn chunks_of_different_snapshots_are_not_mixed() {
    let mut test_replica = TestReplica::new(3, &[1]);
    let chunk = |index, offset, total| {
        Body::SnapshotChunk(grebeusher_quorum::SnapshotChunk {
            last: position(index, 3),
            group: group(),
            total,
            offset,
            bytes: Blob::from(vec![index as u8; 3]),
            sent: LeaderTimestamp(0),
        })
    };
    let received = |sent: &[Message]| {
        sent.iter().find_map(|message| match &message.body {
            Body::SnapshotChunkResponse(response) => Some(response.received),
            _ => None,
        })
    };
    // Given the first half of a snapshot
    assert_eq!(received(&test_replica.receive(SECOND, 3, chunk(5, 0, 6))), Some(3));
    // When the second half of a newer snapshot arrives, or of one of another leader, it is not added
    assert_eq!(received(&test_replica.receive(SECOND, 3, chunk(6, 3, 6))), Some(0));
    assert_eq!(received(&test_replica.receive(SECOND, 3, chunk(6, 0, 6))), Some(3));
    assert_eq!(received(&test_replica.receive(THIRD, 4, chunk(6, 3, 6))), Some(0));
    // Then the follower waits for the rest of the same snapshot, and a chunk that it already has adds nothing
    assert_eq!(received(&test_replica.receive(THIRD, 4, chunk(6, 0, 6))), Some(3));
    assert_eq!(received(&test_replica.receive(THIRD, 4, chunk(6, 0, 6))), Some(3));
    assert_eq!(test_replica.replica.snapshot_index(), Index(0));
    test_replica.replica.receive(test_replica.now, THIRD, {
        let cluster_id = group().cluster_id();
        Message { from: THIRD, to: OWN_ID, cluster_id, term: Term(4), body: chunk(6, 3, 6) }
    });
    let restore = test_replica.replica.take_ready().restore.expect("the snapshot is complete");
    assert_eq!((restore.index, restore.bytes.len()), (Index(6), 6));
}

#[test]
fn follower_commits_only_what_is_known_to_match() {
    // Given a follower with entries after the one that the leader's append matches
    let mut test_replica = TestReplica::new(3, &[1, 2, 2]);
    // When the leader, whose commit index is 9, sends a heartbeat after the first entry
    test_replica.receive_append(SECOND, 4, position(1, 1), 9, Vec::new());
    // Then only the first entry is committed
    assert_eq!(test_replica.replica.commit_index(), Index(1));
}

#[test]
fn one_leader_per_term() {
    // Given a follower that knows the leader of its term
    let mut test_replica = TestReplica::new(3, &[1]);
    test_replica.receive_heartbeat(SECOND, 4);
    // Then an append of another leader of the same term is not answered and has no effect
    let sent = test_replica.receive_append(THIRD, 4, position(1, 1), 0, vec![entry(2, 4)]);
    assert!(sent.is_empty());
    assert_eq!(test_replica.replica.leader_hint(), Some(SECOND));
    // And the same holds at the leader itself
    let mut test_replica = TestReplica::new(3, &[1]);
    let term = test_replica.become_leader();
    assert!(test_replica.receive_append(THIRD, term, position(1, 1), 0, vec![entry(2, term)]).is_empty());
    assert!(test_replica.replica.is_leader());
}

#[test]
fn hard_state_on_disk_does_not_depend_on_later_writes() {
    // Given a follower with entries that are not committed
    let mut test_replica = TestReplica::new(3, &[1, 2, 2]);
    // When a new leader replaces them with an append that also says that the new ones are committed
    let append = Append {
        previous: position(1, 1),
        commit: Index(3),
        sent: LeaderTimestamp(7),
        entries: vec![entry(2, 4), entry(3, 4)],
    };
    let cluster_id = group().cluster_id();
    let message = Message { from: SECOND, to: OWN_ID, cluster_id, term: Term(4), body: Body::Append(append) };
    test_replica.replica.receive(test_replica.now, SECOND, message);
    let ready = test_replica.replica.take_ready();
    // Then the hard state, which is written first, does not count the old entries as committed if power is lost after
    // it
    let Some(Write::HardState(hard_state)) = ready.writes.first() else { panic!("{:?}", ready.writes) };
    assert!(hard_state.commit <= Index(1), "{hard_state:?}");
}

#[test]
fn timeout_now_is_accepted_from_the_leader_only() {
    let mut test_replica = TestReplica::new(3, &[1]);
    test_replica.receive_heartbeat(SECOND, 3);
    // Given a `TimeoutNow` of another replica, or of an older term, then it has no effect
    assert!(test_replica.receive(THIRD, 3, Body::TimeoutNow).is_empty());
    assert!(test_replica.receive(SECOND, 2, Body::TimeoutNow).is_empty());
    assert_eq!(test_replica.replica.term(), Term(3));
    // When the leader sends it, the replica starts an election at once and says that it is a transfer of leadership
    let sent = test_replica.receive(SECOND, 3, Body::TimeoutNow);
    let leadership_transfer = |message: &Message| {
        matches!(message.body, Body::RequestVote(VoteRequest { leadership_transfer: true, .. }))
    };
    assert!(sent.iter().all(leadership_transfer) && sent.len() == 2);
    assert_eq!(test_replica.disk.hard_state.vote, Some(OWN_ID));
}

#[test]
fn timeout_election_is_not_a_leadership_transfer() {
    // Given a voter that has not heard from its leader
    let mut test_replica = TestReplica::new(3, &[1]);
    test_replica.replica.tick(test_replica.now);
    let requests = test_replica.process_batches();
    assert!(
        requests.iter().all(|message| matches!(message.body, Body::RequestPreVote(_))) && requests.len() == 2
    );
    // When another voter grants the pre-vote
    let sent = test_replica.receive(SECOND, 4, Body::PreVoteResponse(VoteResponse { granted: true }));
    // Then the election is not marked as a transfer of leadership, so voters wait for leases
    let is_timeout_election = |message: &Message| {
        matches!(message.body, Body::RequestVote(VoteRequest { leadership_transfer: false, .. }))
    };
    assert!(sent.iter().all(is_timeout_election) && sent.len() == 2);
}

#[test]
fn empty_replica_accepts_messages_of_leaders_only() {
    // Given a replica with nothing on disk
    let mut replica = Replica::new(OWN_ID, RestoredState::default(), TIMING, 1, Instant(0));
    let now = Instant(1_000_000_000);
    let cluster_id = group().cluster_id();
    let last = position(9, 3);
    let request = VoteRequest { last, leadership_transfer: true };
    // When it is asked for a vote, a pre-vote, or to start an election
    for body in [Body::RequestVote(request), Body::RequestPreVote(request), Body::TimeoutNow] {
        replica.receive(now, SECOND, Message { from: SECOND, to: OWN_ID, cluster_id, term: Term(4), body });
    }
    // Then it sends and writes nothing
    assert!(!replica.has_ready());
    // And it joins the cluster of a leader that sends an append
    let append = Append {
        previous: position(0, 0),
        commit: Index(1),
        sent: LeaderTimestamp(0),
        entries: vec![entry(1, 1)],
    };
    replica.receive(
        now,
        SECOND,
        Message { from: SECOND, to: OWN_ID, cluster_id, term: Term(4), body: Body::Append(append) },
    );
    assert_eq!((replica.cluster_id(), replica.last()), (Some(cluster_id), position(1, 1)));
}
