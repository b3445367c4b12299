//! The state of the pools that this node owns, in shards by pool.

use {
    outlier::{Health, Sensitivity},
    permit::{Budget, Pool, Recent, Standing},
    std::{collections::HashMap, sync::Arc},
    tokio::sync::Notify,
    types::{hash_of, DataCentreIndex, EntityMap, Interner, ServerIndex, ServiceIndex, Shards},
};

/// A pool: one service in one data centre, or in one region.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PoolId {
    pub(crate) service: ServiceIndex,
    pub(crate) area: DataCentreIndex,
}

/// What the owner notes of a server beside its slots and its evidence.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Note {
    /// Start of the server, in milliseconds since 1970; 0 if not known.
    pub(crate) born_ms: u64,
    /// Whether the list has it as live.
    pub(crate) listed: bool,
    /// Whether it said itself that it drains, or another server has its address.
    pub(crate) draining: bool,
    /// Whether an ejection of it is obeyed.
    pub(crate) ejected: bool,
    /// Until when no new record about it is proposed, in milliseconds.
    pub(crate) proposed_until_ms: u64,
    /// Standing last logged, and whether it was leaving.
    pub(crate) logged: (Standing, bool),
}

impl Note {
    /// Notes a server that was just listed and started at `born_ms`.
    pub(crate) fn new(born_ms: u64) -> Self {
        Self {
            born_ms,
            listed: true,
            draining: false,
            ejected: false,
            proposed_until_ms: 0,
            logged: (Standing::Good, false),
        }
    }
}

/// One pool with all that its owner knows.
pub(crate) struct PoolState {
    pub(crate) service: String,
    pub(crate) area: String,
    /// Retries of this pool's share of the service.
    pub(crate) budget: Budget,
    /// Requests and failed ones of late, for how much of the service fails.
    pub(crate) recent: Recent,
    pub(crate) pool: Pool,
    pub(crate) health: Health,
    pub(crate) notes: EntityMap<ServerIndex, Note>,
    pub(crate) waiters: HashMap<u64, Arc<Notify>>,
    pub(crate) sensitivity: Sensitivity,
    pub(crate) floor_slots: u32,
    /// Version of the list that was applied last.
    pub(crate) listed_version: u64,
    /// Version of the configuration that was applied last.
    pub(crate) config_version: u64,
    pub(crate) created_ms: u64,
    pub(crate) asked_ms: u64,
}

impl PoolState {
    /// Creates a pool without servers.
    pub(crate) fn new(service: &str, area: &str, now_ms: u64) -> Self {
        Self {
            service: service.to_owned(),
            area: area.to_owned(),
            budget: Budget::new(),
            recent: Recent::default(),
            // Another owner's permits must not be taken for this one's.
            pool: Pool::with_first_permit(fastrand::u64(1..u64::MAX / 2)),
            health: Health::new(),
            notes: EntityMap::new(),
            waiters: HashMap::new(),
            sensitivity: Sensitivity::careful(),
            floor_slots: 0,
            listed_version: 0,
            config_version: 0,
            created_ms: now_ms,
            asked_ms: now_ms,
        }
    }

    /// Wakes the first waiter that can take a slot at once.
    pub(crate) fn wake_first(&self, now_ms: u64) {
        let first = permit::queries::first_present(&self.pool, now_ms);
        if let Some(waiter) = first.and_then(|ticket| self.waiters.get(&ticket)) {
            waiter.notify_one();
        }
    }
}

#[derive(Debug, Default)]
struct Names {
    services: Interner<ServiceIndex>,
    areas: Interner<DataCentreIndex>,
}

/// All pools that this node owns or owned until lately.
pub(crate) struct Owner {
    names: Shards<Names>,
    pools: Shards<HashMap<PoolId, PoolState>>,
}

impl Owner {
    /// Creates an owner of no pool.
    pub(crate) fn new(shard_count: usize) -> Self {
        Self {
            names: Shards::new(1),
            pools: Shards::new(shard_count),
        }
    }

    /// Returns the id of a pool by its names.
    pub(crate) fn id(&self, service: &str, area: &str) -> PoolId {
        self.names.with(0, |names| PoolId {
            service: names.services.intern(service),
            area: names.areas.intern(area),
        })
    }

    /// Runs `work` on the shard that holds the pool.
    pub(crate) fn with<Output, Work>(&self, id: PoolId, work: Work) -> Output
    where
        Work: FnOnce(&mut HashMap<PoolId, PoolState>) -> Output,
    {
        self.pools.with(hash_of(&id), work)
    }

    /// Runs `work` on every pool, one shard at a time.
    pub(crate) fn each<Work>(&self, mut work: Work)
    where
        Work: FnMut(&mut PoolState),
    {
        self.pools
            .each(|pools| pools.values_mut().for_each(&mut work));
    }

    /// Tells whether this node owns no pool.
    pub(crate) fn is_empty(&self) -> bool {
        let mut count = 0;
        self.pools.each(|pools| count += pools.len());
        count == 0
    }

    /// Drops the pools that `keep` refuses.
    pub(crate) fn retain<Keep>(&self, mut keep: Keep)
    where
        Keep: FnMut(&PoolState) -> bool,
    {
        self.pools
            .each(|pools| pools.retain(|_, state| keep(state)));
    }
}
