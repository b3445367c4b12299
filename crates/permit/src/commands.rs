//! Commands: functions that change a pool or a retry budget. Reading is left to [`queries`](crate::queries).

mod budget;
mod permits;
mod queue;
mod rate_limit;
mod servers;
mod stall;

pub use self::{
    budget::{add_credit, issue_credit, record_fleet_size, try_spend_credit},
    permits::{
        cancel_request, expire_permits, grant, mark_overdue, release_permit, seed_service_time,
    },
    queue::{
        enqueue, enqueue_at, expire_waiters, refresh_waiter, remove_waiter, sort_queue,
        update_waiters,
    },
    rate_limit::{add_time_share, refresh_limits, set_rate_limit},
    servers::upsert_server,
    stall::record_activity,
};
