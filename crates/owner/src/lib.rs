//! The decisions of a pool's owner: it grants, queues and refuses permits and records the outcomes of attempts.
//!
//! Combines the slot accounting (`permit`) and the outlier detection (`outlier`) of one pool under one lock. The
//! current time is an argument, and messages are encoded and sent by the caller. A waiter with an open poll is woken by
//! a notification and does not spin.

pub mod commands;
mod pools;
pub mod queries;
mod state;

pub use crate::{
    commands::{
        AcquireOutcome, AcquireRequest, LimitShare, NamedLimit, RefusalReason, Release,
        StandingChange, QUEUE_WAIT_MS,
    },
    pools::{PoolId, Pools},
    queries::{PoolSnapshot, ServerSnapshot},
    state::{PoolState, ServerMeta},
};
