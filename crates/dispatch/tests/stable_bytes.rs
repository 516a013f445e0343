//! Bytes of earlier versions that this version must read and write unchanged: the load messages between nodes.

use grebeusher_dispatch::ids::fixed_hash;
use grebeusher_dispatch::load_message::{LoadMessage, MAX_COUNTS_PER_MESSAGE, MAX_MESSAGE_BYTES, short_hash};

#[test]
fn each_load_message_is_written_and_read_as_it_was() {
    let sent_messages = [
        (LoadMessage::Own { filled: vec![(0xabcd, 3), (0x0102, 200)] }, &[1, 0xab, 0xcd, 3, 1, 2, 200][..]),
        (
            LoadMessage::Sums { list_hash: 0xfeed, first: 2 * MAX_COUNTS_PER_MESSAGE, filled: vec![4, 5, 6] },
            &[2, 0xfe, 0xed, 2, 4, 5, 6],
        ),
    ];
    for (message, bytes) in sent_messages {
        // Every variant has a sample above; a new one fails to compile here.
        match message {
            LoadMessage::Own { .. } | LoadMessage::Sums { .. } => {}
        }
        assert_eq!(message.encode(), bytes);
        assert_eq!(LoadMessage::decode(bytes), Some(message));
    }
    assert_eq!((MAX_MESSAGE_BYTES, MAX_COUNTS_PER_MESSAGE), (256, 200));
    assert_eq!(
        (LoadMessage::decode(&[]), LoadMessage::decode(&[3, 1]), LoadMessage::decode(&[2, 1])),
        (None, None, None)
    );
}

/// Nodes and quorum replicas exchange names as hashes.
#[test]
fn names_are_hashed_as_they_were() {
    let hashes = [
        ("", "cbf29ce484222325"),
        ("s-0", "817cdb195c3fc0d7"),
        ("search 1500 2 40 2000000000", "fe38944ad91df5dd"),
    ];
    for (name, hash) in hashes {
        let found = format!("{:016x}", fixed_hash(name));
        assert_eq!(found, hash, "{name}");
    }
    assert_eq!(short_hash(0x0123_4567_89ab_cdef), 0x0123 ^ 0x4567 ^ 0x89ab ^ 0xcdef);
}
