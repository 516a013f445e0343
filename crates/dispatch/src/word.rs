//! How the words look that nodes send one another, where they may: a kind, what each customer has asked for, and for
//! executors by a part of their fixed hash how many slots are filled there. Few bytes, since they are paid for.

use std::collections::BTreeMap;

/// The longest word that may be sent.
pub const LONGEST: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// What one node has out.
    Own = 1,
    /// What all nodes together have out, as one of them has added it up.
    All = 2,
}

/// What is out: units asked for by customer since the last word, and filled slots by executor.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub customers: Vec<u16>,
    pub executors: BTreeMap<u16, u16>,
}

/// The part of an executor's fixed hash that stands for it in a word.
pub fn mark(hash: u64) -> u16 {
    (hash ^ (hash >> 16) ^ (hash >> 32) ^ (hash >> 48)) as u16
}

impl Tally {
    pub fn add(&mut self, other: &Tally) {
        self.customers.resize(self.customers.len().max(other.customers.len()), 0);
        for (sum, more) in self.customers.iter_mut().zip(&other.customers) {
            *sum = sum.saturating_add(*more);
        }
        for (mark, more) in &other.executors {
            let sum = self.executors.entry(*mark).or_default();
            *sum = sum.saturating_add(*more);
        }
    }

    /// As many words as it takes. Counts beyond a byte's reach are written as the most that it holds.
    pub fn words(&self, kind: Kind) -> Vec<Vec<u8>> {
        let byte = |count: &u16| (*count).min(u16::from(u8::MAX)) as u8;
        let mut head = vec![kind as u8, self.customers.len().min(LONGEST / 2) as u8];
        head.extend(self.customers.iter().take(LONGEST / 2).map(byte));
        let entries: Vec<[u8; 3]> = self
            .executors
            .iter()
            .map(|(mark, count)| {
                let [high, low] = mark.to_be_bytes();
                [high, low, byte(count)]
            })
            .collect();
        let mut words = Vec::new();
        for part in entries.chunks((LONGEST - head.len()) / 3) {
            words.push(head.iter().chain(part.as_flattened()).copied().collect());
            // Customers are told of once.
            head.truncate(2);
            head[1] = 0;
        }
        if words.is_empty() {
            words.push(head);
        }
        words
    }

    /// What a word says, if it is one.
    pub fn read(word: &[u8]) -> Option<(Kind, Tally)> {
        let (&[kind, customers], rest) = word.split_first_chunk()?;
        let kind = [Kind::Own, Kind::All].into_iter().find(|k| *k as u8 == kind)?;
        let (customers, entries) = rest.split_at_checked(customers.into())?;
        let (entries, []) = entries.as_chunks::<3>() else { return None };
        Some((
            kind,
            Tally {
                customers: customers.iter().map(|&count| count.into()).collect(),
                executors: entries
                    .iter()
                    .map(|&[high, low, count]| (u16::from_be_bytes([high, low]), count.into()))
                    .collect(),
            },
        ))
    }
}
