//! What an owner does from time to time for each of its pools.

use {
    crate::{
        commands::{
            eject,
            fold_ejections::forget_unowned,
            pool_list::{list_pool, restand},
            probe,
        },
        owner::PoolState,
        Node,
    },
    log::info,
    outlier::{
        commands::{observe, observe_flight, plan_trials},
        queries::{self, late_limit_us},
        Evidence,
    },
    permit::{commands, Standing},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
    tokio::time::{interval, MissedTickBehavior},
    types::ServerIndex,
    wire::{generated::PlacementDecision, to_text},
};

/// Time between ticks, in milliseconds.
const TICK_MS: u64 = 25;
/// Ticks between looks at ejections.
const EJECT_TICKS: u64 = 8;
/// Ticks between readings of the load endpoints, and between reports to the metrics.
const REPORT_TICKS: u64 = 40;
/// Multiple of the late limit from which a request in flight is overdue; leaves the entry time to try a
/// new connection first.
const OVERDUE_FACTOR: f64 = 1.25;
/// Time without an ask after which a pool is dropped, in milliseconds.
const IDLE_POOL_MS: u64 = 60_000;

/// Ticks for ever, while this node owns a pool.
pub(crate) async fn tick_pools(node: Arc<Node>) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u64;
    let uses_log = !node.settings.uses_store;
    loop {
        if node.owner.is_empty() {
            report(&node);
            node.pool_opened.notified().await;
        }
        ticks.tick().await;
        count += 1;
        tick(&node);
        // Ejections are agreed through the log's streams; with a store a suspect stays the last choice.
        if uses_log && count.is_multiple_of(EJECT_TICKS) {
            eject::look(&node);
        }
        if count.is_multiple_of(REPORT_TICKS) {
            report(&node);
            if uses_log {
                probe::read_loads(&node);
                forget_unowned(&node);
            }
        }
    }
}

fn tick(node: &Node) {
    let now_ms = node.now_ms();
    let view = node.view.load_full();
    let obeyed = eject::obeyed_by_service(node, now_ms);
    node.owner
        .retain(|state| now_ms.saturating_sub(state.asked_ms) < IDLE_POOL_MS);
    node.owner.each(|state| {
        list_pool(node, state, &view, now_ms);
        commands::expire(&mut state.pool, now_ms);
        commands::drop_silent_waiters(&mut state.pool, now_ms);
        drop_waiters(state);
        find_overdue(state, now_ms);
        for server in plan_trials(&mut state.health, now_ms) {
            if let Some(entry) = state.pool.servers.get_mut(server) {
                entry.trial_due = true;
            }
        }
        let names = obeyed.get(&state.service).map_or(&[][..], Vec::as_slice);
        eject::apply_obeyed(state, names, now_ms);
        restand(state, now_ms);
        announce(node, state);
        state.wake_first(now_ms);
    });
}

fn drop_waiters(state: &mut PoolState) {
    let tickets: HashSet<u64> = permit::queries::tickets(&state.pool).collect();
    state.waiters.retain(|ticket, _| tickets.contains(ticket));
}

/// Holds old requests in flight against their servers: overdue ones once and for all, others while they last.
fn find_overdue(state: &mut PoolState, now_ms: u64) {
    let Some(limit_us) = late_limit_us(&state.health) else {
        return;
    };
    let sensitivity = state.sensitivity;
    let limit_ms = (limit_us * OVERDUE_FACTOR / 1_000.0) as u64;
    for server in commands::mark_overdue(&mut state.pool, now_ms, limit_ms) {
        observe(
            &mut state.health,
            server,
            Evidence::Overdue,
            sensitivity,
            now_ms,
        );
    }
    for (server, ages_ms) in permit::queries::flight_ages_ms(&state.pool, now_ms).iter() {
        let ages_us: Vec<f64> = ages_ms
            .iter()
            .map(|&age_ms| age_ms as f64 * 1_000.0)
            .collect();
        observe_flight(&mut state.health, server, &ages_us, now_ms);
    }
}

/// Logs each server whose standing changed since it was last logged.
fn announce(node: &Node, state: &mut PoolState) {
    let mut changes = Vec::new();
    for (index, server) in state.pool.servers.iter() {
        let now = (server.standing, server.leaving);
        if let Some(note) = state.notes.get_mut(index).filter(|note| note.logged != now) {
            changes.push((index, note.logged.0, now));
            note.logged = now;
        }
    }
    for (index, earlier, now) in changes {
        if now.0 == Standing::Suspect && earlier == Standing::Good {
            let service = state.service.as_str();
            node.metrics.suspects.with_label_values(&[service]).inc();
        }
        log_standing(state, index, now);
    }
}

fn log_standing(state: &PoolState, server: ServerIndex, now: (Standing, bool)) {
    let llr = state
        .health
        .servers
        .get(server)
        .map_or(0.0, |entry| entry.llr);
    let decision = PlacementDecision {
        service: state.service.clone(),
        data_centre: state.area.clone(),
        server: state.pool.names.name(server).to_owned(),
        standing: crate::queries::standing_name(now.0, now.1).to_owned(),
        reason: format!("log-likelihood ratio {llr:.1}"),
    };
    info!(target: "decision.placement", "{}", to_text(&decision));
}

/// Brings the gauges up to date.
fn report(node: &Node) {
    let mut counts: HashMap<(String, &'static str), i64> = HashMap::new();
    node.owner.each(|state| {
        let held = permit::queries::held(&state.pool) as i64;
        let labels = [state.service.as_str(), state.area.as_str()];
        node.metrics.held.with_label_values(&labels).set(held);
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
    let version = crate::queries::version_in_force(node);
    node.metrics.config_version.set(version as i64);
    node.metrics
        .log_age
        .set(crate::queries::log_age_ms(node) as i64);
}

/// Returns the slots of a pool that are proved healthy and not counted as ejected.
pub(crate) fn proved(state: &PoolState, now_ms: u64, counted: &[String]) -> u32 {
    queries::proved_slots(&state.health.servers, now_ms, |server| {
        let name = state.pool.names.name(server);
        let usable = state
            .pool
            .servers
            .get(server)
            .filter(|entry| !entry.leaving);
        match usable {
            Some(entry) if !counted.iter().any(|other| other == name) => entry.slots,
            _ => 0,
        }
    })
}
