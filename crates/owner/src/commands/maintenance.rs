//! What an owner does from time to time for each of its pools.

use {
    crate::{commands::update_standings, PoolState},
    outlier::{
        commands::{
            begin_ejection, end_ejection, record_in_flight_ages, record_outcome, take_due_trials,
        },
        queries::late_threshold_us,
        AttemptOutcome,
    },
    permit::{commands, queries, Standing},
    std::collections::HashSet,
    types::ServerIndex,
};

/// Multiple of the late limit from which a request in flight is overdue; leaves the entry time to try a
/// new connection first.
const OVERDUE_FACTOR: f64 = 1.25;

/// Takes back what has expired, weighs what is in flight, plans trials and follows the ejections in `obeyed`.
pub fn run_maintenance(state: &mut PoolState, obeyed: &[String], now_ms: u64) {
    commands::expire_permits(&mut state.pool, now_ms);
    commands::expire_waiters(&mut state.pool, now_ms);
    drop_waiters(state);
    find_overdue(state, now_ms);
    for server in take_due_trials(&mut state.health, now_ms) {
        if let Some(entry) = state.pool.servers.get_mut(server) {
            entry.trial_due = true;
        }
    }
    apply_obeyed(state, obeyed, now_ms);
    update_standings(state, now_ms);
}

/// A server whose standing changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StandingChange {
    /// The server.
    pub server: ServerIndex,
    /// Its standing before.
    pub previous: Standing,
    /// Its standing now, and whether it is leaving.
    pub current: (Standing, bool),
}

/// Returns the servers whose standing changed since this was asked last.
pub fn take_standing_changes(state: &mut PoolState) -> Vec<StandingChange> {
    let mut changes = Vec::new();
    for (index, server) in state.pool.servers.iter() {
        let now = (server.standing, server.leaving);
        if let Some(meta) = state
            .server_meta
            .get_mut(index)
            .filter(|meta| meta.last_logged != now)
        {
            changes.push(StandingChange {
                server: index,
                previous: meta.last_logged.0,
                current: now,
            });
            meta.last_logged = now;
        }
    }
    changes
}

fn drop_waiters(state: &mut PoolState) {
    let tickets: HashSet<u64> = permit::queries::queued_tickets(&state.pool).collect();
    state.waiters.retain(|ticket, _| tickets.contains(ticket));
}

/// Holds old requests in flight against their servers: overdue ones once and for all, others while they last.
fn find_overdue(state: &mut PoolState, now_ms: u64) {
    let Some(limit_us) = late_threshold_us(&state.health) else {
        return;
    };
    let sensitivity = state.sensitivity;
    let limit_ms = (limit_us * OVERDUE_FACTOR / 1_000.0) as u64;
    for server in commands::mark_overdue(&mut state.pool, now_ms, limit_ms) {
        record_outcome(
            &mut state.health,
            server,
            AttemptOutcome::Overdue,
            sensitivity,
            now_ms,
        );
    }
    record_in_flight(state, now_ms);
}

/// Weighs the ages of the requests in flight at each server.
pub fn record_in_flight(state: &mut PoolState, now_ms: u64) {
    for (server, ages_ms) in queries::in_flight_ages_ms(&state.pool, now_ms).iter() {
        let ages_us: Vec<f64> = ages_ms
            .iter()
            .map(|&age_ms| age_ms as f64 * 1_000.0)
            .collect();
        record_in_flight_ages(&mut state.health, server, &ages_us, now_ms);
    }
}

/// Applies the obeyed ejections to a pool and notes which began or ended.
fn apply_obeyed(state: &mut PoolState, obeyed: &[String], now_ms: u64) {
    let sensitivity = state.sensitivity;
    for (index, meta) in state.server_meta.iter_mut() {
        let name = state.pool.names.name(index);
        let ejected = obeyed.iter().any(|other| other == name);
        if ejected && !meta.ejected {
            begin_ejection(&mut state.health, index, now_ms);
        } else if !ejected && meta.ejected {
            end_ejection(&mut state.health, index, sensitivity, now_ms);
        }
        meta.ejected = ejected;
    }
}
