//! State that is split into shards, each under its own lock.
//!
//! Invariants: a caller holds the lock of only one shard at a time, and the closure that runs under the lock is
//! synchronous, so no lock is held across an await point.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    sync::{Mutex, PoisonError},
};

/// A fixed number of independently locked shards, selected by hash.
#[derive(Debug)]
pub struct Shards<State> {
    shards: Box<[Mutex<State>]>,
}

impl<State> Shards<State>
where
    State: Default,
{
    /// Creates `count` shards with the default state; a count of 0 is treated as 1.
    pub fn new(count: usize) -> Self {
        let shards = (0..count.max(1)).map(|_| Mutex::default()).collect();
        Self { shards }
    }
}

impl<State> Shards<State> {
    /// Creates one shard with `state`, for state whose parts a hash can't distinguish.
    pub fn single(state: State) -> Self {
        Self {
            shards: Box::new([Mutex::new(state)]),
        }
    }

    /// Runs `work` on the shard selected by `hash`, holding only the lock of that shard.
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

    /// Runs `work` on each shard in turn, holding one lock at a time.
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

/// Hashes a key to select a shard; the hash is only meaningful within this process.
pub fn shard_hash<Key>(key: &Key) -> u64
where
    Key: Hash + ?Sized,
{
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}
