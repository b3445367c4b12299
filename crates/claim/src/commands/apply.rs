//! Folds the records of one claim stream in log order.

use crate::{Claim, ClaimEvent, ClaimReplica, KeyDigest};

/// Folds one entry of the record at `offset`, which was appended at `at_ms` of the log's clock.
pub fn apply_event(table: &mut ClaimReplica, offset: u64, at_ms: u64, entry: &ClaimEvent) {
    table.next_offset = table.next_offset.max(offset + 1);
    match entry {
        ClaimEvent::Claim { digest, holder } => {
            if !table.claims.contains_key(digest) {
                let claim = Claim {
                    holder: holder.clone(),
                    appended_at_ms: at_ms,
                };
                table.claims.insert(*digest, claim);
                table.by_age.push_back((at_ms, *digest));
            }
        }
        ClaimEvent::Release { digest, nonce } => release(table, digest, *nonce),
    }
}

/// Notes that the stream starts at `first_offset`, whose record was appended at `first_at_ms`; claims
/// before it may be unknown.
pub fn skip_to(table: &mut ClaimReplica, first_offset: u64, first_at_ms: u64) {
    if first_offset > table.next_offset {
        table.next_offset = first_offset;
        table.unknown_before_ms = table.unknown_before_ms.max(first_at_ms);
    }
}

/// Forgets the claims appended before `before_ms`.
pub fn expire_claims(table: &mut ClaimReplica, before_ms: u64) {
    while let Some((at_ms, digest)) = table.by_age.front().copied() {
        if at_ms >= before_ms {
            return;
        }
        table.by_age.pop_front();
        if table
            .claims
            .get(&digest)
            .is_some_and(|claim| claim.appended_at_ms == at_ms)
        {
            table.claims.remove(&digest);
        }
    }
}

fn release(table: &mut ClaimReplica, digest: &KeyDigest, nonce: u64) {
    let released = table
        .claims
        .get(digest)
        .is_some_and(|claim| claim.holder.nonce == nonce);
    if released {
        table.claims.remove(digest);
    }
}
