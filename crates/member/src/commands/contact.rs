//! Commands that change the record of contact.

use {
    crate::{PeerBackoff, PeerBackoffs},
    types::exponential_backoff_ms,
};

/// First time for which a silent peer is skipped, in milliseconds; short, since the peer may only have stalled
/// and its second in order knows nothing yet.
const SKIP_FIRST_MS: u64 = 100;
/// Longest time for which a silent peer is skipped, in milliseconds.
const SKIP_MAX_MS: u64 = 8_000;

/// Notes that `peer` did not answer; the time for which it is skipped doubles with each failure in a row. Calls that
/// were on their way together are one failure, or a short pause of the peer would be held against it for long.
pub fn record_failure(peer_backoffs: &mut PeerBackoffs, peer: &str, now_ms: u64) {
    let known = peer_backoffs.peers.get(peer);
    if known.is_some_and(|backoff| now_ms < backoff.backoff_until_ms) {
        return;
    }
    let failures = known.map_or(0, |backoff| backoff.failures);
    let backoff = PeerBackoff {
        failures: failures.saturating_add(1),
        backoff_until_ms: now_ms + exponential_backoff_ms(SKIP_FIRST_MS, failures, SKIP_MAX_MS),
    };
    peer_backoffs.peers.insert(peer.to_owned(), backoff);
}

/// Notes that `peer` answered.
pub fn record_success(peer_backoffs: &mut PeerBackoffs, peer: &str) {
    peer_backoffs.peers.remove(peer);
}
