//! The pools of one instance, sharded by pool.

use {
    crate::PoolState,
    std::collections::HashMap,
    types::{shard_hash, DataCentreIndex, Interner, ServiceIndex, Shards},
};

/// Identifies a pool: one service in one area, which is a data centre or a region.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PoolId {
    service: ServiceIndex,
    area: DataCentreIndex,
}

#[derive(Debug, Default)]
struct Names {
    services: Interner<ServiceIndex>,
    areas: Interner<DataCentreIndex>,
}

/// The pools that an instance owns or owned until recently.
pub struct Pools {
    names: Shards<Names>,
    pools: Shards<HashMap<PoolId, PoolState>>,
}

impl Pools {
    /// Creates an empty set of pools in `shard_count` shards.
    pub fn new(shard_count: usize) -> Self {
        Self {
            names: Shards::new(1),
            pools: Shards::new(shard_count),
        }
    }

    /// Returns the id of the pool of `service` in `area`.
    pub fn id(&self, service: &str, area: &str) -> PoolId {
        self.names.with(0, |names| PoolId {
            service: names.services.intern(service),
            area: names.areas.intern(area),
        })
    }

    /// Runs `operation` on the shard that holds the pool, under that shard's lock.
    pub fn with<Output, Operation>(&self, id: PoolId, operation: Operation) -> Output
    where
        Operation: FnOnce(&mut HashMap<PoolId, PoolState>) -> Output,
    {
        self.pools.with(shard_hash(&id), operation)
    }

    /// Runs `operation` on every pool, one shard at a time.
    pub fn for_each<Operation>(&self, mut operation: Operation)
    where
        Operation: FnMut(&mut PoolState),
    {
        self.pools
            .for_each(|pools| pools.values_mut().for_each(&mut operation));
    }

    /// Returns whether there are no pools.
    pub fn is_empty(&self) -> bool {
        let mut count = 0;
        self.pools.for_each(|pools| count += pools.len());
        count == 0
    }

    /// Drops the pools for which `keep` returns `false`.
    pub fn retain<Keep>(&self, mut keep: Keep)
    where
        Keep: FnMut(&PoolState) -> bool,
    {
        self.pools
            .for_each(|pools| pools.retain(|_, state| keep(state)));
    }
}
