//! The configuration document: its types, its validation, and the replica that decides which version is active.
//!
//! Pure logic: no I/O, no clock, no encoding.

pub mod commands;
mod document;
mod index;
mod patch;
pub mod queries;
mod state;

pub use crate::{
    document::{
        Account, ApiKeyDigest, CallerLimits, Destination, DetectionMode, Document, RequestKind,
        Route, Service, ValidationError,
    },
    index::DocumentIndex,
    patch::{DocumentPatch, Span},
    state::{
        AcceptedConfig, ApplyOutcome, ConfigEvent, ConfigReplica, Decision, HistoryEntry, Proposal,
    },
};
