//! Merges the detector state that the previous owner of a pool handed over.

use {
    crate::{PoolHealth, TailLatency},
    types::ServerIndex,
};

/// Detector state of one server as handed over by the previous owner.
#[derive(Clone, Copy, Debug)]
pub struct HealthSnapshot {
    /// Log odds that the server is faulty, that is, fails most of its requests.
    pub failure_log_odds: f64,
    /// Age of the log odds, in milliseconds.
    pub age_ms: u64,
    /// Running median of the time to first byte, in microseconds; 0 if unknown.
    pub median_first_byte_us: f64,
    /// Number of complete responses seen.
    pub completed_count: u64,
}

/// Merges `snapshot` into the state of `server`. The log odds are replaced unless this instance has newer outcomes of
/// its own, the median if the snapshot's is based on more responses. The server becomes a suspect if the log odds taken
/// over say that it is more likely faulty than not.
pub fn merge_health_snapshot(
    health: &mut PoolHealth,
    server: ServerIndex,
    snapshot: HealthSnapshot,
    now_ms: u64,
) {
    let Some(entry) = health.servers.get_mut(server) else {
        return;
    };
    let as_of_ms = now_ms.saturating_sub(snapshot.age_ms);
    let has_newer = entry.completed_count > 0 && entry.log_odds_updated_ms >= as_of_ms;
    if !has_newer {
        entry.failure_log_odds = snapshot.failure_log_odds;
        entry.log_odds_updated_ms = as_of_ms;
    }
    if entry.completed_count < snapshot.completed_count {
        entry.median_first_byte_us = snapshot.median_first_byte_us;
        entry.completed_count = snapshot.completed_count;
    }
    entry.suspect |= entry.failure_log_odds >= 0.0 && !has_newer;
}

/// Replaces the pool's tail latency if `tail` is based on more samples.
pub fn merge_tail_latency(health: &mut PoolHealth, tail: TailLatency) {
    if tail.sample_count > health.tail_latency.sample_count {
        health.tail_latency = tail;
    }
}
