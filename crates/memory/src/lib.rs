//! What an instance holds for callers and servers: who is admitted, and who is evicted when there is too little room.
//!
//! The crate does no I/O and reads no clock; the current time is an argument. The notification of an evicted connection
//! is a handle that the user of the crate stores with it.
//!
//! Invariants: the bytes held in excess of what the connections' own part covers never exceed the room, and neither a
//! connection, an account nor a source address holds more than its share; a connection is evicted once.

pub mod commands;
mod ledger;
mod limits;
pub mod queries;

pub use crate::{
    ledger::{Connection, ConnectionId, Ledger, Phase},
    limits::{Limits, COVERED_BYTES, MIN_PROGRESS_BYTES_PER_S},
};
