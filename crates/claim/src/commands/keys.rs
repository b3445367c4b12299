//! Keeps the claimant's own record of its keys.

use crate::{keys::KeyEntry, KeyDigest, KeyState, KeyTable};

/// Begins a key; returns whether it was free, that is unknown here or proved not run.
pub fn begin_key<Answer>(answers: &mut KeyTable<Answer>, digest: KeyDigest, now_ms: u64) -> bool {
    answers.by_begin_time.push_back((now_ms, digest));
    let Some(key) = answers.keys.get_mut(&digest) else {
        let key = KeyEntry {
            state: KeyState::Running,
            abandoned_nonces: Vec::new(),
            begun_ms: now_ms,
            held_bytes: 0,
        };
        answers.keys.insert(digest, key);
        return true;
    };
    if !matches!(key.state, KeyState::NotRun) {
        return false;
    }
    key.state = KeyState::Running;
    key.begun_ms = now_ms;
    true
}

/// Notes how a begun key ended; an answer takes `bytes`.
///
/// Above `most_bytes` of held answers the oldest are dropped, so that a repeat of them is answered as unknown
/// and never run.
pub fn finish_key<Answer>(
    answers: &mut KeyTable<Answer>,
    digest: &KeyDigest,
    end: KeyState<Answer>,
    bytes: u64,
    most_bytes: u64,
) {
    let Some(key) = answers.keys.get_mut(digest) else {
        return;
    };
    if matches!(end, KeyState::Done(_)) {
        key.held_bytes = bytes;
        answers.held_bytes += bytes;
        answers.by_completion.push_back(*digest);
    }
    key.state = end;
    while answers.held_bytes > most_bytes {
        drop_oldest(answers);
    }
}

fn drop_oldest<Answer>(answers: &mut KeyTable<Answer>) {
    let Some(digest) = answers.by_completion.pop_front() else {
        answers.held_bytes = 0;
        return;
    };
    if let Some(key) = answers.keys.get_mut(&digest) {
        key.state = KeyState::OutcomeUnknown;
        answers.held_bytes -= std::mem::take(&mut key.held_bytes);
    }
}

/// Notes that the claim with `nonce` will never be dispatched again, so that it may be released.
pub fn abandon_claim<Answer>(answers: &mut KeyTable<Answer>, digest: &KeyDigest, nonce: u64) {
    if let Some(key) = answers.keys.get_mut(digest) {
        key.abandoned_nonces.push(nonce);
    }
}

/// Forgets the keys last begun before `before_ms`, but never one that is running.
pub fn expire_keys<Answer>(answers: &mut KeyTable<Answer>, before_ms: u64) {
    while let Some((begun_ms, digest)) = answers.by_begin_time.front().copied() {
        if begun_ms >= before_ms {
            return;
        }
        answers.by_begin_time.pop_front();
        let old = answers
            .keys
            .get(&digest)
            .is_some_and(|key| key.begun_ms < before_ms && !matches!(key.state, KeyState::Running));
        if !old {
            continue;
        }
        if let Some(key) = answers.keys.remove(&digest) {
            answers.held_bytes -= key.held_bytes;
        }
    }
}
