//! Core types that every other crate shares: typed ids, maps keyed by them, shards, result codes, doubling times.
//!
//! Nothing here does I/O, reads a clock or knows an encoding.

mod backoff;
mod ids;
mod map;
mod result_code;
mod shards;

pub use crate::{
    backoff::exponential_backoff_ms,
    ids::{DataCentreIndex, PermitId, ServerIndex, ServiceIndex},
    map::{EntityMap, Interner},
    result_code::{ExecutionStatus, ResultCode},
    shards::{shard_hash, Shards},
};
