//! The table of executors, which finds them by key and by `instance_id`.

use crate::executor::Executor;
use crate::ids::ExecutorId;
use crate::slot_map::SlotMap;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// The executors of all services. Each has one key and one `instance_id`.
pub(crate) struct ExecutorTable {
    executors: SlotMap<Executor>,
    by_instance_id: FxHashMap<Arc<str>, ExecutorId>,
}

impl Default for ExecutorTable {
    fn default() -> ExecutorTable {
        ExecutorTable {
            // The registry limits the number of executors, so this table does not need a smaller limit.
            executors: SlotMap::with_limit(u32::MAX as usize),
            by_instance_id: FxHashMap::default(),
        }
    }
}

impl ExecutorTable {
    /// Adds the executor that `build` makes for its new key.
    pub fn insert_with(&mut self, build: impl FnOnce(ExecutorId) -> Executor) -> ExecutorId {
        let key = self.executors.insert_with(|key| build(ExecutorId(key)));
        let id = ExecutorId(key.expect("the registry holds fewer than u32::MAX executors"));
        if let Some(executor) = self.get(id) {
            let instance_id = executor.instance_id.clone();
            self.by_instance_id.insert(instance_id, id);
        }
        id
    }

    pub fn remove(&mut self, id: ExecutorId) -> Option<Executor> {
        let executor = self.executors.remove(id.0)?;
        self.by_instance_id.remove(&executor.instance_id);
        Some(executor)
    }

    /// The key of the executor with an `instance_id`.
    pub fn find(&self, instance_id: &str) -> Option<ExecutorId> {
        self.by_instance_id.get(instance_id).copied()
    }

    pub fn get(&self, id: ExecutorId) -> Option<&Executor> {
        self.executors.get(id.0)
    }

    pub fn get_mut(&mut self, id: ExecutorId) -> Option<&mut Executor> {
        self.executors.get_mut(id.0)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Executor> {
        self.executors.iter()
    }
}
