//! Takes over what an earlier owner of the pool knew.

use {
    crate::{Health, Tail},
    types::ServerIndex,
};

/// What an earlier owner knew of one server.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    /// Log odds that it fails most of its work.
    pub belief: f64,
    /// Age of that belief, in milliseconds.
    pub age_ms: u64,
    /// Running median of the time to the first byte, in microseconds; 0 if not known.
    pub usual_us: f64,
    /// Whole answers seen.
    pub whole_count: u64,
}

/// Takes over `heard` of `server` unless newer evidence is there.
pub fn adopt(health: &mut Health, server: ServerIndex, heard: Heard, now_ms: u64) {
    let Some(entry) = health.servers.get_mut(server) else {
        return;
    };
    let as_of_ms = now_ms.saturating_sub(heard.age_ms);
    let knows_newer = entry.whole_count > 0 && entry.belief_ms >= as_of_ms;
    if !knows_newer {
        entry.belief = heard.belief;
        entry.belief_ms = as_of_ms;
    }
    if entry.whole_count < heard.whole_count {
        entry.usual_us = heard.usual_us;
        entry.whole_count = heard.whole_count;
    }
    entry.suspect |= entry.belief >= 0.0 && !knows_newer;
}

/// Takes over the pool's tail if it was learnt from more answers than the own one.
pub fn adopt_tail(health: &mut Health, tail: Tail) {
    if tail.count > health.tail.count {
        health.tail = tail;
    }
}
