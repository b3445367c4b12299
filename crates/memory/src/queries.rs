//! Queries: room, progress, and who would be evicted.

use {
    crate::{
        limits::{GRACE_MS, MIN_PROGRESS_BYTES_PER_S},
        Connection, ConnectionId, Ledger, Phase,
    },
    std::net::IpAddr,
};

/// Whose bytes an eviction has to free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope<'a> {
    /// Those of any connection.
    All,
    /// Those of an account.
    Account(&'a str),
    /// Those of a source address.
    Source(IpAddr),
}

/// Returns the bytes that use room, of all connections.
pub fn used_room_bytes<Handle>(ledger: &Ledger<Handle>) -> u64 {
    ledger.room_bytes
}

/// Returns the number of open connections.
pub fn open_connections<Handle>(ledger: &Ledger<Handle>) -> usize {
    ledger.open_connections
}

/// Returns whether so much is held that callers have to make progress.
pub fn is_room_scarce<Handle>(ledger: &Ledger<Handle>) -> bool {
    ledger.room_bytes >= ledger.limits.scarce_bytes
}

/// Returns the limit that `additional_bytes` of room would exceed for the connection, and the bytes beyond it.
pub(crate) fn exceeded_scope<'a, Handle>(
    ledger: &'a Ledger<Handle>,
    connection: &'a Connection<Handle>,
    additional_bytes: u64,
) -> Option<(Scope<'a>, u64)> {
    let limits = &ledger.limits;
    let source = ledger.sources.get(&connection.source);
    let source_bytes = source.map_or(0, |used| used.room_bytes);
    let account = connection.account.as_deref();
    let account_bytes = account.and_then(|name| ledger.accounts.get(name));
    let excess = |used_bytes: u64, max_bytes: u64| {
        (used_bytes + additional_bytes)
            .checked_sub(max_bytes)
            .filter(|excess_bytes| *excess_bytes > 0)
    };
    let by_account = account.zip(account_bytes).and_then(|(name, used_bytes)| {
        excess(*used_bytes, limits.account_bytes).map(|bytes| (Scope::Account(name), bytes))
    });
    by_account
        .or_else(|| {
            excess(source_bytes, limits.source_bytes)
                .map(|bytes| (Scope::Source(connection.source), bytes))
        })
        .or_else(|| excess(ledger.room_bytes, limits.room_bytes).map(|bytes| (Scope::All, bytes)))
}

/// Returns the progress of a connection in bytes a second; `None` if it is too new to be judged.
pub(crate) fn progress_per_s<Handle>(connection: &Connection<Handle>, now_ms: u64) -> Option<u64> {
    let age_ms = now_ms.saturating_sub(connection.judged_since_ms);
    (age_ms >= GRACE_MS).then(|| connection.progress.per_s(now_ms))
}

/// Returns whether a connection waits for its caller, whose progress has been too slow.
pub(crate) fn is_slow<Handle>(connection: &Connection<Handle>, now_ms: u64) -> bool {
    let waits_for_caller = connection.phase != Phase::Serving;
    let progress = progress_per_s(connection, now_ms);
    waits_for_caller
        && !connection.is_evicted
        && progress.is_some_and(|per_s| per_s < MIN_PROGRESS_BYTES_PER_S)
}

/// Returns the connection whose bytes are to be freed first: of those in `scope` that wait for their caller, the one with
/// the least progress, and of equal ones the one that holds the most.
pub(crate) fn least_progress<Handle>(
    ledger: &Ledger<Handle>,
    scope: Scope<'_>,
    now_ms: u64,
) -> Option<ConnectionId> {
    let candidates = ledger.connections.iter().filter(|(_, connection)| {
        connection.room_bytes() > 0
            && is_slow(connection, now_ms)
            && match scope {
                Scope::All => true,
                Scope::Account(name) => connection.account.as_deref() == Some(name),
                Scope::Source(source) => connection.source == source,
            }
    });
    let first = candidates.min_by_key(|(id, connection)| {
        let per_s = progress_per_s(connection, now_ms);
        (per_s, u64::MAX - connection.held_bytes, **id)
    });
    first.map(|(id, _)| *id)
}

/// Returns the connection that is closed to make place for another one of `scope`: first those whose request is incomplete
/// or whose response is not read, if their callers make too little progress, then the one that has been idle for the longest
/// time. One that is new, makes progress or waits for a server is not closed for another one.
pub(crate) fn least_needed<Handle>(
    ledger: &Ledger<Handle>,
    scope: Scope<'_>,
    now_ms: u64,
) -> Option<ConnectionId> {
    let candidates = ledger.connections.iter().filter(|(_, connection)| {
        !connection.is_evicted
            && !connection.is_closed
            && (is_idle(connection) || is_slow(connection, now_ms))
            && match scope {
                Scope::Source(source) => connection.source == source,
                Scope::All | Scope::Account(_) => true,
            }
    });
    let first = candidates.min_by_key(|(id, connection)| {
        let last_ms = connection.progress.last_ms;
        (is_idle(connection), last_ms, **id)
    });
    first.map(|(id, _)| *id)
}

/// Returns whether a connection has had a request and waits for the next one.
fn is_idle<Handle>(connection: &Connection<Handle>) -> bool {
    connection.has_sent_request && connection.phase == Phase::Open && connection.held_bytes == 0
}
