//! Client of the platform's append-only log and of its member list.
//!
//! Invariants: an append whose response was lost is reported as [`AppendError::ResponseLost`], never as refused; a
//! followed stream delivers its records in log order, each at least once.

mod client;
pub mod commands;
mod error;
pub mod queries;
mod source;

pub use crate::{
    client::{
        CallError, PlatformClient, PlatformResponse, RequestBody, CONNECT_TIMEOUT_MS,
        IDLE_TIMEOUT_MS,
    },
    commands::Batcher,
    error::{AppendError, ReadError},
    source::{
        Announce, Change, Cursor, ListUpdate, ListedSource, PublishedConfig, ReadList, Source,
        Withdraw, WriteDirectory,
    },
};
