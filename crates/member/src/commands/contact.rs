//! Commands that change peer backoff.

use {
    crate::{PeerBackoff, PeerBackoffs},
    types::exponential_backoff_ms,
};

/// Backoff after the first failure of a peer, in milliseconds; short, because the peer may only have stalled and the
/// next instance in rendezvous order does not have its state yet.
const BACKOFF_MIN_MS: u64 = 100;
/// Longest backoff of a peer, in milliseconds.
const BACKOFF_MAX_MS: u64 = 8_000;

/// Records that `peer` did not respond; its backoff doubles with each consecutive failure. Failures during a backoff
/// are ignored: calls that were in flight together count as one failure, so that a short pause of the peer does not
/// lead to a long backoff.
pub fn record_failure(peer_backoffs: &mut PeerBackoffs, peer: &str, now_ms: u64) {
    let current = peer_backoffs.peers.get(peer);
    if current.is_some_and(|backoff| now_ms < backoff.backoff_until_ms) {
        return;
    }
    let failures = current.map_or(0, |backoff| backoff.failures);
    let backoff = PeerBackoff {
        failures: failures.saturating_add(1),
        backoff_until_ms: now_ms + exponential_backoff_ms(BACKOFF_MIN_MS, failures, BACKOFF_MAX_MS),
    };
    peer_backoffs.peers.insert(peer.to_owned(), backoff);
}

/// Records that `peer` responded, which clears its backoff.
pub fn record_success(peer_backoffs: &mut PeerBackoffs, peer: &str) {
    peer_backoffs.peers.remove(peer);
}
