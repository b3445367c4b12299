//! Merges the state of a pool that a previous owner or another instance reports.

use {
    crate::{commands::update_standings, PoolSnapshot, PoolState},
    outlier::commands::{merge_health_snapshot, merge_tail_latency},
    permit::commands::seed_service_time,
};

/// Merges `snapshot`: the health of servers that have not restarted since, the tail latency and the mean service time.
pub fn merge_snapshot(state: &mut PoolState, snapshot: &PoolSnapshot, now_ms: u64) {
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
    update_standings(state, now_ms);
}
