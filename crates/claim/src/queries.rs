//! Queries over claims; what they hand out is borrowed.

use crate::{ClaimReplica, ClaimStatus, KeyDigest, KeyState, KeyTable};

/// Says whether the claim with `nonce` is the one in force for `digest`.
pub fn claim_status<'a>(
    table: &'a ClaimReplica,
    digest: &KeyDigest,
    nonce: u64,
) -> ClaimStatus<'a> {
    match table.claims.get(digest) {
        Some(claim) if claim.holder.nonce == nonce => ClaimStatus::Won,
        Some(claim) => ClaimStatus::HeldByOther(&claim.holder),
        None => ClaimStatus::Unclaimed,
    }
}

/// Returns the offset from which the stream is to be read next.
pub fn next_offset(table: &ClaimReplica) -> u64 {
    table.next_offset
}

/// Tells whether a key issued at `issued_ms`, if that is known, may have a claim that this table never saw.
///
/// A key of unknown age is safe once the whole claim window lies behind the point before which claims
/// are unknown.
pub fn may_have_missed_claim(
    table: &ClaimReplica,
    issued_ms: Option<u64>,
    now_ms: u64,
    window_ms: u64,
) -> bool {
    match issued_ms {
        _ if table.unknown_before_ms == 0 => false,
        Some(issued_ms) => issued_ms < table.unknown_before_ms,
        None => now_ms < table.unknown_before_ms + window_ms,
    }
}

/// Borrows what the claimant knows of a key.
pub fn key_state<'a, Answer>(
    answers: &'a KeyTable<Answer>,
    digest: &KeyDigest,
) -> Option<&'a KeyState<Answer>> {
    answers.keys.get(digest).map(|key| &key.state)
}

/// Tells whether the claim with `nonce` was given up, so that releasing it is safe.
pub fn is_abandoned<Answer>(answers: &KeyTable<Answer>, digest: &KeyDigest, nonce: u64) -> bool {
    answers
        .keys
        .get(digest)
        .is_some_and(|key| key.abandoned_nonces.contains(&nonce))
}

/// Reads the time out of a version 7 UUID, in milliseconds since 1970; none for any other key.
pub fn uuid_v7_timestamp_ms(key: &str) -> Option<u64> {
    let is_uuid = key.len() == 36 && key.char_indices().all(|(at, c)| is_uuid_char(at, c));
    if !is_uuid || !key[14..].starts_with('7') {
        return None;
    }
    let digits = [&key[0..8], &key[9..13]].concat();
    u64::from_str_radix(&digits, 16).ok()
}

fn is_uuid_char(at: usize, c: char) -> bool {
    match at {
        8 | 13 | 18 | 23 => c == '-',
        _ => c.is_ascii_hexdigit(),
    }
}
