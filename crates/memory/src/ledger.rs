//! The ledger of what the connections of callers hold.

use {
    crate::{
        limits::{COVERED_BYTES, PERIOD_MS},
        Limits,
    },
    std::{collections::HashMap, net::IpAddr},
};

/// Number of a caller's connection; not used again within a process.
pub type ConnectionId = u64;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// The caller: the next request, or reading the response.
    #[default]
    Open,
    /// The caller: the rest of the request's body.
    Receiving,
    /// A backend server. The connection is not evicted, since the caller can do nothing about it.
    Serving,
}

/// Progress of a connection in the current period and the one before it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Start of the former period, in milliseconds.
    since_ms: u64,
    /// Bytes since then.
    bytes: u64,
    /// Start of the current period, in milliseconds.
    current_since_ms: u64,
    /// Bytes of the current period.
    current_bytes: u64,
    /// Time of the last progress, in milliseconds.
    pub(crate) last_ms: u64,
}

impl Progress {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            bytes: 0,
            current_since_ms: now_ms,
            current_bytes: 0,
            last_ms: now_ms,
        }
    }

    /// Leaves out a time in which no progress was possible.
    pub(crate) fn skip(&mut self, skipped_ms: u64) {
        self.since_ms += skipped_ms;
        self.current_since_ms += skipped_ms;
    }

    /// Returns the bytes a second, over the last one or two periods.
    pub(crate) fn per_s(&self, now_ms: u64) -> u64 {
        let current_ms = now_ms.saturating_sub(self.current_since_ms);
        let (bytes, span_ms) = if current_ms < PERIOD_MS {
            (self.bytes, now_ms.saturating_sub(self.since_ms))
        } else if current_ms < 2 * PERIOD_MS {
            (self.current_bytes, current_ms)
        } else {
            // What was recorded in the current period is older than a whole one.
            (0, current_ms)
        };
        bytes * 1_000 / span_ms.max(PERIOD_MS)
    }

    pub(crate) fn record(&mut self, bytes: u64, now_ms: u64) {
        if now_ms.saturating_sub(self.current_since_ms) >= PERIOD_MS {
            self.since_ms = self.current_since_ms;
            self.bytes = self.current_bytes;
            self.current_since_ms = now_ms;
            self.current_bytes = 0;
        }
        self.bytes += bytes;
        self.current_bytes += bytes;
        self.last_ms = now_ms;
    }
}

/// A caller's connection.
#[derive(Clone, Debug)]
pub struct Connection<Handle> {
    pub(crate) source: IpAddr,
    pub(crate) account: Option<String>,
    pub(crate) handle: Handle,
    pub(crate) phase: Phase,
    /// Start of the phase, in milliseconds.
    pub(crate) phase_since_ms: u64,
    /// Time from which on progress is judged, in milliseconds.
    pub(crate) judged_since_ms: u64,
    pub(crate) progress: Progress,
    pub(crate) held_bytes: u64,
    /// Whether a request was received completely at least as far as its head.
    pub(crate) has_sent_request: bool,
    pub(crate) is_evicted: bool,
    /// Whether the connection is closed; its request may go on.
    pub(crate) is_closed: bool,
}

impl<Handle> Connection<Handle> {
    /// Returns the bytes that use room.
    pub(crate) fn room_bytes(&self) -> u64 {
        self.held_bytes.saturating_sub(COVERED_BYTES)
    }
}

/// What one source address uses.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SourceUse {
    pub(crate) connections: usize,
    pub(crate) room_bytes: u64,
}

/// What all connections hold; `Handle` is what notifies an evicted connection.
#[derive(Clone, Debug)]
pub struct Ledger<Handle> {
    pub(crate) limits: Limits,
    pub(crate) connections: HashMap<ConnectionId, Connection<Handle>>,
    pub(crate) open_connections: usize,
    /// Bytes that use room, of all connections.
    pub(crate) room_bytes: u64,
    pub(crate) sources: HashMap<IpAddr, SourceUse>,
    /// Bytes that use room, by account.
    pub(crate) accounts: HashMap<String, u64>,
    pub(crate) last_id: ConnectionId,
}

impl<Handle> Ledger<Handle> {
    /// Creates a ledger without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: HashMap::new(),
            open_connections: 0,
            room_bytes: 0,
            sources: HashMap::new(),
            accounts: HashMap::new(),
            last_id: 0,
        }
    }
}
