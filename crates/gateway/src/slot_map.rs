//! A table with reusable slots. The key of an entry contains the generation of its slot, so that it finds nothing after
//! the entry is removed, even when the slot has another entry.

/// The key of an entry. Keys are ordered by slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct SlotKey {
    index: u32,
    generation: u32,
}

struct Slot<T> {
    /// Incremented at each removal, so that the keys of removed entries no longer match.
    generation: u32,
    entry: Option<T>,
}

/// A table of entries by [`SlotKey`]. The slot that was vacated last is reused first.
pub(crate) struct SlotMap<T> {
    slots: Vec<Slot<T>>,
    vacant: Vec<u32>,
    max_slots: usize,
}

impl<T> SlotMap<T> {
    /// Creates an empty table for at most `max_slots` entries.
    pub fn with_limit(max_slots: usize) -> SlotMap<T> {
        SlotMap { slots: Vec::new(), vacant: Vec::new(), max_slots }
    }

    /// Adds the entry that `build` makes for its new key. Returns `None` when the table is full.
    pub fn insert_with(&mut self, build: impl FnOnce(SlotKey) -> T) -> Option<SlotKey> {
        let index = self.vacant_slot()?;
        let slot = &mut self.slots[index as usize];
        let key = SlotKey { index, generation: slot.generation };
        slot.entry = Some(build(key));
        Some(key)
    }

    /// The index of a vacant slot, which is added if there is none. Returns `None` when the table is full.
    fn vacant_slot(&mut self) -> Option<u32> {
        if let Some(index) = self.vacant.pop() {
            return Some(index);
        }
        if self.slots.len() >= self.max_slots {
            return None;
        }
        self.slots.push(Slot { generation: 0, entry: None });
        Some((self.slots.len() - 1) as u32)
    }

    /// Removes and returns the entry of a key. Returns `None` when the entry was removed before.
    pub fn remove(&mut self, key: SlotKey) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize).filter(|slot| slot.generation == key.generation)?;
        let entry = slot.entry.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.vacant.push(key.index);
        Some(entry)
    }

    /// The entry of a key. Returns `None` when the entry was removed.
    pub fn get(&self, key: SlotKey) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        slot.entry.as_ref().filter(|_| slot.generation == key.generation)
    }

    /// Like [`SlotMap::get`], but returns a mutable reference.
    pub fn get_mut(&mut self, key: SlotKey) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        slot.entry.as_mut().filter(|_| slot.generation == key.generation)
    }

    /// All entries, in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().filter_map(|slot| slot.entry.as_ref())
    }
}
