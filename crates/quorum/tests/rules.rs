//! Single rules of a replica, message by message: what it must do, and what it must not.

use grebeusher_quorum::{
    Append, AppendOutcome, AppendResponse, Blob, Body, Entry, Group, HardState, Index, LeaderTimestamp,
    Message, Payload, Position, Replica, ReplicaId, RestoredState, Term, Timing, VoteRequest, VoteResponse,
    Write,
};
use grebeusher_time::{Duration, Instant};
use rstest::rstest;

const ME: ReplicaId = ReplicaId(1);
const SECOND: ReplicaId = ReplicaId(2);
const THIRD: ReplicaId = ReplicaId(3);

const TIMING: Timing = Timing {
    heartbeat_interval: Duration::from_millis(20),
    election_timeout_min: Duration::from_millis(200),
    election_timeout_max: Duration::from_millis(400),
    lease_duration: Duration::from_millis(150),
};

fn group() -> Group {
    Group::of([ME, SECOND, THIRD])
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

/// A replica, its disk as the program would keep it, and the time.
struct Bench {
    replica: Replica,
    disk: RestoredState,
    now: Instant,
}

impl Bench {
    /// A replica in `term` whose log has entries of these terms; it was started long ago.
    fn new(term: u64, terms: &[u64]) -> Bench {
        let entries = (1..).zip(terms).map(|(index, term)| entry(index, *term)).collect();
        let cluster_id = Some(group().cluster_id());
        let hard_state = HardState { term: Term(term), vote: None, cluster_id, commit: Index(0) };
        let disk = RestoredState { hard_state, snapshot: None, entries };
        let replica = Replica::new(ME, disk.clone(), TIMING, 1, Instant(0));
        Bench { replica, disk, now: Instant(1_000_000_000) }
    }

    /// A message arrives; all that comes of it is synced. What the replica sends.
    fn receive(&mut self, from: ReplicaId, term: u64, body: Body) -> Vec<Message> {
        let cluster_id = group().cluster_id();
        let message = Message { from, to: ME, cluster_id, term: Term(term), body };
        self.replica.receive(self.now, from, message);
        self.work()
    }

    fn work(&mut self) -> Vec<Message> {
        let mut sent = Vec::new();
        while self.replica.has_ready() {
            let ready = self.replica.take_ready();
            ready.writes.into_iter().for_each(|write| match write {
                Write::HardState(hard_state) => self.disk.hard_state = hard_state,
                Write::Entries(entries) => {
                    self.disk.entries.retain(|entry| entry.index < entries[0].index);
                    self.disk.entries.extend(entries);
                }
                Write::Snapshot { .. } => unreachable!("there are none here"),
            });
            self.replica.synced();
            sent.extend(
                ready.immediate_messages.into_iter().chain(ready.messages).map(|(_, message)| message),
            );
        }
        sent
    }

    /// The process ends and starts again, long ago.
    fn restart(&mut self) {
        self.replica = Replica::new(ME, self.disk.clone(), TIMING, 1, self.now);
        self.now = self.now + Duration::from_millis(1_000);
    }

    fn hear_leader(&mut self, leader: ReplicaId, term: u64) -> Vec<Message> {
        self.append(leader, term, position(1, 1), 0, Vec::new())
    }

    fn append(
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

    fn vote(
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

    fn pre_vote(&mut self, candidate: ReplicaId, term: u64, last: Position) -> Option<bool> {
        let sent = self.receive(
            candidate,
            term,
            Body::RequestPreVote(VoteRequest { last, leadership_transfer: false }),
        );
        granted(&sent)
    }

    /// Becomes leader of the next term by the vote of the second one.
    fn become_leader(&mut self) -> u64 {
        self.now = self.now.max(self.replica.next_wake());
        self.replica.tick(self.now);
        self.work();
        let term = self.replica.term().0 + 1;
        self.receive(SECOND, term, Body::PreVoteResponse(VoteResponse { granted: true }));
        self.receive(SECOND, term, Body::VoteResponse(VoteResponse { granted: true }));
        assert!(self.replica.is_leader());
        term
    }

    fn matched(&mut self, from: ReplicaId, term: u64, index: u64) {
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
    assert_eq!(Bench::new(3, &[1, 2, 2]).vote(SECOND, 4, last, false), Some(expected));
    assert_eq!(Bench::new(3, &[1, 2, 2]).pre_vote(SECOND, 4, last), Some(expected));
}

#[test]
fn one_vote_per_term_also_after_a_restart() {
    // Given a vote in term 4
    let mut bench = Bench::new(3, &[1]);
    assert_eq!(bench.vote(SECOND, 4, position(1, 1), false), Some(true));
    // Then another candidate of the term gets none, and the same one gets it again
    assert_eq!(bench.vote(THIRD, 4, position(9, 3), false), Some(false));
    assert_eq!(bench.vote(SECOND, 4, position(1, 1), false), Some(true));
    // Also after a restart
    bench.restart();
    assert_eq!(bench.vote(THIRD, 4, position(9, 3), false), Some(false));
    assert_eq!(bench.vote(SECOND, 4, position(1, 1), false), Some(true));
    // And the next term has a vote of its own; an older one has none
    assert_eq!(bench.vote(THIRD, 5, position(9, 3), false), Some(true));
    assert_eq!(bench.vote(SECOND, 4, position(1, 1), false), Some(false));
}

#[test]
fn vote_in_a_known_term_survives_a_restart() {
    // Given a replica that knows of term 4 by a candidate that got no vote
    let mut bench = Bench::new(3, &[1, 3]);
    assert_eq!(bench.vote(SECOND, 4, position(1, 1), false), Some(false));
    // When another one gets it, and the replica restarts
    assert_eq!(bench.vote(THIRD, 4, position(2, 3), false), Some(true));
    bench.restart();
    // Then the vote is still given away
    assert_eq!(bench.vote(SECOND, 4, position(9, 3), false), Some(false));
}

#[test]
fn newer_term_survives_a_restart() {
    // Given a replica that rejected a vote in term 9, and so knows of it
    let mut bench = Bench::new(3, &[1, 3]);
    assert_eq!(bench.vote(SECOND, 9, position(1, 1), false), Some(false));
    bench.restart();
    // Then a leader of an older term is rejected after the restart too
    let sent = bench.hear_leader(THIRD, 8);
    assert_eq!(outcome(&sent), Some(AppendOutcome::StaleTerm));
    assert_eq!(bench.replica.term(), Term(9));
}

#[test]
fn voter_that_hears_a_leader_votes_for_nobody_else() {
    // Given a voter that has just heard of a leader
    let mut bench = Bench::new(3, &[1]);
    bench.hear_leader(SECOND, 3);
    // Then it votes for nobody, not even for a later term, and enters no term, for the whole span
    for _ in 0..2 {
        assert_eq!(bench.pre_vote(THIRD, 4, position(9, 3)), Some(false));
        assert_eq!(bench.vote(THIRD, 4, position(9, 3), false), None);
        assert_eq!(bench.replica.term(), Term(3));
        bench.now = bench.now + Duration::from_millis(199);
    }
    // But for one to whom the leader has handed over, which gave up its lease for that
    assert_eq!(bench.vote(THIRD, 4, position(9, 3), true), Some(true));
}

#[test]
fn just_started_voter_grants_no_vote() {
    let mut bench = Bench::new(3, &[1]);
    bench.restart();
    bench.now = bench.now - Duration::from_millis(801);
    assert_eq!(bench.pre_vote(THIRD, 4, position(9, 3)), Some(false));
    assert_eq!(bench.vote(THIRD, 4, position(9, 3), false), None);
    bench.now = bench.now + Duration::from_millis(2);
    assert_eq!(bench.pre_vote(THIRD, 4, position(9, 3)), Some(true));
    assert_eq!(bench.vote(THIRD, 4, position(9, 3), false), Some(true));
}

#[test]
fn empty_replica_that_knows_its_cluster_grants_no_vote() {
    // Given a replica whose disk was lost, and that has heard a leader since
    let mut bench = Bench::new(2, &[]);
    bench.hear_leader(SECOND, 2);
    bench.now = bench.now + Duration::from_millis(1_000);
    // When a candidate asks for its vote, with however little in its log, then it gets none
    assert_eq!(bench.pre_vote(THIRD, 3, position(0, 0)), Some(false));
    assert_eq!(bench.vote(THIRD, 3, position(0, 0), false), Some(false));
    assert_eq!(bench.vote(THIRD, 4, position(9, 9), true), Some(false));
}

#[test]
fn pre_vote_records_nothing() {
    let mut bench = Bench::new(3, &[1]);
    let before = bench.disk.clone();
    assert_eq!(bench.pre_vote(SECOND, 4, position(1, 1)), Some(true));
    assert_eq!(bench.pre_vote(THIRD, 4, position(1, 1)), Some(true));
    assert_eq!(bench.disk, before);
    assert_eq!(bench.replica.term(), Term(3));
}

#[test]
fn entry_of_an_older_term_is_committed_by_one_of_the_leaders_own_term() {
    // Given a leader of a later term with an old entry that no quorum had
    let mut bench = Bench::new(3, &[1, 2]);
    let term = bench.become_leader();
    // When a quorum has the old entry, it is not committed: another leader may still replace it
    bench.matched(SECOND, term, 2);
    assert_eq!(bench.replica.commit_index(), Index(0));
    assert!(!bench.replica.lease_holds(bench.now), "what it does not know to be decided can't be read");
    // Then it is committed with the leader's first entry
    bench.matched(SECOND, term, 3);
    assert_eq!(bench.replica.commit_index(), Index(3));
    assert!(bench.replica.lease_holds(bench.now));
}

#[test]
fn unsynced_entries_of_the_leader_do_not_count() {
    // Given a leader that writes a command, and a follower that already has it
    let mut bench = Bench::new(3, &[1]);
    let term = bench.become_leader();
    bench.matched(SECOND, term, 2);
    bench.replica.propose(bench.now, vec![1]).expect("the replica is the leader");
    let ready = bench.replica.take_ready();
    assert!(ready.must_sync && ready.immediate_messages.iter().any(|(to, _)| *to == SECOND));
    let cluster_id = group().cluster_id();
    let response = AppendResponse { outcome: AppendOutcome::Matched(Index(3)), sent: LeaderTimestamp(0) };
    let message =
        Message { from: SECOND, to: ME, cluster_id, term: Term(term), body: Body::AppendResponse(response) };
    bench.replica.receive(bench.now, SECOND, message);
    // Then it is not committed before the leader's own sync
    assert_eq!(bench.replica.commit_index(), Index(2));
    bench.replica.synced();
    assert_eq!(bench.replica.commit_index(), Index(3));
}

#[test]
fn append_requires_a_matching_previous_entry() {
    let mut bench = Bench::new(3, &[1, 2, 2]);
    // Given an append after an entry of another term, or after one that is missing: it is rejected with a hint
    let sent = bench.append(SECOND, 4, position(3, 3), 0, vec![entry(4, 4)]);
    assert_eq!(outcome(&sent), Some(AppendOutcome::Conflict { rejected: Index(3), hint: Index(2) }));
    let sent = bench.append(SECOND, 4, position(7, 1), 0, vec![entry(8, 4)]);
    assert_eq!(outcome(&sent), Some(AppendOutcome::Conflict { rejected: Index(7), hint: Index(1) }));
    assert_eq!(bench.replica.last(), position(3, 2));
    // When it fits, it replaces what differs
    let sent = bench.append(SECOND, 4, position(1, 1), 0, vec![entry(2, 3), entry(3, 4)]);
    assert_eq!(outcome(&sent), Some(AppendOutcome::Matched(Index(3))));
    assert_eq!(bench.disk.entries, [entry(1, 1), entry(2, 3), entry(3, 4)]);
    // And an old one that arrives late takes nothing away
    bench.append(SECOND, 4, position(1, 1), 0, vec![entry(2, 3)]);
    assert_eq!(bench.replica.last(), position(3, 4));
}

#[test]
fn committed_entries_are_never_truncated() {
    // Given a follower that knows three entries to be committed
    let mut bench = Bench::new(3, &[1, 2, 2]);
    bench.append(SECOND, 3, position(3, 2), 3, Vec::new());
    assert_eq!(bench.replica.commit_index(), Index(3));
    // When somebody claims otherwise, which no leader does
    bench.append(THIRD, 4, position(1, 1), 0, vec![entry(2, 3)]);
    // Then it keeps them
    assert_eq!(bench.disk.entries, [entry(1, 1), entry(2, 2), entry(3, 2)]);
}

fn group_entry(index: u64, term: u64, group: Group) -> Entry {
    Entry { index: Index(index), term: Term(term), payload: Payload::Group(group) }
}

#[test]
fn truncating_a_group_entry_restores_the_previous_group() {
    // Given a follower with a joint group that is not committed
    let mut bench = Bench::new(3, &[1]);
    let joint = Group { voters: vec![ReplicaId(7)], outgoing: group().voters };
    bench.append(SECOND, 3, position(1, 1), 1, vec![group_entry(2, 3, joint.clone())]);
    assert_eq!((bench.replica.group(), bench.replica.group_index()), (&joint, Index(2)));
    // When another leader has something else there
    bench.append(THIRD, 4, position(1, 1), 1, vec![entry(2, 4)]);
    // Then the first group is in force again
    assert_eq!((bench.replica.group(), bench.replica.group_index()), (&group(), Index(1)));
}

#[test]
fn change_proceeds_when_its_joint_group_is_committed() {
    // Given a leader that begins to remove the third one behind a command that is not committed
    let mut bench = Bench::new(3, &[1]);
    let term = bench.become_leader();
    bench.matched(SECOND, term, 2);
    bench.replica.propose(bench.now, vec![1]).expect("the replica is the leader");
    bench.replica.change_group(bench.now, vec![ME, SECOND]).expect("no change is in progress");
    bench.work();
    assert!(bench.replica.group().is_joint());
    // When the command is committed, the group is still joint
    bench.matched(SECOND, term, 3);
    assert_eq!((bench.replica.commit_index(), bench.replica.last()), (Index(3), position(4, term)));
    // Then it is the new one after the joint one is committed
    bench.matched(SECOND, term, 4);
    assert_eq!(bench.replica.group(), &Group::of([ME, SECOND]));
    assert_eq!(bench.replica.last(), position(5, term));
}

#[test]
fn removed_replica_gets_no_vote_from_voters_that_know_it() {
    // Given a voter that knows a group without the third one to be committed
    let mut bench = Bench::new(3, &[1]);
    let smaller = Group::of([ME, SECOND]);
    bench.append(SECOND, 3, position(1, 1), 2, vec![group_entry(2, 3, smaller)]);
    bench.now = bench.now + Duration::from_millis(1_000);
    // When the third one, which has the entry and does not know that it is committed, asks for votes
    assert_eq!(bench.pre_vote(THIRD, 4, position(2, 3)), Some(false));
    assert_eq!(bench.vote(THIRD, 4, position(2, 3), false), Some(false));
    // Then only one that may know of a later group could
    assert_eq!(bench.vote(THIRD, 5, position(3, 3), false), Some(true));
}

#[test]
fn delayed_rejection_changes_nothing() {
    // Given a leader whose follower has all of its log
    let mut bench = Bench::new(3, &[1, 2, 2]);
    let term = bench.become_leader();
    bench.matched(SECOND, term, 4);
    // When a refusal arrives late, or a second time
    let outcome = AppendOutcome::Conflict { rejected: Index(3), hint: Index(1) };
    let sent = bench.receive(
        SECOND,
        term,
        Body::AppendResponse(AppendResponse { outcome, sent: LeaderTimestamp(0) }),
    );
    // Then nothing is sent anew
    assert!(sent.is_empty(), "{sent:?}");
    // And commands go on without waiting for an answer to each
    for command in 1..=3 {
        bench.replica.propose(bench.now, vec![command]).expect("the replica is the leader");
        let sent = bench.work();
        assert!(sent.iter().any(|message| message.to == SECOND), "command {command}: {sent:?}");
    }
}

#[test]
fn snapshot_replaces_the_entries_it_contains() {
    // Given a follower with entries that are not known to be committed
    let mut bench = Bench::new(3, &[1, 2, 2]);
    let cluster_id = group().cluster_id();
    // When it gets a snapshot that contains the second one, and hears that the third one is committed
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
        bench.replica.receive(
            bench.now,
            SECOND,
            Message { from: SECOND, to: ME, cluster_id, term: Term(4), body },
        );
    }
    // Then the application loads the snapshot, and applies what follows it only
    let ready = bench.replica.take_ready();
    assert_eq!(ready.restore.map(|restore| restore.index), Some(Index(2)));
    assert_eq!(ready.committed.iter().map(|committed| committed.index).collect::<Vec<_>>(), [Index(3)]);
    assert_eq!(ready.applied, Index(3));
    let Some(Write::Snapshot { snapshot, entries, .. }) = ready.writes.first() else {
        panic!("it is written")
    };
    assert_eq!((snapshot.last, entries.as_slice()), (position(2, 2), &[entry(3, 2)][..]));
}

#[test]
fn chunks_of_different_snapshots_are_not_mixed() {
    let mut bench = Bench::new(3, &[1]);
    let piece = |index, offset, total| {
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
    assert_eq!(received(&bench.receive(SECOND, 3, piece(5, 0, 6))), Some(3));
    // When the second half of a newer one arrives, or of one by another leader
    assert_eq!(received(&bench.receive(SECOND, 3, piece(6, 3, 6))), Some(0));
    assert_eq!(received(&bench.receive(SECOND, 3, piece(6, 0, 6))), Some(3));
    assert_eq!(received(&bench.receive(THIRD, 4, piece(6, 3, 6))), Some(0));
    // Then it waits for the rest of the same one, and a chunk that is there already adds nothing
    assert_eq!(received(&bench.receive(THIRD, 4, piece(6, 0, 6))), Some(3));
    assert_eq!(received(&bench.receive(THIRD, 4, piece(6, 0, 6))), Some(3));
    assert_eq!(bench.replica.snapshot_index(), Index(0));
    bench.replica.receive(bench.now, THIRD, {
        let cluster_id = group().cluster_id();
        Message { from: THIRD, to: ME, cluster_id, term: Term(4), body: piece(6, 3, 6) }
    });
    let restore = bench.replica.take_ready().restore.expect("the files are complete");
    assert_eq!((restore.index, restore.bytes.len()), (Index(6), 6));
}

#[test]
fn follower_commits_only_what_is_known_to_match() {
    // Given a follower with entries beyond those that the leader has compared
    let mut bench = Bench::new(3, &[1, 2, 2]);
    // When the leader, which has committed more, sends a heartbeat after the first
    bench.append(SECOND, 4, position(1, 1), 9, Vec::new());
    // Then only that one is
    assert_eq!(bench.replica.commit_index(), Index(1));
}

#[test]
fn one_leader_per_term() {
    // Given a follower that knows the leader of its term
    let mut bench = Bench::new(3, &[1]);
    bench.hear_leader(SECOND, 4);
    // Then another one that claims to be it is not answered, nor believed
    let sent = bench.append(THIRD, 4, position(1, 1), 0, vec![entry(2, 4)]);
    assert!(sent.is_empty());
    assert_eq!(bench.replica.leader_hint(), Some(SECOND));
    // Nor is one believed by the leader itself
    let mut bench = Bench::new(3, &[1]);
    let term = bench.become_leader();
    assert!(bench.append(THIRD, term, position(1, 1), 0, vec![entry(2, term)]).is_empty());
    assert!(bench.replica.is_leader());
}

#[test]
fn hard_state_on_disk_does_not_depend_on_later_writes() {
    // Given a follower that has entries that are not committed
    let mut bench = Bench::new(3, &[1, 2, 2]);
    // When a new leader replaces them and tells in the same message that it has committed them
    let append = Append {
        previous: position(1, 1),
        commit: Index(3),
        sent: LeaderTimestamp(7),
        entries: vec![entry(2, 4), entry(3, 4)],
    };
    let cluster_id = group().cluster_id();
    let message = Message { from: SECOND, to: ME, cluster_id, term: Term(4), body: Body::Append(append) };
    bench.replica.receive(bench.now, SECOND, message);
    let ready = bench.replica.take_ready();
    // Then the hard state, which come first, don't call the old entries committed if power goes in between
    let Some(Write::HardState(hard_state)) = ready.writes.first() else { panic!("{:?}", ready.writes) };
    assert!(hard_state.commit <= Index(1), "{hard_state:?}");
}

#[test]
fn timeout_now_is_accepted_from_the_leader_only() {
    let mut bench = Bench::new(3, &[1]);
    bench.hear_leader(SECOND, 3);
    // Given a call to take over from somebody else, or of an older term
    assert!(bench.receive(THIRD, 3, Body::TimeoutNow).is_empty());
    assert!(bench.receive(SECOND, 2, Body::TimeoutNow).is_empty());
    assert_eq!(bench.replica.term(), Term(3));
    // When the leader calls, it stands at once, and says why
    let sent = bench.receive(SECOND, 3, Body::TimeoutNow);
    let leadership_transfer = |message: &Message| {
        matches!(message.body, Body::RequestVote(VoteRequest { leadership_transfer: true, .. }))
    };
    assert!(sent.iter().all(leadership_transfer) && sent.len() == 2);
    assert_eq!(bench.disk.hard_state.vote, Some(ME));
}

#[test]
fn timeout_election_is_not_a_leadership_transfer() {
    // Given a voter whose leader is silent
    let mut bench = Bench::new(3, &[1]);
    bench.replica.tick(bench.now);
    let asked = bench.work();
    assert!(asked.iter().all(|message| matches!(message.body, Body::RequestPreVote(_))) && asked.len() == 2);
    // When one more would vote for it
    let sent = bench.receive(SECOND, 4, Body::PreVoteResponse(VoteResponse { granted: true }));
    // Then it stands as one who has to wait for leases
    let waits = |message: &Message| {
        matches!(message.body, Body::RequestVote(VoteRequest { leadership_transfer: false, .. }))
    };
    assert!(sent.iter().all(waits) && sent.len() == 2);
}

#[test]
fn empty_replica_accepts_messages_of_leaders_only() {
    // Given a replica with nothing on disk
    let mut replica = Replica::new(ME, RestoredState::default(), TIMING, 1, Instant(0));
    let now = Instant(1_000_000_000);
    let cluster_id = group().cluster_id();
    let last = position(9, 3);
    let request = VoteRequest { last, leadership_transfer: true };
    // When it is asked for its vote
    for body in [Body::RequestVote(request), Body::RequestPreVote(request), Body::TimeoutNow] {
        replica.receive(now, SECOND, Message { from: SECOND, to: ME, cluster_id, term: Term(4), body });
    }
    // Then it says nothing and writes nothing
    assert!(!replica.has_ready());
    // And a leader's message tells it where it belongs
    let append = Append {
        previous: position(0, 0),
        commit: Index(1),
        sent: LeaderTimestamp(0),
        entries: vec![entry(1, 1)],
    };
    replica.receive(
        now,
        SECOND,
        Message { from: SECOND, to: ME, cluster_id, term: Term(4), body: Body::Append(append) },
    );
    assert_eq!((replica.cluster_id(), replica.last()), (Some(cluster_id), position(1, 1)));
}
