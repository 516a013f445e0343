//! Executors by the small index that stands for their id, and where each listens.

use grebeusher_dispatch::ids::ExecutorId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

#[derive(Default)]
pub struct Executors {
    by_name: HashMap<Rc<str>, ExecutorId>,
    kept: Vec<(Rc<str>, Option<SocketAddr>)>,
    /// Those that are workers of the Faktory front, by their places there.
    workers: HashMap<ExecutorId, usize>,
}

impl Executors {
    /// The index of an executor, a new one if it was never heard of.
    pub fn index(&mut self, name: &str) -> ExecutorId {
        if let Some(id) = self.find(name) {
            return id;
        }
        let (id, name) = (ExecutorId(self.kept.len()), Rc::<str>::from(name));
        self.kept.push((name.clone(), None));
        self.by_name.insert(name, id);
        id
    }

    pub fn find(&self, name: &str) -> Option<ExecutorId> {
        self.by_name.get(name).copied()
    }

    pub fn is_worker(&mut self, id: ExecutorId, worker: usize) {
        self.workers.insert(id, worker);
    }

    pub fn worker(&self, id: ExecutorId) -> Option<usize> {
        self.workers.get(&id).copied()
    }

    pub fn listens_at(&mut self, id: ExecutorId, address: SocketAddr) {
        self.kept[id.0].1 = Some(address);
    }

    pub fn address(&self, id: ExecutorId) -> Option<SocketAddr> {
        self.kept.get(id.0)?.1
    }

    pub fn name(&self, id: ExecutorId) -> &str {
        self.kept.get(id.0).map_or("?", |(name, _)| name)
    }
}
