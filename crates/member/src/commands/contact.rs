//! Commands that change the record of contact.

use {
    crate::{Contact, Contacts},
    types::exponential_backoff_ms,
};

/// First time for which a silent peer is skipped, in milliseconds; short, since the peer may only have stalled
/// and its second in order knows nothing yet.
const SKIP_FIRST_MS: u64 = 100;
/// Longest time for which a silent peer is skipped, in milliseconds.
const SKIP_MAX_MS: u64 = 8_000;

/// Notes that `peer` did not answer; the time for which it is skipped doubles with each failure in a row. Calls that
/// were on their way together are one failure, or a short pause of the peer would be held against it for long.
pub fn failed(contacts: &mut Contacts, peer: &str, now_ms: u64) {
    let known = contacts.peers.get(peer);
    if known.is_some_and(|contact| now_ms < contact.skip_until_ms) {
        return;
    }
    let failures = known.map_or(0, |contact| contact.failures);
    let contact = Contact {
        failures: failures.saturating_add(1),
        skip_until_ms: now_ms + exponential_backoff_ms(SKIP_FIRST_MS, failures, SKIP_MAX_MS),
    };
    contacts.peers.insert(peer.to_owned(), contact);
}

/// Notes that `peer` answered.
pub fn answered(contacts: &mut Contacts, peer: &str) {
    contacts.peers.remove(peer);
}
