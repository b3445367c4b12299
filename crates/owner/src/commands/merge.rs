//! Merges the state of a pool that a previous owner or another instance reports.

use {
    crate::{commands::update_standings, PoolSnapshot, PoolState},
    outlier::commands::{merge_health_snapshot, merge_tail_latency},
    permit::commands::{merge_buckets, seed_service_time},
};

/// Reduces the retry slack until `until_ms`, because it is not known what a previous owner granted.
pub fn reduce_slack_until(state: &mut PoolState, until_ms: u64) {
    state.full_slack_from_ms = until_ms;
}

/// Merges `snapshot`: the health of servers that have not restarted since, the tail latency, the mean service time and
/// the buckets of the retry budget.
pub fn merge_snapshot(state: &mut PoolState, snapshot: &PoolSnapshot, window_ms: u64, now_ms: u64) {
    for server in &snapshot.servers {
        let Some(index) = state.pool.names.find(&server.name) else {
            continue;
        };
        let meta = state.server_meta.get(index);
        if meta.is_some_and(|meta| meta.started_at_ms == server.started_at_ms) {
            merge_health_snapshot(&mut state.health, index, server.health, now_ms);
        }
    }
    merge_tail_latency(&mut state.health, snapshot.tail_latency);
    seed_service_time(&mut state.pool, snapshot.mean_service_us);
    merge_buckets(
        &mut state.retry_budget,
        window_ms,
        &snapshot.buckets,
        now_ms,
    );
    update_standings(state, now_ms);
}
