//! The binary form of messages: complete, truncated, corrupted and random ones.

use grebeusher_quorum::{
    Append, AppendOutcome, AppendResponse, Blob, Body, ClusterId, DecodeError, Entry, Group, Index,
    LeaderTimestamp, MAX_MESSAGE, Message, Payload, Position, Replica, ReplicaId, RestoredState,
    SnapshotChunk, SnapshotChunkResponse, Term, VoteRequest, VoteResponse, decode, encode,
};
use grebeusher_time::{Duration, Instant};
use proptest::collection::vec;
use proptest::prelude::*;

fn group() -> impl Strategy<Value = Group> {
    (vec(1..9u64, 1..5), vec(1..9u64, 0..4)).prop_map(|(voters, outgoing)| {
        let list = |ids: Vec<u64>| Group::of(ids.into_iter().map(ReplicaId)).voters;
        Group { voters: list(voters), outgoing: list(outgoing) }
    })
}

fn payload() -> impl Strategy<Value = Payload> {
    prop_oneof![
        Just(Payload::Noop),
        group().prop_map(Payload::Group),
        vec(any::<u8>(), 0..40).prop_map(|bytes| Payload::Command(Blob::from(bytes))),
    ]
}

fn position() -> impl Strategy<Value = Position> + Clone {
    (0..6u64, 0..12u64).prop_map(|(term, index)| Position { term: Term(term), index: Index(index) })
}

fn append() -> impl Strategy<Value = Append> {
    (position(), 0..20u64, 0..50u64, vec((payload(), 0..2u64), 0..5)).prop_map(
        |(previous, commit, sent, payloads)| {
            let mut last = previous;
            let entries = payloads.into_iter().map(|(payload, term_increase)| {
                last = Position { term: Term(last.term.0 + term_increase), index: last.index.next() };
                Entry { index: last.index, term: last.term, payload }
            });
            Append {
                previous,
                entries: entries.collect(),
                commit: Index(commit),
                sent: LeaderTimestamp(sent),
            }
        },
    )
}

fn chunk() -> impl Strategy<Value = SnapshotChunk> {
    (position(), group(), vec(any::<u8>(), 0..40), 0..30u64, 0..30u64).prop_map(
        |(last, group, bytes, offset, remaining_bytes)| {
            let total = offset + bytes.len() as u64 + remaining_bytes;
            let last = Position { index: last.index.next(), ..last };
            SnapshotChunk { last, group, total, offset, bytes: Blob::from(bytes), sent: LeaderTimestamp(3) }
        },
    )
}

fn outcome() -> impl Strategy<Value = AppendOutcome> {
    prop_oneof![
        (0..20u64).prop_map(|index| AppendOutcome::Matched(Index(index))),
        (0..20u64, 0..20u64).prop_map(|(rejected, hint)| {
            AppendOutcome::Conflict { rejected: Index(rejected), hint: Index(hint) }
        }),
        Just(AppendOutcome::StaleTerm),
    ]
}

fn body() -> impl Strategy<Value = Body> {
    let request = (position(), any::<bool>())
        .prop_map(|(last, leadership_transfer)| VoteRequest { last, leadership_transfer });
    let response = any::<bool>().prop_map(|granted| VoteResponse { granted });
    prop_oneof![
        1 => request.clone().prop_map(Body::RequestPreVote),
        1 => response.clone().prop_map(Body::PreVoteResponse),
        1 => request.prop_map(Body::RequestVote),
        1 => response.prop_map(Body::VoteResponse),
        4 => append().prop_map(Body::Append),
        2 => outcome().prop_map(|outcome| Body::AppendResponse(AppendResponse { outcome, sent: LeaderTimestamp(3) })),
        2 => chunk().prop_map(Body::SnapshotChunk),
        1 => (position(), 0..40u64).prop_map(|(last, received)| {
            Body::SnapshotChunkResponse(SnapshotChunkResponse { last, received, sent: LeaderTimestamp(3) })
        }),
        1 => Just(Body::TimeoutNow),
    ]
}

const CLUSTER_ID: ClusterId = ClusterId(77);

fn message() -> impl Strategy<Value = Message> {
    (2..5u64, 1..12u64, body()).prop_map(|(from, term, body)| Message {
        from: ReplicaId(from),
        to: ReplicaId(1),
        cluster_id: CLUSTER_ID,
        term: Term(term),
        body,
    })
}

/// One call or a wait in a test of a replica.
#[derive(Clone, Debug)]
enum Step {
    Receive(Message),
    /// Waits for a time in milliseconds.
    Wait(u64),
    Work,
    Propose,
    Compact,
    Change(Vec<u64>),
    LeadershipTransfer,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => message().prop_map(Step::Receive),
        2 => (0..500u64).prop_map(Step::Wait),
        2 => Just(Step::Work),
        1 => Just(Step::Propose),
        1 => Just(Step::Compact),
        1 => vec(1..6u64, 0..4).prop_map(Step::Change),
        1 => Just(Step::LeadershipTransfer),
    ]
}

fn timing() -> grebeusher_quorum::Timing {
    grebeusher_quorum::Timing {
        heartbeat_interval: Duration::from_millis(20),
        election_timeout_min: Duration::from_millis(200),
        election_timeout_max: Duration::from_millis(400),
        lease_duration: Duration::from_millis(150),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(1_000) })]

    #[test]
    fn message_round_trips(message in message()) {
        let bytes = encode(&message);
        // The random term of a message may be lower than those of its entries. Such a message is rejected.
        match decode(&bytes) {
            Ok(decoded) => prop_assert_eq!(decoded, message),
            Err(error) => prop_assert!(matches!(error, DecodeError::Implausible)),
        }
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected_without_panic(bytes in vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn a_corrupted_message_does_not_panic(message in message(), corruptions in vec((any::<prop::sample::Index>(), any::<u8>()), 1..4), cut in any::<prop::sample::Index>()) {
        let mut bytes = encode(&message);
        for (position, value) in corruptions {
            let position = position.index(bytes.len());
            bytes[position] = value;
        }
        let _ = decode(&bytes);
        bytes.truncate(cut.index(bytes.len()));
        let _ = decode(&bytes);
    }

    /// No sequence of messages makes a replica panic or decreases its commit index.
    #[test]
    fn no_message_panics_a_replica(steps in vec(step(), 1..60), seed in any::<u64>()) {
        let hard_state = grebeusher_quorum::HardState { term: Term(1), cluster_id: Some(CLUSTER_ID), ..Default::default() };
        let voters = Group::of((1..4).map(ReplicaId));
        let entry = Entry { index: Index(1), term: Term(1), payload: Payload::Group(voters) };
        let restored = RestoredState { hard_state, snapshot: None, entries: vec![entry] };
        let mut now = Instant(0);
        let mut replica = Replica::new(ReplicaId(1), restored, timing(), seed, now);
        let mut commit = Index(0);
        for step in steps {
            match step {
                Step::Receive(message) => replica.receive(now, message.from, message),
                Step::Wait(ms) => {
                    now = now + Duration::from_millis(ms);
                    replica.tick(now);
                }
                Step::Work => {
                    let _ = replica.take_ready();
                    replica.synced();
                }
                Step::Propose => drop(replica.propose(now, vec![1, 2, 3]).is_ok()),
                Step::Compact => drop(replica.compact(replica.commit_index(), vec![5; 30]).is_ok()),
                Step::Change(voters) => {
                    let _ = replica.change_group(now, voters.into_iter().map(ReplicaId).collect());
                }
                Step::LeadershipTransfer => drop(replica.transfer_leadership(now, None).is_ok()),
            }
            prop_assert!(replica.commit_index() >= commit);
            commit = replica.commit_index();
            prop_assert!(commit <= replica.last().index);
            let _ = (replica.has_ready(), replica.next_wake(), replica.lease_holds(now));
        }
    }
}

#[test]
fn list_count_beyond_the_input_is_rejected_before_allocation() {
    // Given an append whose count of entries is replaced by the largest number of its field
    let append = Append {
        previous: Position::default(),
        commit: Index(0),
        sent: LeaderTimestamp(0),
        entries: Vec::new(),
    };
    let message = Message {
        from: ReplicaId(2),
        to: ReplicaId(1),
        cluster_id: CLUSTER_ID,
        term: Term(1),
        body: Body::Append(append),
    };
    let mut bytes = encode(&message);
    let count = bytes.len() - 4;
    bytes[count..].copy_from_slice(&u32::MAX.to_le_bytes());
    // Then it is rejected. Memory for that many entries would be hundreds of gigabytes, and the test would not end
    assert!(matches!(decode(&bytes), Err(DecodeError::Malformed { .. })));
}

#[test]
fn oversized_and_trailing_bytes_are_rejected() {
    let message = Message {
        from: ReplicaId(2),
        to: ReplicaId(1),
        cluster_id: CLUSTER_ID,
        term: Term(1),
        body: Body::TimeoutNow,
    };
    let mut bytes = encode(&message);
    bytes.push(0);
    assert!(matches!(decode(&bytes), Err(DecodeError::Trailing { extra: 1 })));
    bytes.resize(MAX_MESSAGE + 1, 0);
    assert!(matches!(decode(&bytes), Err(DecodeError::TooLarge { .. })));
    let implausible = Message { term: Term(u64::MAX), ..message };
    assert!(matches!(decode(&encode(&implausible)), Err(DecodeError::Implausible)));
}

/// An application that keeps the bytes of an entry shares their memory with the log.
#[test]
fn blob_shares_its_bytes() {
    let bytes: std::sync::Arc<[u8]> = vec![1, 2, 3].into();
    let blob = Blob::from(bytes.clone());
    assert_eq!(std::sync::Arc::strong_count(&bytes), 2);
    let kept_bytes = std::sync::Arc::<[u8]>::from(blob.clone());
    assert!(std::sync::Arc::ptr_eq(&kept_bytes, &bytes));
    assert_eq!(blob.as_slice(), [1, 2, 3]);
}
