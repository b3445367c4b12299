//! Takes over what an earlier owner of the pool knew.

use {
    crate::{PoolHealth, TailLatency},
    types::ServerIndex,
};

/// What an earlier owner knew of one server.
#[derive(Clone, Copy, Debug)]
pub struct HealthSnapshot {
    /// Log odds that it fails most of its work.
    pub failure_log_odds: f64,
    /// Age of that belief, in milliseconds.
    pub age_ms: u64,
    /// Running median of the time to the first byte, in microseconds; 0 if not known.
    pub median_first_byte_us: f64,
    /// Whole answers seen.
    pub completed_count: u64,
}

/// Takes over `heard` of `server` unless newer evidence is there.
pub fn merge_health_snapshot(
    health: &mut PoolHealth,
    server: ServerIndex,
    heard: HealthSnapshot,
    now_ms: u64,
) {
    let Some(entry) = health.servers.get_mut(server) else {
        return;
    };
    let as_of_ms = now_ms.saturating_sub(heard.age_ms);
    let knows_newer = entry.completed_count > 0 && entry.log_odds_updated_ms >= as_of_ms;
    if !knows_newer {
        entry.failure_log_odds = heard.failure_log_odds;
        entry.log_odds_updated_ms = as_of_ms;
    }
    if entry.completed_count < heard.completed_count {
        entry.median_first_byte_us = heard.median_first_byte_us;
        entry.completed_count = heard.completed_count;
    }
    entry.suspect |= entry.failure_log_odds >= 0.0 && !knows_newer;
}

/// Takes over the pool's tail if it was learnt from more answers than the own one.
pub fn merge_tail_latency(health: &mut PoolHealth, tail: TailLatency) {
    if tail.sample_count > health.tail_latency.sample_count {
        health.tail_latency = tail;
    }
}
