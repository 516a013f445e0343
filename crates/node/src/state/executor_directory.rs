//! Maps the names of executors to the indices that stand for them, and holds their addresses.

use grebeusher_dispatch::ids::ExecutorId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

#[derive(Default)]
pub struct ExecutorDirectory {
    by_name: HashMap<Rc<str>, ExecutorId>,
    /// The name of each executor and its address, if known, by its index.
    entries: Vec<(Rc<str>, Option<SocketAddr>)>,
    /// The executors that are Faktory workers, and their indices in the Faktory frontend.
    workers: HashMap<ExecutorId, usize>,
}

impl ExecutorDirectory {
    /// The index of the executor with this name; assigns a new one to an unknown name.
    pub fn find_or_insert(&mut self, name: &str) -> ExecutorId {
        if let Some(id) = self.find(name) {
            return id;
        }
        let (id, name) = (ExecutorId(self.entries.len()), Rc::<str>::from(name));
        self.entries.push((name.clone(), None));
        self.by_name.insert(name, id);
        id
    }

    pub fn find(&self, name: &str) -> Option<ExecutorId> {
        self.by_name.get(name).copied()
    }

    pub fn set_worker(&mut self, id: ExecutorId, worker: usize) {
        self.workers.insert(id, worker);
    }

    pub fn worker(&self, id: ExecutorId) -> Option<usize> {
        self.workers.get(&id).copied()
    }

    pub fn set_address(&mut self, id: ExecutorId, address: SocketAddr) {
        self.entries[id.0].1 = Some(address);
    }

    pub fn address(&self, id: ExecutorId) -> Option<SocketAddr> {
        self.entries.get(id.0)?.1
    }

    pub fn name(&self, id: ExecutorId) -> &str {
        self.entries.get(id.0).map_or("?", |(name, _)| name)
    }
}
