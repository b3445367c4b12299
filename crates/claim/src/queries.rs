//! Read-only queries over claims and keys; results are borrowed.

use crate::{ClaimReplica, ClaimStatus, KeyDigest, KeyState, KeyTable};

/// Returns whether the claim with `nonce` holds the key `digest`.
pub fn claim_status<'a>(
    replica: &'a ClaimReplica,
    digest: &KeyDigest,
    nonce: u64,
) -> ClaimStatus<'a> {
    match replica.claims.get(digest) {
        Some(claim) if claim.holder.nonce == nonce => ClaimStatus::Won,
        Some(claim) => ClaimStatus::HeldByOther(&claim.holder),
        None => ClaimStatus::Unclaimed,
    }
}

/// Returns the offset of the next record to read.
pub fn next_offset(replica: &ClaimReplica) -> u64 {
    replica.next_offset
}

/// Returns how often the log has lost records since the start of the process. An offset applies only as long as it is the same.
pub fn era_changes(replica: &ClaimReplica) -> u64 {
    replica.store_era.changes()
}

/// Returns whether a key issued at `issued_ms`, if that is known, may have a claim that was trimmed before this replica
/// read it.
///
/// Claims made before `complete_since_ms` may be missing. A claim window after that time they have all expired, so a
/// key of unknown age can't have one either.
pub fn may_have_missed_claim(
    replica: &ClaimReplica,
    issued_ms: Option<u64>,
    now_ms: u64,
    window_ms: u64,
) -> bool {
    match issued_ms {
        _ if replica.complete_since_ms == 0 => false,
        Some(issued_ms) => issued_ms < replica.complete_since_ms,
        None => now_ms < replica.complete_since_ms + window_ms,
    }
}

/// Borrows the state of a key at the instance that claimed it.
pub fn key_state<'a, Response>(
    table: &'a KeyTable<Response>,
    digest: &KeyDigest,
) -> Option<&'a KeyState<Response>> {
    table.keys.get(digest).map(|key| &key.state)
}

/// Returns whether the claim with `nonce` was abandoned, so that it is safe to release it.
pub fn is_abandoned<Response>(table: &KeyTable<Response>, digest: &KeyDigest, nonce: u64) -> bool {
    table
        .keys
        .get(digest)
        .is_some_and(|key| key.abandoned_nonces.contains(&nonce))
}

/// Returns the timestamp of a version 7 UUID, in milliseconds since the Unix epoch; none for any other key.
pub fn uuid_v7_timestamp_ms(key: &str) -> Option<u64> {
    let is_uuid = key.len() == 36 && key.char_indices().all(|(index, c)| is_uuid_char(index, c));
    if !is_uuid || !key[14..].starts_with('7') {
        return None;
    }
    let digits = [&key[0..8], &key[9..13]].concat();
    u64::from_str_radix(&digits, 16).ok()
}

fn is_uuid_char(index: usize, c: char) -> bool {
    match index {
        8 | 13 | 18 | 23 => c == '-',
        _ => c.is_ascii_hexdigit(),
    }
}
