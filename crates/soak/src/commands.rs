//! Commands: run a seed, its callers and its faults.

mod callers;
mod faults;
mod run_seed;

pub(crate) use self::{callers::send_request, run_seed::run_seed};
