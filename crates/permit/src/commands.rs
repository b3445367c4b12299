//! Commands: functions that change a pool or a retry budget. Reading is left to [`queries`](crate::queries).

mod budget;
mod permits;
mod queue;
mod servers;

pub use self::{
    budget::{evict_expired_buckets, merge_buckets, record_request, try_spend_retry},
    permits::{
        cancel_request, expire_permits, grant, mark_overdue, release_permit, seed_service_time,
    },
    queue::{enqueue, expire_waiters, refresh_waiter, remove_waiter},
    servers::upsert_server,
};
