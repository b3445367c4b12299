//! Whether requests of a service had to wait for a slot lately, or got none.

use {
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    types::{shard_hash, Shards},
};

/// Number of shards.
const SHARD_COUNT: usize = 16;
/// Wait for a slot from which on the service is short of them, in milliseconds. A round trip to the owner of a pool in another
/// data centre takes a few.
const SHORT_WAIT_MS: u64 = 50;
/// Time for which a service counts as short of slots after a request had to wait, in milliseconds.
const SHORTAGE_MS: u64 = 1_000;

/// When a request last had to wait for a slot, by service, as seen by this instance.
pub struct SlotShortage {
    seen: Shards<HashMap<String, Instant>>,
}

impl SlotShortage {
    /// Creates the state without any wait.
    pub fn new() -> Self {
        Self {
            seen: Shards::new(SHARD_COUNT),
        }
    }

    /// Records how long a request waited for a slot, and whether it got one.
    pub(crate) fn record(&self, service: &str, waited: Duration, is_granted: bool) {
        if is_granted && waited < Duration::from_millis(SHORT_WAIT_MS) {
            return;
        }
        self.seen.with(shard_hash(service), |seen| {
            seen.insert(service.to_owned(), Instant::now());
        });
    }

    /// Returns whether the service is short of slots.
    pub(crate) fn is_short(&self, service: &str) -> bool {
        let last = self
            .seen
            .with(shard_hash(service), |seen| seen.get(service).copied());
        last.is_some_and(|last| last.elapsed() < Duration::from_millis(SHORTAGE_MS))
    }
}

impl Default for SlotShortage {
    fn default() -> Self {
        Self::new()
    }
}
