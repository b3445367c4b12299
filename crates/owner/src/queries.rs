//! Queries over a pool at its owner; none of them changes it.

mod ejection;
mod snapshot;

pub use self::{
    ejection::{ejection_due, healthy_slots},
    snapshot::{pool_snapshot, PoolSnapshot, ServerSnapshot},
};
