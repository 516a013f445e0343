//! The messages by which nodes share what they have in flight. Few bytes, since each copy is paid for.

/// The longest message that may be sent.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// How many executors one message of all nodes' sums covers.
pub const MAX_COUNTS_PER_MESSAGE: usize = 200;

/// What a node sends to others of the slots that are filled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadMessage {
    /// The slots that the sender fills.
    Own {
        /// Short hash of each executor's name, and the slots that the sender fills there.
        filled: Vec<(u16, u8)>,
    },
    /// The slots that all nodes together fill, as one of them has summed them, at the ready executors in the order
    /// of their short hashes.
    All {
        /// Short hash of the set of these executors: a node that knows another set can't use the sums.
        list: u16,
        /// Index of the first executor that this message covers, a multiple of [`MAX_COUNTS_PER_MESSAGE`].
        first: usize,
        /// The sums, from that executor on.
        filled: Vec<u8>,
    },
}

/// The part of a fixed hash that stands for an executor, or for a set of them.
pub fn short_hash(hash: u64) -> u16 {
    (hash ^ (hash >> 16) ^ (hash >> 32) ^ (hash >> 48)) as u16
}

const OWN: u8 = 1;
const ALL: u8 = 2;

impl LoadMessage {
    /// The message as it is sent.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = match self {
            LoadMessage::Own { filled } => {
                let entry = |&(hash, count): &(u16, u8)| [hash.to_be_bytes().as_slice(), &[count]].concat();
                [vec![OWN], filled.iter().flat_map(entry).collect()].concat()
            }
            LoadMessage::All { list, first, filled } => {
                let chunk = (first / MAX_COUNTS_PER_MESSAGE) as u8;
                [&[ALL], list.to_be_bytes().as_slice(), &[chunk], filled].concat()
            }
        };
        bytes.truncate(MAX_MESSAGE_BYTES);
        bytes
    }

    /// The message in these bytes, if they are one.
    pub fn decode(bytes: &[u8]) -> Option<LoadMessage> {
        match bytes.split_first()? {
            (&OWN, rest) => {
                let (entries, _) = rest.as_chunks::<3>();
                let entry = |&[high, low, count]: &[u8; 3]| (u16::from_be_bytes([high, low]), count);
                Some(LoadMessage::Own { filled: entries.iter().map(entry).collect() })
            }
            (&ALL, rest) => {
                let (&[high, low, chunk], filled) = rest.split_first_chunk()?;
                let list = u16::from_be_bytes([high, low]);
                let first = usize::from(chunk) * MAX_COUNTS_PER_MESSAGE;
                Some(LoadMessage::All { list, first, filled: filled.to_vec() })
            }
            _ => None,
        }
    }
}
