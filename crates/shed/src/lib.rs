//! Admission control of one pool: the order of its queue, what is refused and when it may return, and who gets scarce
//! retries.
//!
//! The crate does no I/O and reads no clock; the current time is an argument. What is learned about the kinds of requests
//! and the accounts lives in [`Admission`], which is bounded: see [`KINDS_MAX`] and [`ACCOUNTS_MAX`].

mod admission;
pub mod commands;
mod decayed;
mod pace;
pub mod queries;
mod report;

pub use crate::{
    admission::{Admission, Arrival, Candidate, Kind, QueueClass, ACCOUNTS_MAX, KINDS_MAX},
    queries::{Backlog, Rank, RetryTerms, ReturnTerms},
    report::{RefusalCounts, RefusalKind, Report, Transition},
};
