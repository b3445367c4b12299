//! At-most-once execution: the state machine that lets a single instance run a request with an idempotency key.
//!
//! Pure logic without I/O. The first claim of a key in log order wins, and an instance that can't read its claim back
//! from the log never dispatches the request. docs/DESIGN.md shows the state machine, and a quickcheck model in the
//! tests explores its interleavings.

mod attempt;
pub mod commands;
mod keys;
pub mod queries;
mod replica;

pub use crate::{
    attempt::{AttemptAction, AttemptEvent, ClaimAttempt},
    keys::{KeyState, KeyTable},
    replica::{Claim, ClaimEvent, ClaimReplica, ClaimStatus, Holder, KeyDigest},
};
