//! At most once: the state machine by which one instance alone may run a keyed request.
//!
//! Pure decisions. The first claim of a key in log order wins; who can't read the log back never
//! dispatches. docs/DESIGN.md draws the machine, and a quickcheck model walks its interleavings.

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
