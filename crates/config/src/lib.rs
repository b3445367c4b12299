//! The configuration document: its types, its verifier, and the fold that decides which version is in force.
//!
//! Pure decisions: no I/O, no clock, no encoding.

pub mod commands;
mod document;
mod lookup;
pub mod queries;
mod state;

pub use crate::{
    document::{Detection, Document, Finding, Kind, Limits, Part, Route, Service},
    lookup::Lookup,
    state::{Accepted, Decision, Entry, HistoryRow, Proposal, State, Verdict},
};
