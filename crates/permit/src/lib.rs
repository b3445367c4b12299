//! Permits: the owner's accounting of slots for one pool, and the queue in front of it.
//!
//! Pure decisions: a choice is a query, the taking of it a command, and time is passed in.

mod budget;
pub mod commands;
mod failure_rate;
mod pool;
pub mod queries;

pub use crate::{
    budget::{AgedBucket, RetryBudget},
    failure_rate::FailureRate,
    pool::{
        Lease, Permit, Pool, SelectError, Selection, Server, SlotRequest, SpreadPolicy, Standing,
        Waiter,
    },
};
