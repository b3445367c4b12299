//! Discrete-event emulator of one pool: servers, callers and owners that use the decision crates of this project.
//!
//! A run uses simulated time and is deterministic for a seed. It shows the effect of a policy's constants on a workload
//! before the workload is run against real processes.

pub mod commands;
pub mod queries;
mod state;
mod workload;

pub use crate::{
    state::{Attempt, Outcome, RunStats},
    workload::{Policy, Workload},
};
