//! Brings a pool in line with the platform's list and the configuration in force.

use {
    crate::{PoolState, ServerMeta},
    config::{DetectionMode, Service},
    member::{queries::pool_servers, BackendServer, Presence, View},
    outlier::{queries::expected_costs_permille, Sensitivity, ServerHealth},
    permit::{commands::upsert_server, Standing},
};

/// Age from which a pool treats a server that it has not seen before as cold, in milliseconds.
const WARM_POOL_MS: u64 = 5_000;
/// Slots that a cold server starts with.
const COLD_SLOTS: u32 = 1;

/// Brings `state` in line with `view`, unless it is already.
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
        list_one(state, server, now_ms);
    }
    update_standings(state, now_ms);
}

/// Recomputes every server's standing and cost from its evidence, its ejection and its notes.
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
            .is_some_and(|entry| entry.suspect);
        server.leaving = !meta.listed || meta.draining;
        server.cost_permille = cost;
        server.standing = match (meta.ejected, suspect) {
            (true, _) => Standing::Ejected,
            (false, true) => Standing::Suspect,
            (false, false) => Standing::Good,
        };
    }
}

/// Takes over what version `version` says of the pool's service, unless it was taken over before.
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

fn list_one(state: &mut PoolState, server: &BackendServer, now_ms: u64) {
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
    let is_reborn = meta.started_at_ms != server.started_at_ms;
    if is_reborn {
        // A server that started again under its name holds nothing of before.
        *meta = ServerMeta {
            listed: meta.listed,
            last_logged: meta.last_logged,
            ..ServerMeta::new(server.started_at_ms)
        };
        if let Some(entry) = state.health.servers.get_mut(index) {
            *entry = ServerHealth::new(now_ms);
        }
    }
    let warm = server.warmup_left_ms == 0 && now_ms.saturating_sub(state.created_ms) < WARM_POOL_MS;
    if let Some(entry) = state.pool.servers.get_mut(index) {
        if (is_new || is_reborn) && !warm {
            entry.usable_slots = COLD_SLOTS.min(entry.slots);
        }
    }
}
