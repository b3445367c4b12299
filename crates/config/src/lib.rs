//! The configuration document: its types, its verifier, and the fold that decides which version is in force.
//!
//! Pure decisions: no I/O, no clock, no encoding.

pub mod commands;
mod document;
mod index;
pub mod queries;
mod state;

pub use crate::{
    document::{
        CallerLimits, Destination, DetectionMode, Document, RequestKind, Route, Service,
        ValidationError,
    },
    index::DocumentIndex,
    state::{
        AcceptedConfig, ApplyOutcome, ConfigEvent, ConfigReplica, Decision, HistoryEntry, Proposal,
    },
};
