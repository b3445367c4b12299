//! Takes permits back with what their use says about the server.

use {
    crate::{commands::update_standings, PoolState},
    outlier::{commands::record_outcome, AttemptOutcome},
    permit::commands::{cancel_request, release_permit},
    types::{PermitId, ServerIndex},
};

/// A permit that is given back, or an ask whose answer was not heard.
#[derive(Clone, Copy, Debug)]
pub struct Release<'a> {
    /// The permit; none for an ask whose answer was not heard.
    pub permit: Option<PermitId>,
    /// Number of the ask, if there is no permit.
    pub acquire_id: u64,
    /// Name of the server.
    pub server: &'a str,
    /// What the use of the slot says about the server.
    pub outcome: AttemptOutcome,
    /// Time to the whole answer, in microseconds, if there was one.
    pub response_us: Option<u64>,
    /// Whether the server is leaving or gone, as it says itself or another one at its address.
    pub is_leaving: bool,
}

/// Takes back a slot and learns from its use.
pub fn release(state: &mut PoolState, back: &Release<'_>, now_ms: u64) {
    let Some(permit) = back.permit else {
        cancel_request(&mut state.pool, back.acquire_id);
        return state.wake_first_waiter(now_ms);
    };
    let permit = release_permit(&mut state.pool, permit, back.response_us);
    if let Some(server) = state.pool.names.find(back.server) {
        let retryable = permit.is_some_and(|permit| permit.retryable);
        note_recent(state, server, back.outcome, retryable, now_ms);
        let known_overdue = permit.is_some_and(|permit| permit.overdue);
        let outcome = once(back.outcome, known_overdue);
        record_outcome(
            &mut state.health,
            server,
            outcome,
            state.sensitivity,
            now_ms,
        );
        if let (true, Some(meta)) = (back.is_leaving, state.server_meta.get_mut(server)) {
            meta.draining = true;
        }
        ramp_up(state, server, outcome);
    }
    update_standings(state, now_ms);
    state.wake_first_waiter(now_ms);
}

/// A permit found overdue was held against its server already, so its lateness does not count again.
fn once(outcome: AttemptOutcome, known_overdue: bool) -> AttemptOutcome {
    match outcome {
        AttemptOutcome::Completed { first_byte_us } if known_overdue => {
            AttemptOutcome::CompletedLate { first_byte_us }
        }
        AttemptOutcome::Overdue if known_overdue => AttemptOutcome::Inconclusive,
        other => other,
    }
}

/// Notes how much of the service's work fails for good: what another try may make good is not lost yet.
fn note_recent(
    state: &mut PoolState,
    server: ServerIndex,
    outcome: AttemptOutcome,
    retryable: bool,
    now_ms: u64,
) {
    match outcome {
        AttemptOutcome::Completed { .. } | AttemptOutcome::CompletedLate { .. } => {
            state.failure_rate.record(false, now_ms)
        }
        AttemptOutcome::Failed | AttemptOutcome::Overdue | AttemptOutcome::Unreachable => {
            if let Some(entry) = state.pool.servers.get_mut(server) {
                entry.last_failed_ms = Some(now_ms);
            }
            if !retryable {
                state.failure_rate.record(true, now_ms);
            }
        }
        AttemptOutcome::Shed | AttemptOutcome::Inconclusive => {}
    }
}

/// Each whole answer of a cold server opens one more of its slots.
fn ramp_up(state: &mut PoolState, server: ServerIndex, outcome: AttemptOutcome) {
    if let (AttemptOutcome::Completed { .. }, Some(entry)) =
        (outcome, state.pool.servers.get_mut(server))
    {
        entry.usable_slots = (entry.usable_slots + 1).min(entry.slots);
    }
}
