//! Applies the server list and the active configuration to a pool.

use {
    crate::{PoolState, ServerMeta},
    config::{DetectionMode, Service},
    member::{queries::pool_servers, BackendServer, Presence, View},
    outlier::{queries::expected_costs_permille, Sensitivity, ServerHealth},
    permit::{
        commands::{set_rate_limit, upsert_server},
        Standing,
    },
};

/// Age of a pool from which a server not seen before is treated as cold, in milliseconds.
const WARM_POOL_MS: u64 = 5_000;
/// Slots of a cold server at the start of its warm-up.
const COLD_SLOTS: u32 = 1;

/// Applies the server list of `view`, unless that version was applied last. Servers that it no longer has stay in the
/// pool as leaving.
pub fn apply_server_list(state: &mut PoolState, view: &View, now_ms: u64) {
    if state.server_list_version == view.version {
        return;
    }
    state.server_list_version = view.version;
    for (_, meta) in state.server_meta.iter_mut() {
        meta.listed = false;
    }
    let (service, area) = (state.service.clone(), state.area.clone());
    for server in pool_servers(view, &service, &area) {
        apply_listed_server(state, server, now_ms);
    }
    update_standings(state, now_ms);
}

/// Recomputes the standing and the expected cost of every server from its health, its ejection and its metadata.
pub fn update_standings(state: &mut PoolState, now_ms: u64) {
    let costs = expected_costs_permille(&state.health, now_ms);
    for (index, server) in state.pool.servers.iter_mut() {
        let (Some(meta), Some(&cost)) = (state.server_meta.get(index), costs.get(index)) else {
            continue;
        };
        let suspect = state
            .health
            .servers
            .get(index)
            .is_some_and(|health| health.suspect);
        server.leaving = !meta.listed || meta.draining;
        server.cost_permille = cost;
        server.standing = match (meta.ejected, suspect) {
            (true, _) => Standing::Ejected,
            (false, true) => Standing::Suspect,
            (false, false) => Standing::Good,
        };
    }
}

/// Applies the service's settings from configuration version `version`, unless that version was applied last. Without
/// the service the previous settings stay.
pub fn apply_service_config(state: &mut PoolState, version: u64, service: Option<&Service>) {
    if state.config_version == version {
        return;
    }
    state.config_version = version;
    if let Some(service) = service {
        state.floor_slots = service.floor_slots;
        state.sensitivity = match service.detection {
            DetectionMode::Fast => Sensitivity::fast(),
            DetectionMode::Careful => Sensitivity::careful(),
        };
    }
}

/// Adds or updates a server. A new or restarted one starts its warm-up unless it is warm, that is, reports no warm-up
/// left and is listed soon after this owner opened the pool.
fn apply_listed_server(state: &mut PoolState, server: &BackendServer, now_ms: u64) {
    let (index, is_new) = upsert_server(
        &mut state.pool,
        &server.name,
        server.address,
        &server.data_centre,
        server.slots,
    );
    if is_new {
        state.health.servers.push(ServerHealth::new(now_ms));
        state
            .server_meta
            .push(ServerMeta::new(server.started_at_ms));
    }
    let Some(meta) = state.server_meta.get_mut(index) else {
        return;
    };
    meta.listed = server.presence == Presence::Live;
    let is_restarted = meta.started_at_ms != server.started_at_ms;
    if is_restarted {
        // Nothing recorded about the previous process applies to a restarted server.
        *meta = ServerMeta {
            listed: meta.listed,
            last_logged: meta.last_logged,
            ..ServerMeta::new(server.started_at_ms)
        };
        set_rate_limit(&mut state.pool, index, 0);
        if let Some(health) = state.health.servers.get_mut(index) {
            *health = ServerHealth::new(now_ms);
        }
    }
    let is_warm =
        server.warmup_left_ms == 0 && now_ms.saturating_sub(state.created_ms) < WARM_POOL_MS;
    if let Some(pool_server) = state.pool.servers.get_mut(index) {
        if is_restarted {
            (pool_server.last_succeeded_ms, pool_server.last_failed_ms) = (None, None);
        }
        if (is_new || is_restarted) && !is_warm {
            pool_server.usable_slots = COLD_SLOTS.min(pool_server.slots);
        }
    }
}
