//! Applies the events of one claim stream in log order.

use {
    crate::{Claim, ClaimEvent, ClaimReplica, KeyDigest},
    types::EraObservation,
};

/// Applies one event of the record at `offset`, which was appended at `at_ms` on the log's clock.
pub fn apply_event(replica: &mut ClaimReplica, offset: u64, at_ms: u64, event: &ClaimEvent) {
    replica.next_offset = replica.next_offset.max(offset + 1);
    match event {
        ClaimEvent::Claim { digest, holder } => {
            if !replica.claims.contains_key(digest) {
                let claim = Claim {
                    holder: holder.clone(),
                    appended_at_ms: at_ms,
                };
                replica.claims.insert(*digest, claim);
                replica.claims_by_age.push_back((at_ms, *digest));
            }
        }
        ClaimEvent::Release { digest, nonce } => release(replica, digest, *nonce),
    }
}

/// Skips to `first_offset` after the stream was trimmed. Its record was appended at `first_at_ms`, and claims made
/// before that time may be missing from the replica. A `first_at_ms` of 0 skips a record that can't be decoded, without
/// counting any claim as missing.
pub fn skip_to(replica: &mut ClaimReplica, first_offset: u64, first_at_ms: u64) {
    if first_offset > replica.next_offset {
        replica.next_offset = first_offset;
        replica.complete_since_ms = replica.complete_since_ms.max(first_at_ms);
    }
}

/// Records the era that a response states, which answers a request sent at `sent_ms` and was received at `received_ms`; starts
/// over if it shows a loss. `log_ms` is the time of the response on the log's clock.
pub fn observe_era(
    replica: &mut ClaimReplica,
    stated: Option<u64>,
    sent_ms: u64,
    received_ms: u64,
    log_ms: u64,
) -> EraObservation {
    let observation = replica.store_era.observe(stated, sent_ms, received_ms);
    if observation == EraObservation::Changed {
        start_over(replica, log_ms);
    }
    observation
}

/// Starts over after the log has lost records, which was noticed at `now_ms` on the log's clock: the stream is read from its
/// start. The known claims keep their keys, also if the log no longer has them. Other claims made before that time may be
/// missing.
pub fn start_over(replica: &mut ClaimReplica, now_ms: u64) {
    replica.next_offset = 0;
    replica.complete_since_ms = replica.complete_since_ms.max(now_ms);
}

/// Removes the claims that were appended before `before_ms` on the log's clock; claims older than the claim window
/// expire.
pub fn expire_claims(replica: &mut ClaimReplica, before_ms: u64) {
    while let Some((at_ms, digest)) = replica.claims_by_age.front().copied() {
        if at_ms >= before_ms {
            return;
        }
        replica.claims_by_age.pop_front();
        if replica
            .claims
            .get(&digest)
            .is_some_and(|claim| claim.appended_at_ms == at_ms)
        {
            replica.claims.remove(&digest);
        }
    }
}

/// Removes the claim of the key if it has that nonce; a release of an earlier claim changes nothing.
fn release(replica: &mut ClaimReplica, digest: &KeyDigest, nonce: u64) {
    let released = replica
        .claims
        .get(digest)
        .is_some_and(|claim| claim.holder.nonce == nonce);
    if released {
        replica.claims.remove(digest);
    }
}
