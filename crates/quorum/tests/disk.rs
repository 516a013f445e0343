//! The files on disk: restarts, torn ends, incomplete generations, full disks and damage.

mod folder;

use std::path::{Path, PathBuf};
use std::process::Command;

use folder::new_folder;
use grebeusher_quorum::disk::{Identity, Store, StoreError};
use grebeusher_quorum::{
    Blob, ClusterId, Entry, Group, HardState, Index, Payload, Position, Replica, ReplicaId, RestoredState,
    Snapshot, Term, Timing, Write,
};
use grebeusher_time::{Duration, Instant};
use proptest::collection::vec;
use proptest::prelude::*;
use rstest::rstest;

/// Returns a hard state in `term` with a vote. The tests don't check that a sync makes data durable; they truncate and
/// corrupt the files themselves.
fn hard_state(term: u64) -> HardState {
    HardState {
        term: Term(term),
        vote: Some(ReplicaId(term)),
        cluster_id: Some(ClusterId(9)),
        commit: Index(0),
    }
}

fn entry(index: u64, term: u64, bytes: usize) -> Entry {
    let payload = Payload::Command(Blob::from(vec![index as u8; bytes]));
    Entry { index: Index(index), term: Term(term), payload }
}

fn snapshot(index: u64, term: u64, bytes: usize) -> Snapshot {
    Snapshot {
        last: Position { term: Term(term), index: Index(index) },
        group: Group::of([ReplicaId(1), ReplicaId(2)]),
        bytes: Blob::from(vec![index as u8; bytes]),
    }
}

/// Applies a write to the state that is expected on disk.
fn apply_write(state: &mut RestoredState, write: &Write) {
    match write {
        Write::HardState(hard_state) => state.hard_state = *hard_state,
        Write::Entries(entries) => {
            let Some(first) = entries.first() else { return };
            state.entries.retain(|entry| entry.index < first.index);
            state.entries.extend(entries.clone());
        }
        Write::Snapshot { snapshot, hard_state, entries } => {
            *state = RestoredState {
                hard_state: *hard_state,
                snapshot: Some(snapshot.clone()),
                entries: entries.clone(),
            };
        }
    }
}

/// Returns the state that is expected on an empty disk after these writes.
fn state_after(writes: &[Write]) -> RestoredState {
    let mut state = RestoredState::default();
    writes.iter().for_each(|write| apply_write(&mut state, write));
    state
}

/// Opens the store in a folder and returns its state.
fn reopened(folder: &Path) -> RestoredState {
    Store::open(folder).expect("the files can be read").1
}

/// Copies a folder into a new one, whose files a test then changes.
fn copy_of(folder: &Path) -> tempfile::TempDir {
    let copy = new_folder();
    for file in std::fs::read_dir(folder).expect("the folder can be listed") {
        let file = file.expect("the folder can be listed");
        std::fs::copy(file.path(), copy.path().join(file.file_name())).expect("the file can be copied");
    }
    copy
}

fn read_file(folder: &Path, name: &str) -> Vec<u8> {
    std::fs::read(folder.join(name)).unwrap_or_default()
}

/// Returns those of these files that are not empty.
fn with_content<'a>(folder: &Path, names: [&'a str; 2]) -> Vec<&'a str> {
    names.into_iter().filter(|name| !read_file(folder, name).is_empty()).collect()
}

fn write_file(folder: &Path, name: &str, bytes: &[u8]) {
    std::fs::write(folder.join(name), bytes).expect("the file can be written");
}

#[test]
fn writes_survive_a_restart() {
    // Given a store to which entries were written, some of which replace earlier ones
    let folder = new_folder();
    let (mut store, restored) = Store::open(folder.path()).expect("the folder is empty");
    assert_eq!(restored, RestoredState::default());
    let writes = [
        Write::HardState(hard_state(1)),
        Write::Entries(vec![entry(1, 1, 10), entry(2, 1, 0), entry(3, 1, 300_000)]),
        Write::Entries(vec![entry(2, 2, 7)]),
        Write::HardState(hard_state(2)),
    ];
    store.write(&writes).expect("the disk has room");
    store.sync().expect("the disk works");
    // When it is opened again, then it has all of them, also after another write
    let (mut store, restored) = Store::open(folder.path()).expect("the files are complete");
    assert_eq!(restored, state_after(&writes));
    store.write(&[Write::Entries(vec![entry(3, 2, 1)])]).expect("the disk has room");
    store.sync().expect("the disk works");
    assert_eq!(reopened(folder.path()).entries, [entry(1, 1, 10), entry(2, 2, 7), entry(3, 2, 1)]);
}

#[test]
fn generations_follow_each_other() {
    let folder = new_folder();
    let (mut store, _) = Store::open(folder.path()).expect("the folder is empty");
    for round in 1..8u64 {
        // Given a batch with a snapshot that replaces the writes before it
        let writes = [
            Write::Entries(vec![entry(round * 10, 1, 3)]),
            Write::Snapshot {
                snapshot: snapshot(round * 10, round, 5_000),
                hard_state: hard_state(round),
                entries: vec![entry(round * 10 + 1, round, 9)],
            },
            Write::Entries(vec![entry(round * 10 + 2, round, 9)]),
        ];
        store.write(&writes).expect("the disk has room");
        store.sync().expect("the disk works");
        // Then a restart finds the newest generation
        let (reopened_store, restored) = Store::open(folder.path()).expect("the files are complete");
        assert_eq!(restored, state_after(&writes));
        store = reopened_store;
    }
    // And the folder has only the 4 files of two generations
    assert_eq!(std::fs::read_dir(folder.path()).expect("the folder can be listed").count(), 4);
}

/// Creates a store with synced writes and two batches of unsynced ones. Returns the synced writes, the unsynced ones,
/// and the synced size of the log in bytes.
fn with_unsynced_tail(folder: &Path) -> (Vec<Write>, Vec<Write>, usize) {
    let (mut store, _) = Store::open(folder).expect("the folder is empty");
    let synced =
        vec![Write::HardState(hard_state(1)), Write::Entries(vec![entry(1, 1, 20), entry(2, 1, 20)])];
    store.write(&synced).expect("the disk has room");
    store.sync().expect("the disk works");
    let size = read_file(folder, "log-1").len();
    let first = vec![Write::HardState(hard_state(2)), Write::Entries(vec![entry(2, 2, 30)])];
    let second = vec![Write::Entries(vec![entry(3, 2, 30)]), Write::HardState(hard_state(3))];
    store.write(&first).expect("the disk has room");
    store.write(&second).expect("the disk has room");
    (synced, [first, second].concat(), size)
}

/// Asserts that the state is that of the synced writes and the first few of the unsynced ones, and that the store can
/// be written to.
fn assert_is_a_prefix(folder: &Path, synced: &[Write], unsynced: &[Write]) {
    let restored = reopened(folder);
    let possible = (0..=unsynced.len()).map(|kept| state_after(&[synced, &unsynced[..kept]].concat()));
    assert!(possible.into_iter().any(|state| state == restored), "{restored:?}");
    // The store can be written to and read again.
    let (mut store, _) = Store::open(folder).expect("the files are complete");
    assert_eq!(read_file(folder, "log-1").len() as u64, store.log_bytes(), "the torn end must be cut off");
    let next_write = Write::Entries(vec![entry(restored.entries.len() as u64 + 1, 9, 9)]);
    store.write(std::slice::from_ref(&next_write)).expect("the disk has room");
    store.sync().expect("the disk works");
    let mut expected = restored;
    apply_write(&mut expected, &next_write);
    assert_eq!(reopened(folder), expected);
}

#[test]
fn truncated_log_is_cut_to_complete_records() {
    let folder = new_folder();
    let (synced, unsynced, size) = with_unsynced_tail(folder.path());
    let log = read_file(folder.path(), "log-1");
    for end in size..=log.len() {
        let copy = copy_of(folder.path());
        write_file(copy.path(), "log-1", &log[..end]);
        assert_is_a_prefix(copy.path(), &synced, &unsynced);
    }
}

#[test]
fn log_with_a_hole_ends_before_it() {
    let folder = new_folder();
    let (synced, unsynced, size) = with_unsynced_tail(folder.path());
    let log = read_file(folder.path(), "log-1");
    for start in size..log.len() {
        for length in [1, 8, 40, log.len()] {
            // Given a log in which an earlier write is missing and a later one may be complete
            let mut damaged_log = log.clone();
            let end = (start + length).min(log.len());
            damaged_log[start..end].fill(0);
            let copy = copy_of(folder.path());
            write_file(copy.path(), "log-1", &damaged_log);
            assert_is_a_prefix(copy.path(), &synced, &unsynced);
        }
    }
}

#[test]
fn leftovers_of_an_earlier_log_are_not_read() {
    // Given a log of generation 3 in the file of generation 1 whose truncation was lost, so that old records follow it
    let folder = new_folder();
    let (synced, unsynced, _) = with_unsynced_tail(folder.path());
    let old = read_file(folder.path(), "log-1");
    let (mut store, _) = Store::open(folder.path()).expect("the files are complete");
    for round in 1..=2 {
        let state = Write::Snapshot {
            snapshot: snapshot(9, 9, 9),
            hard_state: hard_state(round),
            entries: Vec::new(),
        };
        store.write(&[state]).expect("the disk has room");
    }
    let new = read_file(folder.path(), "log-1");
    let restored = reopened(folder.path());
    drop((synced, unsynced));
    for offset in 0..old.len() {
        let copy = copy_of(folder.path());
        write_file(copy.path(), "log-1", &[&new, &old[offset..]].concat());
        assert_eq!(reopened(copy.path()), restored);
    }
}

/// Tests every state in which a loss of power may leave the log and the slot of the next generation. The truncation of
/// the older files with the same names may be durable or not.
#[rstest]
fn unfinished_generation_leaves_the_previous_one_active(
    #[values(0, 1, 2)] rounds_before: u64,
    #[values(false, true)] truncation_survived: bool,
) {
    // Given a store after some generations, and its files before and after the next generation
    let folder = new_folder();
    let (mut store, _) = Store::open(folder.path()).expect("the folder is empty");
    let generation = |round: u64| Write::Snapshot {
        snapshot: snapshot(round * 10, round, 100),
        hard_state: hard_state(round),
        entries: vec![entry(round * 10 + 1, round, 9)],
    };
    let mut previous_copy = new_folder();
    for round in 1..=rounds_before {
        previous_copy = copy_of(folder.path());
        store.write(&[generation(round)]).expect("the disk has room");
    }
    let index = rounds_before * 10 + if rounds_before == 0 { 1 } else { 2 };
    store.write(&[Write::Entries(vec![entry(index, 5, 5)])]).expect("the disk has room");
    store.sync().expect("the disk works");
    let before = copy_of(folder.path());
    let parity = (rounds_before + 2) % 2;
    let (log, slot) = (format!("log-{parity}"), format!("slot-{parity}"));
    if !truncation_survived && rounds_before > 0 {
        write_file(before.path(), &log, &read_file(previous_copy.path(), &log));
        write_file(before.path(), &slot, &read_file(previous_copy.path(), &slot));
    }
    let state_before = reopened(copy_of(before.path()).path());
    store.write(&[generation(rounds_before + 1)]).expect("the disk has room");
    let state_after = reopened(copy_of(folder.path()).path());
    let (new_log, new_slot) = (read_file(folder.path(), &log), read_file(folder.path(), &slot));
    let old_log = read_file(before.path(), &log);
    // When power is lost while the log is written, so that a part of it is there, possibly followed by the rest of the
    // old one
    for end in 0..=new_log.len() {
        for rest in [&[][..], old_log.get(end..).unwrap_or_default()] {
            let copy = copy_of(before.path());
            write_file(copy.path(), &log, &[&new_log[..end], rest].concat());
            assert_eq!(reopened(copy.path()), state_before);
        }
    }
    // When power is lost while the slot is written, after the log was synced
    for end in 0..new_slot.len() {
        let copy = copy_of(before.path());
        write_file(copy.path(), &log, &new_log);
        write_file(copy.path(), &slot, &new_slot[..end]);
        assert_eq!(reopened(copy.path()), state_before);
    }
    // Then only the complete slot activates the new generation
    let copy = copy_of(before.path());
    write_file(copy.path(), &log, &new_log);
    write_file(copy.path(), &slot, &new_slot);
    assert_eq!(reopened(copy.path()), state_after);
}

#[test]
fn new_generation_frees_the_previous_one() {
    // Given a store after some generations
    let folder = new_folder();
    let (mut store, _) = Store::open(folder.path()).expect("the folder is empty");
    for round in 1..=4 {
        let state = Write::Snapshot {
            snapshot: snapshot(round, round, 5_000),
            hard_state: hard_state(round),
            entries: Vec::new(),
        };
        store.write(&[state]).expect("the disk has room");
        // Then one slot and one log are not empty
        assert_eq!(with_content(folder.path(), ["slot-0", "slot-1"]).len(), 1);
        assert_eq!(with_content(folder.path(), ["log-0", "log-1"]).len(), 1);
    }
    // And the same holds after a restart with the old slot still there
    let previous_copy = copy_of(folder.path());
    let state =
        Write::Snapshot { snapshot: snapshot(9, 9, 5_000), hard_state: hard_state(9), entries: Vec::new() };
    store.write(&[state]).expect("the disk has room");
    let expected = reopened(copy_of(folder.path()).path());
    let [old] = with_content(previous_copy.path(), ["slot-0", "slot-1"])[..] else {
        panic!("not exactly one slot is in use")
    };
    write_file(folder.path(), old, &read_file(previous_copy.path(), old));
    assert_eq!(reopened(folder.path()), expected);
    assert_eq!(with_content(folder.path(), ["slot-0", "slot-1"]).len(), 1);
}

#[test]
fn interrupted_first_start_is_repeated() {
    let folder = new_folder();
    drop(Store::open(folder.path()).expect("the folder is empty"));
    let (log, slot) = (read_file(folder.path(), "log-1"), read_file(folder.path(), "slot-1"));
    for end in 0..log.len() {
        let copy = new_folder();
        write_file(copy.path(), "log-1", &log[..end]);
        assert_eq!(reopened(copy.path()), RestoredState::default());
    }
    for end in 0..slot.len() {
        let copy = new_folder();
        write_file(copy.path(), "log-1", &log);
        write_file(copy.path(), "slot-1", &slot[..end]);
        assert_eq!(reopened(copy.path()), RestoredState::default());
    }
}

/// Creates a store in its second generation, with records after its snapshot.
fn second_generation() -> tempfile::TempDir {
    let folder = new_folder();
    let (mut store, _) = Store::open(folder.path()).expect("the folder is empty");
    let state =
        Write::Snapshot { snapshot: snapshot(9, 9, 9), hard_state: hard_state(9), entries: Vec::new() };
    store.write(&[Write::HardState(hard_state(1))]).expect("the disk has room");
    store.write(&[state]).expect("the disk has room");
    store.write(&[Write::HardState(hard_state(10))]).expect("the disk has room");
    store.sync().expect("the disk works");
    folder
}

#[rstest]
#[case::slot("slot-0")]
#[case::log("log-0")]
fn loss_of_synced_files_is_an_error(#[case] name: &str) {
    // Given a disk on which a file of the active generation is damaged
    let folder = second_generation();
    let mut bytes = read_file(folder.path(), name);
    bytes[20] ^= 1;
    write_file(folder.path(), name, &bytes);
    // Then the store does not fall back to the previous generation, which has older data
    assert!(matches!(Store::open(folder.path()), Err(StoreError::Damaged { .. })));
}

#[test]
fn failing_disk_is_an_error() {
    let folder = new_folder();
    write_file(folder.path(), "part", b"not a folder");
    assert!(matches!(Store::open(&folder.path().join("part")), Err(StoreError::Io { .. })));
    std::fs::create_dir_all(folder.path().join("other/slot-0")).expect("a folder");
    assert!(matches!(Store::open(&folder.path().join("other")), Err(StoreError::Io { .. })));
}

/// The environment variable that names the folder in which the child process of the test fills its disk.
const FULL_DISK: &str = "QUORUM_TEST_FULL_DISK";

#[test]
fn full_disk_is_an_error_and_leaves_no_partial_record() {
    if let Ok(folder) = std::env::var(FULL_DISK) {
        fill_disk(Path::new(&folder));
        return;
    }
    // Given a process whose files are limited to 40 blocks
    let folder = new_folder();
    let program = std::env::current_exe().expect("this program");
    // The output of the process goes to a pipe, because the limit would apply to a file too.
    let output = Command::new("sh")
        .arg("-c")
        .arg("trap '' XFSZ; ulimit -f 40; exec \"$0\" --exact --nocapture full_disk_is_an_error_and_leaves_no_partial_record")
        .arg(program)
        .env(FULL_DISK, folder.path())
        .output()
        .expect("there is a shell");
    // Then the process saw the errors, and the store has what it wrote after them
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(reopened(folder.path()).entries, [entry(1, 1, 100), entry(2, 1, 100)]);
}

/// Runs in the child process whose files are limited.
fn fill_disk(folder: &Path) {
    let (mut store, _) = Store::open(folder).expect("the folder is empty");
    store.write(&[Write::Entries(vec![entry(1, 1, 100)])]).expect("the disk has room");
    // When neither a record nor a generation fits, the writes are rejected each time
    let long = Write::Entries(vec![entry(2, 1, 100_000)]);
    let state = Write::Snapshot {
        snapshot: snapshot(1, 1, 1),
        hard_state: hard_state(9),
        entries: vec![entry(2, 1, 100_000)],
    };
    for _ in 0..3 {
        assert!(matches!(store.write(std::slice::from_ref(&long)), Err(StoreError::Io { .. })));
        assert!(matches!(store.write(std::slice::from_ref(&state)), Err(StoreError::Io { .. })));
    }
    // And a shorter record is accepted after that
    store.write(&[Write::Entries(vec![entry(2, 1, 100)])]).expect("the disk has room");
    store.sync().expect("the disk works");
    // But when a slot does not fit, it is unknown which generation is active until the store is opened again
    let state =
        Write::Snapshot { snapshot: snapshot(2, 1, 100_000), hard_state: hard_state(9), entries: Vec::new() };
    assert!(matches!(store.write(std::slice::from_ref(&state)), Err(StoreError::Io { .. })));
    assert!(matches!(store.write(&[Write::HardState(hard_state(9))]), Err(StoreError::Poisoned)));
    assert!(matches!(store.sync(), Err(StoreError::Poisoned)));
}

#[test]
fn reopening_after_a_failure_rewrites_everything() {
    for had_snapshot in [false, true] {
        // Given a store with records after its snapshot, or without one
        let folder = new_folder();
        let (mut store, _) = Store::open(folder.path()).expect("the folder is empty");
        let state =
            Write::Snapshot { snapshot: snapshot(1, 1, 50), hard_state: hard_state(2), entries: Vec::new() };
        if had_snapshot {
            store.write(&[state]).expect("the disk has room");
        }
        store
            .write(&[Write::HardState(hard_state(3)), Write::Entries(vec![entry(2, 1, 9)])])
            .expect("the disk has room");
        let before = reopened(copy_of(folder.path()).path());
        let old = copy_of(folder.path());
        // When the store is opened after a failure
        let (_, restored) = Store::open_after_failure(folder.path()).expect("the disk works again");
        // Then the state is the same, in a generation whose files were all written by that call
        assert_eq!(restored, before);
        assert_eq!(reopened(folder.path()), before);
        for files in [["log-0", "log-1"], ["slot-0", "slot-1"]] {
            let [active] = with_content(folder.path(), files)[..] else {
                panic!("not exactly one of {files:?} is in use")
            };
            assert_ne!(read_file(folder.path(), active), read_file(old.path(), active));
        }
    }
}

#[test]
fn identity_is_created_once() {
    let folder = new_folder();
    let first = Identity::load_or_create(folder.path(), 42).expect("the folder is empty");
    assert_eq!(first, Identity { id: ReplicaId(42), existed: false });
    let loaded = Identity::load_or_create(folder.path(), 43).expect("the files are complete");
    assert_eq!(loaded, Identity { id: ReplicaId(42), existed: true });
}

#[test]
fn identity_survives_damage_to_one_copy() {
    for name in ["identity-0", "identity-1"] {
        for end in 0..16 {
            // Given a disk on which one copy of the identity is torn
            let folder = new_folder();
            Identity::load_or_create(folder.path(), 42).expect("the folder is empty");
            let complete_file = read_file(folder.path(), name);
            write_file(folder.path(), name, &complete_file[..end]);
            // Then the identity is the same, and both copies are complete again
            let identity = Identity::load_or_create(folder.path(), 43).expect("one copy is complete");
            assert_eq!(identity, Identity { id: ReplicaId(42), existed: true });
            assert_eq!(read_file(folder.path(), name), complete_file);
        }
    }
}

#[test]
fn unfinished_first_identity_is_created_again() {
    let folder = new_folder();
    Identity::load_or_create(folder.path(), 42).expect("the folder is empty");
    let complete_file = read_file(folder.path(), "identity-0");
    for end in 0..16 {
        let copy = new_folder();
        write_file(copy.path(), "identity-0", &complete_file[..end]);
        let identity = Identity::load_or_create(copy.path(), 43).expect("the first id was never complete");
        assert_eq!(identity, Identity { id: ReplicaId(43), existed: false });
    }
}

#[test]
fn loss_of_both_identity_copies_is_an_error() {
    let folder = new_folder();
    Identity::load_or_create(folder.path(), 42).expect("the folder is empty");
    write_file(folder.path(), "identity-0", b"nonsense");
    write_file(folder.path(), "identity-1", b"nonsense");
    let lost = Identity::load_or_create(folder.path(), 43);
    assert!(matches!(lost, Err(StoreError::Damaged { .. })));
}

#[test]
fn replica_runs_on_its_files() {
    let folder = new_folder();
    let partition: PathBuf = folder.path().join("part-0");
    let timing = Timing {
        heartbeat_interval: Duration::from_millis(20),
        election_timeout_min: Duration::from_millis(200),
        election_timeout_max: Duration::from_millis(400),
        lease_duration: Duration::from_millis(150),
    };
    let mut now = Instant(0);
    let mut sum = 0;
    for run in 0..6u64 {
        // Given a replica that is the only voter, with the disk of its previous run
        let identity = Identity::load_or_create(folder.path(), 7 + run).expect("the disk works");
        let (mut store, restored) = Store::open(&partition).expect("the disk works");
        let mut replica = Replica::new(identity.id, restored, timing, run, now);
        replica.bootstrap(Group::of([identity.id])).expect("the group is the same each time");
        let mut state = 0u64;
        for round in 0..60 {
            // When it is leader and is sent commands
            now = now + Duration::from_millis(20);
            replica.tick(now);
            if round > 40 {
                replica.propose(now, vec![1]).expect("the replica is the leader");
                sum += 1;
            }
            while replica.has_ready() {
                let ready = replica.take_ready();
                store.write(&ready.writes).expect("the disk has room");
                if ready.must_sync {
                    store.sync().expect("the disk works");
                }
                replica.synced();
                if let Some(restore) = ready.restore {
                    state = u64::from_le_bytes(restore.bytes.as_slice().try_into().expect("eight bytes"));
                }
                state += ready.committed.len() as u64;
                if replica.log_bytes() > 300 {
                    replica
                        .compact(ready.applied, state.to_le_bytes().to_vec())
                        .expect("the index is applied");
                }
            }
        }
        // Then the state has the commands of all runs
        assert!(replica.lease_holds(now));
        assert_eq!(state, sum);
    }
}

/// Generates a batch. Each write is given by its kind, the number of its entries, and their size in bytes.
fn batch() -> impl Strategy<Value = Vec<(u8, u8, u16)>> {
    vec((0..10u8, 1..4u8, 0..300u16), 1..4)
}

fn to_write(state: &RestoredState, (kind, count, size): (u8, u8, u16)) -> Write {
    let base = state.snapshot.as_ref().map_or(0, |snapshot| snapshot.last.index.0);
    let last = state.entries.last().map_or(base, |entry| entry.index.0);
    let term = state.hard_state.term.0 + 1;
    match kind {
        0..=2 => Write::HardState(hard_state(term)),
        3 => {
            let snapshot = snapshot(last, term, usize::from(size));
            Write::Snapshot {
                snapshot,
                hard_state: hard_state(term),
                entries: vec![entry(last + 1, term, 3)],
            }
        }
        _ => {
            let first = last.saturating_sub(u64::from(kind == 4)).max(base) + 1;
            Write::Entries(
                (0..u64::from(count)).map(|offset| entry(first + offset, term, usize::from(size))).collect(),
            )
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(150) })]

    /// Writes batches, syncs some of them, and then loses power, which keeps any part of the unsynced rest.
    #[test]
    fn power_loss_keeps_what_was_synced(
        batches in vec((batch(), any::<bool>()), 1..12),
        cut in any::<prop::sample::Index>(),
        corrupt in any::<Option<(prop::sample::Index, u8)>>(),
    ) {
        let folder = new_folder();
        let (mut store, _) = Store::open(folder.path()).expect("the folder is empty");
        let mut state = RestoredState::default();
        let mut safe_size = store.log_bytes();
        let mut possible = vec![state.clone()];
        let mut generation = 1;
        for (batch, synced) in batches {
            let mut writes = Vec::new();
            for spec in batch {
                let write = to_write(&state, spec);
                apply_write(&mut state, &write);
                if let Write::Snapshot { .. } = write {
                    possible.clear();
                    generation += 1;
                    safe_size = 0;
                }
                possible.push(state.clone());
                writes.push(write);
            }
            let generations = writes.iter().filter(|write| matches!(write, Write::Snapshot { .. })).count();
            // Of several snapshots in a batch only the last one is written.
            generation -= generations.saturating_sub(1);
            store.write(&writes).expect("the disk has room");
            if synced {
                store.sync().expect("the disk works");
                safe_size = store.log_bytes();
                possible = vec![state.clone()];
            }
        }
        let name = format!("log-{}", generation % 2);
        let log = read_file(folder.path(), &name);
        prop_assert_eq!(log.len() as u64, store.log_bytes());
        // The first record of a generation is synced when the generation is created.
        let first = 8 + u32::from_le_bytes(log[..4].try_into().expect("four bytes")) as usize;
        let safe = (safe_size as usize).max(first);
        let mut remaining_log = log[..safe + cut.index(log.len() - safe + 1)].to_vec();
        if let Some((at, value)) = corrupt
            && remaining_log.len() > safe
        {
            let at = safe + at.index(remaining_log.len() - safe);
            remaining_log[at] = value;
        }
        write_file(folder.path(), &name, &remaining_log);
        let restored = reopened(folder.path());
        prop_assert!(possible.contains(&restored), "{:?} is not one of {:?}", restored, possible);
    }
}
