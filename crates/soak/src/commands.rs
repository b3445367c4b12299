//! Commands: playing a seed, with its callers and its faults.

mod callers;
mod faults;
mod play;

pub(crate) use self::{callers::ask, play::play};
