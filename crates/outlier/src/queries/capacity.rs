//! Reads ejections, and counts the capacity that is proved healthy.

use {
    crate::{EjectionReplica, ServerHealth, CAPACITY_MARGIN_MS},
    types::{EntityMap, ServerIndex},
};

/// Time for which a whole answer in usual time proves its server healthy, in milliseconds.
const PROOF_FRESH_MS: u64 = 10_000;

/// Tells whether this instance gives `server` no work because of an ejection.
pub fn is_enforced(ejections: &EjectionReplica, server: &str, now_ms: u64) -> bool {
    ejections
        .active
        .get(server)
        .is_some_and(|ejected| now_ms < ejected.enforced_until_ms)
}

/// Tells whether `server` counts as out of service; lasts longer than [`is_enforced`].
pub fn is_counted_out(ejections: &EjectionReplica, server: &str, now_ms: u64) -> bool {
    ejections
        .active
        .get(server)
        .is_some_and(|ejected| now_ms < ejected.enforced_until_ms + CAPACITY_MARGIN_MS)
}

/// Walks the names of the servers whose ejection is obeyed.
pub fn enforced_servers(ejections: &EjectionReplica, now_ms: u64) -> impl Iterator<Item = &str> {
    ejections
        .active
        .iter()
        .filter(move |(_, ejected)| now_ms < ejected.enforced_until_ms)
        .map(|(name, _)| name.as_str())
}

/// Walks the names of the servers that count as out of service.
pub fn counted_out_servers(ejections: &EjectionReplica, now_ms: u64) -> impl Iterator<Item = &str> {
    ejections
        .active
        .iter()
        .filter(move |(_, ejected)| now_ms < ejected.enforced_until_ms + CAPACITY_MARGIN_MS)
        .map(|(name, _)| name.as_str())
}

/// Returns the offset of the last accepted ejection.
pub fn last_accepted_offset(ejections: &EjectionReplica) -> Option<u64> {
    ejections.last_accepted_offset
}

/// Returns the offset from which the stream is to be read next.
pub fn next_offset(ejections: &EjectionReplica) -> u64 {
    ejections.next_offset
}

/// Sums the slots of the servers that `slots` gives a size, that are no suspects, and that have fresh proof.
pub fn healthy_slots<Slots>(
    servers: &EntityMap<ServerIndex, ServerHealth>,
    now_ms: u64,
    slots: Slots,
) -> u32
where
    Slots: Fn(ServerIndex) -> u32,
{
    servers
        .iter()
        .filter(|(_, entry)| !entry.suspect && is_fresh(entry, now_ms))
        .map(|(index, _)| slots(index))
        .sum()
}

fn is_fresh(entry: &ServerHealth, now_ms: u64) -> bool {
    entry
        .last_healthy_ms
        .is_some_and(|proved_ms| now_ms.saturating_sub(proved_ms) < PROOF_FRESH_MS)
}
