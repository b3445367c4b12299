//! Permits: the owner's accounting of slots for one pool, and the queue in front of it.
//!
//! Pure decisions: a choice is a query, the taking of it a command, and time is passed in.

mod budget;
pub mod commands;
mod pool;
pub mod queries;
mod recent;

pub use crate::{
    budget::{AgedCount, Budget},
    pool::{Choice, Lease, Permit, Pool, Refusal, Server, Spread, Standing, Waiter, Wish},
    recent::Recent,
};
