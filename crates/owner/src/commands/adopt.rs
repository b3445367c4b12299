//! Takes over what an earlier owner of the pool knew.

use {
    crate::{commands::restand, Knowledge, PoolState},
    outlier::commands::{merge_health_snapshot as adopt_heard, merge_tail_latency},
    permit::commands::{adopt_counts, adopt_service_time},
};

/// Grants few retries beyond the service's share until `until_ms`, since nobody told what was granted before.
pub fn withhold_slack(state: &mut PoolState, until_ms: u64) {
    state.slack_from_ms = until_ms;
}

/// Takes over `knowledge` of servers that are still the same processes, and the retries of the window.
pub fn adopt(state: &mut PoolState, knowledge: &Knowledge, window_ms: u64, now_ms: u64) {
    for server in &knowledge.servers {
        let Some(index) = state.pool.names.find(&server.name) else {
            continue;
        };
        let note = state.notes.get(index);
        if note.is_some_and(|note| note.born_ms == server.born_ms) {
            adopt_heard(&mut state.health, index, server.heard, now_ms);
        }
    }
    merge_tail_latency(&mut state.health, knowledge.tail);
    adopt_service_time(&mut state.pool, knowledge.service_us);
    adopt_counts(&mut state.budget, window_ms, &knowledge.counts, now_ms);
    restand(state, now_ms);
}
