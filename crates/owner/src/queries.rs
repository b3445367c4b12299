//! Queries: functions that read the state of a pool at its owner and change nothing.

mod ejection;
mod snapshot;

pub use self::{
    ejection::{ejection_due, healthy_slots},
    snapshot::{pool_snapshot, PoolSnapshot, ServerSnapshot},
};
