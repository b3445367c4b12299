//! What the fold of one service's ejection stream keeps.
//!
//! Invariants: acceptance reads nothing but the log; who obeys an ejection lets it lapse at its time to
//! live, who counts it against the floor waits [`CAPACITY_MARGIN_MS`] longer.

use std::collections::HashMap;

/// Time after which an ejection lapses unless renewed, in milliseconds.
pub const EJECTION_TTL_MS: u64 = 10_000;
/// Time by which counting an ejection outlasts obeying it, in milliseconds.
pub const CAPACITY_MARGIN_MS: u64 = 2_000;

/// What a record of the ejection stream asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionEventKind {
    /// Take the server out of service.
    Eject,
    /// Keep it out for another time to live.
    Renew,
    /// Let it return as a suspect.
    Return,
}

/// One record of a service's ejection stream, free of its encoding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EjectionEvent {
    /// What is asked for.
    pub kind: EjectionEventKind,
    /// The server's name.
    pub server: String,
    /// The server's slots.
    pub slots: u32,
    /// Slots of the whole service that the proposer counts as proved healthy, this server's included if it is.
    pub healthy_slots: u32,
    /// Floor of the service in the version the proposer had in force, in slots.
    pub floor_slots: u32,
    /// Offset of the last accepted ejection the proposer knew; none before the first.
    pub base_offset: Option<u64>,
}

/// An ejection that was accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ActiveEjection {
    /// Offset of the accepted record.
    pub offset: u64,
    /// Time of the platform's log at which it lapses, in milliseconds.
    pub expires_log_ms: u64,
    /// When this instance stops obeying it, in milliseconds of its own clock.
    pub enforced_until_ms: u64,
}

/// The fold's state for one service.
#[derive(Clone, Debug, Default)]
pub struct EjectionReplica {
    pub(crate) next_offset: u64,
    pub(crate) last_accepted_offset: Option<u64>,
    pub(crate) base_unknown: bool,
    pub(crate) active: HashMap<String, ActiveEjection>,
}

impl EjectionReplica {
    /// Creates the state of an empty stream.
    pub fn new() -> Self {
        Self::default()
    }
}
