//! Reads active ejections and sums the healthy capacity.

use {
    crate::{EjectionReplica, ServerHealth, CAPACITY_MARGIN_MS},
    types::{EntityMap, ServerIndex},
};

/// Time for which a complete response that was not late proves its server healthy, in milliseconds.
const HEALTH_PROOF_TTL_MS: u64 = 10_000;

/// Returns whether this instance sends `server` no requests because of an ejection.
pub fn is_enforced(replica: &EjectionReplica, server: &str, now_ms: u64) -> bool {
    replica
        .active
        .get(server)
        .is_some_and(|ejection| now_ms < ejection.enforced_until_ms)
}

/// Returns whether `server` is excluded from the healthy capacity because of an ejection, which is so for
/// [`CAPACITY_MARGIN_MS`] longer than [`is_enforced`].
pub fn is_counted_out(replica: &EjectionReplica, server: &str, now_ms: u64) -> bool {
    replica
        .active
        .get(server)
        .is_some_and(|ejection| now_ms < ejection.enforced_until_ms + CAPACITY_MARGIN_MS)
}

/// Iterates over the names of the servers whose ejection is enforced.
pub fn enforced_servers(replica: &EjectionReplica, now_ms: u64) -> impl Iterator<Item = &str> {
    replica
        .active
        .iter()
        .filter(move |(_, ejection)| now_ms < ejection.enforced_until_ms)
        .map(|(name, _)| name.as_str())
}

/// Iterates over the names of the servers that are excluded from the healthy capacity.
pub fn counted_out_servers(replica: &EjectionReplica, now_ms: u64) -> impl Iterator<Item = &str> {
    replica
        .active
        .iter()
        .filter(move |(_, ejection)| now_ms < ejection.enforced_until_ms + CAPACITY_MARGIN_MS)
        .map(|(name, _)| name.as_str())
}

/// Returns the offset of the last accepted ejection.
pub fn last_accepted_offset(replica: &EjectionReplica) -> Option<u64> {
    replica.last_accepted_offset
}

/// Returns the offset of the next event to read.
pub fn next_offset(replica: &EjectionReplica) -> u64 {
    replica.next_offset
}

/// Sums `slots` over the servers that are not suspects and had a complete response in normal time within the last
/// `HEALTH_PROOF_TTL_MS`.
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
        .filter(|(_, entry)| !entry.suspect && is_recently_healthy(entry, now_ms))
        .map(|(index, _)| slots(index))
        .sum()
}

fn is_recently_healthy(entry: &ServerHealth, now_ms: u64) -> bool {
    entry
        .last_healthy_ms
        .is_some_and(|healthy_ms| now_ms.saturating_sub(healthy_ms) < HEALTH_PROOF_TTL_MS)
}
