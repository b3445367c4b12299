//! The pools of one instance, in shards by pool.

use {
    crate::PoolState,
    std::collections::HashMap,
    types::{shard_hash, DataCentreIndex, Interner, ServiceIndex, Shards},
};

/// A pool: one service in one data centre, or in one region.
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

/// All pools that an instance owns or owned until lately.
pub struct Pools {
    names: Shards<Names>,
    pools: Shards<HashMap<PoolId, PoolState>>,
}

impl Pools {
    /// Creates an empty set.
    pub fn new(shard_count: usize) -> Self {
        Self {
            names: Shards::new(1),
            pools: Shards::new(shard_count),
        }
    }

    /// Returns the id of a pool by its names.
    pub fn id(&self, service: &str, area: &str) -> PoolId {
        self.names.with(0, |names| PoolId {
            service: names.services.intern(service),
            area: names.areas.intern(area),
        })
    }

    /// Runs `work` on the shard that holds the pool.
    pub fn with<Output, Work>(&self, id: PoolId, work: Work) -> Output
    where
        Work: FnOnce(&mut HashMap<PoolId, PoolState>) -> Output,
    {
        self.pools.with(shard_hash(&id), work)
    }

    /// Runs `work` on every pool, one shard at a time.
    pub fn for_each<Work>(&self, mut work: Work)
    where
        Work: FnMut(&mut PoolState),
    {
        self.pools
            .for_each(|pools| pools.values_mut().for_each(&mut work));
    }

    /// Tells whether there is no pool.
    pub fn is_empty(&self) -> bool {
        let mut count = 0;
        self.pools.for_each(|pools| count += pools.len());
        count == 0
    }

    /// Drops the pools that `keep` refuses.
    pub fn retain<Keep>(&self, mut keep: Keep)
    where
        Keep: FnMut(&PoolState) -> bool,
    {
        self.pools
            .for_each(|pools| pools.retain(|_, state| keep(state)));
    }
}
