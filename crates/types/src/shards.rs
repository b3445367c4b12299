//! State split into shards, each under its own lock.
//!
//! Invariants: a caller holds one shard's lock at a time, and the closure that runs under the lock is
//! synchronous, so that no lock is ever held over an await.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    sync::{Mutex, PoisonError},
};

/// A fixed number of independently locked states, picked by hash.
#[derive(Debug)]
pub struct Shards<State> {
    shards: Box<[Mutex<State>]>,
}

impl<State> Shards<State>
where
    State: Default,
{
    /// Creates `count` default states; a count of 0 is taken as 1.
    pub fn new(count: usize) -> Self {
        let shards = (0..count.max(1)).map(|_| Mutex::default()).collect();
        Self { shards }
    }
}

impl<State> Shards<State> {
    /// Runs `work` on the shard picked by `hash`, under that shard's lock alone.
    pub fn with<Output, Work>(&self, hash: u64, work: Work) -> Output
    where
        Work: FnOnce(&mut State) -> Output,
    {
        let index = (hash % self.shards.len() as u64) as usize;
        let mut state = self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        work(&mut state)
    }

    /// Runs `work` on each shard in turn, never holding two locks.
    pub fn for_each<Work>(&self, mut work: Work)
    where
        Work: FnMut(&mut State),
    {
        for shard in &self.shards {
            let mut state = shard.lock().unwrap_or_else(PoisonError::into_inner);
            work(&mut state);
        }
    }
}

/// Hashes any key for picking a shard within this process.
pub fn shard_hash<Key>(key: &Key) -> u64
where
    Key: Hash + ?Sized,
{
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}
