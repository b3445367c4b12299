//! Concurrency permits of one pool of backend servers: slot accounting, server selection, the queue of waiting requests
//! and the retry budget.
//!
//! The crate does no I/O and reads no clock; the current time is an argument. Selecting a server is a query, granting
//! the permit is a command.

mod budget;
pub mod commands;
mod failure_rate;
mod pool;
pub mod queries;
mod rate_limit;
mod stall;

pub use crate::{
    budget::{CreditAccount, CreditBudget, CreditTerms, FleetSize, SPEND_MILLI},
    failure_rate::FailureRate,
    pool::{
        Lease, Permit, Pool, SelectError, Selection, Server, SlotRequest, SpreadPolicy, Standing,
        Waiter,
    },
    rate_limit::RateLimit,
    stall::{StallDetector, ACTIVITY_INTERVAL_MS},
};
