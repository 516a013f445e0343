//! A table with reusable slots. A key names one entry for good: after its removal it finds nothing, also when the
//! slot is used again.

/// The key of one entry. Keys order by slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct SlotKey {
    index: u32,
    generation: u32,
}

struct Slot<T> {
    /// Incremented at each removal, so that older keys no longer match.
    generation: u32,
    entry: Option<T>,
}

/// Entries by [`SlotKey`]. The slot that was vacated last is used again first.
pub(crate) struct SlotMap<T> {
    slots: Vec<Slot<T>>,
    vacant: Vec<u32>,
    max_slots: usize,
}

impl<T> SlotMap<T> {
    /// An empty table of at most `max_slots` entries.
    pub fn with_limit(max_slots: usize) -> SlotMap<T> {
        SlotMap { slots: Vec::new(), vacant: Vec::new(), max_slots }
    }

    /// Adds the entry that `make` builds for its key. `None` when the table is full.
    pub fn insert_with(&mut self, make: impl FnOnce(SlotKey) -> T) -> Option<SlotKey> {
        let index = self.vacant_slot()?;
        let slot = &mut self.slots[index as usize];
        let key = SlotKey { index, generation: slot.generation };
        slot.entry = Some(make(key));
        Some(key)
    }

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

    /// Takes the entry out, unless the key is out of date.
    pub fn remove(&mut self, key: SlotKey) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize).filter(|slot| slot.generation == key.generation)?;
        let entry = slot.entry.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.vacant.push(key.index);
        Some(entry)
    }

    /// The entry of a key.
    pub fn get(&self, key: SlotKey) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        slot.entry.as_ref().filter(|_| slot.generation == key.generation)
    }

    /// As [`SlotMap::get`], to change it.
    pub fn get_mut(&mut self, key: SlotKey) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        slot.entry.as_mut().filter(|_| slot.generation == key.generation)
    }

    /// All entries, in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().filter_map(|slot| slot.entry.as_ref())
    }
}
