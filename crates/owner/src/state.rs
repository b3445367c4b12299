//! The state of one pool at its owner.
//!
//! Invariant: `pool.servers`, `health.servers` and `server_meta` have the same indices.

use {
    outlier::{PoolHealth, Sensitivity},
    permit::{CreditBudget, FailureRate, Pool, Standing},
    shed::{Admission, Arrival},
    std::{collections::HashMap, sync::Arc},
    tokio::sync::Notify,
    types::{EntityMap, PermitId, ServerIndex},
};

/// State of a server besides its slots and its health.
#[derive(Clone, Copy, Debug)]
pub struct ServerMeta {
    /// Start of the server's process, in Unix milliseconds; 0 if not known.
    pub started_at_ms: u64,
    /// Whether the server list has it as live.
    pub listed: bool,
    /// Whether it reported that it is draining, or another server answered at its address.
    pub draining: bool,
    /// Whether an ejection of it is enforced.
    pub ejected: bool,
    /// Time until which no further ejection event is proposed for it, in milliseconds.
    pub no_proposal_until_ms: u64,
    /// Time of the last answer that named a limit or none, in milliseconds.
    pub limit_named_ms: u64,
    /// Last logged standing, and whether it was leaving.
    pub last_logged: (Standing, bool),
}

impl ServerMeta {
    /// Creates the state of a newly listed server.
    pub fn new(started_at_ms: u64) -> Self {
        Self {
            started_at_ms,
            listed: true,
            draining: false,
            ejected: false,
            no_proposal_until_ms: 0,
            limit_named_ms: 0,
            last_logged: (Standing::Good, false),
        }
    }
}

/// State of one pool at its owner.
pub struct PoolState {
    /// Name of the service.
    pub service: String,
    /// Data centre or region that the pool spans.
    pub area: String,
    /// Credit for the retries of the pool's requests that this instance holds.
    pub retry_budget: CreditBudget,
    /// Recent failure rate of the pool's requests.
    pub failure_rate: FailureRate,
    /// Servers, permits and queue.
    pub pool: Pool,
    /// State of the outlier detector.
    pub health: PoolHealth,
    /// Further state of the servers.
    pub server_meta: EntityMap<ServerIndex, ServerMeta>,
    /// What was learned about the requests for the order of the queue and for refusals.
    pub admission: Admission,
    /// Kinds and accounts of the requests that hold a permit.
    pub(crate) permit_arrivals: HashMap<PermitId, Arrival>,
    /// Evicted waiters whose next poll is to be refused, by ticket, with the time of the eviction, in milliseconds.
    pub(crate) evicted: HashMap<u64, u64>,
    /// Notifications of waiters with an open poll, by ticket.
    pub(crate) waiters: HashMap<u64, Arc<Notify>>,
    /// Sensitivity of the outlier detector.
    pub(crate) sensitivity: Sensitivity,
    /// Healthy capacity of the service that ejections must leave, in slots.
    pub floor_slots: u32,
    /// Version of the server list that was last applied.
    pub(crate) server_list_version: u64,
    /// Version of the configuration that was last applied.
    pub(crate) config_version: u64,
    /// Time at which this owner opened the pool, in milliseconds.
    pub(crate) created_ms: u64,
    /// Time of the last acquire request, in milliseconds.
    pub last_request_ms: u64,
}

impl PoolState {
    /// Creates a pool without servers.
    pub fn new(service: &str, area: &str, now_ms: u64) -> Self {
        Self {
            service: service.to_owned(),
            area: area.to_owned(),
            retry_budget: CreditBudget::new(),
            failure_rate: FailureRate::default(),
            // A random start, so that a permit of a previous owner is not taken for one of this owner's.
            pool: Pool::with_first_permit(fastrand::u64(1..u64::MAX / 2)),
            health: PoolHealth::new(),
            server_meta: EntityMap::new(),
            admission: Admission::new(),
            permit_arrivals: HashMap::new(),
            evicted: HashMap::new(),
            waiters: HashMap::new(),
            sensitivity: Sensitivity::careful(),
            floor_slots: 0,
            server_list_version: 0,
            config_version: 0,
            created_ms: now_ms,
            last_request_ms: now_ms,
        }
    }

    /// Wakes the first active waiter, which then calls `acquire` again.
    pub fn wake_first_waiter(&self, now_ms: u64) {
        let first = permit::queries::first_active_waiter(&self.pool, now_ms);
        if let Some(waiter) = first.and_then(|ticket| self.waiters.get(&ticket)) {
            waiter.notify_one();
        }
    }
}
