//! Brings a pool in line with the platform's list and the configuration in force.

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

/// Returns the pool of that id, opened and listed if it was not yet.
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

/// Brings `state` in line with `view` and the configuration, unless it is already.
pub(crate) fn sync_pool(node: &Node, state: &mut PoolState, view: &View, now_ms: u64) {
    if let Some(in_force) = node.active_config.load().as_deref() {
        let accepted = &in_force.accepted;
        let service = find_service(&accepted.document, &in_force.lookup, &state.service);
        apply_service_config(state, accepted.version, service);
    }
    apply_server_list(state, view, now_ms);
}
