//! Changes the table of keys claimed by this instance.

use crate::{keys::KeyEntry, KeyDigest, KeyState, KeyTable};

/// Marks the key as running if it is free, that is, unknown here or not run by this process. Returns whether it was
/// free.
pub fn begin_key<Response>(table: &mut KeyTable<Response>, digest: KeyDigest, now_ms: u64) -> bool {
    table.by_begin_time.push_back((now_ms, digest));
    let Some(key) = table.keys.get_mut(&digest) else {
        let key = KeyEntry {
            state: KeyState::Running,
            abandoned_nonces: Vec::new(),
            begun_ms: now_ms,
            stored_bytes: 0,
        };
        table.keys.insert(digest, key);
        return true;
    };
    if !matches!(key.state, KeyState::NotRun) {
        return false;
    }
    key.state = KeyState::Running;
    key.begun_ms = now_ms;
    true
}

/// Sets the state of a begun key when its request has ended; `response_bytes` is the size of the response to store.
///
/// If the stored responses exceed `max_stored_bytes`, the oldest are evicted. The outcome of such a request is then
/// unknown to a repeat, which is never run.
pub fn finish_key<Response>(
    table: &mut KeyTable<Response>,
    digest: &KeyDigest,
    state: KeyState<Response>,
    response_bytes: u64,
    max_stored_bytes: u64,
) {
    let Some(key) = table.keys.get_mut(digest) else {
        return;
    };
    if matches!(state, KeyState::Done(_)) {
        key.stored_bytes = response_bytes;
        table.stored_bytes += response_bytes;
        table.by_completion.push_back(*digest);
    }
    key.state = state;
    while table.stored_bytes > max_stored_bytes {
        evict_oldest_response(table);
    }
}

fn evict_oldest_response<Response>(table: &mut KeyTable<Response>) {
    let Some(digest) = table.by_completion.pop_front() else {
        table.stored_bytes = 0;
        return;
    };
    if let Some(key) = table.keys.get_mut(&digest) {
        key.state = KeyState::OutcomeUnknown;
        table.stored_bytes -= std::mem::take(&mut key.stored_bytes);
    }
}

/// Marks the claim with `nonce` as one that will never be dispatched, so that it may be released.
pub fn abandon_claim<Response>(table: &mut KeyTable<Response>, digest: &KeyDigest, nonce: u64) {
    if let Some(key) = table.keys.get_mut(digest) {
        key.abandoned_nonces.push(nonce);
    }
}

/// Removes the keys that were last begun before `before_ms`, except those that are running.
pub fn expire_keys<Response>(table: &mut KeyTable<Response>, before_ms: u64) {
    while let Some((begun_ms, digest)) = table.by_begin_time.front().copied() {
        if begun_ms >= before_ms {
            return;
        }
        table.by_begin_time.pop_front();
        let expired = table
            .keys
            .get(&digest)
            .is_some_and(|key| key.begun_ms < before_ms && !matches!(key.state, KeyState::Running));
        if !expired {
            continue;
        }
        if let Some(key) = table.keys.remove(&digest) {
            table.stored_bytes -= key.stored_bytes;
        }
    }
}
