//! Client of the platform's append-only log and of its list of members.
//!
//! Invariants: an append whose answer was lost is reported as lost, never as failed; a follower hands
//! records on in log order, each at least once.

pub mod commands;
mod error;
mod platform;
pub mod queries;
mod source;

pub use crate::{
    commands::Batcher,
    error::{AppendError, ReadError},
    platform::{CallError, Content, Platform, CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_MS},
    source::{Announce, Change, Cursor, Published, Read, Reading, Source, Withdraw},
};
