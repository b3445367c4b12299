//! What the owner of a pool decides: who gets a slot, who waits, and what an outcome says of its server.
//!
//! Joins the slots (`permit`) and the evidence (`outlier`) of one pool under one lock. Time is passed in, messages are
//! the caller's business; a waiter is woken by its notification and never polls.

pub mod commands;
mod pools;
pub mod queries;
mod state;

pub use crate::{
    commands::{
        AcquireOutcome, AcquireRequest, RefusalReason, Release, RetryLimits, StandingChange,
        QUEUE_WAIT_MS,
    },
    pools::{PoolId, Pools},
    queries::{PoolSnapshot, ServerSnapshot},
    state::{PoolState, ServerMeta},
};
