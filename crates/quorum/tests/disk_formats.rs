//! Versions of the files on disk. When a program opens a disk that a newer version has written, it returns an error and
//! changes nothing: it must neither lose a vote or an entry nor replace the identity by a new one.

mod folder;

use std::collections::BTreeMap;
use std::path::Path;

use folder::new_folder;
use grebeusher_quorum::disk::{Identity, Store, StoreError};
use grebeusher_quorum::{
    Blob, Entry, Group, HardState, Index, Payload, Position, ReplicaId, Snapshot, Term, Write,
};
use rstest::rstest;

/// The offset of the version in a header, in bytes.
const VERSION_OFFSET: usize = 3;
/// The size of the length and the checksum of a record of the log, in bytes.
const RECORD_PREFIX_BYTES: usize = 8;
/// A number that is not the kind of any record.
const UNKNOWN_KIND: u8 = 9;

/// Creates a store in its first or second generation, with records after its snapshot if it has one.
fn store_in(generation: u64) -> tempfile::TempDir {
    let folder = new_folder();
    let (mut store, _) = Store::open(folder.path()).expect("the folder is empty");
    if generation == 2 {
        let snapshot = Snapshot {
            last: Position { term: Term(1), index: Index(9) },
            group: Group::of([ReplicaId(1), ReplicaId(2)]),
            bytes: Blob::from(vec![7; 20]),
        };
        let hard_state = HardState { term: Term(1), ..HardState::default() };
        store
            .write(&[Write::Snapshot { snapshot, hard_state, entries: Vec::new() }])
            .expect("the disk has room");
    }
    let first = if generation == 2 { 10 } else { 1 };
    let entry =
        Entry { index: Index(first), term: Term(1), payload: Payload::Command(Blob::from(vec![1; 30])) };
    store.write(&[Write::Entries(vec![entry])]).expect("the disk has room");
    store.sync().expect("the disk works");
    folder
}

fn contents(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let files = std::fs::read_dir(folder)
        .expect("the folder can be listed")
        .map(|file| file.expect("the file exists"));
    files
        .map(|file| {
            let name = file.file_name().to_string_lossy().into_owned();
            (name, std::fs::read(file.path()).expect("the file can be read"))
        })
        .collect()
}

fn corrupt(folder: &Path, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
    let path = folder.join(name);
    let mut bytes = std::fs::read(&path).expect("the file can be read");
    change(&mut bytes);
    std::fs::write(path, bytes).expect("the file can be written");
}

/// Appends a record of an unknown kind with the right checksum.
fn add_unknown_record(log: &mut Vec<u8>) {
    let number = |bytes: &[u8]| u32::from_le_bytes(bytes.try_into().expect("four bytes"));
    let (mut offset, mut chain) = (0, 0);
    while offset < log.len() {
        chain = number(&log[offset + 4..offset + RECORD_PREFIX_BYTES]);
        offset += RECORD_PREFIX_BYTES + number(&log[offset..offset + 4]) as usize;
    }
    let content = [UNKNOWN_KIND, 1, 2, 3];
    let mut hasher = crc32fast::Hasher::new_with_initial(chain);
    hasher.update(&(content.len() as u64).to_le_bytes());
    hasher.update(&content);
    log.extend_from_slice(&(content.len() as u32).to_le_bytes());
    log.extend_from_slice(&hasher.finalize().to_le_bytes());
    log.extend_from_slice(&content);
}

fn assert_rejected_untouched(folder: &Path) {
    let before = contents(folder);
    let opened = Store::open(folder);
    assert!(
        matches!(opened, Err(StoreError::NewerFormat { .. })),
        "{:?}",
        opened.map(|(_, restored)| restored)
    );
    assert_eq!(contents(folder), before);
}

#[rstest]
#[case::first_generation(1, "slot-1")]
#[case::second_generation(2, "slot-0")]
fn slot_of_a_newer_format_is_rejected(#[case] generation: u64, #[case] name: &str) {
    // Given the slot of the active generation, written by a newer program,
    let folder = store_in(generation);
    corrupt(folder.path(), name, |bytes| bytes[VERSION_OFFSET] += 1);
    // when the store is opened, then the slot is not taken for torn or damaged, and stays unchanged.
    assert_rejected_untouched(folder.path());
}

#[rstest]
#[case::first_generation(1, "log-1")]
#[case::second_generation(2, "log-0")]
fn complete_record_of_unknown_kind_is_not_a_torn_end(#[case] generation: u64, #[case] name: &str) {
    // Given a log to which a newer program has appended,
    let folder = store_in(generation);
    corrupt(folder.path(), name, add_unknown_record);
    // when the store is opened, then the record, which may have acknowledged entries, is not cut off.
    assert_rejected_untouched(folder.path());
}

#[test]
fn torn_slot_is_not_taken_for_a_newer_format() {
    // Given the slot of the active generation with damage in its header and in its content,
    let folder = store_in(2);
    corrupt(folder.path(), "slot-0", |bytes| {
        bytes[VERSION_OFFSET] += 1;
        bytes[20] ^= 1;
    });
    // then the error says that the disk is damaged, and not that the format is newer.
    assert!(matches!(Store::open(folder.path()), Err(StoreError::Damaged { .. })));
}

#[rstest]
#[case::first_copy(&["identity-0"])]
#[case::second_copy(&["identity-1"])]
#[case::both(&["identity-0", "identity-1"])]
fn identity_of_a_newer_format_is_rejected(#[case] names: &[&str]) {
    // Given an identity that a newer program has written,
    let folder = new_folder();
    Identity::load_or_create(folder.path(), 42).expect("the folder is empty");
    for name in names {
        corrupt(folder.path(), name, |bytes| {
            bytes[VERSION_OFFSET] += 1;
            let end = bytes.len() - 4;
            let checksum = crc32fast::hash(&bytes[..end]);
            bytes[end..].copy_from_slice(&checksum.to_le_bytes());
        });
    }
    let before = contents(folder.path());
    // when it is loaded, then it is not replaced by another id.
    let read = Identity::load_or_create(folder.path(), 43);
    assert!(matches!(read, Err(StoreError::NewerFormat { .. })), "{read:?}");
    assert_eq!(contents(folder.path()), before);
}
