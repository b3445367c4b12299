//! Core types that every other crate shares: typed ids, maps keyed by them, shards, result codes, doubling times.
//!
//! Nothing here does I/O, reads a clock or knows an encoding.

mod backoff;
mod code;
mod ids;
mod map;
mod shards;

pub use crate::{
    backoff::doubled_ms,
    code::{ResultCode, RunState},
    ids::{DataCentreIndex, PermitId, ServerIndex, ServiceIndex},
    map::{EntityMap, Interner},
    shards::{hash_of, Shards},
};
