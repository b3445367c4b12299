//! Periodic maintenance of the pools that this node owns.

use {
    crate::{
        commands::{
            admission_report::report_admission, eject, fold_ejections::unfollow_unowned,
            pool_sync::sync_pool, probe,
        },
        Node,
    },
    log::info,
    owner::{
        commands::{run_maintenance, take_standing_changes},
        PoolState,
    },
    permit::Standing,
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::time::{interval, MissedTickBehavior},
    types::ServerIndex,
    wire::{generated::PlacementDecision, to_json},
};

/// Time between ticks, in milliseconds.
const TICK_MS: u64 = 25;
/// Ticks between ejection reviews.
const EJECT_TICKS: u64 = 8;
/// Ticks between polls of the load endpoints and between updates of the gauges.
const REPORT_TICKS: u64 = 40;
/// Time without a permit request after which a pool is dropped, in milliseconds.
const IDLE_POOL_MS: u64 = 60_000;

/// Maintains the pools at each tick; never returns, and sleeps while this node owns no pool.
pub(crate) async fn maintain_pools(node: Arc<Node>) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tick_count = 0_u64;
    let uses_log = !node.settings.uses_store;
    loop {
        if node.pools.is_empty() {
            update_gauges(&node);
            node.pool_opened.notified().await;
        }
        ticks.tick().await;
        tick_count += 1;
        tick(&node);
        // Ejections are agreed through the log. A store platform has none: a suspect is only chosen last there.
        if uses_log && tick_count.is_multiple_of(EJECT_TICKS) {
            eject::review_ejections(&node);
        }
        if tick_count.is_multiple_of(REPORT_TICKS) {
            update_gauges(&node);
            if uses_log {
                probe::poll_load_endpoints(&node);
                unfollow_unowned(&node);
            }
        }
    }
}

fn tick(node: &Node) {
    let now_ms = node.now_ms();
    let view = node.view.load_full();
    let ejected = eject::active_ejections(node, now_ms);
    node.pools
        .retain(|state| now_ms.saturating_sub(state.last_request_ms) < IDLE_POOL_MS);
    node.pools.for_each(|state| {
        sync_pool(node, state, &view, now_ms);
        let names = ejected.get(&state.service).map_or(&[][..], Vec::as_slice);
        run_maintenance(state, names, now_ms);
        log_standing_changes(node, state);
        report_admission(node, state, now_ms);
        state.wake_first_waiter(now_ms);
    });
}

/// Logs each server whose standing changed since it was last logged.
fn log_standing_changes(node: &Node, state: &mut PoolState) {
    for change in take_standing_changes(state) {
        if change.current.0 == Standing::Suspect && change.previous == Standing::Good {
            let service = state.service.as_str();
            node.metrics.suspicions.with_label_values(&[service]).inc();
        }
        log_standing(state, change.server, change.current);
    }
}

fn log_standing(state: &PoolState, server: ServerIndex, current: (Standing, bool)) {
    let llr = state
        .health
        .servers
        .get(server)
        .map_or(0.0, |entry| entry.llr);
    let decision = PlacementDecision {
        service: state.service.clone(),
        data_centre: state.area.clone(),
        server: state.pool.names.name(server).to_owned(),
        standing: crate::queries::standing_name(current.0, current.1).to_owned(),
        reason: format!("log-likelihood ratio {llr:.1}"),
    };
    info!(target: "decision.placement", "{}", to_json(&decision));
}

/// Sets the gauges of outstanding permits, credit for retries, servers by standing, configuration version and log age.
fn update_gauges(node: &Node) {
    let now_ms = node.now_ms();
    let mut counts: HashMap<(String, &'static str), i64> = HashMap::new();
    node.pools.for_each(|state| {
        let outstanding = permit::queries::outstanding_permits(&state.pool) as i64;
        let labels = [state.service.as_str(), state.area.as_str()];
        node.metrics
            .held_permits
            .with_label_values(&labels)
            .set(outstanding);
        let credit_milli = permit::queries::valid_credit_milli(&state.retry_budget, now_ms);
        node.metrics
            .retry_credit
            .with_label_values(&labels)
            .set(credit_milli as i64);
        for (_, server) in state.pool.servers.iter() {
            let name = crate::queries::standing_name(server.standing, server.leaving);
            *counts.entry((state.service.clone(), name)).or_default() += 1;
        }
    });
    node.metrics.servers.reset();
    for ((service, standing), count) in counts {
        node.metrics
            .servers
            .with_label_values(&[service.as_str(), standing])
            .set(count);
    }
    let version = crate::queries::active_config_version(node);
    node.metrics.config_version.set(version as i64);
    if let Some(feed) = node.feed.get() {
        let (era, losses) = feed::queries::store_era(feed);
        node.metrics.store_era.set(era.unwrap_or(0) as i64);
        node.metrics.store_losses.set(losses as i64);
    }
    node.metrics
        .log_age
        .set(crate::queries::log_age_ms(node) as i64);
}
