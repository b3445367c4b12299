//! Updates a pool from the platform's list and the active configuration.

use {
    crate::Node,
    config::queries::find_service,
    member::View,
    owner::{
        commands::{apply_server_list, apply_service_config},
        PoolId, PoolState,
    },
    std::collections::HashMap,
};

/// Returns the pool with that id; opens it with its listed servers if it is not open yet.
pub(crate) fn get_or_open_pool<'a>(
    node: &Node,
    pools: &'a mut HashMap<PoolId, PoolState>,
    id: PoolId,
    service: &str,
    area: &str,
    now_ms: u64,
) -> &'a mut PoolState {
    pools.entry(id).or_insert_with(|| {
        let mut state = PoolState::new(service, area, now_ms);
        sync_pool(node, &mut state, &node.view.load(), now_ms);
        state
    })
}

/// Updates `state` from `view` and the active configuration, unless it is already up to date.
pub(crate) fn sync_pool(node: &Node, state: &mut PoolState, view: &View, now_ms: u64) {
    if let Some(active) = node.active_config.load().as_deref() {
        let accepted = &active.accepted;
        let service = find_service(&accepted.document, &active.index, &state.service);
        apply_service_config(state, accepted.version, service);
    }
    apply_server_list(state, view, now_ms);
}
