//! Client of the platform's append-only log and of its list of members.
//!
//! Invariants: an append whose answer was lost is reported as lost, never as failed; a follower hands
//! records on in log order, each at least once.

mod client;
pub mod commands;
mod error;
pub mod queries;
mod source;

pub use crate::{
    client::{CallError, PlatformClient, RequestBody, CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_MS},
    commands::Batcher,
    error::{AppendError, ReadError},
    source::{Announce, Change, Cursor, ListUpdate, PublishedConfig, ReadList, Source, Withdraw},
};
