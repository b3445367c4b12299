//! Core types that the other crates share: typed indices and maps over them, shards, result codes, backoff and the era of a store.
//!
//! Nothing here performs I/O, reads a clock or depends on an encoding.

mod backoff;
mod ids;
mod map;
mod priority;
mod result_code;
mod shards;
mod store_era;

pub use crate::{
    backoff::exponential_backoff_ms,
    ids::{AccountKey, DataCentreIndex, PermitId, ServerIndex, ServiceIndex},
    map::{EntityMap, Interner},
    priority::Priority,
    result_code::{ExecutionStatus, ResultCode},
    shards::{shard_hash, Shards},
    store_era::{EraObservation, StoreEra},
};
