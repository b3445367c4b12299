//! Emulator of one pool: servers, callers and an owner that decides by the project's own decision crates.
//!
//! Deterministic for a seed: time is a number, nothing waits. It answers how a policy's constants act on a load
//! before the load is played on real processes.

pub mod commands;
pub mod queries;
mod state;
mod workload;

pub use crate::{
    state::{Outcome, RunStats},
    workload::{Policy, Workload},
};
