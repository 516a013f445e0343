//! Bytes written by earlier versions that this version must read and write unchanged: the files of a replica's disk,
//! which are kept when the program is upgraded, and the messages between replicas, which may be of different versions.
//!
//! The files are in `tests/data`, and the messages are here as hex digits. If a test fails here, this version can't
//! read the disk or the messages of another version any more. Then the format needs a new version number, and not a new
//! sample.

mod folder;

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use folder::new_folder;
use grebeusher_quorum::disk::{Identity, Store};
use grebeusher_quorum::{
    Append, AppendOutcome, AppendResponse, Blob, Body, ClusterId, Entry, Group, HardState, Index,
    LeaderTimestamp, Message, Payload, Position, ReplicaId, RestoredState, Snapshot, SnapshotChunk,
    SnapshotChunkResponse, Term, VoteRequest, VoteResponse, Write, decode, encode,
};
use rstest::rstest;

/// The id in the identity files of `tests/data/identity`.
const IDENTITY: u64 = 0x1112_1314_1516_1718;

fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name)
}

/// Returns the content of each file of a folder in hex digits, by file name.
fn contents(folder: &Path) -> BTreeMap<String, String> {
    let files = std::fs::read_dir(folder)
        .expect("the folder can be listed")
        .map(|file| file.expect("the file exists"));
    files
        .map(|file| {
            let name = file.file_name().to_string_lossy().into_owned();
            (name, hex(&std::fs::read(file.path()).expect("the file can be read")))
        })
        .collect()
}

/// Copies a folder of `tests/data`, because opening a disk may write to it.
fn copy_of(name: &str) -> tempfile::TempDir {
    let copy = new_folder();
    for file in std::fs::read_dir(data(name)).expect("the folder can be listed") {
        let file = file.expect("the file exists");
        std::fs::copy(file.path(), copy.path().join(file.file_name())).expect("the file can be copied");
    }
    copy
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hex digits, between which there may be spaces.
fn bytes_of(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> =
        hex.chars().filter(|c| !c.is_whitespace()).map(|c| c.to_digit(16).expect("a hex digit")).collect();
    assert_eq!(digits.len() % 2, 0, "whole bytes");
    digits.chunks(2).map(|pair| (pair[0] << 4 | pair[1]) as u8).collect()
}

fn ids<const N: usize>(ids: [u64; N]) -> Vec<ReplicaId> {
    ids.into_iter().map(ReplicaId).collect()
}

fn simple_group() -> Group {
    Group { voters: ids([IDENTITY, 0x2122_2324_2526_2728]), outgoing: Vec::new() }
}

fn joint_group() -> Group {
    Group {
        voters: ids([IDENTITY, 0x2122_2324_2526_2728, 0x3132_3334_3536_3738]),
        outgoing: ids([IDENTITY, 0xf1f2_f3f4_f5f6_f7f8]),
    }
}

fn command(bytes: &[u8]) -> Payload {
    Payload::Command(Blob::from(bytes))
}

fn entry(index: u64, term: u64, payload: Payload) -> Entry {
    Entry { index: Index(index), term: Term(term), payload }
}

/// Asserts that each kind has a sample. A new kind does not compile until it is listed, and fails without a sample.
macro_rules! assert_every_kind {
    ($samples:expr, [$($kind:pat),+ $(,)?]) => {{
        let kinds = $samples.into_iter().map(|sample| match sample { $($kind => stringify!($kind)),+ });
        assert_eq!(kinds.collect::<BTreeSet<&str>>(), BTreeSet::from([$(stringify!($kind)),+]));
    }};
}

/// The writes to an empty disk, and the state on the disk after them.
struct Disk {
    writes: Vec<Write>,
    state: RestoredState,
}

/// A disk that never had a snapshot: its slot has none, and its log began empty.
fn first_generation() -> Disk {
    const LARGE: u64 = 0x0102_0304_0506_0708;
    let kept = [
        entry(1, 1, Payload::Noop),
        entry(2, 1, Payload::Group(simple_group())),
        entry(3, 1, command(b"first")),
    ];
    let replaced = entry(4, 1, command(b"replaced"));
    let newer = [
        entry(4, LARGE, Payload::Noop),
        entry(5, LARGE, Payload::Group(joint_group())),
        entry(6, LARGE, command(b"")),
        entry(7, LARGE, command(&[0x00, 0x7f, 0x80, 0xff])),
    ];
    let vote =
        HardState { term: Term(1), vote: Some(ReplicaId(IDENTITY)), cluster_id: None, commit: Index(0) };
    let cluster_id = Some(ClusterId(0x4142_4344_4546_4748));
    let last = HardState { term: Term(LARGE), vote: None, cluster_id, commit: Index(3) };
    let writes = vec![
        Write::HardState(vote),
        Write::Entries([kept.to_vec(), vec![replaced]].concat()),
        Write::Entries(newer.to_vec()),
        Write::HardState(last),
    ];
    let entries = [kept.to_vec(), newer.to_vec()].concat();
    Disk { writes, state: RestoredState { hard_state: last, snapshot: None, entries } }
}

/// A disk with a snapshot from the middle of a group change, and a log that began with all kinds of entries.
fn second_generation() -> Disk {
    const BEFORE: u64 = 0x0a0b_0c0d_0e0f_1011;
    const TERM: u64 = 0x0102_0304_0506_0708;
    let snapshot = Snapshot {
        last: Position { term: Term(TERM - 1), index: Index(BEFORE) },
        group: joint_group(),
        bytes: Blob::from(&b"the state of the application"[..]),
    };
    let first = [
        entry(BEFORE + 1, TERM, Payload::Noop),
        entry(BEFORE + 2, TERM, Payload::Group(simple_group())),
        entry(BEFORE + 3, TERM, command(b"in the base")),
    ];
    let later = [
        entry(BEFORE + 4, TERM + 1, Payload::Noop),
        entry(BEFORE + 5, TERM + 1, Payload::Group(joint_group())),
        entry(BEFORE + 6, TERM + 1, command(b"in a record")),
    ];
    let hard_state = HardState {
        term: Term(TERM),
        vote: Some(ReplicaId(0x2122_2324_2526_2728)),
        cluster_id: Some(ClusterId(0x4142_4344_4546_4748)),
        commit: Index(BEFORE + 1),
    };
    let last = HardState { term: Term(TERM + 1), vote: None, commit: Index(BEFORE + 4), ..hard_state };
    let writes = vec![
        Write::HardState(HardState::default()),
        Write::Snapshot { snapshot: snapshot.clone(), hard_state, entries: first.to_vec() },
        Write::HardState(last),
        Write::Entries(later.to_vec()),
    ];
    let state =
        RestoredState { hard_state: last, snapshot: Some(snapshot), entries: [first, later].concat() };
    Disk { writes, state }
}

#[rstest]
#[case::without_a_snapshot("generation-1", first_generation())]
#[case::with_a_snapshot("generation-2", second_generation())]
fn disk_of_an_earlier_version_is_read(#[case] name: &str, #[case] disk: Disk) {
    // Given files of an earlier version, when they are opened,
    let folder = copy_of(name);
    let (store, restored) = Store::open(folder.path()).expect("the files are complete");
    // then the state is what was written, nothing is cut off, and the files stay unchanged.
    assert_eq!(restored, disk.state);
    assert_eq!(contents(folder.path()), contents(&data(name)));
    let active = contents(folder.path()).into_iter().filter(|(file, _)| file.starts_with("log-"));
    assert_eq!(store.log_bytes(), active.map(|(_, hex)| hex.len() as u64 / 2).sum::<u64>());
}

#[rstest]
#[case::without_a_snapshot("generation-1", first_generation())]
#[case::with_a_snapshot("generation-2", second_generation())]
fn disk_is_written_as_by_an_earlier_version(#[case] name: &str, #[case] disk: Disk) {
    // Given an empty folder, when the same writes are made one by one,
    let folder = new_folder();
    let (mut store, _) = Store::open(folder.path()).expect("the folder is empty");
    for write in disk.writes {
        store.write(&[write]).expect("the disk has room");
        store.sync().expect("the disk works");
    }
    // then the files have the same names and bytes.
    assert_eq!(contents(folder.path()), contents(&data(name)));
}

#[rstest]
#[case::without_a_snapshot("generation-1", first_generation())]
#[case::with_a_snapshot("generation-2", second_generation())]
fn disk_of_an_earlier_version_is_continued(#[case] name: &str, #[case] disk: Disk) {
    // Given a disk of an earlier version and one of this version, when both are written to after a restart,
    let old = copy_of(name);
    let new = new_folder();
    Store::open(new.path()).expect("the folder is empty").0.write(&disk.writes).expect("the disk has room");
    let next = disk.state.entries.last().expect("there are entries").index.next();
    for folder in [old.path(), new.path()] {
        let (mut store, _) = Store::open(folder).expect("the files are complete");
        store
            .write(&[Write::Entries(vec![entry(next.0, u64::MAX, command(b"more"))])])
            .expect("the disk has room");
        store.sync().expect("the disk works");
    }
    // then they have the same files, which can be read.
    assert_eq!(contents(old.path()), contents(new.path()));
    let entries = Store::open(old.path()).expect("the files are complete").1.entries;
    assert_eq!(entries.len(), disk.state.entries.len() + 1);
}

#[test]
fn disk_samples_cover_every_kind_of_write_and_entry() {
    let writes = [first_generation().writes, second_generation().writes].concat();
    assert_every_kind!(&writes, [Write::HardState(_), Write::Entries(_), Write::Snapshot { .. }]);
    for disk in [first_generation(), second_generation()] {
        let payloads = disk.state.entries.iter().map(|entry| &entry.payload);
        assert_every_kind!(payloads, [Payload::Noop, Payload::Group(_), Payload::Command(_)]);
    }
}

#[test]
fn identity_of_an_earlier_version_is_kept() {
    // Given the identity files of an earlier version, when they are loaded, then the id is right and they stay
    // unchanged;
    let folder = copy_of("identity");
    let read = Identity::load_or_create(folder.path(), 1).expect("the files are complete");
    assert_eq!(read, Identity { id: ReplicaId(IDENTITY), existed: true });
    assert_eq!(contents(folder.path()), contents(&data("identity")));
    // and a new identity with the same id has the same files.
    let folder = new_folder();
    let created = Identity::load_or_create(folder.path(), IDENTITY).expect("the folder is empty");
    assert_eq!(created, Identity { id: ReplicaId(IDENTITY), existed: false });
    assert_eq!(contents(folder.path()), contents(&data("identity")));
}

#[test]
fn cluster_id_is_the_same_in_all_versions() {
    // Replicas that compute different cluster ids drop each other's messages.
    assert_eq!(simple_group().cluster_id(), ClusterId(0x66da_3ec1_4ae2_84a5));
    assert_eq!(joint_group().cluster_id(), ClusterId(0xb89f_0330_958b_7b75));
    assert_eq!(
        Group::of([ReplicaId(3), ReplicaId(1), ReplicaId(2)]).cluster_id(),
        ClusterId(0xda2b_fb22_5e0d_1f05)
    );
}

/// The bytes before the body of each message.
const HEAD: &str = "0807060504030201 1817161514131211 2827262524232221 3837363534333231";

fn message(body: Body) -> Message {
    Message {
        from: ReplicaId(0x0102_0304_0506_0708),
        to: ReplicaId(0x1112_1314_1516_1718),
        cluster_id: ClusterId(0x2122_2324_2526_2728),
        term: Term(0x3132_3334_3536_3738),
        body,
    }
}

const SENT: LeaderTimestamp = LeaderTimestamp(0xe1e2_e3e4_e5e6_e7e8);

fn position() -> Position {
    Position { term: Term(0x1a1b_1c1d_1e1f_1011), index: Index(0x2a2b_2c2d_2e2f_2021) }
}

fn heartbeat() -> Body {
    let commit = Index(0x0a0b_0c0d_0e0f_0001);
    Body::Append(Append { previous: position(), commit, sent: SENT, entries: Vec::new() })
}

fn append() -> Body {
    let (Index(before), Term(term)) = (position().index, position().term);
    let payloads = [
        Payload::Noop,
        Payload::Group(simple_group()),
        Payload::Group(joint_group()),
        command(b""),
        command(b"a command"),
    ];
    let entries = (1..).zip(payloads).map(|(n, payload)| entry(before + n, term + n, payload)).collect();
    Body::Append(Append { previous: position(), commit: Index(before), sent: SENT, entries })
}

fn chunk(group: Group, bytes: &[u8]) -> Body {
    let (total, offset) = (0x0301_0203, 0x0200_0102);
    Body::SnapshotChunk(SnapshotChunk {
        last: position(),
        group,
        total,
        offset,
        bytes: Blob::from(bytes),
        sent: SENT,
    })
}

/// A name for each kind of message, its body, and the bytes of the body.
#[expect(clippy::too_many_lines, reason = "one sample for each kind of message")]
fn messages() -> Vec<(&'static str, Body, &'static str)> {
    let request = |leadership_transfer| VoteRequest { last: position(), leadership_transfer };
    let response = |outcome| Body::AppendResponse(AppendResponse { outcome, sent: SENT });
    let received = 0x0200_0102;
    vec![
        ("pre-vote", Body::RequestPreVote(request(false)), "0000 11101f1e1d1c1b1a 21202f2e2d2c2b2a 00"),
        (
            "pre-vote after a leadership transfer",
            Body::RequestPreVote(request(true)),
            "0000 11101f1e1d1c1b1a 21202f2e2d2c2b2a 01",
        ),
        ("pre-vote rejected", Body::PreVoteResponse(VoteResponse { granted: false }), "0100 00"),
        ("pre-vote granted", Body::PreVoteResponse(VoteResponse { granted: true }), "0100 01"),
        ("vote", Body::RequestVote(request(false)), "0200 11101f1e1d1c1b1a 21202f2e2d2c2b2a 00"),
        (
            "vote after a leadership transfer",
            Body::RequestVote(request(true)),
            "0200 11101f1e1d1c1b1a 21202f2e2d2c2b2a 01",
        ),
        ("vote rejected", Body::VoteResponse(VoteResponse { granted: false }), "0300 00"),
        ("vote granted", Body::VoteResponse(VoteResponse { granted: true }), "0300 01"),
        (
            "heartbeat",
            heartbeat(),
            "0400 11101f1e1d1c1b1a 21202f2e2d2c2b2a 01000f0e0d0c0b0a e8e7e6e5e4e3e2e1 \
             00000000",
        ),
        (
            "append",
            append(),
            "0400 11101f1e1d1c1b1a 21202f2e2d2c2b2a 21202f2e2d2c2b2a e8e7e6e5e4e3e2e1 05000000 \
             22202f2e2d2c2b2a 12101f1e1d1c1b1a 0000 \
             23202f2e2d2c2b2a 13101f1e1d1c1b1a 0100 02000000 1817161514131211 2827262524232221 \
               00000000 \
             24202f2e2d2c2b2a 14101f1e1d1c1b1a 0100 03000000 1817161514131211 2827262524232221 \
               3837363534333231 02000000 1817161514131211 f8f7f6f5f4f3f2f1 \
             25202f2e2d2c2b2a 15101f1e1d1c1b1a 0200 00000000 \
             26202f2e2d2c2b2a 16101f1e1d1c1b1a 0200 09000000 6120636f6d6d616e64",
        ),
        (
            "append matched",
            response(AppendOutcome::Matched(position().index)),
            "0500 0000 21202f2e2d2c2b2a e8e7e6e5e4e3e2e1",
        ),
        (
            "append with a conflict",
            response(AppendOutcome::Conflict {
                rejected: position().index,
                hint: Index(0x0a0b_0c0d_0e0f_0001),
            }),
            "0500 0100 21202f2e2d2c2b2a 01000f0e0d0c0b0a e8e7e6e5e4e3e2e1",
        ),
        ("append with a stale term", response(AppendOutcome::StaleTerm), "0500 0200 e8e7e6e5e4e3e2e1"),
        (
            "chunk with a group that is not joint",
            chunk(simple_group(), b""),
            "0600 11101f1e1d1c1b1a 21202f2e2d2c2b2a \
             02000000 1817161514131211 2827262524232221 00000000 \
             0302010300000000 0201000200000000 00000000 e8e7e6e5e4e3e2e1",
        ),
        (
            "chunk with a joint group",
            chunk(joint_group(), b"a piece"),
            "0600 11101f1e1d1c1b1a 21202f2e2d2c2b2a \
             03000000 1817161514131211 2827262524232221 3837363534333231 02000000 1817161514131211 \
               f8f7f6f5f4f3f2f1 \
             0302010300000000 0201000200000000 07000000 61207069656365 e8e7e6e5e4e3e2e1",
        ),
        (
            "chunk response",
            Body::SnapshotChunkResponse(SnapshotChunkResponse { last: position(), received, sent: SENT }),
            "0700 11101f1e1d1c1b1a 21202f2e2d2c2b2a 0201000200000000 e8e7e6e5e4e3e2e1",
        ),
        ("timeout now", Body::TimeoutNow, "0800"),
    ]
}

#[test]
fn message_is_encoded_and_decoded_as_in_earlier_versions() {
    for (name, body, hex_of_body) in messages() {
        let message = message(body);
        let bytes = bytes_of(&format!("{HEAD}{hex_of_body}"));
        assert_eq!(hex(&encode(&message)), hex(&bytes), "{name}");
        assert_eq!(decode(&bytes).expect(name), message, "{name}");
    }
}

#[test]
fn message_samples_cover_every_kind_of_body_outcome_and_entry() {
    let bodies: Vec<Body> = messages().into_iter().map(|(_, body, _)| body).collect();
    assert_every_kind!(
        &bodies,
        [
            Body::RequestPreVote(_),
            Body::PreVoteResponse(_),
            Body::RequestVote(_),
            Body::VoteResponse(_),
            Body::Append(_),
            Body::AppendResponse(_),
            Body::SnapshotChunk(_),
            Body::SnapshotChunkResponse(_),
            Body::TimeoutNow,
        ]
    );
    let outcomes = bodies.iter().filter_map(|body| match body {
        Body::AppendResponse(response) => Some(response.outcome),
        _ => None,
    });
    assert_every_kind!(
        outcomes,
        [AppendOutcome::Matched(_), AppendOutcome::Conflict { .. }, AppendOutcome::StaleTerm]
    );
    let entries = bodies.iter().filter_map(|body| match body {
        Body::Append(append) => Some(&append.entries),
        _ => None,
    });
    let payloads = entries.flatten().map(|entry| &entry.payload);
    assert_every_kind!(payloads, [Payload::Noop, Payload::Group(_), Payload::Command(_)]);
}
