//! How the words look that nodes send one another, where they may. Few bytes, since each copy is paid for.

/// The longest word that may be sent, and how many executors the longest one that names all of them tells of.
pub const LONGEST: usize = 256;
pub const MOST: usize = 200;

/// What a node says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// How many slots it fills at the executors of these marks.
    Own { filled: Vec<(u16, u8)> },
    /// How many slots all nodes together fill, as one of them has added it up, at the ready executors in the order of
    /// their marks, from a place on. `list` stands for these executors: who knows others can't read it.
    All { list: u16, first: usize, filled: Vec<u8> },
}

/// The part of a fixed hash that stands for an executor, or for a list of them.
pub fn mark(hash: u64) -> u16 {
    (hash ^ (hash >> 16) ^ (hash >> 32) ^ (hash >> 48)) as u16
}

const OWN: u8 = 1;
const ALL: u8 = 2;

impl Word {
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = match self {
            Word::Own { filled } => {
                let entry = |&(mark, count): &(u16, u8)| [mark.to_be_bytes().as_slice(), &[count]].concat();
                [vec![OWN], filled.iter().flat_map(entry).collect()].concat()
            }
            Word::All { list, first, filled } => {
                [&[ALL], list.to_be_bytes().as_slice(), &[(first / MOST) as u8], filled].concat()
            }
        };
        bytes.truncate(LONGEST);
        bytes
    }

    /// What bytes say, if they are a word.
    pub fn read(bytes: &[u8]) -> Option<Word> {
        match bytes.split_first()? {
            (&OWN, rest) => {
                let (entries, _) = rest.as_chunks::<3>();
                let entry = |&[high, low, count]: &[u8; 3]| (u16::from_be_bytes([high, low]), count);
                Some(Word::Own { filled: entries.iter().map(entry).collect() })
            }
            (&ALL, rest) => {
                let (&[high, low, part], filled) = rest.split_first_chunk()?;
                let (list, first) = (u16::from_be_bytes([high, low]), usize::from(part) * MOST);
                Some(Word::All { list, first, filled: filled.to_vec() })
            }
            _ => None,
        }
    }
}
