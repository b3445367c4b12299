//! The state of one pool at its owner.
//!
//! Invariant: the pool's servers, their evidence and the notes have the same indices.

use {
    outlier::{PoolHealth, Sensitivity},
    permit::{FailureRate, Pool, RetryBudget, Standing},
    std::{collections::HashMap, sync::Arc},
    tokio::sync::Notify,
    types::{EntityMap, ServerIndex},
};

/// What the owner notes of a server beside its slots and its evidence.
#[derive(Clone, Copy, Debug)]
pub struct ServerMeta {
    /// Start of the server, in milliseconds since 1970; 0 if not known.
    pub started_at_ms: u64,
    /// Whether the list has it as live.
    pub listed: bool,
    /// Whether it said itself that it drains, or another server has its address.
    pub draining: bool,
    /// Whether an ejection of it is obeyed.
    pub ejected: bool,
    /// Until when no new record about it is proposed, in milliseconds.
    pub no_proposal_until_ms: u64,
    /// Standing last logged, and whether it was leaving.
    pub last_logged: (Standing, bool),
}

impl ServerMeta {
    /// Notes a server that was just listed and started at `started_at_ms`.
    pub fn new(started_at_ms: u64) -> Self {
        Self {
            started_at_ms,
            listed: true,
            draining: false,
            ejected: false,
            no_proposal_until_ms: 0,
            last_logged: (Standing::Good, false),
        }
    }
}

/// One pool with all that its owner knows.
pub struct PoolState {
    /// Name of its service.
    pub service: String,
    /// Data centre or region that it spans.
    pub area: String,
    /// Retries of this pool's share of the service.
    pub retry_budget: RetryBudget,
    /// Requests and failed ones of late, for how much of the service fails.
    pub failure_rate: FailureRate,
    /// Slots, permits and queue.
    pub pool: Pool,
    /// Evidence of its servers.
    pub health: PoolHealth,
    /// What else is noted of its servers.
    pub server_meta: EntityMap<ServerIndex, ServerMeta>,
    /// Who waits here for a slot, by ticket.
    pub(crate) waiters: HashMap<u64, Arc<Notify>>,
    /// How much a failure says.
    pub(crate) sensitivity: Sensitivity,
    /// Floor of the service, in slots.
    pub floor_slots: u32,
    /// Version of the list that was applied last.
    pub(crate) server_list_version: u64,
    /// Version of the configuration that was applied last.
    pub(crate) config_version: u64,
    /// From when all retries beyond the service's share are granted, in milliseconds; an earlier owner may have granted
    /// most of them in the window.
    pub(crate) full_slack_from_ms: u64,
    /// When the pool was opened here, in milliseconds.
    pub(crate) created_ms: u64,
    /// When it was asked last, in milliseconds.
    pub last_request_ms: u64,
}

impl PoolState {
    /// Creates a pool without servers.
    pub fn new(service: &str, area: &str, now_ms: u64) -> Self {
        Self {
            service: service.to_owned(),
            area: area.to_owned(),
            retry_budget: RetryBudget::new(),
            failure_rate: FailureRate::default(),
            // Another owner's permits must not be taken for this one's.
            pool: Pool::with_first_permit(fastrand::u64(1..u64::MAX / 2)),
            health: PoolHealth::new(),
            server_meta: EntityMap::new(),
            waiters: HashMap::new(),
            sensitivity: Sensitivity::careful(),
            floor_slots: 0,
            server_list_version: 0,
            config_version: 0,
            full_slack_from_ms: 0,
            created_ms: now_ms,
            last_request_ms: now_ms,
        }
    }

    /// Wakes the first waiter that can take a slot at once.
    pub fn wake_first_waiter(&self, now_ms: u64) {
        let first = permit::queries::first_active_waiter(&self.pool, now_ms);
        if let Some(waiter) = first.and_then(|ticket| self.waiters.get(&ticket)) {
            waiter.notify_one();
        }
    }
}
