//! Queries: functions that read the state of a pool at its owner and change nothing.

mod ejection;
mod pool_choice;
mod snapshot;

pub use self::{
    ejection::{ejection_due, healthy_slots},
    pool_choice::{pool_to_queue_at, PoolAnswer},
    snapshot::{pool_snapshot, PoolSnapshot, ServerSnapshot},
};
