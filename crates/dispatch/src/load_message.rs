//! The messages by which nodes share how many slots of executors they fill. Messages are short, since each copy is paid for.

/// The length of the longest message that may be sent.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// How many executors one message of sums covers.
pub const MAX_COUNTS_PER_MESSAGE: usize = 200;

/// A message about filled slots that one node sends to others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadMessage {
    /// The slots that the sender fills itself.
    Own {
        /// The short hash of each executor's name, and the number of slots that the sender fills there.
        filled: Vec<(u16, u8)>,
    },
    /// The slots that all nodes together fill, summed up by one of them, for the ready executors in the order of their
    /// short hashes.
    Sums {
        /// The short hash of the set of ready executors: a node that knows another set can't use the sums.
        list_hash: u16,
        /// The index of the first executor that this message covers, a multiple of [`MAX_COUNTS_PER_MESSAGE`].
        first: usize,
        /// The number of filled slots of each executor, from the first one on.
        filled: Vec<u8>,
    },
}

/// The 16-bit form of a fixed hash, which identifies an executor or a set of executors in messages.
pub fn short_hash(hash: u64) -> u16 {
    (hash ^ (hash >> 16) ^ (hash >> 32) ^ (hash >> 48)) as u16
}

const OWN: u8 = 1;
const SUMS: u8 = 2;

impl LoadMessage {
    /// The message as bytes, cut off at [`MAX_MESSAGE_BYTES`].
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = match self {
            LoadMessage::Own { filled } => {
                let entry = |&(hash, count): &(u16, u8)| [hash.to_be_bytes().as_slice(), &[count]].concat();
                [vec![OWN], filled.iter().flat_map(entry).collect()].concat()
            }
            LoadMessage::Sums { list_hash, first, filled } => {
                let chunk = (first / MAX_COUNTS_PER_MESSAGE) as u8;
                [&[SUMS], list_hash.to_be_bytes().as_slice(), &[chunk], filled].concat()
            }
        };
        bytes.truncate(MAX_MESSAGE_BYTES);
        bytes
    }

    /// Decodes a message; `None` if the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<LoadMessage> {
        match bytes.split_first()? {
            (&OWN, rest) => {
                let (entries, _) = rest.as_chunks::<3>();
                let entry = |&[high, low, count]: &[u8; 3]| (u16::from_be_bytes([high, low]), count);
                Some(LoadMessage::Own { filled: entries.iter().map(entry).collect() })
            }
            (&SUMS, rest) => {
                let (&[high, low, chunk], filled) = rest.split_first_chunk()?;
                let list_hash = u16::from_be_bytes([high, low]);
                let first = usize::from(chunk) * MAX_COUNTS_PER_MESSAGE;
                Some(LoadMessage::Sums { list_hash, first, filled: filled.to_vec() })
            }
            _ => None,
        }
    }
}
