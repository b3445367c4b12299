//! Takes over what an earlier owner of the pool knew.

use {
    crate::{commands::update_standings, PoolSnapshot, PoolState},
    outlier::commands::{merge_health_snapshot as adopt_heard, merge_tail_latency},
    permit::commands::{merge_buckets, seed_service_time},
};

/// Grants few retries beyond the service's share until `until_ms`, since nobody told what was granted before.
pub fn reduce_slack_until(state: &mut PoolState, until_ms: u64) {
    state.full_slack_from_ms = until_ms;
}

/// Takes over `snapshot` of servers that are still the same processes, and the retries of the window.
pub fn merge_snapshot(state: &mut PoolState, snapshot: &PoolSnapshot, window_ms: u64, now_ms: u64) {
    for server in &snapshot.servers {
        let Some(index) = state.pool.names.find(&server.name) else {
            continue;
        };
        let meta = state.server_meta.get(index);
        if meta.is_some_and(|meta| meta.started_at_ms == server.started_at_ms) {
            adopt_heard(&mut state.health, index, server.health, now_ms);
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
