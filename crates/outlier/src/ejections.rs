//! The replicated state of one service's ejection stream.
//!
//! Invariants: whether an event is accepted depends on the log alone. An instance stops enforcing an ejection when its
//! time to live is over, but counts the server out of the healthy capacity for [`CAPACITY_MARGIN_MS`] longer.

use std::collections::HashMap;

/// Time to live of an ejection that is not renewed, in milliseconds.
pub const EJECTION_TTL_MS: u64 = 10_000;
/// Time for which an expired ejection still reduces the healthy capacity, in milliseconds.
pub const CAPACITY_MARGIN_MS: u64 = 2_000;

/// Kind of an event of the ejection stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionEventKind {
    /// Take the server out of service.
    Eject,
    /// Keep the server out of service for another time to live.
    Renew,
    /// Reinstate the server as a suspect.
    Return,
}

/// One event of a service's ejection stream, independent of its encoding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EjectionEvent {
    /// Kind of the event.
    pub kind: EjectionEventKind,
    /// Name of the server.
    pub server: String,
    /// Slots of the server.
    pub slots: u32,
    /// Slots of all servers of the service that the proposer found healthy, including this server's if it is healthy.
    pub healthy_slots: u32,
    /// Capacity floor of the service in the proposer's active configuration, in slots.
    pub floor_slots: u32,
    /// Offset of the last accepted ejection that the proposer knew; `None` before the first.
    pub base_offset: Option<u64>,
}

/// An accepted ejection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ActiveEjection {
    /// Offset of the accepted event.
    pub offset: u64,
    /// Expiry on the clock of the platform's log, in milliseconds.
    pub expires_log_ms: u64,
    /// Time until which this instance enforces the ejection, in milliseconds of its own clock.
    pub enforced_until_ms: u64,
}

/// Ejections of one service, as replicated from its stream.
#[derive(Clone, Debug, Default)]
pub struct EjectionReplica {
    /// Offset of the next event to apply.
    pub(crate) next_offset: u64,
    /// Offset of the last accepted ejection that was read; `None` before the first.
    pub(crate) last_accepted_offset: Option<u64>,
    /// Whether events were skipped since then; the next ejection is then accepted with any base offset.
    pub(crate) base_unknown: bool,
    /// Accepted ejections by the name of the server, until it returns; an expired one may still be among them.
    pub(crate) active: HashMap<String, ActiveEjection>,
}

impl EjectionReplica {
    /// Creates the state of an empty stream.
    pub fn new() -> Self {
        Self::default()
    }
}
