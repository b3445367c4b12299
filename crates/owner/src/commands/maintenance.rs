//! Periodic maintenance of a pool by its owner.

use {
    crate::{
        commands::{admission::reorder_queue, update_standings},
        PoolState,
    },
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

/// Multiple of the late threshold from which a request in flight is overdue; leaves the entry instance time to try a
/// new connection first.
const OVERDUE_FACTOR: f64 = 1.25;

/// Expires permits and waiters, records requests in flight, schedules trials and applies the enforced ejections.
pub fn run_maintenance(state: &mut PoolState, enforced: &[String], now_ms: u64) {
    commands::expire_permits(&mut state.pool, now_ms);
    commands::expire_waiters(&mut state.pool, now_ms);
    drop_expired_waiters(state);
    reorder_queue(state, now_ms);
    record_overdue_and_in_flight(state, now_ms);
    for index in take_due_trials(&mut state.health, now_ms) {
        if let Some(server) = state.pool.servers.get_mut(index) {
            server.trial_due = true;
        }
    }
    apply_ejections(state, enforced, now_ms);
    update_standings(state, now_ms);
}

/// A server whose standing changed, or that began or ceased to be leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StandingChange {
    /// The server.
    pub server: ServerIndex,
    /// Its standing when it was last reported.
    pub previous: Standing,
    /// Its current standing, and whether it is leaving.
    pub current: (Standing, bool),
}

/// Returns the servers that changed their standing, or began or ceased to be leaving, since the last call.
pub fn take_standing_changes(state: &mut PoolState) -> Vec<StandingChange> {
    let mut changes = Vec::new();
    for (index, server) in state.pool.servers.iter() {
        let current = (server.standing, server.leaving);
        if let Some(meta) = state
            .server_meta
            .get_mut(index)
            .filter(|meta| meta.last_logged != current)
        {
            changes.push(StandingChange {
                server: index,
                previous: meta.last_logged.0,
                current,
            });
            meta.last_logged = current;
        }
    }
    changes
}

/// Drops the notifications of waiters that are no longer queued.
fn drop_expired_waiters(state: &mut PoolState) {
    let tickets: HashSet<u64> = permit::queries::queued_tickets(&state.pool).collect();
    state.waiters.retain(|ticket, _| tickets.contains(ticket));
}

/// Records requests in flight with the detector: an overdue one as an outcome, once; the others by their current age.
fn record_overdue_and_in_flight(state: &mut PoolState, now_ms: u64) {
    let Some(threshold_us) = late_threshold_us(&state.health) else {
        return;
    };
    let sensitivity = state.sensitivity;
    let overdue_ms = (threshold_us * OVERDUE_FACTOR / 1_000.0) as u64;
    for server in commands::mark_overdue(&mut state.pool, now_ms, overdue_ms) {
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

/// Passes the ages of the requests in flight at each server to the detector.
pub fn record_in_flight(state: &mut PoolState, now_ms: u64) {
    for (server, ages_ms) in queries::in_flight_ages_ms(&state.pool, now_ms).iter() {
        let ages_us: Vec<f64> = ages_ms
            .iter()
            .map(|&age_ms| age_ms as f64 * 1_000.0)
            .collect();
        record_in_flight_ages(&mut state.health, server, &ages_us, now_ms);
    }
}

/// Marks the servers in `enforced` as ejected and all others as not, and reports to the detector each ejection that
/// began or ended.
fn apply_ejections(state: &mut PoolState, enforced: &[String], now_ms: u64) {
    let sensitivity = state.sensitivity;
    for (index, meta) in state.server_meta.iter_mut() {
        let name = state.pool.names.name(index);
        let ejected = enforced.iter().any(|other| other == name);
        if ejected && !meta.ejected {
            begin_ejection(&mut state.health, index, now_ms);
        } else if !ejected && meta.ejected {
            end_ejection(&mut state.health, index, sensitivity, now_ms);
        }
        meta.ejected = ejected;
    }
}
